// The HTTP client of the entry VM: calls with deadlines over kept connections, on one event loop.
//
// A call says whether its request may have left this process, because only a request that surely did not may be
// repeated as a new one. After a call without an answer every idle connection to that address is retired: something
// between the two ends may have lost track of them.
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

enum class CallStatus {
    Answered,
    NotSent, // no byte of the request left this process
    Unknown, // the request may have been carried out, or may be later
};

struct CallResult {
    CallStatus status = CallStatus::NotSent;
    HttpResponse response; // with Answered
    std::string problem; // otherwise
};

struct CallOptions {
    // From now to the last byte of the answer.
    Duration timeout { std::chrono::seconds(1) };
    // Calls of different lanes never wait for each other; one lane for orders, one for calls that wait for an event.
    int lane = 0;
    // Most connections of this lane to the address; further calls queue.
    std::size_t maxConnections = 2;
};

using CallHandler = std::function<void(CallResult)>;

class AsyncHttpClient {
public:
    AsyncHttpClient(boost::asio::io_context& context, Clock clock);
    ~AsyncHttpClient();
    AsyncHttpClient(const AsyncHttpClient&) = delete;
    AsyncHttpClient& operator=(const AsyncHttpClient&) = delete;

    // The handler runs later on the event loop, exactly once, unless the caller is destroyed first.
    void call(const Endpoint& address, HttpRequest request, CallOptions options, CallHandler handler);
    // Closes the connections that have been idle for a while. Call about once a second.
    void closeIdleConnections();

    std::uint64_t openedConnections() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace waxwinglug::io
