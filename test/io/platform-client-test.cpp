// Tests of the platform client against the stand-in platform and against servers that fail.
#include "io/process/platform-client.h"

#include "support/standin-process.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <thread>

namespace waxwinglug::io {
namespace {

    using namespace std::chrono_literals;
    using boost::asio::ip::tcp;

    using Standin = test::StandinPlatformProcess;

    // Calls a hook and waits for the value that its handler receives.
    template <typename T, typename Start> T waitForResult(Start start)
    {
        const auto promise = std::make_shared<std::promise<T>>();
        auto answer = promise->get_future();
        start([promise](T value) { promise->set_value(std::move(value)); });
        return answer.get();
    }

    CommitResult commit(const Platform& platform, const std::vector<RowWrite>& writes)
    {
        return waitForResult<CommitResult>([&](auto handler) { platform.table.commit(writes, handler); });
    }

    using Rows = std::optional<std::vector<Row>>;

    Rows read(const Platform& platform, const std::vector<std::string>& keys)
    {
        return waitForResult<Rows>([&](auto handler) { platform.table.read(keys, handler); });
    }

    void runInline(const std::function<void()>& handler) { handler(); }

    TEST(PlatformClient, hooksFollowTheProtocol)
    {
        const Standin standin;
        PlatformClient client(standin.address, runInline);
        const auto platform = client.platform();
        EXPECT_EQ(commit(platform, { { "a/1", "one", 0 }, { "a/2", "t\"wo", 0 } }).status, CommitStatus::Committed);
        const auto rows = read(platform, { "a/1", "b" });
        ASSERT_TRUE(rows.has_value());
        EXPECT_EQ(rows->at(0).value, "one");
        EXPECT_EQ(rows->at(1).version, 0U);
        const auto conflict = commit(platform, { { "a/1", "other", 0 }, { "c", "x", 0 } });
        EXPECT_EQ(conflict.status, CommitStatus::Conflict);
        ASSERT_EQ(conflict.conflicts.size(), 1U);
        EXPECT_EQ(conflict.conflicts[0].value, "one");
        EXPECT_EQ(commit(platform, { { "a/1", std::nullopt, rows->at(0).version } }).status, CommitStatus::Committed);
        const auto scanned = waitForResult<Rows>([&](auto handler) { platform.table.scan("a/", handler); });
        ASSERT_EQ(scanned.value().size(), 1U);
        EXPECT_EQ(scanned->at(0).value, "t\"wo");
        EXPECT_TRUE(waitForResult<bool>([&](auto handler) { platform.objects.put("config/1", "[a]\n", handler); }));
        using Content = std::optional<std::string>;
        EXPECT_EQ(waitForResult<Content>([&](auto handler) { platform.objects.get("config/1", handler); }), "[a]\n");
        EXPECT_EQ(
            waitForResult<Content>([&](auto handler) { platform.objects.get("config/2", handler); }), std::nullopt);
        standin.postControl(
            "/control/vms", Json::parse(R"({"vms":[{"name":"v1","state":"leaving","incarnation":3}]})"));
        EXPECT_TRUE(waitForResult<bool>([&](auto handler) { platform.control.reboot("v1", 3, handler); }));
        EXPECT_TRUE(waitForResult<bool>([&](auto handler) { platform.control.reboot("v1", 3, handler); }));
        EXPECT_TRUE(waitForResult<bool>([&](auto handler) { platform.control.checkpoint("v1", handler); }));
        using Vms = std::optional<std::vector<VmStatus>>;
        const auto vms = waitForResult<Vms>([&](auto handler) { platform.vms.list(handler); });
        ASSERT_EQ(vms.value().size(), 1U);
        EXPECT_EQ(vms->at(0).incarnation, 4U);
        EXPECT_EQ(vms->at(0).state, VmState::Live);
    }

    // Guards against reporting a commit with a lost answer as committed, in conflict or unavailable.
    TEST(PlatformClient, lostAnswersAreNotReportedAsFailures)
    {
        Standin standin;
        PlatformClient client(standin.address, runInline);
        const auto platform = client.platform();
        standin.postControl("/control/faults", { { "loseCommitAnswers", true } });
        EXPECT_EQ(commit(platform, { { "a", "1", 0 } }).status, CommitStatus::Unknown);
        const auto rows = read(platform, { "a" });
        ASSERT_TRUE(rows.has_value());
        EXPECT_EQ(rows->at(0).value, "1");
        standin.postControl("/control/faults", { { "down", true } });
        EXPECT_EQ(commit(platform, { { "b", "1", 0 } }).status, CommitStatus::Unavailable);
        EXPECT_EQ(read(platform, { "a" }), std::nullopt);
        standin.postControl("/control/faults", Json::object());
        EXPECT_EQ(read(platform, { "b" }).value().at(0).version, 0U);
        EXPECT_EQ(standin.stop(), 0);
        EXPECT_EQ(commit(platform, { { "b", "1", 0 } }).status, CommitStatus::Unavailable);
    }

    // Guards against calls that block the queue when the platform does not answer.
    TEST(PlatformClient, callTakesAtMostTwoSeconds)
    {
        const Standin standin;
        standin.postControl("/control/faults", { { "slowMs", 10'000 } });
        PlatformClient client(standin.address, runInline);
        const auto platform = client.platform();
        const auto start = std::chrono::steady_clock::now();
        std::atomic<int> unansweredCount = 0;
        for (int i = 0; i < 3; ++i)
            platform.table.read({ "a" }, [&unansweredCount](const Rows& rows) { unansweredCount += rows ? 0 : 1; });
        EXPECT_EQ(commit(platform, { { "a", "1", 0 } }).status, CommitStatus::Unavailable);
        EXPECT_EQ(unansweredCount, 3);
        EXPECT_LT(std::chrono::steady_clock::now() - start, 3s);
    }

    // Guards against the HTTP library sending a commit twice. The second copy would conflict with the first, and the
    // commit would be reported as not applied.
    TEST(PlatformClient, commitWithoutAnswerIsSentOnce)
    {
        boost::asio::io_context context;
        tcp::acceptor acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
        std::atomic<int> requestCount = 0;
        // Answers the first request and closes the connection after each later one.
        std::thread server([&] {
            for (boost::system::error_code error; !error;) {
                auto socket = acceptor.accept(error);
                boost::asio::streambuf buffer;
                for (boost::system::error_code failed; !error && !failed;) {
                    const auto length = boost::asio::read_until(socket, buffer, "}", failed);
                    if (failed || ++requestCount > 1)
                        break;
                    buffer.consume(length);
                    const std::string_view answer = "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"rows\":[]}";
                    boost::asio::write(socket, boost::asio::buffer(answer), failed);
                }
            }
        });
        {
            PlatformClient client({ "127.0.0.1", acceptor.local_endpoint().port() }, runInline);
            const auto platform = client.platform();
            EXPECT_TRUE(read(platform, {}).has_value());
            EXPECT_EQ(commit(platform, {}).status, CommitStatus::Unknown);
            EXPECT_EQ(commit(platform, {}).status, CommitStatus::Unknown);
        }
        ::shutdown(acceptor.native_handle(), SHUT_RDWR);
        server.join();
        EXPECT_EQ(requestCount, 3);
    }

} // namespace
} // namespace waxwinglug::io
