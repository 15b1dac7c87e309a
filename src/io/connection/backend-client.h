// HTTP client towards backend servers and other entry VMs. Sends each request once and says truthfully what is known
// about its outcome; whether it is repeated is decided by the caller.
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

struct BackendCall {
    Endpoint server;
    HttpRequest request;
    // Restricts which pooled connection may carry the request.
    bool idempotent = false;
    Duration connectTimeout { std::chrono::seconds(1) };
    // From the first byte sent to the last byte received.
    Duration answerTimeout { std::chrono::seconds(30) };
};

struct BackendResult {
    enum class Kind {
        Answered, // a whole response arrived
        ConnectionRefused, // the server refused the connection; no byte was sent
        NotSent, // the connection could not be opened for another reason; no byte was sent
        Withdrawn, // all connections are in use, or `beforeSend` returned false; no byte was sent
        Broken, // closed, reset or an incomplete response after the first byte was sent
        Overdue, // no whole response in time
    };
    Kind kind = Kind::NotSent;
    HttpResponse response;
    // What went wrong, for the log.
    std::string problem;
};

struct BackendClientOptions {
    // Open connections to one server, idle ones included.
    int maxConnectionsPerServer = 64;
    std::uint64_t responseBodyLimitBytes = 64ULL * 1024 * 1024;
    // A connection that has been idle for longer is closed: what lies between may have lost track of it.
    Duration maxIdleTime { std::chrono::seconds(30) };
    // TCP_USER_TIMEOUT; keepalive alone notices a dead connection too late.
    Duration unacknowledgedTimeout { std::chrono::seconds(3) };
};

class BackendClient {
public:
    using Done = std::function<void(BackendResult)>;
    // Called just before the first byte of the request is sent; false: do not send it.
    using BeforeSend = std::function<bool()>;

    BackendClient(boost::asio::io_context& traffic, Clock clock, BackendClientOptions options);
    ~BackendClient();
    BackendClient(const BackendClient&) = delete;
    BackendClient& operator=(const BackendClient&) = delete;

    // `beforeSend` and `done` run on a traffic thread; `done` exactly once.
    void call(BackendCall call, BeforeSend beforeSend, Done done);
    // Closes idle connections and, when their call ends, the others.
    void close();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace waxwinglug::io
