// Keeps a reader up to date with one table of the store: reads all rows, then follows the changes, and reads all rows
// again when the store no longer has the history since the last change.
#pragma once

#include <waxwinglug/fleet-platform.h>
#include <waxwinglug/log-field.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace waxwinglug::io {

struct FollowerHooks {
    // All rows of the table; earlier rows that are not among them were removed.
    std::function<void(std::span<const StoredRow>)> onFullRead;
    std::function<void(std::span<const StoredRow>)> onChanges;
    // The store answered, with or without changes.
    std::function<void()> onAnswer;
    // A call got no answer.
    std::function<void()> onNoAnswer;
    LogHook log;
};

class TableFollower {
public:
    // `minVersion` is a version that the table has reached; an answer with an older version is stale and requested
    // again.
    TableFollower(boost::asio::io_context& context, const RowStore& store, std::string table,
        std::vector<std::string> parts, std::uint64_t minVersion, FollowerHooks hooks);
    ~TableFollower();
    TableFollower(const TableFollower&) = delete;
    TableFollower& operator=(const TableFollower&) = delete;

    void start();

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace waxwinglug::io
