// Batches of orders, polls of their results, and failures of relays.
#include "io/process/relayed-servers.h"

#include "io/process/order-relay.h"

#include <waxwinglug/error.h>

#include <algorithm>

namespace waxwinglug::io {
namespace {

    // Orders of this time share one message to each relay.
    constexpr Duration flushDelay { 8 };
    // Time for which a result may be overdue: the call of the relay to the server may take 0.6 s beyond the wait of a
    // renewal, and the messages between leader and relay take the rest.
    constexpr Duration resultTimeout { 1000 };
    constexpr Duration messageTimeout { 600 };
    // How long a server that its relay cannot reach is called directly.
    constexpr Duration directCallPeriod { 5000 };
    // Client lanes: batches of orders, and polls, which wait for results.
    constexpr int orderLane = 2;
    constexpr int pollLane = 3;
    constexpr std::size_t maxOrderConnections = 4;

    HttpRequest makeRelayRequest(const char* target, std::string body)
    {
        return { "POST", target, { { "Content-Type", "application/octet-stream" } }, std::move(body) };
    }

} // namespace

RelayedServers::RelayedServers(boost::asio::io_context& io, AsyncHttpClient& httpClient, const ServerCalls& calls,
    RelaySelection relaySelection, std::uint64_t termFence, Clock source, RelayedServersHooks relayHooks)
    : context(io)
    , client(httpClient)
    , direct(calls)
    , selection(std::move(relaySelection))
    , fence(termFence)
    , clock(std::move(source))
    , hooks(std::move(relayHooks))
    , flushTimer(io)
{
}

template <typename Order>
bool RelayedServers::enqueue(const ServerRecord& server, const Order& order, Duration timeout, const Handler& handler)
{
    const auto* relay
        = this->isCalledDirectly(server.id) ? nullptr : this->selection.relayFor(server.id, server.dataCentre);
    if (!relay)
        return false;
    const auto id = ++this->lastOrderId;
    this->pending.emplace(id, Pending { relay->name, server.id, this->clock.now() + timeout, handler });
    this->links[relay->name].outgoing.push_back({ id, server.id, server.address, order });
    this->scheduleFlush();
    return true;
}

ServerCalls RelayedServers::calls()
{
    const auto withoutReport = [](ServerCalls::OrderHandler handler) {
        return [handler = std::move(handler)](OrderStatus status, const RenewReport& report) {
            handler({ status, report.clock == 0 ? std::nullopt : std::optional(report.clock) });
        };
    };
    ServerCalls calls;
    calls.start = [this, withoutReport](const ServerRecord& server, const StartOrder& order, auto handler) {
        if (!this->enqueue(server, order, resultTimeout, withoutReport(handler)))
            this->direct.start(server, order, std::move(handler));
    };
    calls.stop = [this, withoutReport](const ServerRecord& server, const StopOrder& order, auto handler) {
        if (!this->enqueue(server, order, resultTimeout, withoutReport(handler)))
            this->direct.stop(server, order, std::move(handler));
    };
    calls.throttle = [this, withoutReport](const ServerRecord& server, const ThrottleOrder& order, auto handler) {
        if (!this->enqueue(server, order, resultTimeout, withoutReport(handler)))
            this->direct.throttle(server, order, std::move(handler));
    };
    calls.renewLease = [this](const ServerRecord& server, const RenewOrder& order, auto handler) {
        if (!this->enqueue(server, order, order.maxWait + resultTimeout, handler))
            this->direct.renewLease(server, order, std::move(handler));
    };
    return calls;
}

void RelayedServers::select(std::size_t serverCount)
{
    this->selection.select(serverCount);
    for (const auto& relay : this->selection.selected())
        this->poll(relay);
}

bool RelayedServers::isReady() const
{
    return std::ranges::all_of(this->selection.selected(), [this](const EntryVm& relay) {
        const auto link = this->links.find(relay.name);
        return link != this->links.end() && link->second.hasReplied;
    });
}

void RelayedServers::scheduleFlush()
{
    if (std::exchange(this->isFlushScheduled, true))
        return;
    this->flushScheduledAt = this->clock.now();
    this->flushTimer.expires_after(flushDelay);
    this->flushTimer.async_wait([weak = this->weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self)
            self->flush();
    });
}

Duration RelayedServers::oldestUnsentOrderAge() const
{
    return this->isFlushScheduled ? this->clock.now() - this->flushScheduledAt : Duration(0);
}

void RelayedServers::flush()
{
    this->isFlushScheduled = false;
    for (const auto& relay : this->selection.selected()) {
        auto& link = this->links[relay.name];
        if (link.outgoing.empty())
            continue;
        const auto orders = std::exchange(link.outgoing, {});
        std::vector<std::uint64_t> ids;
        ids.reserve(orders.size());
        for (const auto& order : orders)
            ids.push_back(order.id);
        this->client.call(relay.peers, makeRelayRequest(relayOrdersTarget, encodeRelayOrders(this->fence, orders)),
            { messageTimeout, orderLane, maxOrderConnections },
            [weak = this->weak_from_this(), name = relay.name, ids = std::move(ids)](const CallResult& result) {
                const auto self = weak.lock();
                const bool isAnswered = result.status == CallStatus::Answered;
                if (!self || (isAnswered && result.response.status == 200))
                    return;
                // A refused batch was not carried out, like one that was not sent.
                const bool notCarriedOut = isAnswered || result.status == CallStatus::NotSent;
                for (const auto id : ids)
                    self->complete(id, notCarriedOut ? OrderStatus::NotSent : OrderStatus::Unknown, {});
                self->failRelay(name, isAnswered ? "it refused orders" : result.problem);
                if (isAnswered && result.response.status == 409)
                    self->hooks.onSuperseded();
            });
    }
}

void RelayedServers::poll(const EntryVm& relay)
{
    auto& link = this->links[relay.name];
    if (link.isPolling || !this->selection.mayCall(relay.name, this->clock.now()))
        return;
    link.isPolling = true;
    this->client.call(relay.peers, makeRelayRequest(relayResultsTarget, encodeRelayPoll(this->fence)),
        { maxRelayPollWait + messageTimeout, pollLane, 1 },
        [weak = this->weak_from_this(), relay](const CallResult& result) {
            if (const auto self = weak.lock())
                self->onResults(relay, result);
        });
}

void RelayedServers::onResults(const EntryVm& relay, const CallResult& result)
{
    auto& link = this->links[relay.name];
    link.isPolling = false;
    link.hasReplied = true;
    if (result.status != CallStatus::Answered)
        return this->failRelay(relay.name, result.problem);
    if (result.response.status != 200) {
        this->failRelay(relay.name, "it refused a poll");
        if (result.response.status == 409)
            this->hooks.onSuperseded();
        return;
    }
    RelayResultBatch batch;
    try {
        batch = decodeRelayResults(result.response.body);
    } catch (const Error& error) {
        return this->failRelay(relay.name, error.what());
    }
    // The address may belong to another process by now.
    if (batch.relay != relay.name)
        return this->failRelay(relay.name, "another VM has its address");
    this->selection.answered(relay.name);
    this->poll(relay);
    for (const auto& each : batch.results)
        this->applyResult(each);
}

// Only the path from its relay to a server may be broken, so a server that its relay cannot reach is called directly
// for a while.
void RelayedServers::applyResult(const RelayResult& result)
{
    const bool isReached = result.status != OrderStatus::NotSent && result.status != OrderStatus::Unknown;
    const auto order = this->pending.find(result.id);
    if (!isReached && order != this->pending.end())
        this->directUntil[order->second.server] = this->clock.now() + directCallPeriod;
    this->complete(result.id, result.status, result.report);
}

bool RelayedServers::isCalledDirectly(const std::string& server) const
{
    const auto until = this->directUntil.find(server);
    return until != this->directUntil.end() && this->clock.now() < until->second;
}

void RelayedServers::complete(std::uint64_t id, OrderStatus status, const RenewReport& report)
{
    const auto place = this->pending.find(id);
    if (place == this->pending.end())
        return; // overdue, and already reported as unknown
    const auto handler = std::move(place->second.handler);
    this->pending.erase(place);
    handler(status, report);
}

// Stops using the relay for a while. Its orders may have been carried out.
void RelayedServers::failRelay(const std::string& name, std::string_view problem)
{
    const bool isNew = this->selection.failed(name, this->clock.now());
    std::vector<std::uint64_t> unsent;
    for (const auto& order : std::exchange(this->links[name].outgoing, {}))
        unsent.push_back(order.id);
    std::vector<std::uint64_t> sent;
    for (const auto id : unsent)
        this->complete(id, OrderStatus::NotSent, {});
    for (const auto& [id, order] : this->pending) {
        if (order.relay == name)
            sent.push_back(id);
    }
    if (isNew)
        this->hooks.log("relay does not answer",
            { { "relay", name }, { "problem", problem }, { "unsent", unsent.size() }, { "unanswered", sent.size() } });
    // In the order in which they were sent.
    std::ranges::sort(sent);
    for (const auto id : sent)
        this->complete(id, OrderStatus::Unknown, {});
}

void RelayedServers::failOverdueOrders()
{
    const auto now = this->clock.now();
    std::vector<std::uint64_t> overdue;
    for (const auto& [id, order] : this->pending) {
        if (now >= order.deadline)
            overdue.push_back(id);
    }
    std::ranges::sort(overdue);
    for (const auto id : overdue)
        this->complete(id, OrderStatus::Unknown, {});
    std::erase_if(this->directUntil, [now](const auto& entry) { return now >= entry.second; });
}

} // namespace waxwinglug::io
