// Entry and byte counts of transactions.
#include "job/bounded-transaction.h"

#include <algorithm>
#include <utility>

namespace waxwinglug {
namespace {

    // Field names, quotes, separators and a version number of one entry.
    constexpr std::size_t entryOverheadBytes = 100;

} // namespace

std::size_t encodedSize(const RowName& name, std::size_t valueBytes)
{
    return entryOverheadBytes + name.table.size() + name.part.size() + name.key.size() + (valueBytes + 2) / 3 * 4;
}

bool BoundedTransaction::tryAdd(RowTransaction entries)
{
    const auto count = entries.conditions.size() + entries.writes.size() + entries.removals.size();
    std::size_t bytes = 0;
    for (const auto& condition : entries.conditions)
        bytes += encodedSize(condition.name, 0);
    for (const auto& write : entries.writes) {
        if (write.value.size() > this->limits.rowBytes)
            return false;
        bytes += encodedSize(write.name, write.value.size());
    }
    for (const auto& name : entries.removals)
        bytes += encodedSize(name, 0);
    if (count > this->entriesLeft() || bytes > this->bytesLeft())
        return false;
    this->entryCount += count;
    this->byteCount += bytes;
    std::ranges::move(entries.conditions, std::back_inserter(this->transaction.conditions));
    std::ranges::move(entries.writes, std::back_inserter(this->transaction.writes));
    std::ranges::move(entries.removals, std::back_inserter(this->transaction.removals));
    return true;
}

void PendingRows::set(RowValue row) { this->rows.insert_or_assign(std::move(row.name), std::move(row.value)); }

std::vector<RowValue> PendingRows::moveInto(BoundedTransaction& transaction)
{
    std::vector<RowValue> moved;
    for (auto row = this->rows.begin(); row != this->rows.end();) {
        RowValue value { row->first, row->second };
        if (!transaction.tryAdd({ {}, { value }, {} })) {
            ++row;
            continue;
        }
        moved.push_back(std::move(value));
        row = this->rows.erase(row);
    }
    return moved;
}

void PendingRows::restore(std::span<const RowValue> failed)
{
    for (const auto& row : failed)
        this->rows.emplace(row.name, row.value);
}

} // namespace waxwinglug
