// Sends the leader's orders to backend servers through relays, in batches, or directly while there are none.
//
// Every order is answered exactly once: by its result, as not sent when its batch certainly did not leave this process
// or was refused as a whole, or as unknown when the relay fails or the result does not arrive in time. Lives for one
// term.
#pragma once

#include "io/connection/async-http-client.h"
#include "job/relay-messages.h"
#include "job/relay-selection.h"

#include <waxwinglug/fleet-platform.h>
#include <waxwinglug/log-field.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace waxwinglug::io {

struct RelayedServersHooks {
    // A relay has received orders of a later term.
    std::function<void()> onSuperseded;
    LogHook log;
};

class RelayedServers : public std::enable_shared_from_this<RelayedServers> {
public:
    // `direct` calls backend servers from this process; it must outlive this object.
    RelayedServers(boost::asio::io_context& context, AsyncHttpClient& client, const ServerCalls& direct,
        RelaySelection selection, std::uint64_t fence, Clock clock, RelayedServersHooks hooks);

    // The calls remain valid for the lifetime of this object.
    ServerCalls calls();
    void setVm(EntryVm vm) { this->selection.setVm(std::move(vm)); }
    void removeVm(std::string_view name) { this->selection.removeVm(name); }
    std::vector<EntryVm> possibleLeaders() const { return this->selection.possibleLeaders(); }
    // Selects relays for this number of servers and begins to poll them. Call again about once a second.
    void select(std::size_t serverCount);
    // Returns true when each selected relay has answered its first poll or failed.
    bool isReady() const;
    // Fails orders whose result is overdue. Call about ten times a second.
    void failOverdueOrders();
    // Orders sent to relays and waiting for their result.
    std::size_t unansweredOrderCount() const { return this->pending.size(); }
    // How long the oldest order has waited for its relay's message; 0 if none does.
    Duration oldestUnsentOrderAge() const;

private:
    using Handler = std::function<void(OrderStatus, const RenewReport&)>;
    struct Pending {
        std::string relay;
        std::string server;
        TimePoint deadline;
        Handler handler;
    };
    struct Link {
        std::vector<RelayOrder> outgoing;
        bool isPolling = false;
        bool hasReplied = false; // a poll has been answered or has failed
    };

    // Returns false if the order is to be sent directly.
    template <typename Order>
    bool enqueue(const ServerRecord& server, const Order& order, Duration timeout, const Handler& handler);
    void scheduleFlush();
    void flush();
    void poll(const EntryVm& relay);
    void onResults(const EntryVm& relay, const CallResult& result);
    void applyResult(const RelayResult& result);
    void complete(std::uint64_t id, OrderStatus status, const RenewReport& report);
    bool isCalledDirectly(const std::string& server) const;
    void failRelay(const std::string& name, std::string_view problem);

    boost::asio::io_context& context;
    AsyncHttpClient& client;
    const ServerCalls& direct;
    RelaySelection selection;
    const std::uint64_t fence;
    const Clock clock;
    const RelayedServersHooks hooks;
    boost::asio::steady_timer flushTimer;
    bool isFlushScheduled = false;
    TimePoint flushScheduledAt; // when the oldest order of the next messages was added
    std::map<std::string, Link> links;
    std::unordered_map<std::uint64_t, Pending> pending;
    std::uint64_t lastOrderId = 0;
    // Servers that their relay could not reach, and until when they are called directly.
    std::unordered_map<std::string, TimePoint> directUntil;
};

} // namespace waxwinglug::io
