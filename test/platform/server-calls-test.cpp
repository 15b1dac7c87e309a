// Calls to a backend server over loopback.
#include "wire.h"

#include "io/connection/caller-server.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <optional>

namespace waxwinglug::wire {
namespace {

    constexpr std::chrono::seconds testTimeout { 20 };

    // A server that leaves the first renewal unanswered, as one does that waits for the end of a run.
    struct WaitingServer {
        explicit WaitingServer(boost::asio::io_context& context)
        {
            io::CallerHooks hooks;
            hooks.bodyLimitBytes = [](std::string_view) { return 10'000; };
            hooks.handle = [this](const io::HttpRequest&, const io::Respond& respond) {
                this->waiting.push_back(respond);
                if (this->waiting.size() > 1)
                    respond({ 200, {}, R"({"clock_ms":1,"running":[],"finished":[]})" });
                return std::function<void()>();
            };
            hooks.reject = [](int status, std::string_view, std::string_view) {
                return io::HttpResponse { status, {}, "" };
            };
            this->server = std::make_unique<io::CallerServer>(
                context, Endpoint { "127.0.0.1", 0 }, io::CallerLimits {}, std::move(hooks));
        }

        std::vector<io::Respond> waiting;
        std::unique_ptr<io::CallerServer> server;
    };

    // A server that gives these answers, one to each call.
    struct AnsweringServer {
        AnsweringServer(boost::asio::io_context& context, std::vector<io::HttpResponse> responses)
            : answers(std::move(responses))
        {
            io::CallerHooks hooks;
            hooks.bodyLimitBytes = [](std::string_view) { return 10'000; };
            hooks.handle = [this](const io::HttpRequest&, const io::Respond& respond) {
                respond(this->answers.at(this->next++));
                return std::function<void()>();
            };
            hooks.reject = [](int status, std::string_view, std::string_view) {
                return io::HttpResponse { status, {}, "" };
            };
            this->server = std::make_unique<io::CallerServer>(
                context, Endpoint { "127.0.0.1", 0 }, io::CallerLimits {}, std::move(hooks));
        }

        std::vector<io::HttpResponse> answers;
        std::size_t next = 0;
        std::unique_ptr<io::CallerServer> server;
    };

} // namespace

// Around a change of leader a relay calls the same servers for both. Guards against servers that look silent to the new
// leader because its renewals wait behind those of the earlier one.
TEST(ServerCalls, renewalDoesNotWaitForTheOneOfAnEarlierLeader)
{
    boost::asio::io_context context;
    io::AsyncHttpClient client(context, systemClock());
    WaitingServer server(context);
    const auto calls = makeServerCalls(client);
    ServerRecord record;
    record.id = "server";
    record.address = { "127.0.0.1", server.server->port() };
    bool earlierIsAnswered = false;
    std::optional<OrderStatus> later;
    calls.renewLease(record, { 1, 0, std::nullopt, std::chrono::minutes(1) },
        [&earlierIsAnswered](OrderStatus, const RenewReport&) { earlierIsAnswered = true; });
    const auto end = std::chrono::steady_clock::now() + testTimeout;
    while (server.waiting.empty() && std::chrono::steady_clock::now() < end)
        context.run_one_for(std::chrono::milliseconds(20));
    calls.renewLease(record, { 2, 0, std::nullopt, Duration(0) },
        [&later](OrderStatus status, const RenewReport&) { later = status; });
    while (!later && std::chrono::steady_clock::now() < end)
        context.run_one_for(std::chrono::milliseconds(20));
    EXPECT_EQ(later, OrderStatus::Accepted);
    EXPECT_FALSE(earlierIsAnswered);
}

// Guards against an answer of a server, or of another program at its address, that ends the process.
TEST(ServerCalls, malformedAnswersAreNoAcceptance)
{
    boost::asio::io_context context;
    io::AsyncHttpClient client(context, systemClock());
    const std::vector<io::HttpResponse> answers {
        { 409, {}, R"({"reason":5})" },
        { 409, {}, "[" },
        { 200, {}, R"({"clock_ms":1e300})" },
        { 200, {}, R"({"clock_ms":1,"born":1e300})" },
        { 200, {}, R"({"clock_ms":1,"running":[["j.0.0.0",99999999999,"",0]]})" },
        { 200, {}, R"({"clock_ms":1,"finished":[[-1,"j.0.0.0",1,"done",""]]})" },
        { 200, {}, R"({"clock_ms":1,"running":)" + std::string(9000, '[') + "}" },
    };
    AnsweringServer server(context, answers);
    const auto calls = makeServerCalls(client);
    ServerRecord record;
    record.id = "server";
    record.address = { "127.0.0.1", server.server->port() };
    const auto end = std::chrono::steady_clock::now() + testTimeout;
    for (std::size_t index = 0; index < answers.size(); ++index) {
        std::optional<OrderStatus> status;
        calls.renewLease(record, { 1, 0, std::nullopt, Duration(0) },
            [&status](OrderStatus answer, const RenewReport&) { status = answer; });
        while (!status && std::chrono::steady_clock::now() < end)
            context.run_one_for(std::chrono::milliseconds(20));
        ASSERT_TRUE(status);
        EXPECT_NE(*status, OrderStatus::Accepted) << answers[index].body;
    }
}

// Guards against a later incarnation that is not noticed by the clock in its answer, and against an answer without a
// readable time that is taken for none.
TEST(ServerCalls, answerToAStartNamesTheClockOfTheServer)
{
    struct Case {
        io::HttpResponse response;
        OrderStatus status;
        std::optional<ServerClock> clock;
    };
    const std::vector<Case> cases {
        { { 200, {}, R"({"clock_ms":482113})" }, OrderStatus::Accepted, 482'113 },
        { { 409, {}, R"({"clock_ms":300,"reason":"old"})" }, OrderStatus::RunTooOld, 300 },
        { { 200, {}, R"({"clock_ms":1e300})" }, OrderStatus::Accepted, std::nullopt },
        { { 200, {}, R"({"clock_ms":"soon"})" }, OrderStatus::Accepted, std::nullopt },
        { { 200, {}, "{}" }, OrderStatus::Accepted, std::nullopt },
        { { 503, {}, "" }, OrderStatus::Unhealthy, std::nullopt },
    };
    std::vector<io::HttpResponse> answers;
    answers.reserve(cases.size());
    for (const auto& each : cases)
        answers.push_back(each.response);
    boost::asio::io_context context;
    io::AsyncHttpClient client(context, systemClock());
    AnsweringServer server(context, answers);
    const auto calls = makeServerCalls(client);
    ServerRecord record;
    record.id = "server";
    record.address = { "127.0.0.1", server.server->port() };
    const auto end = std::chrono::steady_clock::now() + testTimeout;
    for (const auto& each : cases) {
        std::optional<OrderAnswer> answer;
        calls.start(record, { { "job", 0, 0, 0 }, 1, "command", 1000, 7, "", "" },
            [&answer](const OrderAnswer& given) { answer = given; });
        while (!answer && std::chrono::steady_clock::now() < end)
            context.run_one_for(std::chrono::milliseconds(20));
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->status, each.status) << each.response.body;
        EXPECT_EQ(answer->clock, each.clock) << each.response.body;
    }
}

} // namespace waxwinglug::wire
