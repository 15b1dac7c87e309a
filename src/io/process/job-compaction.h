// Replaces the rows of ended jobs by short ones (job/ended-job.h), so that a new leader reads bytes in proportion to
// the work that is left.
//
// Invariants: a row is replaced only after the final state of its job is stored, and only while it still has the
// version of the submission. A transaction that is carried out late, also one of an earlier leader, therefore changes
// no row that was replaced or removed meanwhile. The rows are in other parts than the leader row, so the transactions
// are not conditional on leadership; every leader would write the same.
#pragma once

#include <waxwinglug/fleet-platform.h>
#include <waxwinglug/work.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace waxwinglug::io {

class JobCompaction {
public:
    struct Entry {
        std::string job;
        JobStatus finalState = JobStatus::Completed;
        std::uint64_t version = 0; // of the row
    };
    struct Batch {
        std::string part;
        std::vector<Entry> entries;
        RowTransaction transaction;
    };

    explicit JobCompaction(Clock clock);

    // The row of a job as it was submitted.
    void addRow(const std::string& job, std::uint64_t version);
    // The final state of the job is stored. Without a row that can be replaced there is nothing to do.
    void addEnd(const std::string& job, JobStatus finalState);
    void removeRow(const std::string& job);

    // Returns the next transaction to send when one is due. At most one is in flight; batchAnswered() completes it.
    std::optional<Batch> takeBatch();
    void batchAnswered(const Batch& batch, const TransactionResult& result);

    std::size_t pendingCount() const;

private:
    struct PartQueue {
        std::deque<Entry> entries;
        TimePoint oldestSince;
    };

    const Clock clock;
    std::unordered_map<std::string, std::uint64_t> rowVersions; // rows that were not replaced, and not queued for it
    std::map<std::string, PartQueue> queues; // by part, none of them empty
    bool isInFlight = false;
    TimePoint nextBatchAt;
};

} // namespace waxwinglug::io
