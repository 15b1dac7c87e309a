// Tests of messages between entry VMs on loopback. They wait for states; testTimeout only limits a failing test.
#include "io/process/peer-socket.h"
#include "support/raw-connection.h"

#include <waxwinglug/error.h>
#include <waxwinglug/message.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/beast/websocket.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <optional>

namespace waxwinglug::io {
namespace {

    namespace asio = boost::asio;
    namespace websocket = boost::beast::websocket;
    using test::RawServer;
    using test::tcp;

    constexpr std::chrono::seconds testTimeout { 20 };

    // A peer socket with its own thread, which records the received messages.
    class Node {
    public:
        explicit Node(std::uint16_t port = 0)
            : work(asio::make_work_guard(context))
            , socket(std::make_unique<PeerSocket>(
                  context, Endpoint { "127.0.0.1", port }, [this](std::string bytes) { this->add(std::move(bytes)); }))
            , thread([this] { this->context.run(); })
        {
        }

        ~Node() { this->stop(); }
        Node(const Node&) = delete;
        Node& operator=(const Node&) = delete;

        // Closes the socket and waits until all of its coroutines and timers have ended.
        void stop()
        {
            if (!this->thread.joinable())
                return;
            this->socket->close();
            this->work.reset();
            this->thread.join();
        }

        Endpoint address() const { return { "127.0.0.1", this->socket->port() }; }

        // Waits until the predicate holds for the received messages. Returns false after the limit.
        bool waitFor(const std::function<bool(const std::vector<std::string>&)>& predicate,
            std::chrono::milliseconds limit = testTimeout)
        {
            std::unique_lock lock(this->mutex);
            return this->changed.wait_for(lock, limit, [&] { return predicate(this->messages); });
        }

        bool hasReceived(const std::string& text, std::chrono::milliseconds limit = testTimeout)
        {
            return this->waitFor(
                [&](const auto& all) { return std::find(all.begin(), all.end(), text) != all.end(); }, limit);
        }

        // Sends repeatedly until the receiver has the text, because messages may be lost when a connection breaks.
        bool sendUntilReceived(Node& receiver, const std::string& text)
        {
            const auto end = std::chrono::steady_clock::now() + testTimeout;
            while (std::chrono::steady_clock::now() < end) {
                this->socket->send(receiver.address(), text);
                if (receiver.hasReceived(text, std::chrono::milliseconds(20)))
                    return true;
            }
            return false;
        }

        asio::io_context context;
        asio::executor_work_guard<asio::io_context::executor_type> work;
        std::unique_ptr<PeerSocket> socket;

    private:
        void add(std::string bytes)
        {
            const std::lock_guard lock(this->mutex);
            this->messages.push_back(std::move(bytes));
            this->changed.notify_all();
        }

        std::mutex mutex;
        std::condition_variable changed;
        std::vector<std::string> messages;
        std::thread thread;
    };

    bool waitUntil(const std::function<bool()>& predicate)
    {
        const auto end = std::chrono::steady_clock::now() + testTimeout;
        while (!predicate()) {
            if (std::chrono::steady_clock::now() > end)
                return false;
            std::this_thread::yield();
        }
        return true;
    }

    TEST(PeerSocketTest, messagesArriveCompleteAndInOrder)
    {
        // Guards against messages that are truncated, joined, reordered or sent as text.
        Node sender;
        Node receiver;
        const std::vector<std::string> sent { "first", std::string("\0\xff\n", 3), "",
            std::string(MessageCodec::maxMessageBytes, 'x'), "last" };
        for (const auto& message : sent)
            sender.socket->send(receiver.address(), message);
        EXPECT_TRUE(receiver.waitFor([&](const auto& all) { return all == sent; }));
        receiver.socket->send(sender.address(), "back");
        EXPECT_TRUE(sender.hasReceived("back"));
        EXPECT_EQ(sender.socket->droppedMessageCount(), 0U);
    }

    TEST(PeerSocketTest, messagesToAnUnreachablePeerAreDropped)
    {
        // Guards against a growing queue, and a delay for other peers, while one peer is unreachable.
        Node sender;
        Node receiver;
        Node stoppedNode;
        const auto absent = stoppedNode.address();
        stoppedNode.stop();
        sender.socket->send(absent, "lost");
        EXPECT_TRUE(waitUntil([&] { return sender.socket->droppedMessageCount() == 1; }));
        sender.socket->send({ "not an address", 1 }, "lost");
        EXPECT_TRUE(waitUntil([&] { return sender.socket->droppedMessageCount() == 2; }));
        sender.socket->send(receiver.address(), "kept");
        EXPECT_TRUE(receiver.hasReceived("kept"));
    }

    TEST(PeerSocketTest, queueToAPeerIsLimited)
    {
        // Guards against unbounded memory use for a peer that accepts connections and never answers the handshake.
        RawServer unresponsive([](tcp::socket& socket, int) { RawServer::waitForClose(socket); });
        Node sender;
        for (int number = 0; number < 1000; ++number)
            sender.socket->send({ "127.0.0.1", unresponsive.port() }, "message");
        EXPECT_TRUE(waitUntil([&] { return sender.socket->droppedMessageCount() == 1000; }));
    }

    TEST(PeerSocketTest, restartedPeerIsReconnected)
    {
        // Guards against keeping the connection to the peer's earlier process, and against blocking while closing it.
        Node sender;
        auto first = std::make_unique<Node>();
        const auto port = first->address().port;
        EXPECT_TRUE(sender.sendUntilReceived(*first, "before"));
        EXPECT_TRUE(first->sendUntilReceived(sender, "from the first"));
        first.reset();
        Node second(port);
        EXPECT_TRUE(sender.sendUntilReceived(second, "after"));
        EXPECT_TRUE(second.sendUntilReceived(sender, "from the second"));
    }

    TEST(PeerSocketTest, oversizedMessageIsNotSent)
    {
        // Guards against sending a message that the receiver rejects by closing the connection.
        Node sender;
        Node receiver;
        sender.socket->send(receiver.address(), std::string(MessageCodec::maxMessageBytes + 1, 'x'));
        EXPECT_EQ(sender.socket->droppedMessageCount(), 1U);
        sender.socket->send(receiver.address(), "small");
        EXPECT_TRUE(receiver.waitFor([](const auto& all) { return all == std::vector<std::string> { "small" }; }));
    }

    TEST(PeerSocketTest, oversizedOrTextMessageClosesItsConnection)
    {
        // Guards against memory use by unauthenticated connections. Other connections must not be affected.
        Node receiver;
        Node sender;
        for (const bool binary : { true, false }) {
            asio::io_context context;
            websocket::stream<tcp::socket> connection(context);
            connection.next_layer().connect({ asio::ip::address_v4::loopback(), receiver.address().port });
            connection.handshake("127.0.0.1", "/peer");
            connection.binary(binary);
            boost::system::error_code error;
            connection.write(asio::buffer(std::string(binary ? MessageCodec::maxMessageBytes + 1 : 4, 'x')), error);
            boost::beast::flat_buffer buffer;
            error = {};
            connection.read(buffer, error);
            EXPECT_TRUE(error);
        }
        sender.socket->send(receiver.address(), "kept");
        EXPECT_TRUE(receiver.waitFor([](const auto& all) { return all == std::vector<std::string> { "kept" }; }));
    }

    TEST(PeerSocketTest, blockedWriteClosesTheConnection)
    {
        // Guards against keeping a connection to a paused peer forever. The peer completes the handshake and reads
        // nothing, so a second connection shows that the first was closed.
        std::atomic<int> connections = 0;
        std::atomic<bool> done = false;
        RawServer paused([&](tcp::socket& socket, int) {
            websocket::stream<tcp::socket&> stream(socket);
            boost::system::error_code error;
            stream.accept(error);
            ++connections;
            while (!done)
                std::this_thread::yield();
        });
        Node sender;
        const std::string large(MessageCodec::maxMessageBytes, 'x');
        EXPECT_TRUE(waitUntil([&] {
            sender.socket->send({ "127.0.0.1", paused.port() }, large);
            return connections == 2;
        }));
        done = true;
    }

    TEST(PeerSocketTest, closeDoesNotWaitForQueuedMessages)
    {
        // Guards against a shutdown that waits for a peer. One peer does not answer, one is unreachable, one receives.
        RawServer unresponsive([](tcp::socket& socket, int) { RawServer::waitForClose(socket); });
        Node receiver;
        Node sender;
        const auto begin = std::chrono::steady_clock::now();
        for (int number = 0; number < 50; ++number) {
            sender.socket->send({ "127.0.0.1", unresponsive.port() }, "queued");
            sender.socket->send({ "127.0.0.1", 1 }, "queued");
            sender.socket->send(receiver.address(), "queued");
        }
        sender.stop();
        EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::seconds(10));
        sender.socket->send(receiver.address(), "late");
        EXPECT_FALSE(receiver.hasReceived("late", std::chrono::milliseconds(0)));
    }

    TEST(PeerSocketTest, addressInUseIsReported)
    {
        // Guards against an entry VM that runs although it cannot receive messages from its peers.
        Node node;
        asio::io_context context;
        EXPECT_THROW(PeerSocket(context, node.address(), [](std::string) {}), Error);
    }

} // namespace
} // namespace waxwinglug::io
