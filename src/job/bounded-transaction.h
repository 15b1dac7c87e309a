// Transactions that stay within the size limits of the row store, and rows that wait to be written.
//
// Load pattern: a maintenance wave ends the work of hundreds of machines within seconds, and each of them changes the
// progress row of the wave. The store refuses a transaction that exceeds its limits, and refuses it again when it is
// repeated unchanged; with it the heartbeat and the progress of jobs would not be stored.
#pragma once

#include <waxwinglug/fleet-platform.h>

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace waxwinglug {

// Limits of one transaction. The defaults are those of the platform's store, less an allowance for the encoding.
struct TransactionLimits {
    std::size_t entries = 100; // conditions, writes and removals together
    std::size_t bytes = 900'000; // of the encoded transaction; the store accepts 1 MB
    std::size_t rowBytes = defaultMaxRowBytes; // of one value
};

// Size of one entry in an encoded transaction: the value in base64, the names, and the syntax around them.
std::size_t encodedSize(const RowName& name, std::size_t valueBytes);

class BoundedTransaction {
public:
    explicit BoundedTransaction(TransactionLimits maxSize)
        : limits(maxSize)
    {
    }

    // Adds all of the entries, or none of them if the transaction or one of its rows would exceed a limit.
    bool tryAdd(RowTransaction entries);
    std::size_t entriesLeft() const { return this->limits.entries - this->entryCount; }
    std::size_t bytesLeft() const { return this->limits.bytes - this->byteCount; }
    bool changesRows() const { return !this->transaction.writes.empty() || !this->transaction.removals.empty(); }
    RowTransaction take() { return std::move(this->transaction); }

private:
    const TransactionLimits limits;
    RowTransaction transaction;
    std::size_t entryCount = 0;
    std::size_t byteCount = 0;
};

// Rows that wait to be written, with at most one value for each name: the latest.
class PendingRows {
public:
    void set(RowValue row);
    // Adds rows to the transaction while they fit, and returns those. They are no longer pending. A row that exceeds
    // the limit of one value stays pending and does not delay the others.
    std::vector<RowValue> moveInto(BoundedTransaction& transaction);
    // Makes rows pending again whose transaction failed, unless they have a newer value.
    void restore(std::span<const RowValue> rows);
    bool isEmpty() const { return this->rows.empty(); }

private:
    std::map<RowName, std::string> rows;
};

} // namespace waxwinglug
