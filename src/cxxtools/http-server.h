// HTTP server for operators over cxxtools::http::Server. Compiled as C++17 like the rest of this folder.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace waxwinglug::detail {

struct HttpAnswer {
    unsigned status = 200;
    std::string contentType = "text/plain; charset=utf-8";
    std::string body;
};

// Answers one request on a thread of the server. `path` does not include the query.
using HttpHandler = std::function<HttpAnswer(const std::string& method, const std::string& path)>;

// Serves requests until it is destroyed. The constructor throws std::exception when the address cannot be bound.
class HttpServer {
public:
    HttpServer(const std::string& ip, std::uint16_t port, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace waxwinglug::detail
