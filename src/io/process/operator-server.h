// HTTP server for operators: health check for the balancer, metrics, and status as JSON.
#pragma once

#include <waxwinglug/ini.h>

#include <functional>
#include <memory>
#include <string>

namespace waxwinglug {

namespace detail {
    class HttpServer;
}

// Called concurrently on the server's threads. A hook that waits for the control thread must use a timeout.
struct OperatorHooks {
    // Returns whether the balancer may route callers to this node.
    std::function<bool()> isHealthy;
    // Returns the metrics in the Prometheus text exposition format.
    std::function<std::string()> metrics;
    // Returns a JSON document.
    std::function<std::string()> status;
};

// Serves GET /health (200 or 503), /metrics and /status until it is destroyed.
class OperatorServer {
public:
    // Throws Error (Unavailable) when the address cannot be bound.
    OperatorServer(const Endpoint& listen, OperatorHooks hooks);
    ~OperatorServer();

private:
    std::unique_ptr<detail::HttpServer> server;
};

} // namespace waxwinglug
