// Tests of BackendClient against servers that send malformed, late or no answers.
#include "io/connection/backend-client.h"
#include "support/raw-connection.h"

#include <boost/asio/executor_work_guard.hpp>
#include <gtest/gtest.h>

#include <future>

namespace waxwinglug::io {
namespace {

    using test::RawServer;
    using test::tcp;
    using Kind = BackendResult::Kind;

    class BackendClientTest : public ::testing::Test {
    protected:
        BackendClientTest()
            : work(boost::asio::make_work_guard(context))
            , client(context, systemClock(), {})
            , thread([this] { this->context.run(); })
        {
        }

        ~BackendClientTest() override
        {
            this->context.stop();
            this->thread.join();
        }

        BackendResult call(std::uint16_t port, std::string method = "POST", Duration timeout = std::chrono::seconds(20))
        {
            std::promise<BackendResult> promise;
            BackendCall call;
            call.server = { "127.0.0.1", port };
            call.request = { std::move(method), "/x", {}, "body" };
            call.answerTimeout = timeout;
            this->client.call(
                std::move(call), [] { return true; }, [&promise](BackendResult result) { promise.set_value(result); });
            return promise.get_future().get();
        }

        // Calls a server that sends these bytes and then closes the connection.
        BackendResult callWithAnswer(const std::string& bytes)
        {
            RawServer server([&bytes](tcp::socket& socket, int) {
                RawServer::readHeader(socket);
                RawServer::write(socket, bytes);
            });
            return this->call(server.port());
        }

        boost::asio::io_context context;
        boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
        BackendClient client;
        std::thread thread;
    };

    TEST_F(BackendClientTest, completeAnswersAreReturned)
    {
        auto result = this->callWithAnswer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        EXPECT_EQ(result.kind, Kind::Answered);
        EXPECT_EQ(result.response.body, "ok");
        result = this->callWithAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
        EXPECT_EQ(result.kind, Kind::Answered);
        EXPECT_EQ(result.response.body, "ok");
        result = this->callWithAnswer("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n");
        EXPECT_EQ(result.kind, Kind::Answered);
        EXPECT_EQ(result.response.status, 204);
    }

    TEST_F(BackendClientTest, truncatedAnswersAreBroken)
    {
        // Guards against passing part of an answer to the caller. The last answer has no length, so a truncation could
        // not be detected.
        for (const std::string bytes : {
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
                 "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok",
                 "HTTP/1.1 200 OK\r\nContent-Le",
                 "",
                 "HTTP/1.1 200 OK\r\n\r\nok",
             }) {
            EXPECT_EQ(this->callWithAnswer(bytes).kind, Kind::Broken) << bytes;
        }
    }

    TEST_F(BackendClientTest, refusedConnectionSendsNothing)
    {
        std::uint16_t port = 0;
        {
            const RawServer server([](tcp::socket&, int) {});
            port = server.port();
        }
        EXPECT_EQ(this->call(port).kind, Kind::ConnectionRefused);
    }

    TEST_F(BackendClientTest, requestIsSentOnceWhenAReusedConnectionCloses)
    {
        // Guards against an automatic retry in the client, which could run a request twice.
        std::atomic<int> requests = 0;
        RawServer server([&requests](tcp::socket& socket, int) {
            RawServer::readHeader(socket);
            ++requests;
            RawServer::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            char body[4];
            boost::asio::read(socket, boost::asio::buffer(body)); // of the first request
            if (!RawServer::readHeader(socket).empty())
                ++requests;
        });
        EXPECT_EQ(this->call(server.port()).kind, Kind::Answered);
        EXPECT_EQ(this->call(server.port()).kind, Kind::Broken);
        EXPECT_EQ(requests, 2);
    }

    TEST_F(BackendClientTest, lateAnswerReachesNoOtherRequest)
    {
        // Guards against reusing a connection on which an answer is still pending after a timeout.
        std::promise<void> release;
        auto released = release.get_future().share();
        RawServer server([released](tcp::socket& socket, int connection) {
            RawServer::readHeader(socket);
            if (connection == 0)
                released.wait();
            const std::string body = connection == 0 ? "late" : "good";
            RawServer::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n" + body);
            RawServer::waitForClose(socket);
        });
        EXPECT_EQ(this->call(server.port(), "POST", std::chrono::milliseconds(50)).kind, Kind::Overdue);
        release.set_value();
        const auto result = this->call(server.port());
        EXPECT_EQ(result.kind, Kind::Answered);
        EXPECT_EQ(result.response.body, "good");
    }

    TEST_F(BackendClientTest, bytesAfterAnAnswerCloseTheConnection)
    {
        // Guards against an unexpected second answer that would be matched to the next request on the connection.
        RawServer server([](tcp::socket& socket, int) {
            RawServer::readHeader(socket);
            RawServer::write(socket,
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngoodHTTP/1.1 200 OK\r\n"
                "Content-Length: 5\r\n\r\nstray");
            RawServer::waitForClose(socket);
        });
        for (int count = 0; count < 3; ++count)
            EXPECT_EQ(this->call(server.port()).response.body, "good");
    }

    TEST_F(BackendClientTest, unresponsiveConnectionRetiresOlderOnes)
    {
        // Guards against further requests on connections whose state a device on the path has dropped. The first two
        // connections answer once and do not answer afterwards.
        std::atomic<int> unansweredRequests = 0;
        RawServer server([&unansweredRequests](tcp::socket& socket, int connection) {
            for (int request = 0;; ++request) {
                if (RawServer::readHeader(socket).empty())
                    return;
                char body[4];
                boost::asio::read(socket, boost::asio::buffer(body));
                if (connection < 2 && request > 0) {
                    ++unansweredRequests;
                    continue;
                }
                // The first two requests are answered late, so that the client opens two connections.
                std::this_thread::sleep_for(std::chrono::milliseconds(connection < 2 ? 100 : 0));
                RawServer::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            }
        });
        auto first = std::async(std::launch::async, [&] { return this->call(server.port(), "GET"); });
        auto second = std::async(std::launch::async, [&] { return this->call(server.port(), "GET"); });
        EXPECT_EQ(first.get().kind, Kind::Answered);
        EXPECT_EQ(second.get().kind, Kind::Answered);
        EXPECT_EQ(this->call(server.port(), "GET", std::chrono::milliseconds(300)).kind, Kind::Overdue);
        // One of the two unresponsive connections is left. It may be used until a newer connection has answered.
        this->call(server.port(), "GET", std::chrono::milliseconds(300));
        for (int count = 0; count < 3; ++count)
            EXPECT_EQ(this->call(server.port(), "GET").kind, Kind::Answered);
        EXPECT_LE(unansweredRequests, 2);
    }

} // namespace
} // namespace waxwinglug::io
