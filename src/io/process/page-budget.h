// Divides a link between the table pages that readers request over it, and other calls: few pages are in flight at
// once, and their size follows the time that earlier ones took.
#pragma once

#include <waxwinglug/base.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>

namespace waxwinglug::io {

class PageBudget {
public:
    struct Page {
        std::size_t rows = 0;
        Duration timeout { 0 };
    };

    // Runs `start` as soon as its page may be requested. Each start is followed by exactly one call of `release`.
    void acquire(std::function<void()> start);
    void release();

    // Bounds of the next page of a table whose rows take `bytesPerRow` on the link.
    Page nextPage(std::size_t bytesPerRow) const;
    void recordPage(std::size_t bytes, bool isLast, Duration elapsed);
    // A page did not arrive. It counts as too large when most of the timeout had passed.
    void recordFailure(Duration elapsed, Duration timeout);

private:
    // Size of a page as it is encoded in an answer.
    static constexpr std::size_t minPageBytes = 2'000;
    static constexpr std::size_t initialPageBytes = 64'000;
    static constexpr std::size_t maxPageBytes = 1'000'000;
    // Several slow answers of the store (60 times 4 ms) and the transfer of a page.
    static constexpr Duration minTimeout { 900 };

    std::size_t pageBytes = initialPageBytes; // from minPageBytes to maxPageBytes
    // Longer than minTimeout only while not even the smallest page arrives in time.
    Duration timeout = minTimeout;
    // The fastest page so far, an upper bound of the time that an answer takes regardless of its size.
    std::optional<Duration> fastestPage;
    std::size_t pagesInFlight = 0;
    std::deque<std::function<void()>> waiting; // in the order of the requests; empty while a page may be requested
};

} // namespace waxwinglug::io
