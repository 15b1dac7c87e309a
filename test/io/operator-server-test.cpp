// Tests of the operators' HTTP server with raw requests over loopback.
#include "io/process/operator-server.h"

#include <waxwinglug/error.h>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <thread>

namespace waxwinglug {
namespace {

    // Returns a port that the system has chosen, so that concurrent test runs in several build directories do not use
    // the same port.
    std::uint16_t freePort()
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        EXPECT_EQ(bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
        EXPECT_EQ(getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length), 0);
        close(socket);
        return ntohs(address.sin_port);
    }

    const std::uint16_t port = freePort();

    // Sends the bytes and returns everything received until the server closes the connection or sends nothing for 300
    // ms.
    std::string exchange(const std::string& request, const std::string& delayedPart = "")
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        timeval timeout { 0, 300'000 };
        setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
        EXPECT_EQ(connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
        EXPECT_EQ(send(socket, request.data(), request.size(), MSG_NOSIGNAL), static_cast<ssize_t>(request.size()));
        // The pause makes the second part reach the server in a separate read.
        if (!delayedPart.empty()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            send(socket, delayedPart.data(), delayedPart.size(), MSG_NOSIGNAL);
        }
        std::string answer;
        char buffer[4096];
        for (ssize_t got = 0; (got = recv(socket, buffer, sizeof buffer, 0)) > 0;)
            answer.append(buffer, static_cast<std::size_t>(got));
        close(socket);
        return answer;
    }

    int countAnswers(const std::string& text)
    {
        int count = 0;
        for (auto at = text.find("HTTP/1."); at != std::string::npos; at = text.find("HTTP/1.", at + 1))
            ++count;
        return count;
    }

    class OperatorServerTest : public testing::Test {
    protected:
        std::atomic<bool> isHealthy { true };
        std::atomic<int> statusCalls { 0 };
        OperatorServer server { { "127.0.0.1", port },
            { [this] { return this->isHealthy.load(); }, [] { return std::string("waxwing_members 3\n"); },
                [this] {
                    ++this->statusCalls;
                    return std::string("{\"node\":\"e1\"}");
                } } };
    };

    TEST_F(OperatorServerTest, routesReturnTheirContent)
    {
        EXPECT_TRUE(exchange("GET /health HTTP/1.1\r\nHost: x\r\n\r\n").starts_with("HTTP/1.1 200"));
        this->isHealthy = false;
        EXPECT_TRUE(exchange("GET /health HTTP/1.1\r\nHost: x\r\n\r\n").starts_with("HTTP/1.1 503"));
        EXPECT_NE(exchange("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").find("waxwing_members 3"), std::string::npos);
        EXPECT_NE(exchange("GET /status HTTP/1.1\r\nHost: x\r\n\r\n").find("{\"node\":\"e1\"}"), std::string::npos);
        EXPECT_TRUE(exchange("GET /other HTTP/1.1\r\nHost: x\r\n\r\n").starts_with("HTTP/1.1 404"));
        EXPECT_TRUE(
            exchange("POST /status HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab").starts_with("HTTP/1.1 405"));
    }

    // Guards against request smuggling: the server must not answer the second request, which the ambiguous framing
    // hides.
    TEST_F(OperatorServerTest, ambiguousFramingIsRefused)
    {
        const std::string smuggledRequest = "GET /status HTTP/1.1\r\nHost: x\r\n\r\n";
        const std::string headers[] = { "Transfer-Encoding: chunked\r\n", "Content-Length: -1\r\n",
            "Content-Length: 0\r\nContent-Length: 33\r\n", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
            "Content-Length: 0x10\r\n", "Content-Length: 99999999999999999999\r\n" };
        for (const auto& header : headers) {
            const auto answer
                = exchange(fmt::format("POST /health HTTP/1.1\r\nHost: x\r\n{}\r\n{}", header, smuggledRequest));
            EXPECT_TRUE(answer.starts_with("HTTP/1.1 400")) << header << answer;
            EXPECT_EQ(countAnswers(answer), 1) << header << answer;
        }
        EXPECT_EQ(this->statusCalls, 0);
    }

    // Guards against reading bytes of the next request as part of the body.
    TEST_F(OperatorServerTest, bodyEndsAtContentLength)
    {
        const auto answer = exchange("POST /health HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
                                     "GET /status HTTP/1.1\r\nHost: x\r\n\r\n");
        EXPECT_EQ(countAnswers(answer), 2) << answer;
        EXPECT_EQ(this->statusCalls, 1);
    }

    // Guards against a crash of the server when the header arrives before the body.
    TEST_F(OperatorServerTest, bodyMayArriveAfterTheHeader)
    {
        const std::string head = "POST /health HTTP/1.1\r\nHost: x\r\nContent-Length: ";
        EXPECT_TRUE(exchange(head + "3\r\n\r\n", "abc").starts_with("HTTP/1.1 405"));
        EXPECT_TRUE(exchange(head + "-3\r\n\r\n", "abc").starts_with("HTTP/1.1 400"));
        EXPECT_TRUE(exchange(head + "99999999\r\n\r\n", "abc").starts_with("HTTP/1.1 400"));
        exchange(head + "3\r\n\r\n");
        EXPECT_TRUE(exchange("GET /health HTTP/1.1\r\nHost: x\r\n\r\n").starts_with("HTTP/1.1 200"));
    }

    TEST_F(OperatorServerTest, addressInUseIsReported)
    {
        try {
            OperatorServer second({ "127.0.0.1", port }, {});
            FAIL();
        } catch (const Error& error) {
            EXPECT_EQ(error.kind(), ErrorKind::Unavailable);
            EXPECT_NE(error.remedy().find("[listen] operators"), std::string::npos);
        }
    }

} // namespace
} // namespace waxwinglug
