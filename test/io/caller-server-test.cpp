// Tests of the HTTP server towards callers: framing, limits, pipelining, disconnects and shutdown.
#include "io/connection/caller-server.h"
#include "support/raw-connection.h"

#include <boost/asio/executor_work_guard.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <atomic>
#include <condition_variable>
#include <mutex>

namespace waxwinglug::io {
namespace {

    using test::RawConnection;

    constexpr std::uint64_t testBodyLimit = 100;

    // Answers from a thread of its own that is already running, after a delay that differs from answer to answer, so
    // that the answers meet every stage of a session.
    class Responder {
    public:
        Responder()
            : thread([this] { this->run(); })
        {
        }

        ~Responder()
        {
            this->stopping = true;
            this->thread.join();
        }
        Responder(const Responder&) = delete;
        Responder& operator=(const Responder&) = delete;

        void give(const Respond& respond)
        {
            const std::lock_guard lock(this->mutex);
            this->waiting.push_back(respond);
        }

    private:
        void run()
        {
            for (int answers = 0; !this->stopping;) {
                std::vector<Respond> taken;
                {
                    const std::lock_guard lock(this->mutex);
                    taken.swap(this->waiting);
                }
                for (const auto& respond : taken) {
                    const int spins = ++answers % 200 * 10;
                    for (std::atomic<int> count = 0; count < spins; ++count) { }
                    respond({ 200, {}, "done" });
                }
            }
        }

        std::mutex mutex;
        std::vector<Respond> waiting;
        std::atomic<bool> stopping = false;
        std::thread thread;
    };

    // A server that echoes bodies, except for /wait, which it answers when told.
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
            ++this->handled;
            if (request.target == "/thread")
                this->responder.give(respond);
            else if (request.target == "/wait")
                this->waiting.push_back(respond);
            else
                respond({ 200, {}, request.body });
            this->changed.notify_all();
            return [this] {
                const std::lock_guard cancelLock(this->mutex);
                ++this->cancelled;
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
        int handled = 0;
        int cancelled = 0;
        std::vector<Respond> waiting;
        Responder responder;
        CallerServer server;
        // Two threads, as in the daemon: what is lost between them is not seen with one.
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
        EXPECT_EQ(this->handled, 2);
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
        EXPECT_EQ(this->handled, 0);
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
        EXPECT_EQ(this->handled, 0);
    }

    TEST_F(CallerServerTest, shortBodyIsRefused)
    {
        RawConnection connection(this->server.port());
        connection.send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc");
        const auto text = connection.receiveAll();
        EXPECT_TRUE(text.starts_with("HTTP/1.1 408")) << text;
        EXPECT_EQ(this->handled, 0);
    }

    TEST_F(CallerServerTest, disconnectWhileWaitingCancelsTheRequest)
    {
        // Guards against a queue place held for a caller that has gone.
        RawConnection connection(this->server.port());
        connection.send("GET /wait HTTP/1.1\r\nHost: x\r\n\r\n");
        this->waitUntil([this] { return this->waiting.size() == 1; });
        connection.close();
        this->waitUntil([this] { return this->cancelled == 1; });
    }

    TEST_F(CallerServerTest, concurrentRequestsAreAllAnswered)
    {
        // Guards against a session that never sees its answer, and against a read that blocks a traffic thread: the
        // reactor can report a socket as readable for bytes that have been read already.
        constexpr int callers = 8;
        constexpr int requests = 1500;
        std::atomic<int> answered = 0;
        std::vector<std::thread> threads;
        threads.reserve(callers);
        for (int i = 0; i < callers; ++i) {
            threads.emplace_back([this, &answered] {
                for (int request = 0; request < requests; ++request) {
                    const auto text = this->exchange("GET /thread HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
                    answered += text.ends_with("done") ? 1 : 0;
                }
            });
        }
        for (auto& each : threads)
            each.join();
        EXPECT_EQ(answered, callers * requests);
    }

    TEST_F(CallerServerTest, shutdownAnswersTheRequestInFlight)
    {
        RawConnection connection(this->server.port());
        connection.send("GET /wait HTTP/1.1\r\nHost: x\r\n\r\n");
        this->waitUntil([this] { return this->waiting.size() == 1; });
        this->server.stopAccepting();
        EXPECT_EQ(this->server.openRequestCount(), 1U);
        this->waiting.front()({ 200, {}, "late" });
        const auto text = connection.receiveAll();
        EXPECT_TRUE(text.ends_with("late")) << text;
        EXPECT_NE(text.find("Connection: close"), std::string::npos) << text;
    }

    TEST_F(CallerServerTest, secondAnswerToOneRequestIsDropped)
    {
        // Guards against an answer that reaches the next request on the same connection.
        RawConnection connection(this->server.port());
        connection.send("GET /wait HTTP/1.1\r\nHost: x\r\n\r\n");
        this->waitUntil([this] { return this->waiting.size() == 1; });
        this->waiting[0]({ 200, {}, "first" });
        connection.receiveUntil("first");
        connection.send("GET /wait HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        this->waitUntil([this] { return this->waiting.size() == 2; });
        this->waiting[0]({ 200, {}, "stray" });
        this->waiting[1]({ 200, {}, "second" });
        const auto text = connection.receiveAll();
        EXPECT_TRUE(text.ends_with("second")) << text;
        EXPECT_EQ(text.find("stray"), std::string::npos) << text;
    }

} // namespace
} // namespace waxwinglug::io
