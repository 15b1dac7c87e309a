// HTTP server over Boost.Beast, with one coroutine per connection on a strand of the traffic context.
#include "io/connection/caller-server.h"

#include "io/connection/listen.h"
#include "io/connection/read-buffer.h"

#include <waxwinglug/error.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include <atomic>
#include <mutex>
#include <optional>
#include <set>

namespace waxwinglug::io {
namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = beast::http;
    using asio::ip::tcp;
    using boost::system::error_code;
    constexpr auto asTuple = asio::experimental::as_tuple(asio::use_awaitable);

    // Answer to a request that cannot be parsed or is not received in time.
    struct Rejection {
        int status = 400;
        std::string_view problem;
        std::string_view remedy;
    };

    Rejection rejectionFor(const error_code& error)
    {
        if (error == http::error::header_limit)
            return { 431, "the request header is too large", "send a smaller header" };
        if (error == http::error::body_limit)
            return { 413, "the request body is too large", "send a smaller body" };
        if (error == beast::error::timeout)
            return { 408, "the request did not arrive in time", "send the whole request at once" };
        if (error == http::error::partial_message)
            return { 400, "the request ended early", "send as many bytes as Content-Length says" };
        return { 400, "the request is malformed", "send HTTP/1.1 with exactly one valid length" };
    }

    HttpRequest convert(http::request<http::string_body>&& message)
    {
        HttpRequest request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto& field : message)
            request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
        request.body = std::move(message.body());
        return request;
    }

} // namespace

class CallerServer::Impl : public std::enable_shared_from_this<CallerServer::Impl> {
public:
    class Session;

    Impl(asio::io_context& context, CallerLimits callerLimits, CallerHooks callerHooks)
        : traffic(context)
        , acceptor(asio::make_strand(context))
        , limits(callerLimits)
        , hooks(std::move(callerHooks))
    {
    }

    void listen(const Endpoint& endpoint);
    asio::awaitable<void> acceptLoop();
    void stopAccepting();

    asio::io_context& traffic;
    tcp::acceptor acceptor;
    const CallerLimits limits;
    const CallerHooks hooks;
    // Connections are closed after their next answer, so that callers reconnect to another VM.
    std::atomic<bool> isDraining = false;
    // New connections are not accepted and idle ones are closed. Implies `isDraining`.
    std::atomic<bool> isStopping = false;
    std::atomic<std::size_t> openRequests = 0;
    std::uint16_t port = 0;
    std::mutex sessionsMutex;
    // Open sessions. Each one adds itself when it is created and removes itself when it is destroyed.
    std::set<Session*> sessions;
};

// One caller connection.
class CallerServer::Impl::Session : public std::enable_shared_from_this<Session> {
public:
    Session(std::shared_ptr<Impl> owner, tcp::socket accepted)
        : server(std::move(owner))
        , socket(std::move(accepted))
        , timeoutTimer(socket.get_executor())
        , wakeTimer(socket.get_executor())
    {
        const std::lock_guard lock(this->server->sessionsMutex);
        this->server->sessions.insert(this);
    }

    ~Session()
    {
        const std::lock_guard lock(this->server->sessionsMutex);
        this->server->sessions.erase(this);
    }

    asio::awaitable<void> run()
    {
        error_code ignored;
        this->socket.set_option(tcp::no_delay(true), ignored);
        this->socket.non_blocking(true, ignored);
        while (co_await this->serveRequest()) { }
        this->socket.shutdown(tcp::socket::shutdown_send, ignored);
    }

    // Closes the connection if it waits for its next request. A partly received request is still served.
    void closeIfIdle()
    {
        // The session may be in its destructor, waiting for the mutex that the caller holds.
        const auto self = this->weak_from_this().lock();
        if (!self)
            return;
        asio::post(this->socket.get_executor(), [self] {
            if (self->isIdle)
                self->cancelOperations();
        });
    }

private:
    // Counts a request as open from its first byte until it is answered or rejected.
    class OpenRequestCounter {
    public:
        explicit OpenRequestCounter(std::atomic<std::size_t>& counter)
            : requests(counter)
        {
            ++this->requests;
        }
        ~OpenRequestCounter() { --this->requests; }
        OpenRequestCounter(const OpenRequestCounter&) = delete;
        OpenRequestCounter& operator=(const OpenRequestCounter&) = delete;

    private:
        std::atomic<std::size_t>& requests;
    };

    // Returns true if the connection can carry another request.
    asio::awaitable<bool> serveRequest()
    {
        if (!co_await this->waitForFirstByte())
            co_return false;
        const OpenRequestCounter openRequest(this->server->openRequests);
        http::request_parser<http::string_body> parser;
        parser.header_limit(this->server->limits.maxHeaderBytes);
        parser.body_limit(boost::none);
        this->startTimeout(this->server->limits.receiveTimeout);
        auto [headerError, headerBytes] = co_await http::async_read_header(this->socket, this->buffer, parser, asTuple);
        if (headerError)
            co_return co_await this->rejectRequest(headerError);
        const auto bodyLimitBytes = this->server->hooks.bodyLimitBytes(std::string_view(parser.get().target()));
        if (parser.content_length().value_or(0) > bodyLimitBytes)
            co_return co_await this->rejectRequest(http::error::body_limit);
        parser.body_limit(bodyLimitBytes);
        if (beast::iequals(parser.get()[http::field::expect], "100-continue"))
            co_await this->write(http::response<http::empty_body>(http::status::continue_, 11));
        if (!parser.is_done())
            detail::reserveForBody(this->buffer, parser.content_length());
        auto [bodyError, bodyBytes] = co_await http::async_read(this->socket, this->buffer, parser, asTuple);
        if (bodyError)
            co_return co_await this->rejectRequest(bodyError);
        detail::releaseLargeBuffer(this->buffer);
        const bool keepAlive = parser.get().keep_alive();
        const bool isHeadRequest = parser.get().method() == http::verb::head;
        auto response = co_await this->handle(convert(parser.release()));
        if (!response)
            co_return false;
        co_return co_await this->respond(std::move(*response), keepAlive, isHeadRequest);
    }

    void startTimeout(Duration after)
    {
        this->hasTimedOut = false;
        this->timeoutTimer.expires_after(after);
        this->timeoutTimer.async_wait([weak = this->weak_from_this()](const error_code& error) {
            const auto self = weak.lock();
            if (error || !self || self->timeoutTimer.expiry() > asio::steady_timer::clock_type::now())
                return;
            self->hasTimedOut = true;
            self->cancelOperations();
        });
    }

    void cancelOperations()
    {
        error_code ignored; // the socket may already be closed
        this->socket.cancel(ignored);
    }

    void stopTimeout() { this->timeoutTimer.expires_at(asio::steady_timer::time_point::max()); }

    asio::awaitable<bool> waitForFirstByte()
    {
        if (this->buffer.size() > 0)
            co_return true;
        if (this->server->isStopping)
            co_return false;
        this->isIdle = true;
        this->startTimeout(this->server->limits.idleTimeout);
        auto [error, bytes]
            = co_await this->socket.async_read_some(this->buffer.prepare(detail::smallReadBufferBytes), asTuple);
        this->isIdle = false;
        this->buffer.commit(bytes);
        co_return !error;
    }

    // Passes the request to the handler and waits for the answer. Returns nullopt if the caller has disconnected.
    asio::awaitable<std::optional<HttpResponse>> handle(HttpRequest request)
    {
        this->stopTimeout();
        this->answer.reset();
        this->wakeTimer.expires_at(asio::steady_timer::time_point::max());
        const auto generation = ++this->currentGeneration;
        auto respond = [weak = this->weak_from_this(), generation](HttpResponse response) {
            if (const auto self = weak.lock())
                self->setAnswer(generation, std::move(response));
        };
        const auto cancel = this->server->hooks.handle(std::move(request), std::move(respond));
        this->watchDisconnect(generation);
        co_await this->wakeTimer.async_wait(asTuple);
        ++this->currentGeneration;
        this->cancelOperations();
        if (!this->answer && cancel)
            cancel();
        co_return std::move(this->answer);
    }

    // Answers to earlier requests of this connection have another generation and are dropped.
    void setAnswer(std::uint64_t generation, HttpResponse response)
    {
        asio::dispatch(this->socket.get_executor(),
            [self = this->shared_from_this(), generation, response = std::move(response)]() mutable {
                if (generation != self->currentGeneration || self->answer)
                    return;
                self->answer = std::move(response);
                self->wake();
            });
    }

    // Wakes the session when the caller closes the connection. The watch ends when bytes of a pipelined request arrive,
    // because a close after them cannot be detected without reading them.
    void watchDisconnect(std::uint64_t generation)
    {
        this->socket.async_wait(
            tcp::socket::wait_read, [weak = this->weak_from_this(), generation](const error_code& waitError) {
                const auto self = weak.lock();
                if (waitError || !self || generation != self->currentGeneration)
                    return;
                char byte = 0;
                error_code error;
                self->socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
                // The reactor can report the socket as readable for bytes that have been read already. The socket is
                // non-blocking, since this read would otherwise block the traffic thread and the session's strand
                // until the caller sends more.
                if (error == asio::error::would_block)
                    self->watchDisconnect(generation);
                else if (error)
                    self->wake();
            });
    }

    // Ends the current wait, or the next one if none has started.
    void wake() { this->wakeTimer.expires_at(asio::steady_timer::time_point::min()); }

    asio::awaitable<bool> respond(HttpResponse response, bool keepAlive, bool isHeadRequest)
    {
        http::response<http::string_body> message(static_cast<http::status>(response.status), 11);
        for (const auto& [name, value] : response.headers)
            message.insert(name, value);
        message.keep_alive(keepAlive && !this->server->isDraining);
        const auto length = response.body.size();
        if (!isHeadRequest)
            message.body() = std::move(response.body);
        message.content_length(length);
        const bool close = message.need_eof() || !message.keep_alive();
        this->startTimeout(this->server->limits.receiveTimeout);
        co_return co_await this->write(std::move(message)) && !close;
    }

    template <typename Body> asio::awaitable<bool> write(http::response<Body> message)
    {
        auto [error, bytes] = co_await http::async_write(this->socket, message, asTuple);
        co_return !error;
    }

    // Answers the request with an error and closes the connection, because the start of the next request in the stream
    // is unknown.
    asio::awaitable<bool> rejectRequest(const error_code& error)
    {
        if (error == http::error::end_of_stream)
            co_return false;
        const auto rejection = rejectionFor(this->hasTimedOut ? beast::error::timeout : error);
        auto response = this->server->hooks.reject(rejection.status, rejection.problem, rejection.remedy);
        co_await this->respond(std::move(response), false, false);
        co_await this->discardInput();
        co_return false;
    }

    // Reads and discards input for a short time before closing. Closing with unread input resets the connection, and
    // the caller could lose the answer.
    asio::awaitable<void> discardInput()
    {
        constexpr int maxReads = 64;
        error_code ignored;
        this->socket.shutdown(tcp::socket::shutdown_send, ignored);
        this->startTimeout(std::chrono::seconds(1));
        this->buffer.clear();
        for (int reads = 0; reads < maxReads; ++reads) {
            auto [error, bytes] = co_await this->socket.async_read_some(this->buffer.prepare(65536), asTuple);
            if (error)
                co_return;
        }
    }

    std::shared_ptr<Impl> server;
    tcp::socket socket;
    // Cancels the operations of the socket when it expires. Unlike the timeout of beast::tcp_stream it leaves the
    // socket open, so that the caller can still be answered.
    asio::steady_timer timeoutTimer;
    bool hasTimedOut = false;
    beast::flat_buffer buffer;
    // Expires when `answer` is set or the caller has closed the connection.
    asio::steady_timer wakeTimer;
    std::optional<HttpResponse> answer;
    std::uint64_t currentGeneration = 0;
    // The session waits for the first byte of the next request.
    bool isIdle = false;
};

void CallerServer::Impl::listen(const Endpoint& endpoint)
{
    this->port = listenOn(this->acceptor, endpoint, "", "choose an address of this VM and a free port");
    asio::co_spawn(this->acceptor.get_executor(), this->acceptLoop(), asio::detached);
}

asio::awaitable<void> CallerServer::Impl::acceptLoop()
{
    const auto self = this->shared_from_this();
    while (!this->isStopping) {
        auto [error, socket] = co_await this->acceptor.async_accept(asio::make_strand(this->traffic), asTuple);
        if (error && !this->isStopping) {
            // For example, no file descriptors are left. The pause avoids a busy loop.
            asio::steady_timer pause(this->acceptor.get_executor(), std::chrono::milliseconds(50));
            co_await pause.async_wait(asTuple);
        }
        if (error)
            continue;
        std::size_t sessionCount = 0;
        {
            const std::lock_guard lock(this->sessionsMutex);
            sessionCount = this->sessions.size();
        }
        if (sessionCount >= this->limits.maxConnections)
            continue;
        const auto executor = socket.get_executor();
        const auto session = std::make_shared<Session>(self, std::move(socket));
        asio::co_spawn(
            executor, [session]() -> asio::awaitable<void> { co_await session->run(); }, asio::detached);
    }
}

void CallerServer::Impl::stopAccepting()
{
    this->isDraining = true;
    if (this->isStopping.exchange(true))
        return;
    asio::post(this->acceptor.get_executor(), [self = this->shared_from_this()] {
        error_code ignored;
        self->acceptor.close(ignored);
    });
    const std::lock_guard lock(this->sessionsMutex);
    for (auto* session : this->sessions)
        session->closeIfIdle();
}

CallerServer::CallerServer(asio::io_context& traffic, const Endpoint& listen, CallerLimits limits, CallerHooks hooks)
    : impl(std::make_shared<Impl>(traffic, limits, std::move(hooks)))
{
    this->impl->listen(listen);
}

CallerServer::~CallerServer() { this->impl->stopAccepting(); }

std::uint16_t CallerServer::port() const { return this->impl->port; }

void CallerServer::closeAfterAnswers() { this->impl->isDraining = true; }

void CallerServer::stopAccepting() { this->impl->stopAccepting(); }

std::size_t CallerServer::openRequestCount() const { return this->impl->openRequests; }

} // namespace waxwinglug::io
