// Beast WebSocket connections; all of them live on one strand.
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
    constexpr auto asTuple = asio::experimental::as_tuple(asio::use_awaitable);

    // Covers TCP and WebSocket handshakes; the slowest path between data centres takes a few milliseconds.
    constexpr std::chrono::seconds connectTimeout { 1 };
    constexpr std::chrono::seconds writeTimeout { 3 };
    constexpr std::chrono::seconds idleTimeout { 60 };
    constexpr std::chrono::milliseconds firstBackoff { 100 };
    constexpr std::chrono::milliseconds longestBackoff { 3200 };
    // For each peer. A heartbeat is sent each second, so a full queue means that the peer does not read.
    constexpr std::size_t mostQueued = 64;
    constexpr std::size_t mostQueuedBytes = 4 * MessageCodec::maxMessageBytes;
    // For all peers: messages that the strand has not taken yet, so that a slow thread does not collect them.
    constexpr std::size_t mostPostedBytes = 16 * MessageCodec::maxMessageBytes;
    // Bounds what unauthenticated connections can occupy; the fleet has fewer entry VMs than this by far.
    constexpr std::size_t mostIncoming = 512;

    // One WebSocket connection in either direction.
    struct Connection {
        explicit Connection(tcp::socket socket)
            : stream(std::move(socket))
            , deadline(stream.get_executor())
        {
            this->stream.binary(true);
            this->stream.read_message_max(MessageCodec::maxMessageBytes);
        }

        // Closes the socket when the time has passed, which ends the pending operation.
        void startTimeout(const std::shared_ptr<Connection>& self, std::chrono::milliseconds after)
        {
            this->deadline.expires_after(after);
            this->deadline.async_wait([weak = std::weak_ptr(self)](const error_code& error) {
                const auto connection = weak.lock();
                if (!error && connection && connection->deadline.expiry() <= asio::steady_timer::clock_type::now())
                    connection->close();
            });
        }

        void stopTimeout() { this->deadline.expires_at(asio::steady_timer::time_point::max()); }

        void setOptions()
        {
            error_code ignored;
            auto& socket = this->stream.next_layer();
            socket.set_option(tcp::no_delay(true), ignored);
            // Ends a connection whose peer acknowledges nothing although the writes fit into the send buffer.
            const int milliseconds = static_cast<int>(std::chrono::milliseconds(writeTimeout).count());
            ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
        }

        void close()
        {
            this->closed = true;
            error_code ignored;
            this->stream.next_layer().close(ignored);
            this->deadline.cancel();
        }

        websocket::stream<tcp::socket, false> stream;
        asio::steady_timer deadline;
        beast::flat_buffer buffer;
        bool closed = false;
    };

    using ConnectionPtr = std::shared_ptr<Connection>;

    // The way to one peer. It ends when the peer was sent nothing for idleTimeout.
    struct Link {
        Link(const asio::any_io_executor& executor, Endpoint endpoint)
            : peer(std::move(endpoint))
            , wake(executor)
        {
        }

        void notify()
        {
            if (this->waiting)
                this->wake.cancel();
        }

        const Endpoint peer;
        ConnectionPtr connection;
        std::deque<std::string> queue;
        std::size_t queuedBytes = 0;
        asio::steady_timer wake;
        bool waiting = false; // for a message
        bool away = false; // connecting failed and the backoff has not passed
        int failures = 0; // since the last message that was written
    };

    using LinkPtr = std::shared_ptr<Link>;

    std::chrono::milliseconds backoffAfter(int failures)
    {
        constexpr int mostDoublings = 5;
        return std::min(longestBackoff, firstBackoff * (1 << std::clamp(failures - 1, 0, mostDoublings)));
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
        while (!this->closing) {
            auto [error, socket] = co_await this->acceptor.async_accept(asTuple);
            if (this->closing)
                co_return;
            if (error) {
                // Out of descriptors, for example; the pause keeps the loop from using a whole core.
                asio::steady_timer pause(this->strand, firstBackoff);
                co_await pause.async_wait(asTuple);
                continue;
            }
            if (this->incoming.size() >= mostIncoming)
                continue;
            const auto connection = std::make_shared<Connection>(std::move(socket));
            this->incoming.insert(connection);
            asio::co_spawn(this->strand, this->receive(this->shared_from_this(), connection), asio::detached);
        }
    }

    asio::awaitable<void> receive(std::shared_ptr<Impl> /*keepsAlive*/, ConnectionPtr connection)
    {
        connection->setOptions();
        connection->startTimeout(connection, connectTimeout);
        auto [acceptError] = co_await connection->stream.async_accept(asTuple);
        while (!acceptError && !connection->closed) {
            connection->startTimeout(connection, idleTimeout);
            auto [error, bytes] = co_await connection->stream.async_read(connection->buffer, asTuple);
            if (error || !connection->stream.got_binary() || this->closing)
                break;
            this->onMessage(beast::buffers_to_string(connection->buffer.cdata()));
            connection->buffer.clear();
        }
        connection->close();
        this->incoming.erase(connection);
    }

    void send(const Endpoint& peer, std::string bytes)
    {
        auto link = this->links[peer];
        if (!link) {
            link = std::make_shared<Link>(this->strand, peer);
            this->links[peer] = link;
            // The coroutine begins within this call, and erases the link from the map when close() was called
            // meanwhile.
            asio::co_spawn(this->strand, this->run(this->shared_from_this(), link), asio::detached);
        }
        if (link->away || link->queue.size() >= mostQueued || link->queuedBytes + bytes.size() > mostQueuedBytes) {
            ++this->dropped;
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
        for (const auto& connection : this->incoming)
            connection->close();
        for (const auto& [peer, link] : this->links) {
            if (link->connection)
                link->connection->close();
            link->wake.cancel();
        }
    }

    asio::strand<asio::io_context::executor_type> strand;
    std::atomic<bool> closing = false;
    std::atomic<std::uint64_t> dropped = 0;
    std::atomic<std::size_t> postedBytes = 0;
    std::uint16_t port = 0;

private:
    asio::awaitable<void> run(std::shared_ptr<Impl> /*keepsAlive*/, LinkPtr link)
    {
        while (!this->closing && co_await this->waitForMessage(link)) {
            const bool connected = co_await this->connect(link);
            const bool failed = !connected || !co_await this->writeQueue(link);
            link->connection->close();
            if (!failed || this->closing)
                continue;
            ++link->failures;
            // A connection that breaks is tried again with the messages that wait; the peer may just have restarted.
            link->away = !connected;
            if (link->away)
                this->dropQueue(link);
            link->wake.expires_after(backoffAfter(link->failures));
            co_await link->wake.async_wait(asTuple);
            link->away = false;
        }
        this->dropQueue(link);
        this->links.erase(link->peer);
    }

    void dropQueue(const LinkPtr& link)
    {
        this->dropped += link->queue.size();
        link->queue.clear();
        link->queuedBytes = 0;
    }

    // False: nothing came for idleTimeout, the connection broke, or the socket closes.
    asio::awaitable<bool> waitForMessage(LinkPtr link)
    {
        if (link->queue.empty() && !this->closing) {
            link->waiting = true;
            link->wake.expires_after(idleTimeout);
            co_await link->wake.async_wait(asTuple);
            link->waiting = false;
        }
        co_return !link->queue.empty() && !this->closing;
    }

    asio::awaitable<bool> connect(LinkPtr link)
    {
        const auto connection = std::make_shared<Connection>(tcp::socket(this->strand));
        link->connection = connection;
        error_code error;
        const tcp::endpoint address(asio::ip::make_address(link->peer.host, error), link->peer.port);
        if (error)
            co_return false;
        connection->startTimeout(connection, connectTimeout);
        auto [connectError] = co_await connection->stream.next_layer().async_connect(address, asTuple);
        if (connectError || connection->closed)
            co_return false;
        connection->setOptions();
        auto [handshakeError] = co_await connection->stream.async_handshake(link->peer.host, "/peer", asTuple);
        connection->stopTimeout();
        co_return !handshakeError && !connection->closed;
    }

    // True: the peer was sent nothing for idleTimeout. False: the connection broke.
    asio::awaitable<bool> writeQueue(LinkPtr link)
    {
        const auto connection = link->connection;
        asio::co_spawn(this->strand, watch(link, connection), asio::detached);
        while (co_await this->waitForMessage(link)) {
            if (connection->closed)
                co_return false;
            const auto message = std::move(link->queue.front());
            link->queue.pop_front();
            link->queuedBytes -= message.size();
            connection->startTimeout(connection, writeTimeout);
            auto [error, bytes] = co_await connection->stream.async_write(asio::buffer(message), asTuple);
            connection->stopTimeout();
            if (error) {
                ++this->dropped;
                co_return false;
            }
            link->failures = 0;
        }
        co_return !connection->closed;
    }

    // Peers answer on connections of their own, so reading serves only to notice that the peer has closed.
    static asio::awaitable<void> watch(LinkPtr link, ConnectionPtr connection)
    {
        error_code ended;
        while (!ended) {
            auto [error, bytes] = co_await connection->stream.async_read(connection->buffer, asTuple);
            connection->buffer.clear();
            ended = error;
        }
        connection->close();
        if (link->connection == connection)
            link->notify();
    }

    tcp::acceptor acceptor;
    const OnMessage onMessage;
    std::set<ConnectionPtr> incoming;
    // A link is in the map as long as its coroutine runs.
    std::map<Endpoint, LinkPtr> links;
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
    if (size > MessageCodec::maxMessageBytes || this->impl->closing) {
        ++this->impl->dropped;
        return;
    }
    if (this->impl->postedBytes.fetch_add(size) + size > mostPostedBytes) {
        this->impl->postedBytes -= size;
        ++this->impl->dropped;
        return;
    }
    asio::post(this->impl->strand, [self = this->impl, peer, size, bytes = std::move(bytes)]() mutable {
        self->postedBytes -= size;
        if (self->closing)
            ++self->dropped;
        else
            self->send(peer, std::move(bytes));
    });
}

void PeerSocket::close()
{
    if (!this->impl->closing.exchange(true))
        asio::post(this->impl->strand, [self = this->impl] { self->closeAll(); });
}

std::uint16_t PeerSocket::port() const { return this->impl->port; }

std::uint64_t PeerSocket::dropped() const { return this->impl->dropped; }

} // namespace waxwinglug::io
