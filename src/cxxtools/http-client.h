// Blocking HTTP client over cxxtools::http::Client. Compiled as C++17 like the rest of this folder, so this header uses
// only types of the C++17 library.
#pragma once

#include <chrono>
#include <memory>
#include <string>

namespace waxwinglug::detail {

struct HttpResult {
    enum class State {
        Answered, // a complete answer was received
        NotSent, // the connection failed
        NoAnswer, // the request may have been sent
    };
    State state = State::NotSent;
    int status = 0;
    std::string body;
};

class HttpClient {
public:
    HttpClient(const std::string& host, unsigned short port);
    ~HttpClient();

    // Sends one request and reads the complete answer. With `reuseConnection` the connection of an earlier call is used
    // if there is one, and kept open afterwards. cxxtools sends a request again when a reused connection closes, so a
    // request that must be sent at most once needs a new connection.
    HttpResult call(const std::string& method, const std::string& path, const std::string& body,
        std::chrono::milliseconds timeout, bool reuseConnection);

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace waxwinglug::detail
