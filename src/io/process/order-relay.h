// Carries out orders of the leader on an entry VM that serves as a relay, and returns their results in batches.
//
// The relay decides nothing. It refuses orders of a term that is older than the latest one it knows, and backend
// servers do the same. A result that is lost leaves its order unanswered at the leader, which handles it like any other
// order without an answer.
#pragma once

#include "io/connection/caller-server.h"
#include "job/relay-messages.h"

#include <waxwinglug/fleet-platform.h>
#include <waxwinglug/log-field.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>
#include <vector>

namespace waxwinglug::io {

// Targets of the calls from the leader to a relay.
inline constexpr const char* relayOrdersTarget = "/relay/orders";
inline constexpr const char* relayResultsTarget = "/relay/results";
// Maximum time that a relay delays its answer to a poll until there is a result.
inline constexpr Duration maxRelayPollWait { 300 };
// Maximum size of a batch: several thousand orders with commands of 4 KB at most.
inline constexpr std::uint64_t maxRelayMessageBytes = 4ULL << 20;

class OrderRelay : public std::enable_shared_from_this<OrderRelay> {
public:
    // `servers` makes the calls to backend servers; it must outlive this object.
    OrderRelay(
        boost::asio::io_context& context, const ServerCalls& servers, std::string node, Clock clock, LogHook log);

    // Returns true if the request is for the relay; `respond` is then called, possibly later.
    bool handle(const HttpRequest& request, const Respond& respond);
    // Orders that the servers have not answered, and results that the leader has not fetched.
    std::size_t openOrderCount() const { return this->openOrders; }
    std::size_t heldResultCount() const { return this->results.size(); }
    // Orders accepted so far.
    std::uint64_t acceptedOrderCount() const { return this->acceptedOrders; }

private:
    void acceptOrders(const HttpRequest& request, const Respond& respond);
    void acceptPoll(const HttpRequest& request, const Respond& respond);
    // Returns false for an older term. Forgets the results of earlier terms.
    bool acceptTerm(std::uint64_t fence);
    void carryOut(RelayOrder order);
    void addResult(std::uint64_t fence, RelayResult result);
    void scheduleAnswer();
    void answerPoll();

    boost::asio::io_context& context;
    const ServerCalls& servers;
    const std::string node;
    const Clock clock;
    const LogHook log;
    boost::asio::steady_timer answerTimer;
    boost::asio::steady_timer pollTimer;
    std::uint64_t latestFence = 0;
    std::size_t openOrders = 0;
    std::uint64_t acceptedOrders = 0;
    // Results of the latest term that are not returned yet; bounded by the orders that are accepted at once.
    std::vector<RelayResult> results;
    Respond waitingPoll; // empty while the leader does not poll
    TimePoint answeredAt;
    bool isAnswerScheduled = false;
};

} // namespace waxwinglug::io
