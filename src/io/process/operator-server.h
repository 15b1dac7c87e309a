// HTTP for operators: health for the balancer, metrics, and status as JSON.
#pragma once

#include <waxwinglug/ini.h>

#include <functional>
#include <memory>
#include <string>

namespace waxwinglug {

namespace detail {
    class HttpServer;
}

// Called on threads of the server, several at a time; they must not block on the control thread without a time limit.
struct OperatorHooks {
    // True while the balancer may send callers here.
    std::function<bool()> isHealthy;
    // Text exposition format.
    std::function<std::string()> metrics;
    // A JSON document.
    std::function<std::string()> status;
};

// Answers GET /health (200 or 503), /metrics and /status until it is destroyed.
class OperatorServer {
public:
    // Throws Error (Unavailable) when the address cannot be bound.
    OperatorServer(const Endpoint& listen, OperatorHooks hooks);
    ~OperatorServer();

private:
    std::unique_ptr<detail::HttpServer> server;
};

} // namespace waxwinglug
