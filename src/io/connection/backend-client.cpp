// HTTP client over Boost.Beast. All connections run on one strand; ConnectionTracker decides which of them a call may
// use.
#include "io/connection/backend-client.h"

#include <waxwinglug/connection.h>

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

#include <netinet/tcp.h>

#include <map>

namespace waxwinglug::io {
namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = beast::http;
    using asio::ip::tcp;
    using boost::system::error_code;
    constexpr auto asTuple = asio::experimental::as_tuple(asio::use_awaitable);

    constexpr std::uint32_t responseHeaderLimitBytes = 64 * 1024;

    using ResponseParser = http::response_parser<http::string_body>;

    // One connection to a backend server.
    struct Connection {
        explicit Connection(const asio::any_io_executor& executor)
            : socket(executor)
            , deadline(executor)
        {
        }

        // Closes the socket after the given time, which aborts the pending operation.
        void startTimeout(const std::shared_ptr<Connection>& self, Duration after)
        {
            this->timedOut = false;
            this->deadline.expires_after(after);
            this->deadline.async_wait([weak = std::weak_ptr(self)](const error_code& error) {
                const auto connection = weak.lock();
                if (error || !connection || connection->deadline.expiry() > asio::steady_timer::clock_type::now())
                    return;
                connection->timedOut = true;
                connection->closeSocket();
            });
        }

        void stopTimeout() { this->deadline.expires_at(asio::steady_timer::time_point::max()); }

        void closeSocket()
        {
            error_code ignored;
            this->socket.close(ignored);
        }

        tcp::socket socket;
        asio::steady_timer deadline;
        beast::flat_buffer buffer;
        bool timedOut = false;
    };

    using ConnectionPtr = std::shared_ptr<Connection>;

    http::request<http::string_body> convert(HttpRequest&& request, const Endpoint& server)
    {
        http::request<http::string_body> message;
        message.version(11);
        message.method_string(request.method);
        message.target(request.target);
        message.set(http::field::host, server.host + ':' + std::to_string(server.port));
        for (const auto& [name, value] : request.headers) {
            if (!isHopByHop(name) && !beast::iequals(name, "Host"))
                message.insert(name, value);
        }
        message.body() = std::move(request.body);
        message.prepare_payload();
        return message;
    }

    HttpResponse convert(http::response<http::string_body>&& message)
    {
        HttpResponse response;
        response.status = message.result_int();
        for (const auto& field : message) {
            if (!isHopByHop(field.name_string()))
                response.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
        }
        response.body = std::move(message.body());
        return response;
    }

    BackendResult failure(BackendResult::Kind kind, std::string problem)
    {
        BackendResult result;
        result.kind = kind;
        result.problem = std::move(problem);
        return result;
    }

} // namespace

class BackendClient::Impl : public std::enable_shared_from_this<BackendClient::Impl> {
public:
    Impl(asio::io_context& traffic, Clock clock, BackendClientOptions clientOptions)
        : options(clientOptions)
        , strand(asio::make_strand(traffic))
        , idleCheckTimer(strand)
        , tracker({ .idleTimeout = clientOptions.maxIdleTime }, std::move(clock),
              [this](ConnectionId id) { this->closeConnection(id); })
    {
    }

    void scheduleIdleCheck()
    {
        this->idleCheckTimer.expires_after(std::chrono::seconds(1));
        this->idleCheckTimer.async_wait([weak = this->weak_from_this()](const error_code& error) {
            const auto self = weak.lock();
            if (error || !self)
                return;
            self->tracker.closeIdle();
            self->scheduleIdleCheck();
        });
    }

    asio::awaitable<void> run(BackendCall call, BeforeSend beforeSend, Done done)
    {
        const auto self = this->shared_from_this();
        const auto grant
            = this->tracker.acquire(this->serverIndex(call.server), call.idempotent, ++this->lastUseNumber);
        const auto use = this->lastUseNumber;
        if (grant.kind == ConnectionGrant::Kind::Limit) {
            done(failure(BackendResult::Kind::Withdrawn, "all connections to the server are in use"));
            co_return;
        }
        if (grant.kind == ConnectionGrant::Kind::Open) {
            if (const auto error = co_await this->openConnection(grant.id, call)) {
                this->tracker.markClosed(grant.id);
                const bool refused = error == asio::error::connection_refused;
                done(failure(
                    refused ? BackendResult::Kind::ConnectionRefused : BackendResult::Kind::NotSent, error.message()));
                co_return;
            }
        }
        const auto connection = this->connections.at(grant.id);
        if (!beforeSend()) {
            this->tracker.markAnswered(grant.id, use, true);
            done(failure(BackendResult::Kind::Withdrawn, "the call was withdrawn before it was sent"));
            co_return;
        }
        auto result = co_await this->exchange(connection, std::move(call));
        connection->stopTimeout();
        const bool isComplete = result.kind == BackendResult::Kind::Answered;
        // Bytes after a complete response belong to no request, so the connection is not reused.
        const bool reusable
            = isComplete && connection->socket.is_open() && connection->buffer.size() == 0 && !this->isClosing;
        if (!isComplete)
            this->tracker.abandon(grant.id, use, result.kind == BackendResult::Kind::Overdue);
        else if (!this->tracker.markAnswered(grant.id, use, reusable))
            result = failure(BackendResult::Kind::Broken, "the connection was abandoned before the answer arrived");
        if (!reusable)
            this->closeConnection(grant.id);
        done(std::move(result));
    }

    void closeConnection(ConnectionId id)
    {
        const auto found = this->connections.find(id);
        if (found == this->connections.end())
            return;
        found->second->closeSocket();
        found->second->stopTimeout();
        this->connections.erase(found);
        this->tracker.markClosed(id);
    }

    void closeAll()
    {
        this->isClosing = true;
        this->idleCheckTimer.cancel();
    }

    const BackendClientOptions options;
    asio::strand<asio::io_context::executor_type> strand;

private:
    ServerIndex serverIndex(const Endpoint& server)
    {
        const auto [found, inserted]
            = this->servers.try_emplace(server, static_cast<ServerIndex>(this->servers.size()));
        if (inserted)
            this->tracker.setLimit(found->second, this->options.maxConnectionsPerServer);
        return found->second;
    }

    asio::awaitable<error_code> openConnection(ConnectionId id, const BackendCall& call)
    {
        const auto connection = std::make_shared<Connection>(this->strand);
        error_code error;
        const tcp::endpoint address(asio::ip::make_address(call.server.host, error), call.server.port);
        if (error)
            co_return error;
        connection->startTimeout(connection, call.connectTimeout);
        auto [connectError] = co_await connection->socket.async_connect(address, asTuple);
        connection->stopTimeout();
        if (connection->timedOut)
            co_return asio::error::timed_out;
        if (connectError)
            co_return connectError;
        connection->socket.set_option(tcp::no_delay(true), error);
        const int milliseconds = static_cast<int>(this->options.unacknowledgedTimeout.count());
        ::setsockopt(
            connection->socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
        this->connections.emplace(id, connection);
        co_return error_code();
    }

    asio::awaitable<BackendResult> exchange(ConnectionPtr connection, BackendCall call)
    {
        const bool isHeadRequest = call.request.method == "HEAD";
        const auto message = convert(std::move(call.request), call.server);
        connection->startTimeout(connection, call.answerTimeout);
        auto [writeError, written] = co_await http::async_write(connection->socket, message, asTuple);
        // A server may answer and close before it has read the whole request, so the response is read even after a
        // failed write.
        auto result = co_await this->readResponse(connection, isHeadRequest);
        if (connection->timedOut && result.kind != BackendResult::Kind::Answered)
            result = failure(BackendResult::Kind::Overdue, "no complete answer within the timeout");
        if (writeError)
            connection->closeSocket();
        co_return result;
    }

    asio::awaitable<BackendResult> readResponse(ConnectionPtr connection, bool isHeadRequest)
    {
        // Interim responses (1xx) precede the final one. The limit protects against a server that sends only these.
        constexpr int maxInterimResponses = 8;
        for (int count = 0; count < maxInterimResponses; ++count) {
            ResponseParser parser;
            parser.header_limit(responseHeaderLimitBytes);
            parser.body_limit(this->options.responseBodyLimitBytes);
            parser.skip(isHeadRequest);
            auto [headerError, headerBytes]
                = co_await http::async_read_header(connection->socket, connection->buffer, parser, asTuple);
            if (headerError)
                co_return failure(BackendResult::Kind::Broken, headerError.message());
            if (parser.get().result_int() / 100 == 1)
                continue;
            // Without a length the body ends when the connection closes, so a truncated body cannot be detected.
            if (!isHeadRequest && parser.get().need_eof())
                co_return failure(
                    BackendResult::Kind::Broken, "the answer has neither a Content-Length nor chunked encoding");
            auto [bodyError, bodyBytes]
                = co_await http::async_read(connection->socket, connection->buffer, parser, asTuple);
            if (bodyError)
                co_return failure(BackendResult::Kind::Broken, bodyError.message());
            if (!parser.get().keep_alive())
                connection->closeSocket();
            BackendResult result;
            result.kind = BackendResult::Kind::Answered;
            result.response = convert(parser.release());
            co_return result;
        }
        co_return failure(BackendResult::Kind::Broken, "too many interim responses");
    }

    asio::steady_timer idleCheckTimer;
    ConnectionTracker tracker;
    std::map<Endpoint, ServerIndex> servers;
    // All open connections, idle and in use.
    std::map<ConnectionId, ConnectionPtr> connections;
    std::uint64_t lastUseNumber = 0;
    bool isClosing = false;
};

BackendClient::BackendClient(asio::io_context& traffic, Clock clock, BackendClientOptions options)
    : impl(std::make_shared<Impl>(traffic, std::move(clock), options))
{
    asio::post(this->impl->strand, [self = this->impl] { self->scheduleIdleCheck(); });
}

BackendClient::~BackendClient() { this->close(); }

void BackendClient::call(BackendCall call, BeforeSend beforeSend, Done done)
{
    // The lambda owns the arguments until the coroutine has taken them.
    auto work = [self = this->impl, call = std::move(call), beforeSend = std::move(beforeSend),
                    done = std::move(done)]() mutable -> asio::awaitable<void> {
        co_await self->run(std::move(call), std::move(beforeSend), std::move(done));
    };
    asio::co_spawn(this->impl->strand, std::move(work), asio::detached);
}

void BackendClient::close()
{
    asio::post(this->impl->strand, [self = this->impl] { self->closeAll(); });
}

} // namespace waxwinglug::io
