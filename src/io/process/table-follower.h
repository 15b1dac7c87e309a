// Keeps a reader up to date with one table of the store: reads its parts whole, then follows its changes, and reads it
// again when the store has dropped the history in between.
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
    // All rows of the table; rows that are known and not among them were removed.
    std::function<void(std::span<const StoredRow>)> onFullRead;
    std::function<void(std::span<const StoredRow>)> onChanges;
    // The store answered, with or without changes.
    std::function<void()> onAnswer;
    // A call was not answered.
    std::function<void()> onNoAnswer;
    LogHook log;
};

class TableFollower {
public:
    // `least` is a version that the table must have reached; older answers of the store are stale and read again.
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
