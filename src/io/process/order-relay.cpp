// Orders and polls of the leader.
#include "io/process/order-relay.h"

#include <waxwinglug/error.h>

#include <algorithm>
#include <type_traits>

namespace waxwinglug::io {
namespace {

    // Minimum time between two answers to polls, so that the results of this time share one message. A report costs
    // the leader a tenth of what a message costs it.
    constexpr Duration minAnswerInterval { 12 };
    // Orders and results held at once. A relay has about 100 servers with 10 tasks each.
    constexpr std::size_t maxHeldOrders = 20'000;

} // namespace

OrderRelay::OrderRelay(
    boost::asio::io_context& io, const ServerCalls& calls, std::string nodeName, Clock source, LogHook logHook)
    : context(io)
    , servers(calls)
    , node(std::move(nodeName))
    , clock(std::move(source))
    , log(std::move(logHook))
    , answerTimer(io)
    , pollTimer(io)
{
}

bool OrderRelay::handle(const HttpRequest& request, const Respond& respond)
{
    if (request.target != relayOrdersTarget && request.target != relayResultsTarget)
        return false;
    try {
        if (request.target == relayOrdersTarget)
            this->acceptOrders(request, respond);
        else
            this->acceptPoll(request, respond);
    } catch (const Error& error) {
        this->log("relay message cannot be read", { { "target", request.target }, { "problem", error.what() } });
        respond({ 400, {}, "" });
    }
    return true;
}

bool OrderRelay::acceptTerm(std::uint64_t fence)
{
    if (fence < this->latestFence)
        return false;
    if (fence > this->latestFence) {
        this->latestFence = fence;
        this->results.clear();
        this->waitingPoll = nullptr;
        this->log("relays orders of a new term", { { "fence", fence }, { "open_orders", this->openOrders } });
    }
    return true;
}

void OrderRelay::acceptOrders(const HttpRequest& request, const Respond& respond)
{
    auto batch = decodeRelayOrders(request.body);
    // 409: a later leader uses this relay. 503: nothing of the batch is carried out.
    if (!this->acceptTerm(batch.term))
        return respond({ 409, {}, "" });
    if (this->openOrders + this->results.size() + batch.orders.size() > maxHeldOrders) {
        this->log("relay is overloaded",
            { { "open_orders", this->openOrders }, { "results", this->results.size() },
                { "refused", batch.orders.size() } });
        return respond({ 503, {}, "" });
    }
    this->acceptedOrders += batch.orders.size();
    for (auto& order : batch.orders)
        this->carryOut(std::move(order));
    respond({ 200, {}, "" });
}

void OrderRelay::carryOut(RelayOrder order)
{
    ++this->openOrders;
    ServerRecord server;
    server.id = std::move(order.server);
    server.address = std::move(order.address);
    const auto finish = [self = this->shared_from_this(), fence = this->latestFence, id = order.id](
                            OrderStatus status, const RenewReport& report) {
        --self->openOrders;
        self->addResult(fence, { id, status, report });
    };
    const auto finishOrder = [finish](const OrderAnswer& answer) {
        RenewReport report;
        report.clock = answer.clock.value_or(0);
        finish(answer.status, report);
    };
    std::visit(
        [&](const auto& each) {
            using Order = std::decay_t<decltype(each)>;
            if constexpr (std::is_same_v<Order, StartOrder>)
                this->servers.start(server, each, finishOrder);
            else if constexpr (std::is_same_v<Order, StopOrder>)
                this->servers.stop(server, each, finishOrder);
            else if constexpr (std::is_same_v<Order, ThrottleOrder>)
                this->servers.throttle(server, each, finishOrder);
            else
                this->servers.renewLease(server, each, finish);
        },
        order.order);
}

void OrderRelay::addResult(std::uint64_t fence, RelayResult result)
{
    if (fence != this->latestFence)
        return;
    this->results.push_back(std::move(result));
    this->scheduleAnswer();
}

void OrderRelay::acceptPoll(const HttpRequest& request, const Respond& respond)
{
    const auto fence = decodeRelayPoll(request.body);
    const bool isNewTerm = fence > this->latestFence;
    if (!this->acceptTerm(fence))
        return respond({ 409, {}, "" });
    this->waitingPoll = respond;
    // A new leader uses the relay once it has answered.
    if (isNewTerm)
        return this->answerPoll();
    if (!this->results.empty())
        return this->scheduleAnswer();
    this->pollTimer.expires_after(maxRelayPollWait);
    this->pollTimer.async_wait([weak = this->weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self && self->waitingPoll)
            self->answerPoll();
    });
}

void OrderRelay::scheduleAnswer()
{
    if (!this->waitingPoll || std::exchange(this->isAnswerScheduled, true))
        return;
    const auto wait = minAnswerInterval - (this->clock.now() - this->answeredAt);
    this->answerTimer.expires_after(std::clamp(wait, Duration(0), minAnswerInterval));
    this->answerTimer.async_wait([weak = this->weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (error || !self)
            return;
        self->isAnswerScheduled = false;
        if (self->waitingPoll)
            self->answerPoll();
    });
}

void OrderRelay::answerPoll()
{
    this->answeredAt = this->clock.now();
    this->pollTimer.cancel();
    const auto respond = std::exchange(this->waitingPoll, nullptr);
    respond({ 200, {}, encodeRelayResults(this->node, std::exchange(this->results, {})) });
}

} // namespace waxwinglug::io
