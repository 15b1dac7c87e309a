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
    std::vector<io::HttpResponse> answers {
        { 409, {}, R"({"reason":5})" },
        { 409, {}, "[" },
        { 200, {}, R"({"clock_ms":1e300})" },
        { 200, {}, R"({"clock_ms":1,"born":1e300})" },
        { 200, {}, R"({"clock_ms":1,"running":[["j.0.0.0",99999999999,"",0]]})" },
        { 200, {}, R"({"clock_ms":1,"finished":[[-1,"j.0.0.0",1,"done",""]]})" },
        { 200, {}, R"({"clock_ms":1,"running":)" + std::string(9000, '[') + "}" },
    };
    std::size_t next = 0;
    io::CallerHooks hooks;
    hooks.bodyLimitBytes = [](std::string_view) { return 10'000; };
    hooks.handle = [&](const io::HttpRequest&, const io::Respond& respond) {
        respond(answers[next++]);
        return std::function<void()>();
    };
    hooks.reject = [](int status, std::string_view, std::string_view) { return io::HttpResponse { status, {}, "" }; };
    io::CallerServer server(context, Endpoint { "127.0.0.1", 0 }, io::CallerLimits {}, std::move(hooks));
    const auto calls = makeServerCalls(client);
    ServerRecord record;
    record.id = "server";
    record.address = { "127.0.0.1", server.port() };
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

} // namespace waxwinglug::wire
