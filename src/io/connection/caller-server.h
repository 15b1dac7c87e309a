// HTTP server towards callers and other entry VMs. Parses and bounds requests, and notices callers that disconnect.
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

struct CallerLimits {
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::size_t maxConnections = 2000;
    // A caller must send a whole request within this time of its first byte.
    Duration receiveTimeout { std::chrono::seconds(10) };
    Duration idleTimeout { std::chrono::seconds(60) };
};

// Answers one request. May be called from any thread; only the first call counts.
using Respond = std::function<void(HttpResponse)>;

struct CallerHooks {
    // Largest body that is accepted for a target, in bytes. Called before the body is read.
    std::function<std::uint64_t(std::string_view target)> bodyLimitBytes;
    // Handles a whole request. The function it returns is called when the caller disconnects before the answer.
    std::function<std::function<void()>(HttpRequest, Respond)> handle;
    // Response to a request that is rejected before it reaches `handle`.
    std::function<HttpResponse(int status, std::string_view problem, std::string_view remedy)> reject;
};

class CallerServer {
public:
    // Listens at once; connections are served by the threads that run `traffic`. Throws Error (Unavailable) when the
    // address cannot be bound.
    CallerServer(boost::asio::io_context& traffic, const Endpoint& listen, CallerLimits limits, CallerHooks hooks);
    ~CallerServer();
    CallerServer(const CallerServer&) = delete;
    CallerServer& operator=(const CallerServer&) = delete;

    // The bound port, which differs from the requested one when that was 0.
    std::uint16_t port() const;
    // Closes each connection after its next answer, and goes on accepting: the balancer still sends new connections
    // until it has seen the health probe fail.
    void closeAfterAnswers();
    // Accepts no further connections and closes idle ones. Requests that have begun to arrive are still answered.
    void stopAccepting();
    // Requests that have been read in part or whole and are not answered.
    std::size_t openRequestCount() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace waxwinglug::io
