// HTTP client for requests to backend servers and other entry VMs. Sends each request at most once and reports what is
// known about its outcome; the caller decides whether to retry.
#pragma once

#include "io/connection/http-message.h"

#include <waxwinglug/base.h>
#include <waxwinglug/ini.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace waxwinglug::io {

// One request and the server that receives it.
struct BackendCall {
    Endpoint server;
    HttpRequest request;
    // A request that is not idempotent uses only a pooled connection that has answered recently; see
    // ConnectionTracker.
    bool idempotent = false;
    Duration connectTimeout { std::chrono::seconds(1) };
    // From the first byte sent to the last byte received.
    Duration answerTimeout { std::chrono::seconds(30) };
};

struct BackendResult {
    enum class Kind {
        Answered, // a complete response was received
        ConnectionRefused, // the server refused the connection; no byte was sent
        NotSent, // the connection could not be opened for another reason; no byte was sent
        Withdrawn, // all connections are in use, or `beforeSend` returned false; no byte was sent
        Broken, // closed, reset or an incomplete response after the first byte was sent
        Overdue, // no complete response within `answerTimeout`
    };
    Kind kind = Kind::NotSent;
    HttpResponse response;
    // Cause of a failure, for the log.
    std::string problem;
};

struct BackendClientOptions {
    // Open connections to one server, idle ones included.
    int maxConnectionsPerServer = 64;
    std::uint64_t responseBodyLimitBytes = 64ULL * 1024 * 1024;
    // Connections that have been idle for longer are closed: a device on the path may have dropped their state.
    Duration maxIdleTime { std::chrono::seconds(30) };
    // TCP_USER_TIMEOUT: how long sent data may stay unacknowledged. TCP keepalive alone detects a dead connection too
    // late.
    Duration unacknowledgedTimeout { std::chrono::seconds(3) };
};

class BackendClient {
public:
    using Done = std::function<void(BackendResult)>;
    // Called just before the first byte of the request is sent. Returns false to withdraw the request.
    using BeforeSend = std::function<bool()>;

    BackendClient(boost::asio::io_context& traffic, Clock clock, BackendClientOptions options);
    ~BackendClient();
    BackendClient(const BackendClient&) = delete;
    BackendClient& operator=(const BackendClient&) = delete;

    // Starts a call. `beforeSend` and `done` run on a traffic thread; `done` is called exactly once.
    void call(BackendCall call, BeforeSend beforeSend, Done done);
    // From now on each connection is closed when its call ends. Connections that are already idle stay open until the
    // client and its pending calls are gone.
    void close();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace waxwinglug::io
