// Tests the asynchronous HTTP client against a local server on the same event loop.
#include "io/connection/async-http-client.h"

#include "io/connection/caller-server.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <optional>
#include <thread>

namespace waxwinglug::io {
namespace {

    using boost::asio::ip::tcp;

    struct AsyncHttpClientTest : testing::Test {
        boost::asio::io_context context;
        AsyncHttpClient client { context, systemClock() };

        CallResult call(std::uint16_t port, Duration timeout)
        {
            std::optional<CallResult> result;
            this->client.call({ "127.0.0.1", port }, { "GET", "/x", {}, "" }, { timeout, 0, 1 },
                [&result](CallResult answer) { result = std::move(answer); });
            this->context.restart();
            while (!result && this->context.run_one() > 0) { }
            return result.value_or(CallResult {});
        }

        std::unique_ptr<CallerServer> serve(std::function<void(HttpRequest, Respond)> handle)
        {
            CallerHooks hooks;
            hooks.bodyLimitBytes = [](std::string_view) { return 1000; };
            hooks.handle = [handle = std::move(handle)](HttpRequest request, Respond respond) {
                handle(std::move(request), std::move(respond));
                return std::function<void()>();
            };
            hooks.reject = [](int status, std::string_view, std::string_view) {
                return HttpResponse { status, {}, "" };
            };
            return std::make_unique<CallerServer>(
                this->context, Endpoint { "127.0.0.1", 0 }, CallerLimits {}, std::move(hooks));
        }
    };

} // namespace

TEST_F(AsyncHttpClientTest, responsesAreReturnedAndTheConnectionIsReused)
{
    const auto server = this->serve([](const HttpRequest&, const Respond& respond) { respond({ 200, {}, "body" }); });
    for (int number = 0; number < 3; ++number) {
        const auto result = this->call(server->port(), std::chrono::seconds(5));
        ASSERT_EQ(result.status, CallStatus::Answered);
        EXPECT_EQ(result.response.body, "body");
    }
    EXPECT_EQ(this->client.openedConnections(), 1U);
}

// Guards against a refused connection that is reported as a request that may have been carried out.
TEST_F(AsyncHttpClientTest, refusedConnectionIsReportedAsNotSent)
{
    std::uint16_t port = 0;
    {
        tcp::acceptor acceptor(this->context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        port = acceptor.local_endpoint().port();
    }
    EXPECT_EQ(this->call(port, std::chrono::seconds(5)).status, CallStatus::NotSent);
}

// Guards against a request without an answer that is reported as not sent, and against reuse of its connection, on
// which the late answer could be delivered to another call.
TEST_F(AsyncHttpClientTest, missingResponseIsUnknownAndRetiresTheConnection)
{
    bool isUnresponsive = true;
    std::vector<Respond> unanswered;
    const auto server = this->serve([&](const HttpRequest&, const Respond& respond) {
        if (isUnresponsive)
            unanswered.push_back(respond);
        else
            respond({ 200, {}, "" });
    });
    EXPECT_EQ(this->call(server->port(), Duration(100)).status, CallStatus::Unknown);
    isUnresponsive = false;
    EXPECT_EQ(this->call(server->port(), std::chrono::seconds(5)).status, CallStatus::Answered);
    EXPECT_EQ(this->client.openedConnections(), 2U);
}

// Guards against an order that reaches a server after its call has timed out, and against an answer that goes on using
// the link: the peer must see a reset.
TEST_F(AsyncHttpClientTest, callThatTimesOutResetsItsConnection)
{
    tcp::acceptor acceptor(this->context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    EXPECT_EQ(this->call(acceptor.local_endpoint().port(), Duration(100)).status, CallStatus::Unknown);
    auto peer = acceptor.accept();
    boost::system::error_code error;
    std::array<char, 1000> bytes {};
    while (!error)
        peer.read_some(boost::asio::buffer(bytes), error);
    EXPECT_EQ(error, boost::asio::error::connection_reset) << error.message();
}

// Guards against answers that are read in pieces of 512 bytes: each piece waits for a turn of the event loop, so a busy
// leader received a page of changes seconds after the store had sent it.
TEST_F(AsyncHttpClientTest, largeResponseIsReadInFewTurnsOfTheEventLoop)
{
    constexpr std::size_t bodyBytes = 200'000;
    constexpr int calls = 2;
    boost::asio::io_context serverContext;
    tcp::acceptor acceptor(serverContext, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    std::thread server([&] {
        tcp::socket socket(serverContext);
        acceptor.accept(socket);
        for (int number = 0; number < calls; ++number) {
            std::string request;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
            const auto response = fmt::format(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", bodyBytes, std::string(bodyBytes, 'x'));
            boost::asio::write(socket, boost::asio::buffer(response));
        }
    });
    for (int number = 0; number < calls; ++number) {
        std::optional<CallResult> result;
        this->client.call({ "127.0.0.1", acceptor.local_endpoint().port() }, { "GET", "/x", {}, "" },
            { std::chrono::seconds(5), 0, 1 }, [&result](CallResult answer) { result = std::move(answer); });
        this->context.restart();
        int turns = 0;
        // The pause stands for the other work of a busy event loop, during which the server sends on.
        while (!result && this->context.run_one() > 0) {
            ++turns;
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        EXPECT_EQ(result.value_or(CallResult {}).response.body.size(), bodyBytes);
        EXPECT_LT(turns, 50);
    }
    server.join();
}

// Guards against a queue in which every call waits until its time is over and is then sent in vain: such calls cost a
// connection each, and the calls behind them wait until they expire as well.
TEST_F(AsyncHttpClientTest, callThatExpiresInTheQueueIsNotSent)
{
    int requests = 0;
    std::vector<Respond> unanswered;
    const auto server = this->serve([&](const HttpRequest&, const Respond& respond) {
        ++requests;
        unanswered.push_back(respond);
    });
    std::vector<CallResult> results;
    const auto addResult = [&results](CallResult answer) { results.push_back(std::move(answer)); };
    for (const auto timeout : { 200, 100, 100 })
        this->client.call(
            { "127.0.0.1", server->port() }, { "GET", "/x", {}, "" }, { Duration(timeout), 0, 1 }, addResult);
    while (results.size() < 3 && this->context.run_one() > 0) { }
    ASSERT_EQ(results.size(), 3U);
    EXPECT_EQ(requests, 1);
    EXPECT_EQ(this->client.openedConnections(), 1U);
    EXPECT_EQ(std::ranges::count(results, CallStatus::NotSent, &CallResult::status), 2);
}

// Guards against a caller whose own state changes while it makes a call, because that call finds expired ones.
TEST_F(AsyncHttpClientTest, callsDoNotEndWhileAnotherOneIsMade)
{
    std::vector<Respond> unanswered;
    const auto server = this->serve([&](const HttpRequest&, const Respond& respond) { unanswered.push_back(respond); });
    int ended = 0;
    const auto countEnd = [&ended](const CallResult&) { ++ended; };
    const auto makeCall = [&](const std::string& host, Duration timeout) {
        this->client.call({ host, server->port() }, { "GET", "/x", {}, "" }, { timeout, 0, 1 }, countEnd);
    };
    makeCall("127.0.0.1", Duration(1'000));
    makeCall("127.0.0.1", Duration(1));
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    makeCall("127.0.0.1", Duration(100));
    EXPECT_EQ(ended, 0);
    makeCall("not an address", Duration(100));
    EXPECT_EQ(ended, 0);
    while (ended < 4 && this->context.run_one() > 0) { }
    EXPECT_EQ(ended, 4);
}

} // namespace waxwinglug::io
