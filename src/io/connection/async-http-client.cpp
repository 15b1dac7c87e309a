// Connections and call queues of the asynchronous HTTP client, based on Boost.Beast.
#include "io/connection/async-http-client.h"

#include "io/connection/read-buffer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include <netinet/tcp.h>

#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace waxwinglug::io {
namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = beast::http;
    using asio::ip::tcp;
    using boost::system::error_code;

    // TCP_USER_TIMEOUT: the kernel drops a connection whose data stays unacknowledged for this long. TCP keepalive
    // alone takes minutes.
    constexpr int unacknowledgedTimeoutMs = 2000;
    // Idle connections are closed after this time, well before servers close them (15 s by the platform's settings).
    constexpr Duration maxIdleTime { 8000 };
    // Answers of the store hold up to 1 MB of rows in base64.
    constexpr std::uint64_t maxResponseBytes = 8ULL << 20;

} // namespace

class AsyncHttpClient::Impl : public std::enable_shared_from_this<AsyncHttpClient::Impl> {
public:
    class Connection;

    struct Call {
        HttpRequest request;
        TimePoint deadline;
        CallHandler handler;
    };

    // Connections and queued calls of one lane to one address.
    struct Lane {
        Endpoint address;
        std::size_t maxConnections = 1;
        std::size_t openConnections = 0;
        std::deque<Call> queuedCalls;
        std::deque<std::shared_ptr<Connection>> idleConnections;
        // Connections with a lower serial number are not reused.
        std::uint64_t firstUsableSerial = 0;
        std::uint64_t lastSerial = 0;
    };

    Impl(asio::io_context& io, Clock source)
        : context(io)
        , clock(std::move(source))
    {
    }

    void call(const Endpoint& address, HttpRequest request, CallOptions options, CallHandler handler)
    {
        auto& lane = this->lanes[{ address, options.lane }];
        lane.address = address;
        lane.maxConnections = std::max<std::size_t>(options.maxConnections, 1);
        lane.queuedCalls.push_back({ std::move(request), this->clock.now() + options.timeout, std::move(handler) });
        this->startQueuedCalls(lane);
    }

    void startQueuedCalls(Lane& lane);
    void dropExpiredCalls(Lane& lane, TimePoint now);
    void closeIdleConnections();

    asio::io_context& context;
    const Clock clock;
    // Connections hold references to their lane, which std::map keeps valid.
    std::map<std::pair<Endpoint, int>, Lane> lanes;
    std::uint64_t openedConnectionCount = 0;
};

// One connection and the call that uses it.
class AsyncHttpClient::Impl::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(const std::shared_ptr<Impl>& client, Lane& connectionLane)
        : owner(client)
        , lane(connectionLane)
        , serial(++connectionLane.lastSerial)
        , stream(client->context)
    {
    }

    void run(Call next)
    {
        this->call = std::move(next);
        if (this->isConnected) {
            this->send();
            return;
        }
        error_code error;
        const auto host = asio::ip::make_address(this->lane.address.host, error);
        if (error) {
            // Deferred like every other end of a call.
            asio::post(this->stream.get_executor(),
                [self = this->shared_from_this(), error] { self->fail(CallStatus::NotSent, error.message()); });
            return;
        }
        this->startDeadline();
        this->stream.async_connect(tcp::endpoint(host, this->lane.address.port),
            [self = this->shared_from_this()](const error_code& connectError) { self->onConnect(connectError); });
    }

    std::uint64_t serialNumber() const { return this->serial; }
    TimePoint idleSince() const { return this->idleStart; }
    // False when the peer has closed the connection or sent bytes that answer no request.
    bool isUsable()
    {
        error_code error;
        this->stream.socket().non_blocking(true, error);
        char byte = 0;
        this->stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        return error == asio::error::would_block;
    }
    void close()
    {
        error_code ignored; // the connection is discarded in any case
        this->stream.socket().close(ignored);
    }

private:
    void startDeadline()
    {
        const auto client = this->owner.lock();
        const auto left = client ? this->call->deadline - client->clock.now() : Duration(0);
        this->stream.expires_after(std::max(left, Duration(1)));
    }

    void onConnect(const error_code& error)
    {
        if (error)
            return this->fail(CallStatus::NotSent, error.message());
        this->isConnected = true;
        error_code ignored; // the connection works without the options, with more latency and later failure detection
        this->stream.socket().set_option(tcp::no_delay(true), ignored);
        using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
        this->stream.socket().set_option(UserTimeout(unacknowledgedTimeoutMs), ignored);
        // A call that ends without an answer resets its connection: the kernel then sends no further byte of the
        // request, which could be carried out late, and the peer stops sending an answer that nobody reads. The option
        // is set here because the stream closes the socket itself when a call times out.
        this->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
        this->send();
    }

    void send()
    {
        auto& source = this->call->request;
        this->request = {};
        this->request.version(11);
        this->request.method_string(source.method);
        this->request.target(source.target);
        this->request.set(http::field::host, fmt::format("{}:{}", this->lane.address.host, this->lane.address.port));
        for (const auto& [name, value] : source.headers)
            this->request.set(name, value);
        this->request.body() = std::move(source.body);
        this->request.prepare_payload();
        this->startDeadline();
        http::async_write(this->stream, this->request,
            [self = this->shared_from_this()](const error_code& error, std::size_t) { self->onWrite(error); });
    }

    void onWrite(const error_code& error)
    {
        if (error)
            return this->fail(CallStatus::Unknown, error.message());
        this->parser.emplace();
        this->parser->body_limit(maxResponseBytes);
        this->buffer.reserve(detail::smallReadBufferBytes);
        http::async_read_header(this->stream, this->buffer, *this->parser,
            [self = this->shared_from_this()](const error_code& readError, std::size_t) { self->onHeader(readError); });
    }

    void onHeader(const error_code& error)
    {
        if (error)
            return this->fail(CallStatus::Unknown, error.message());
        if (!this->parser->is_done())
            detail::reserveForBody(this->buffer, this->parser->content_length());
        http::async_read(this->stream, this->buffer, *this->parser,
            [self = this->shared_from_this()](const error_code& readError, std::size_t) { self->onRead(readError); });
    }

    void onRead(const error_code& error)
    {
        if (error)
            return this->fail(CallStatus::Unknown, error.message());
        detail::releaseLargeBuffer(this->buffer);
        auto message = this->parser->release();
        CallResult result { CallStatus::Answered, {}, {} };
        result.response.status = static_cast<int>(message.result_int());
        for (const auto& field : message)
            result.response.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
        result.response.body = std::move(message.body());
        const bool canReuse = message.keep_alive() && this->serial >= this->lane.firstUsableSerial;
        this->finish(std::move(result), canReuse);
    }

    void fail(CallStatus status, std::string problem)
    {
        // Idle connections may be broken for the same reason, so later calls open new ones.
        this->lane.firstUsableSerial = this->lane.lastSerial + 1;
        this->finish({ status, {}, std::move(problem) }, false);
    }

    void finish(CallResult result, bool canReuse)
    {
        const auto client = this->owner.lock();
        if (!client)
            return;
        auto handler = std::move(this->call->handler);
        this->call.reset();
        this->stream.expires_never();
        if (canReuse) {
            this->idleStart = client->clock.now();
            this->lane.idleConnections.push_back(this->shared_from_this());
        } else {
            this->close();
            --this->lane.openConnections;
        }
        handler(std::move(result));
        client->startQueuedCalls(this->lane);
    }

    const std::weak_ptr<Impl> owner;
    Lane& lane; // lives as long as the owner
    const std::uint64_t serial;
    beast::tcp_stream stream;
    bool isConnected = false;
    TimePoint idleStart;
    std::optional<Call> call;
    http::request<http::string_body> request;
    beast::flat_buffer buffer;
    std::optional<http::response_parser<http::string_body>> parser;
};

// A call that has waited in the queue for its whole timeout is not sent: it would fail, its connection would be lost
// with it, and the calls behind it would wait until they expire as well.
void AsyncHttpClient::Impl::dropExpiredCalls(Lane& lane, TimePoint now)
{
    while (!lane.queuedCalls.empty() && lane.queuedCalls.front().deadline <= now) {
        // Deferred, because callers do not expect the handler of another call while they make one.
        asio::post(this->context, [handler = std::move(lane.queuedCalls.front().handler)] {
            handler({ CallStatus::NotSent, {}, "no connection was free in time" });
        });
        lane.queuedCalls.pop_front();
    }
}

void AsyncHttpClient::Impl::startQueuedCalls(Lane& lane)
{
    while (true) {
        this->dropExpiredCalls(lane, this->clock.now());
        if (lane.queuedCalls.empty())
            return;
        std::shared_ptr<Connection> connection;
        while (!lane.idleConnections.empty() && !connection) {
            auto candidate = std::move(lane.idleConnections.back());
            lane.idleConnections.pop_back();
            if (candidate->serialNumber() >= lane.firstUsableSerial && candidate->isUsable()) {
                connection = std::move(candidate);
            } else {
                candidate->close();
                --lane.openConnections;
            }
        }
        if (!connection && lane.openConnections >= lane.maxConnections)
            return;
        if (!connection) {
            connection = std::make_shared<Connection>(this->shared_from_this(), lane);
            ++lane.openConnections;
            ++this->openedConnectionCount;
        }
        auto next = std::move(lane.queuedCalls.front());
        lane.queuedCalls.pop_front();
        connection->run(std::move(next));
    }
}

void AsyncHttpClient::Impl::closeIdleConnections()
{
    const auto now = this->clock.now();
    for (auto& [key, lane] : this->lanes) {
        while (!lane.idleConnections.empty() && now - lane.idleConnections.front()->idleSince() > maxIdleTime) {
            lane.idleConnections.front()->close();
            lane.idleConnections.pop_front();
            --lane.openConnections;
        }
    }
}

AsyncHttpClient::AsyncHttpClient(asio::io_context& context, Clock clock)
    : impl(std::make_shared<Impl>(context, std::move(clock)))
{
}

AsyncHttpClient::~AsyncHttpClient() = default;

void AsyncHttpClient::call(const Endpoint& address, HttpRequest request, CallOptions options, CallHandler handler)
{
    this->impl->call(address, std::move(request), options, std::move(handler));
}

void AsyncHttpClient::closeIdleConnections() { this->impl->closeIdleConnections(); }

std::uint64_t AsyncHttpClient::openedConnections() const { return this->impl->openedConnectionCount; }

} // namespace waxwinglug::io
