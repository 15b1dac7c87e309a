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

    // Calls a hook and waits for what its handler gets.
    template <typename T, typename Start> T wait(Start start)
    {
        const auto promise = std::make_shared<std::promise<T>>();
        auto answer = promise->get_future();
        start([promise](T value) { promise->set_value(std::move(value)); });
        return answer.get();
    }

    CommitResult commit(const Platform& platform, const std::vector<RowWrite>& writes)
    {
        return wait<CommitResult>([&](auto handler) { platform.table.commit(writes, handler); });
    }

    using Rows = std::optional<std::vector<Row>>;

    Rows read(const Platform& platform, const std::vector<std::string>& keys)
    {
        return wait<Rows>([&](auto handler) { platform.table.read(keys, handler); });
    }

    void runHere(const std::function<void()>& handler) { handler(); }

    TEST(PlatformClient, hooksFollowTheProtocol)
    {
        const Standin standin;
        PlatformClient client(standin.address, runHere);
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
        const auto scanned = wait<Rows>([&](auto handler) { platform.table.scan("a/", handler); });
        ASSERT_EQ(scanned.value().size(), 1U);
        EXPECT_EQ(scanned->at(0).value, "t\"wo");
        EXPECT_TRUE(wait<bool>([&](auto handler) { platform.objects.put("config/1", "[a]\n", handler); }));
        using Content = std::optional<std::string>;
        EXPECT_EQ(wait<Content>([&](auto handler) { platform.objects.get("config/1", handler); }), "[a]\n");
        EXPECT_EQ(wait<Content>([&](auto handler) { platform.objects.get("config/2", handler); }), std::nullopt);
        standin.postControl(
            "/control/vms", Json::parse(R"({"vms":[{"name":"v1","state":"leaving","incarnation":3}]})"));
        EXPECT_TRUE(wait<bool>([&](auto handler) { platform.control.reboot("v1", 3, handler); }));
        EXPECT_TRUE(wait<bool>([&](auto handler) { platform.control.reboot("v1", 3, handler); }));
        EXPECT_TRUE(wait<bool>([&](auto handler) { platform.control.checkpoint("v1", handler); }));
        using Vms = std::optional<std::vector<VmStatus>>;
        const auto vms = wait<Vms>([&](auto handler) { platform.vms.list(handler); });
        ASSERT_EQ(vms.value().size(), 1U);
        EXPECT_EQ(vms->at(0).incarnation, 4U);
        EXPECT_EQ(vms->at(0).state, VmState::Live);
    }

    // Guards against a lost answer that is reported as a definite result.
    TEST(PlatformClient, faultsAreToldApart)
    {
        Standin standin;
        PlatformClient client(standin.address, runHere);
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

    // Guards against calls that block the queue behind a platform that has gone silent.
    TEST(PlatformClient, aCallTakesAtMostTwoSeconds)
    {
        const Standin standin;
        standin.postControl("/control/faults", { { "slowMs", 10'000 } });
        PlatformClient client(standin.address, runHere);
        const auto platform = client.platform();
        const auto start = std::chrono::steady_clock::now();
        std::atomic<int> answers = 0;
        for (int i = 0; i < 3; ++i)
            platform.table.read({ "a" }, [&answers](const Rows& rows) { answers += rows ? 0 : 1; });
        EXPECT_EQ(commit(platform, { { "a", "1", 0 } }).status, CommitStatus::Unavailable);
        EXPECT_EQ(answers, 3);
        EXPECT_LT(std::chrono::steady_clock::now() - start, 3s);
    }

    // Guards against a commit that the HTTP library sends twice: the second copy conflicts with the first, and the
    // caller would be told that nothing was applied.
    TEST(PlatformClient, aCommitWithoutAnswerIsSentOnce)
    {
        boost::asio::io_context context;
        tcp::acceptor acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
        std::atomic<int> requests = 0;
        // Answers the first request and closes the connection after each later one.
        std::thread server([&] {
            for (boost::system::error_code error; !error;) {
                auto socket = acceptor.accept(error);
                boost::asio::streambuf buffer;
                for (boost::system::error_code failed; !error && !failed;) {
                    const auto length = boost::asio::read_until(socket, buffer, "}", failed);
                    if (failed || ++requests > 1)
                        break;
                    buffer.consume(length);
                    const std::string_view answer = "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"rows\":[]}";
                    boost::asio::write(socket, boost::asio::buffer(answer), failed);
                }
            }
        });
        {
            PlatformClient client({ "127.0.0.1", acceptor.local_endpoint().port() }, runHere);
            const auto platform = client.platform();
            EXPECT_TRUE(read(platform, {}).has_value());
            EXPECT_EQ(commit(platform, {}).status, CommitStatus::Unknown);
            EXPECT_EQ(commit(platform, {}).status, CommitStatus::Unknown);
        }
        ::shutdown(acceptor.native_handle(), SHUT_RDWR);
        server.join();
        EXPECT_EQ(requests, 3);
    }

} // namespace
} // namespace waxwinglug::io
