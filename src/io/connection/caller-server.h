// HTTP server for callers and other entry VMs. Parses requests, limits their size and duration, and detects callers
// that disconnect.
#pragma once

#include "io/connection/http-message.h"

#include <waxwinglug/base.h>
#include <waxwinglug/ini.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace waxwinglug::io {

// Limits of one server; those on bodies are set per target by CallerHooks::bodyLimitBytes.
struct CallerLimits {
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::size_t maxConnections = 2000;
    // From the first byte of a request to its last, and for writing the response.
    Duration receiveTimeout { std::chrono::seconds(10) };
    // A connection without a request is closed after this time.
    Duration idleTimeout { std::chrono::seconds(60) };
};

// Answers one request. May be called from any thread; only the first call counts.
using Respond = std::function<void(HttpResponse)>;

struct CallerHooks {
    // Largest body that is accepted for a target, in bytes. Called before the body is read.
    std::function<std::uint64_t(std::string_view target)> bodyLimitBytes;
    // Handles a complete request. The returned function, if any, is called when the caller disconnects before the
    // answer.
    std::function<std::function<void()>(HttpRequest, Respond)> handle;
    // Response to a request that is rejected before it reaches `handle`.
    std::function<HttpResponse(int status, std::string_view problem, std::string_view remedy)> reject;
};

class CallerServer {
public:
    // Starts listening; connections are served by the threads that run `traffic`. Throws Error (Unavailable) when the
    // address cannot be bound.
    CallerServer(boost::asio::io_context& traffic, const Endpoint& listen, CallerLimits limits, CallerHooks hooks);
    ~CallerServer();
    CallerServer(const CallerServer&) = delete;
    CallerServer& operator=(const CallerServer&) = delete;

    // The bound port; if port 0 was requested, the one that the system has assigned.
    std::uint16_t port() const;
    // Closes each connection after its next answer, but keeps accepting new ones: the load balancer sends them until
    // its health probe has failed.
    void closeAfterAnswers();
    // Stops accepting connections and closes idle ones. Requests that are partly received are still answered.
    void stopAccepting();
    // Number of requests that are partly or completely received and not yet answered.
    std::size_t openRequestCount() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace waxwinglug::io
