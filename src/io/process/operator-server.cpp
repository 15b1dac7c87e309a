// Request routing of the operators' HTTP server.
#include "io/process/operator-server.h"

#include "cxxtools/http-server.h"

#include <waxwinglug/error.h>

#include <fmt/format.h>

namespace waxwinglug {
namespace {

    detail::HttpAnswer routeRequest(const OperatorHooks& hooks, const std::string& method, const std::string& path)
    {
        const std::string plain = "text/plain; charset=utf-8";
        if (path != "/health" && path != "/metrics" && path != "/status")
            return { 404, plain, "unknown path; use /health, /metrics or /status\n" };
        if (method != "GET")
            return { 405, plain, "method not allowed; use GET\n" };
        if (path == "/metrics")
            return { 200, "text/plain; version=0.0.4; charset=utf-8", hooks.metrics() };
        if (path == "/status")
            return { 200, "application/json", hooks.status() };
        if (hooks.isHealthy())
            return { 200, plain, "ok\n" };
        return { 503, plain, "not in service\n" };
    }

} // namespace

OperatorServer::OperatorServer(const Endpoint& listen, OperatorHooks hooks)
{
    try {
        this->server = std::make_unique<detail::HttpServer>(
            listen.host, listen.port, [routes = std::move(hooks)](const std::string& method, const std::string& path) {
                return routeRequest(routes, method, path);
            });
    } catch (const std::exception& error) {
        throw Error(ErrorKind::Unavailable,
            fmt::format("cannot listen on {}:{} for operators: {}", listen.host, listen.port, error.what()),
            "check [listen] operators and that no other process uses the port");
    }
}

OperatorServer::~OperatorServer() = default;

} // namespace waxwinglug
