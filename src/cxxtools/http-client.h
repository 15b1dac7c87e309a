// One HTTP call at a time with cxxtools::http::Client. Compiled as C++17; this header holds only C++17 library types.
#pragma once

#include <chrono>
#include <memory>
#include <string>

namespace waxwinglug::detail {

struct HttpResult {
    enum class State {
        Answered,
        NotSent, // connecting failed
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

    // Sends one request and reads the whole answer. The connection is kept for the next call that allows reuse.
    // cxxtools sends a request again by itself when a reused connection closes, so a call that must be sent at most
    // once needs a fresh connection.
    HttpResult call(const std::string& method, const std::string& path, const std::string& body,
        std::chrono::milliseconds timeout, bool reuse);

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace waxwinglug::detail
