// A leader and a relay over loopback: results, failures of the relay, and orders of an earlier term.
#include "io/process/order-relay.h"

#include "io/process/relayed-servers.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <optional>

namespace waxwinglug::io {
namespace {

    constexpr std::chrono::seconds testTimeout { 20 };

    // A relay with its server; the calls to backend servers are answered by the test.
    struct RelayProcess {
        RelayProcess(boost::asio::io_context& context, std::string name)
            : relay(std::make_shared<OrderRelay>(context, this->calls, std::move(name), systemClock(),
                [](std::string_view, std::initializer_list<LogField>) { /* not examined */ }))
        {
            this->calls.start = [this](const ServerRecord& backend, const StartOrder& order, auto handler) {
                this->started.push_back(backend.id + " " + order.command);
                if (this->answersStarts)
                    handler({ OrderStatus::Accepted, this->startClock });
            };
            this->calls.renewLease = [this](const ServerRecord&, const RenewOrder& order, auto handler) {
                RenewReport report;
                report.clock = static_cast<ServerClock>(order.lastStoredEnd);
                handler(this->renewalStatus, report);
            };
            CallerHooks hooks;
            hooks.bodyLimitBytes = [](std::string_view) { return maxRelayMessageBytes; };
            hooks.handle = [this](const HttpRequest& request, const Respond& respond) {
                if (!this->relay->handle(request, respond))
                    respond({ 404, {}, "" });
                return std::function<void()>();
            };
            hooks.reject = [](int status, std::string_view, std::string_view) {
                return HttpResponse { status, {}, "" };
            };
            this->server = std::make_unique<CallerServer>(
                context, Endpoint { "127.0.0.1", 0 }, CallerLimits {}, std::move(hooks));
        }

        ServerCalls calls;
        bool answersStarts = true;
        std::optional<ServerClock> startClock;
        OrderStatus renewalStatus = OrderStatus::Accepted;
        std::vector<std::string> started;
        std::shared_ptr<OrderRelay> relay;
        std::unique_ptr<CallerServer> server;
    };

    struct OrderRelayTest : testing::Test {
        boost::asio::io_context context;
        AsyncHttpClient client { context, systemClock() };
        RelayProcess process { context, "relay" };
        ServerCalls direct;
        int directCalls = 0;
        int supersededCount = 0;
        ServerRecord backend;
        std::shared_ptr<RelayedServers> servers;

        OrderRelayTest()
        {
            this->backend.id = "server";
            this->backend.dataCentre = "north";
            this->direct.start = [this](const ServerRecord&, const StartOrder&, auto handler) {
                ++this->directCalls;
                handler({ OrderStatus::Accepted });
            };
            this->direct.renewLease = [this](const ServerRecord&, const RenewOrder&, auto handler) {
                ++this->directCalls;
                handler(OrderStatus::Accepted, RenewReport {});
            };
            this->servers = this->makeLeader(7, "relay");
        }

        // A leader whose only possible relay has this name.
        std::shared_ptr<RelayedServers> makeLeader(std::uint64_t fence, const std::string& relayName)
        {
            RelaySelection selection({}, "leader", 100);
            selection.setVm({ relayName, "north", { "127.0.0.1", this->process.server->port() }, 100 });
            return std::make_shared<RelayedServers>(this->context, this->client, this->direct, std::move(selection),
                fence, systemClock(),
                RelayedServersHooks { [this] { ++this->supersededCount; },
                    [](std::string_view, std::initializer_list<LogField>) { /* not examined */ } });
        }

        void runUntil(const std::function<bool()>& isDone)
        {
            const auto end = std::chrono::steady_clock::now() + testTimeout;
            this->context.restart();
            while (!isDone() && std::chrono::steady_clock::now() < end) {
                this->servers->failOverdueOrders();
                this->context.run_one_for(std::chrono::milliseconds(20));
            }
            ASSERT_TRUE(isDone());
        }

        void connect()
        {
            this->servers->select(1000);
            this->runUntil([this] { return this->servers->isReady(); });
        }

        std::optional<OrderStatus> start(const std::string& command)
        {
            const auto status = std::make_shared<std::optional<OrderStatus>>();
            this->servers->calls().start(this->backend, { { "job", 0, 0, 0 }, 1, command, 1000, 7, "", "" },
                [status](const OrderAnswer& answer) { *status = answer.status; });
            this->runUntil([&] { return status->has_value(); });
            return *status;
        }

        std::optional<OrderStatus> renew()
        {
            std::optional<OrderStatus> status;
            this->servers->calls().renewLease(this->backend, { 7, 57, std::nullopt, Duration(0) },
                [&status](OrderStatus answer, const RenewReport& report) {
                    status = answer;
                    EXPECT_TRUE(report.clock == 57 || answer != OrderStatus::Accepted || report.clock == 0);
                });
            this->runUntil([&] { return status.has_value(); });
            return status;
        }
    };

} // namespace

TEST_F(OrderRelayTest, ordersAreCarriedOutByTheRelay)
{
    this->connect();
    EXPECT_EQ(this->start("command"), OrderStatus::Accepted);
    EXPECT_EQ(this->renew(), OrderStatus::Accepted);
    EXPECT_EQ(this->process.started, std::vector<std::string> { "server command" });
    EXPECT_EQ(this->directCalls, 0);
}

// Guards against a later incarnation that the leader of a relayed server does not notice by its clock.
TEST_F(OrderRelayTest, clockInTheAnswerToAnOrderIsPassedOn)
{
    this->connect();
    for (const auto clock : { std::optional<ServerClock>(300), std::optional<ServerClock>() }) {
        this->process.startClock = clock;
        std::optional<OrderAnswer> given;
        this->servers->calls().start(this->backend, { { "job", 0, 0, 0 }, 1, "command", 1000, 7, "", "" },
            [&given](const OrderAnswer& answer) { given = answer; });
        this->runUntil([&] { return given.has_value(); });
        EXPECT_EQ(given->clock, clock);
    }
}

TEST_F(OrderRelayTest, leaderCallsServersItselfBeforeARelayHasAnswered)
{
    EXPECT_EQ(this->start("command"), OrderStatus::Accepted);
    EXPECT_EQ(this->directCalls, 1);
}

// Guards against an order whose relay has failed and which is then taken for not carried out.
TEST_F(OrderRelayTest, orderOfAFailedRelayIsUnanswered)
{
    this->connect();
    this->process.answersStarts = false;
    std::optional<OrderStatus> status;
    this->servers->calls().start(this->backend, { { "job", 0, 0, 0 }, 1, "command", 1000, 7, "", "" },
        [&status](const OrderAnswer& answer) { status = answer.status; });
    this->runUntil([this] { return !this->process.started.empty(); });
    this->process.server.reset();
    this->runUntil([&] { return status.has_value(); });
    EXPECT_EQ(status, OrderStatus::Unknown);
}

// Guards against an order that waits for ever because its result was lost.
TEST_F(OrderRelayTest, orderWithoutResultIsUnansweredAfterTheTimeout)
{
    this->connect();
    this->process.answersStarts = false;
    EXPECT_EQ(this->start("command"), OrderStatus::Unknown);
}

// Around a change of leader, an order of the earlier term that is still under way must not be carried out.
TEST_F(OrderRelayTest, relayRefusesOrdersOfAnEarlierTerm)
{
    this->connect();
    const auto later = this->makeLeader(8, "relay");
    later->select(1000);
    this->runUntil([&] { return later->isReady(); });
    EXPECT_NE(this->start("command"), OrderStatus::Accepted);
    EXPECT_TRUE(this->process.started.empty());
    EXPECT_GE(this->supersededCount, 1);
}

// The address of a VM that left may belong to another process.
TEST_F(OrderRelayTest, processWithAnotherNameIsNotUsed)
{
    this->servers = this->makeLeader(7, "other");
    this->connect();
    EXPECT_EQ(this->start("command"), OrderStatus::Accepted);
    EXPECT_EQ(this->directCalls, 1);
    EXPECT_TRUE(this->process.started.empty());
}

// Only the path between relay and server may be broken.
TEST_F(OrderRelayTest, serverThatTheRelayCannotReachIsCalledDirectly)
{
    this->connect();
    this->process.renewalStatus = OrderStatus::Unknown;
    EXPECT_EQ(this->renew(), OrderStatus::Unknown);
    EXPECT_EQ(this->renew(), OrderStatus::Accepted);
    EXPECT_EQ(this->directCalls, 1);
}

// One malformed message must not stop the relay.
TEST_F(OrderRelayTest, malformedMessageCostsOneAnswer)
{
    this->connect();
    std::optional<CallResult> answer;
    this->client.call({ "127.0.0.1", this->process.server->port() },
        { "POST", relayOrdersTarget, {}, "\x11\x07\xff\xff" }, { testTimeout, 0, 1 },
        [&answer](CallResult result) { answer = std::move(result); });
    this->runUntil([&] { return answer.has_value(); });
    EXPECT_EQ(answer->response.status, 400);
    EXPECT_EQ(this->start("command"), OrderStatus::Accepted);
}

} // namespace waxwinglug::io
