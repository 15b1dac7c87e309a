// Keeps a reader up to date with one table of the store: reads all rows, then follows the changes, and reads all rows
// again when the store no longer has the history since the last change.
//
// Reading makes progress on any link: a page that does not arrive is requested again, possibly with fewer rows, and the
// pages before it are kept.
#pragma once

#include "io/process/page-budget.h"

#include <waxwinglug/fleet-platform.h>
#include <waxwinglug/log-field.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace waxwinglug::io {

// The clock and the timers of a follower.
struct FollowerTime {
    Clock clock;
    std::function<void(Duration, std::function<void()>)> runAfter;
};

// Timers of the event loop, which must outlive the followers.
FollowerTime followerTime(boost::asio::io_context& context, Clock clock);

// The moment as of which a reader knows all rows of a table.
struct TableMoment {
    // When the call was sent whose answer proved it; the moment itself is not earlier.
    TimePoint requestedAt;
    std::optional<StoreTime> storeTime; // nothing if the answer carried no time
    std::uint64_t version = 0; // that the store had reached
};

struct FollowerHooks {
    // All rows of the table; earlier rows that are not among them were removed.
    std::function<void(std::span<const StoredRow>)> onFullRead;
    std::function<void(std::span<const StoredRow>)> onChanges;
    // The store answered, with or without changes.
    std::function<void()> onAnswer;
    // A call got no answer.
    std::function<void()> onNoAnswer;
    LogHook log;
    // Shared by followers that read over one link at the same time; nullptr: the follower has one of its own.
    std::shared_ptr<PageBudget> pageBudget;
    // The rows passed on so far are all rows as of this moment; may be empty.
    std::function<void(const TableMoment&)> onCurrent {};
};

class TableFollower {
public:
    // `minVersion` is a version that the table has reached; an answer with an older version is stale and requested
    // again.
    TableFollower(FollowerTime time, const RowStore& store, std::string table, std::vector<std::string> parts,
        std::uint64_t minVersion, FollowerHooks hooks);
    ~TableFollower();
    TableFollower(const TableFollower&) = delete;
    TableFollower& operator=(const TableFollower&) = delete;

    void start();

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace waxwinglug::io
