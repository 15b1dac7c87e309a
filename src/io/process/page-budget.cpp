// Sizes of the pages of table reads.
#include "io/process/page-budget.h"

#include <algorithm>
#include <utility>

namespace waxwinglug::io {
namespace {

    // The second page is transferred while the first one is decoded.
    constexpr std::size_t maxPagesInFlight = 2;
    // The store answers with at most this many rows.
    constexpr std::size_t maxPageRows = 500;
    // Transfer times of a page below which the next one is larger, and above which it is smaller. Heartbeats on the
    // same link have a timeout of 1 s.
    constexpr Duration shortTransfer { 150 };
    constexpr Duration longTransfer { 350 };
    constexpr Duration maxTimeout { 8000 };

} // namespace

void PageBudget::acquire(std::function<void()> start)
{
    if (this->pagesInFlight >= maxPagesInFlight) {
        this->waiting.push_back(std::move(start));
        return;
    }
    ++this->pagesInFlight;
    start();
}

void PageBudget::release()
{
    --this->pagesInFlight;
    if (this->waiting.empty())
        return;
    auto start = std::move(this->waiting.front());
    this->waiting.pop_front();
    ++this->pagesInFlight;
    start();
}

PageBudget::Page PageBudget::nextPage(std::size_t bytesPerRow) const
{
    const auto rows = this->pageBytes / std::max<std::size_t>(bytesPerRow, 1);
    return { std::clamp<std::size_t>(rows, 1, maxPageRows), this->timeout };
}

void PageBudget::recordPage(std::size_t bytes, bool isLast, Duration elapsed)
{
    this->fastestPage = std::min(this->fastestPage.value_or(elapsed), elapsed);
    if (elapsed < minTimeout / 2)
        this->timeout = minTimeout;
    const auto transfer = elapsed - *this->fastestPage;
    if (transfer > longTransfer)
        this->pageBytes = std::max(this->pageBytes / 2, minPageBytes);
    else if (transfer < shortTransfer && !isLast && bytes >= this->pageBytes / 2)
        this->pageBytes = std::min(this->pageBytes * 2, maxPageBytes);
}

void PageBudget::recordFailure(Duration elapsed, Duration pageTimeout)
{
    if (elapsed < pageTimeout / 2)
        return;
    if (this->pageBytes == minPageBytes)
        this->timeout = std::min(this->timeout * 2, maxTimeout);
    this->pageBytes = std::max(this->pageBytes / 4, minPageBytes);
}

} // namespace waxwinglug::io
