// Asynchronous HTTP client: calls with a timeout over persistent connections, on one event loop.
//
// A result tells whether the request may have left this process, because only a request that was certainly not sent
// may be repeated as a new one. After a call without an answer every idle connection of its lane is retired: a device
// between the two ends may have lost the state of these connections.
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
    std::string problem; // otherwise: why there is no answer
};

struct CallOptions {
    // Time from the call to the last byte of the answer, including the time in the queue.
    Duration timeout { std::chrono::seconds(1) };
    // Each lane of an address has its own connections and queue, so that short calls do not wait for calls whose answer
    // waits for an event.
    int lane = 0;
    // Maximum number of connections of the lane to the address; further calls are queued.
    std::size_t maxConnections = 2;
};

using CallHandler = std::function<void(CallResult)>;

class AsyncHttpClient {
public:
    AsyncHttpClient(boost::asio::io_context& context, Clock clock);
    ~AsyncHttpClient();
    AsyncHttpClient(const AsyncHttpClient&) = delete;
    AsyncHttpClient& operator=(const AsyncHttpClient&) = delete;

    // The handler runs later on the event loop, exactly once, unless the client is destroyed first.
    void call(const Endpoint& address, HttpRequest request, CallOptions options, CallHandler handler);
    // Closes connections that have been idle for more than 8 s. Call about once a second.
    void closeIdleConnections();

    // Number of connections opened so far, including failed attempts.
    std::uint64_t openedConnections() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace waxwinglug::io
