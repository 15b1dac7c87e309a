// Tests of CallerServer: framing, limits, pipelining, disconnects and shutdown.
#include "io/connection/caller-server.h"
#include "support/raw-connection.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace waxwinglug::io {
namespace {

    using test::RawConnection;

    constexpr std::uint64_t testBodyLimit = 100;

    // Answers requests on a separate running thread, after a delay that varies from answer to answer, so that answers
    // arrive in every stage of a session.
    class Responder {
    public:
        Responder()
            : thread([this] { this->run(); })
        {
        }

        ~Responder()
        {
            this->isStopping = true;
            this->thread.join();
        }
        Responder(const Responder&) = delete;
        Responder& operator=(const Responder&) = delete;

        void enqueue(const Respond& respond)
        {
            const std::lock_guard lock(this->mutex);
            this->pendingResponds.push_back(respond);
        }

    private:
        void run()
        {
            for (int answerCount = 0; !this->isStopping;) {
                std::vector<Respond> batch;
                {
                    const std::lock_guard lock(this->mutex);
                    batch.swap(this->pendingResponds);
                }
                for (const auto& respond : batch) {
                    const int spins = ++answerCount % 200 * 10;
                    for (std::atomic<int> count = 0; count < spins; ++count) { }
                    respond({ 200, {}, "done" });
                }
            }
        }

        std::mutex mutex;
        std::vector<Respond> pendingResponds;
        std::atomic<bool> isStopping = false;
        std::thread thread;
    };

    // A server that echoes request bodies. Requests to /thread are answered by the Responder, those to /wait by the
    // test.
    class CallerServerTest : public ::testing::Test {
    protected:
        CallerServerTest()
            : work(boost::asio::make_work_guard(context))
            , server(context, { "127.0.0.1", 0 }, limits(), hooks())
            , thread([this] { this->context.run(); })
            , secondThread([this] { this->context.run(); })
        {
        }

        ~CallerServerTest() override
        {
            this->context.stop();
            this->thread.join();
            this->secondThread.join();
        }

        static CallerLimits limits()
        {
            CallerLimits value;
            value.maxHeaderBytes = 1024;
            value.receiveTimeout = std::chrono::milliseconds(300);
            return value;
        }

        CallerHooks hooks()
        {
            return {
                [](std::string_view) { return testBodyLimit; },
                [this](HttpRequest request, Respond respond) { return this->handle(std::move(request), respond); },
                [](int status, std::string_view problem, std::string_view) {
                    return HttpResponse { status, {}, std::string(problem) };
                },
            };
        }

        std::function<void()> handle(HttpRequest request, const Respond& respond)
        {
            const std::lock_guard lock(this->mutex);
            ++this->handledCount;
            if (request.target == "/thread")
                this->responder.enqueue(respond);
            else if (request.target == "/wait")
                this->pendingResponds.push_back(respond);
            else
                respond({ 200, {}, request.body });
            this->changed.notify_all();
            return [this] {
                const std::lock_guard cancelLock(this->mutex);
                ++this->cancelledCount;
                this->changed.notify_all();
            };
        }

        template <typename Condition> void waitUntil(Condition condition)
        {
            std::unique_lock lock(this->mutex);
            ASSERT_TRUE(this->changed.wait_for(lock, std::chrono::seconds(20), condition));
        }

        std::string exchange(std::string_view bytes)
        {
            RawConnection connection(this->server.port());
            connection.send(bytes);
            return connection.receiveAll();
        }

        boost::asio::io_context context;
        boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
        std::mutex mutex;
        std::condition_variable changed;
        int handledCount = 0;
        int cancelledCount = 0;
        std::vector<Respond> pendingResponds;
        Responder responder;
        CallerServer server;
        // Two threads as in the daemon, because races between them do not occur with a single one.
        std::thread thread;
        std::thread secondThread;
    };

    TEST_F(CallerServerTest, answersPipelinedRequestsSeparately)
    {
        // Guards against reading past Content-Length into the next request.
        const auto text
            = this->exchange("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\none"
                             "POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nConnection: close\r\n\r\ntwo");
        EXPECT_TRUE(text.find("one") != std::string::npos && text.ends_with("two")) << text;
        EXPECT_EQ(this->handledCount, 2);
    }

    TEST_F(CallerServerTest, ambiguousLengthsAreRefusedWith400)
    {
        // Guards against request smuggling.
        const std::vector<std::string> headers = {
            "Content-Length: 3\r\nContent-Length: 4\r\n",
            "Content-Length: -1\r\n",
            "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
            "Content-Length: 3, 4\r\n",
            "Content-Length : 3\r\n",
            "Content-Length: 99999999999999999999999\r\n",
        };
        for (const auto& header : headers) {
            const auto text = this->exchange(
                "POST /a HTTP/1.1\r\nHost: x\r\n" + header + "\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n");
            EXPECT_TRUE(text.starts_with("HTTP/1.1 400")) << header << text;
        }
        EXPECT_EQ(this->handledCount, 0);
    }

    TEST_F(CallerServerTest, chunkedBodyIsReadCompletely)
    {
        const auto text
            = this->exchange("POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nTransfer-Encoding: chunked"
                             "\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
        EXPECT_TRUE(text.ends_with("abc")) << text;
    }

    TEST_F(CallerServerTest, headerAndBodySizesAreLimited)
    {
        // Guards against one caller exhausting the memory of an entry VM.
        const auto header = this->exchange("GET /a HTTP/1.1\r\nX: " + std::string(4000, 'x') + "\r\n\r\n");
        EXPECT_TRUE(header.starts_with("HTTP/1.1 431")) << header;
        const auto body = this->exchange("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n");
        EXPECT_TRUE(body.starts_with("HTTP/1.1 413")) << body;
        const auto chunked = this->exchange("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n"
            + std::string(255, 'x') + "\r\n0\r\n\r\n");
        EXPECT_TRUE(chunked.starts_with("HTTP/1.1 413")) << chunked;
        EXPECT_EQ(this->handledCount, 0);
    }

    TEST_F(CallerServerTest, shortBodyIsRefused)
    {
        RawConnection connection(this->server.port());
        connection.send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc");
        const auto text = connection.receiveAll();
        EXPECT_TRUE(text.starts_with("HTTP/1.1 408")) << text;
        EXPECT_EQ(this->handledCount, 0);
    }

    TEST_F(CallerServerTest, disconnectWhileWaitingCancelsTheRequest)
    {
        // Guards against keeping a place in the queue for a caller that has disconnected.
        RawConnection connection(this->server.port());
        connection.send("GET /wait HTTP/1.1\r\nHost: x\r\n\r\n");
        this->waitUntil([this] { return this->pendingResponds.size() == 1; });
        connection.close();
        this->waitUntil([this] { return this->cancelledCount == 1; });
    }

    TEST_F(CallerServerTest, concurrentRequestsAreAllAnswered)
    {
        // Guards against a session that misses the wake-up for its answer, and against a read that blocks a traffic
        // thread: the reactor can report a socket as readable for bytes that have been read already.
        constexpr int callerCount = 8;
        constexpr int requestCount = 1500;
        std::atomic<int> answered = 0;
        std::vector<std::thread> threads;
        threads.reserve(callerCount);
        for (int i = 0; i < callerCount; ++i) {
            threads.emplace_back([this, &answered] {
                for (int request = 0; request < requestCount; ++request) {
                    const auto text = this->exchange("GET /thread HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
                    answered += text.ends_with("done") ? 1 : 0;
                }
            });
        }
        for (auto& each : threads)
            each.join();
        EXPECT_EQ(answered, callerCount * requestCount);
    }

    TEST_F(CallerServerTest, shutdownAnswersTheRequestInFlight)
    {
        RawConnection connection(this->server.port());
        connection.send("GET /wait HTTP/1.1\r\nHost: x\r\n\r\n");
        this->waitUntil([this] { return this->pendingResponds.size() == 1; });
        this->server.stopAccepting();
        EXPECT_EQ(this->server.openRequestCount(), 1U);
        this->pendingResponds.front()({ 200, {}, "late" });
        const auto text = connection.receiveAll();
        EXPECT_TRUE(text.ends_with("late")) << text;
        EXPECT_NE(text.find("Connection: close"), std::string::npos) << text;
    }

    TEST_F(CallerServerTest, secondAnswerToOneRequestIsDropped)
    {
        // Guards against an answer that reaches the next request on the same connection.
        RawConnection connection(this->server.port());
        connection.send("GET /wait HTTP/1.1\r\nHost: x\r\n\r\n");
        this->waitUntil([this] { return this->pendingResponds.size() == 1; });
        this->pendingResponds[0]({ 200, {}, "first" });
        connection.receiveUntil("first");
        connection.send("GET /wait HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        this->waitUntil([this] { return this->pendingResponds.size() == 2; });
        this->pendingResponds[0]({ 200, {}, "stray" });
        this->pendingResponds[1]({ 200, {}, "second" });
        const auto text = connection.receiveAll();
        EXPECT_TRUE(text.ends_with("second")) << text;
        EXPECT_EQ(text.find("stray"), std::string::npos) << text;
    }

} // namespace
// Guards against requests that are read in pieces of 512 bytes: each piece waits for a turn of the event loop, so a
// busy relay received a batch of orders late.
TEST(CallerServerTurns, largeRequestIsReadInFewTurnsOfTheEventLoop)
{
    constexpr std::size_t bodyBytes = 200'000;
    boost::asio::io_context context;
    std::size_t received = 0;
    CallerHooks hooks;
    hooks.bodyLimitBytes = [](std::string_view) { return bodyBytes; };
    hooks.handle = [&received](const HttpRequest& request, const Respond&) {
        received = request.body.size();
        return std::function<void()>();
    };
    hooks.reject = [](int status, std::string_view, std::string_view) { return HttpResponse { status, {}, "" }; };
    const auto server
        = std::make_unique<CallerServer>(context, Endpoint { "127.0.0.1", 0 }, CallerLimits {}, std::move(hooks));
    boost::asio::io_context callerContext;
    boost::asio::ip::tcp::socket socket(callerContext);
    socket.connect({ boost::asio::ip::make_address("127.0.0.1"), server->port() });
    std::thread caller([&socket, bodyBytes = bodyBytes] {
        const auto request
            = fmt::format("POST /x HTTP/1.1\r\nContent-Length: {}\r\n\r\n{}", bodyBytes, std::string(bodyBytes, 'x'));
        boost::asio::write(socket, boost::asio::buffer(request));
    });
    int turns = 0;
    // The pause stands for the other work of a busy event loop, during which the caller sends on.
    while (received == 0 && context.run_one() > 0) {
        ++turns;
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    caller.join();
    EXPECT_EQ(received, bodyBytes);
    EXPECT_LT(turns, 50);
}

} // namespace waxwinglug::io
