// Beast WebSocket connections. One strand serializes all access to them.
#include "io/process/peer-socket.h"

#include "io/connection/listen.h"

#include <waxwinglug/error.h>
#include <waxwinglug/message.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/websocket/rfc6455.hpp>
#include <boost/beast/websocket/stream.hpp>
#include <fmt/format.h>

#include <netinet/tcp.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <set>

namespace waxwinglug::io {
namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace websocket = beast::websocket;
    using asio::ip::tcp;
    using boost::system::error_code;
    constexpr auto useTupleAwaitable = asio::experimental::as_tuple(asio::use_awaitable);

    // Covers the TCP and WebSocket handshakes. The slowest path between data centres takes a few milliseconds.
    constexpr std::chrono::seconds connectTimeout { 1 };
    constexpr std::chrono::seconds writeTimeout { 3 };
    constexpr std::chrono::seconds idleTimeout { 60 };
    constexpr std::chrono::milliseconds initialBackoff { 100 };
    constexpr std::chrono::milliseconds maxBackoff { 3200 };
    // Per peer. A heartbeat is sent every second, so a full queue means that the peer does not read.
    constexpr std::size_t maxQueuedMessages = 64;
    constexpr std::size_t maxQueuedBytes = 4 * MessageCodec::maxMessageBytes;
    // For all peers together: bounds the messages that wait for the strand when its thread is slow.
    constexpr std::size_t maxPostedBytes = 16 * MessageCodec::maxMessageBytes;
    // Bounds the memory of unauthenticated connections. A fleet has far fewer entry VMs than this.
    constexpr std::size_t maxIncomingConnections = 512;

    // One WebSocket connection in either direction.
    struct Connection {
        explicit Connection(tcp::socket socket)
            : stream(std::move(socket))
            , timeoutTimer(stream.get_executor())
        {
            this->stream.binary(true);
            this->stream.read_message_max(MessageCodec::maxMessageBytes);
        }

        // Closes the socket after the given time, which cancels the pending operation.
        void startTimeout(const std::shared_ptr<Connection>& self, std::chrono::milliseconds after)
        {
            this->timeoutTimer.expires_after(after);
            this->timeoutTimer.async_wait([weak = std::weak_ptr(self)](const error_code& error) {
                const auto connection = weak.lock();
                if (!error && connection && connection->timeoutTimer.expiry() <= asio::steady_timer::clock_type::now())
                    connection->close();
            });
        }

        void stopTimeout() { this->timeoutTimer.expires_at(asio::steady_timer::time_point::max()); }

        void setSocketOptions()
        {
            error_code ignored;
            auto& socket = this->stream.next_layer();
            socket.set_option(tcp::no_delay(true), ignored);
            // Detects a peer that acknowledges nothing while the writes still fit into the send buffer.
            const int milliseconds = static_cast<int>(std::chrono::milliseconds(writeTimeout).count());
            ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
        }

        void close()
        {
            this->isClosed = true;
            error_code ignored;
            this->stream.next_layer().close(ignored);
            this->timeoutTimer.cancel();
        }

        websocket::stream<tcp::socket, false> stream;
        asio::steady_timer timeoutTimer;
        beast::flat_buffer buffer;
        bool isClosed = false;
    };

    using ConnectionPtr = std::shared_ptr<Connection>;

    // Message queue and outgoing connection to one peer. Removed after idleTimeout without a message to send.
    struct PeerLink {
        PeerLink(const asio::any_io_executor& executor, Endpoint endpoint)
            : peer(std::move(endpoint))
            , wakeTimer(executor)
        {
        }

        void notify()
        {
            if (this->isWaitingForMessage)
                this->wakeTimer.cancel();
        }

        const Endpoint peer;
        ConnectionPtr connection;
        std::deque<std::string> queue;
        std::size_t queuedBytes = 0;
        asio::steady_timer wakeTimer;
        bool isWaitingForMessage = false;
        bool isUnreachable = false; // connecting failed and the backoff has not elapsed
        int failureCount = 0; // consecutive failures since the last written message
    };

    using PeerLinkPtr = std::shared_ptr<PeerLink>;

    std::chrono::milliseconds backoffAfter(int failureCount)
    {
        constexpr int maxDoublings = 5;
        return std::min(maxBackoff, initialBackoff * (1 << std::clamp(failureCount - 1, 0, maxDoublings)));
    }

} // namespace

class PeerSocket::Impl : public std::enable_shared_from_this<PeerSocket::Impl> {
public:
    Impl(asio::io_context& context, OnMessage handler)
        : strand(asio::make_strand(context))
        , acceptor(strand)
        , onMessage(std::move(handler))
    {
    }

    void listen(const Endpoint& endpoint)
    {
        this->port = listenOn(this->acceptor, endpoint, " for peers", "set a free address under [listen] peers");
    }

    asio::awaitable<void> acceptLoop()
    {
        while (!this->isClosing) {
            auto [error, socket] = co_await this->acceptor.async_accept(useTupleAwaitable);
            if (this->isClosing)
                co_return;
            if (error) {
                // The process may be out of descriptors, for example. Without a pause the loop would busy-wait.
                asio::steady_timer pause(this->strand, initialBackoff);
                co_await pause.async_wait(useTupleAwaitable);
                continue;
            }
            if (this->incomingConnections.size() >= maxIncomingConnections)
                continue;
            const auto connection = std::make_shared<Connection>(std::move(socket));
            this->incomingConnections.insert(connection);
            asio::co_spawn(this->strand, this->receive(this->shared_from_this(), connection), asio::detached);
        }
    }

    asio::awaitable<void> receive(std::shared_ptr<Impl> /*keepsAlive*/, ConnectionPtr connection)
    {
        connection->setSocketOptions();
        connection->startTimeout(connection, connectTimeout);
        auto [acceptError] = co_await connection->stream.async_accept(useTupleAwaitable);
        while (!acceptError && !connection->isClosed) {
            connection->startTimeout(connection, idleTimeout);
            auto [error, bytes] = co_await connection->stream.async_read(connection->buffer, useTupleAwaitable);
            if (error || !connection->stream.got_binary() || this->isClosing)
                break;
            this->onMessage(beast::buffers_to_string(connection->buffer.cdata()));
            connection->buffer.clear();
        }
        connection->close();
        this->incomingConnections.erase(connection);
    }

    void send(const Endpoint& peer, std::string bytes)
    {
        auto link = this->links[peer];
        if (!link) {
            link = std::make_shared<PeerLink>(this->strand, peer);
            this->links[peer] = link;
            // The coroutine starts within this call. It erases the link from the map if close() has been called.
            asio::co_spawn(this->strand, this->runLink(this->shared_from_this(), link), asio::detached);
        }
        if (link->isUnreachable || link->queue.size() >= maxQueuedMessages
            || link->queuedBytes + bytes.size() > maxQueuedBytes) {
            ++this->droppedMessageCount;
            return;
        }
        link->queuedBytes += bytes.size();
        link->queue.push_back(std::move(bytes));
        link->notify();
    }

    void closeAll()
    {
        error_code ignored;
        this->acceptor.close(ignored);
        for (const auto& connection : this->incomingConnections)
            connection->close();
        for (const auto& [peer, link] : this->links) {
            if (link->connection)
                link->connection->close();
            link->wakeTimer.cancel();
        }
    }

    asio::strand<asio::io_context::executor_type> strand;
    std::atomic<bool> isClosing = false;
    std::atomic<std::uint64_t> droppedMessageCount = 0;
    std::atomic<std::size_t> postedBytes = 0;
    std::uint16_t port = 0;

private:
    asio::awaitable<void> runLink(std::shared_ptr<Impl> /*keepsAlive*/, PeerLinkPtr link)
    {
        while (!this->isClosing && co_await this->waitForMessage(link)) {
            const bool connected = co_await this->connect(link);
            const bool failed = !connected || !co_await this->writeQueue(link);
            link->connection->close();
            if (!failed || this->isClosing)
                continue;
            ++link->failureCount;
            // If an established connection breaks, the queue is kept for the next one: the peer may just have
            // restarted.
            link->isUnreachable = !connected;
            if (link->isUnreachable)
                this->dropQueue(link);
            link->wakeTimer.expires_after(backoffAfter(link->failureCount));
            co_await link->wakeTimer.async_wait(useTupleAwaitable);
            link->isUnreachable = false;
        }
        this->dropQueue(link);
        this->links.erase(link->peer);
    }

    void dropQueue(const PeerLinkPtr& link)
    {
        this->droppedMessageCount += link->queue.size();
        link->queue.clear();
        link->queuedBytes = 0;
    }

    // Returns false if no message was queued within idleTimeout, the connection broke, or the socket is closing.
    asio::awaitable<bool> waitForMessage(PeerLinkPtr link)
    {
        if (link->queue.empty() && !this->isClosing) {
            link->isWaitingForMessage = true;
            link->wakeTimer.expires_after(idleTimeout);
            co_await link->wakeTimer.async_wait(useTupleAwaitable);
            link->isWaitingForMessage = false;
        }
        co_return !link->queue.empty() && !this->isClosing;
    }

    asio::awaitable<bool> connect(PeerLinkPtr link)
    {
        const auto connection = std::make_shared<Connection>(tcp::socket(this->strand));
        link->connection = connection;
        error_code error;
        const tcp::endpoint address(asio::ip::make_address(link->peer.host, error), link->peer.port);
        if (error)
            co_return false;
        connection->startTimeout(connection, connectTimeout);
        auto [connectError] = co_await connection->stream.next_layer().async_connect(address, useTupleAwaitable);
        if (connectError || connection->isClosed)
            co_return false;
        connection->setSocketOptions();
        auto [handshakeError]
            = co_await connection->stream.async_handshake(link->peer.host, "/peer", useTupleAwaitable);
        connection->stopTimeout();
        co_return !handshakeError && !connection->isClosed;
    }

    // Returns true after idleTimeout without a message to send, and false if the connection broke.
    asio::awaitable<bool> writeQueue(PeerLinkPtr link)
    {
        const auto connection = link->connection;
        asio::co_spawn(this->strand, detectClose(link, connection), asio::detached);
        while (co_await this->waitForMessage(link)) {
            if (connection->isClosed)
                co_return false;
            const auto message = std::move(link->queue.front());
            link->queue.pop_front();
            link->queuedBytes -= message.size();
            connection->startTimeout(connection, writeTimeout);
            auto [error, bytes] = co_await connection->stream.async_write(asio::buffer(message), useTupleAwaitable);
            connection->stopTimeout();
            if (error) {
                ++this->droppedMessageCount;
                co_return false;
            }
            link->failureCount = 0;
        }
        co_return !connection->isClosed;
    }

    // Peers send their messages on their own connections. This connection is read only to detect that the peer closes
    // it.
    static asio::awaitable<void> detectClose(PeerLinkPtr link, ConnectionPtr connection)
    {
        error_code ended;
        while (!ended) {
            auto [error, bytes] = co_await connection->stream.async_read(connection->buffer, useTupleAwaitable);
            connection->buffer.clear();
            ended = error;
        }
        connection->close();
        if (link->connection == connection)
            link->notify();
    }

    tcp::acceptor acceptor;
    const OnMessage onMessage;
    std::set<ConnectionPtr> incomingConnections;
    // A link stays in the map while its coroutine runs.
    std::map<Endpoint, PeerLinkPtr> links;
};

PeerSocket::PeerSocket(asio::io_context& context, const Endpoint& listen, OnMessage onMessage)
    : impl(std::make_shared<Impl>(context, std::move(onMessage)))
{
    this->impl->listen(listen);
    auto work = [self = this->impl]() -> asio::awaitable<void> { co_await self->acceptLoop(); };
    asio::co_spawn(this->impl->strand, std::move(work), asio::detached);
}

PeerSocket::~PeerSocket() { this->close(); }

void PeerSocket::send(const Endpoint& peer, std::string bytes)
{
    const auto size = bytes.size();
    if (size > MessageCodec::maxMessageBytes || this->impl->isClosing) {
        ++this->impl->droppedMessageCount;
        return;
    }
    if (this->impl->postedBytes.fetch_add(size) + size > maxPostedBytes) {
        this->impl->postedBytes -= size;
        ++this->impl->droppedMessageCount;
        return;
    }
    asio::post(this->impl->strand, [self = this->impl, peer, size, bytes = std::move(bytes)]() mutable {
        self->postedBytes -= size;
        if (self->isClosing)
            ++self->droppedMessageCount;
        else
            self->send(peer, std::move(bytes));
    });
}

void PeerSocket::close()
{
    if (!this->impl->isClosing.exchange(true))
        asio::post(this->impl->strand, [self = this->impl] { self->closeAll(); });
}

std::uint16_t PeerSocket::port() const { return this->impl->port; }

std::uint64_t PeerSocket::droppedMessageCount() const { return this->impl->droppedMessageCount; }

} // namespace waxwinglug::io
