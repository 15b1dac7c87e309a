// Implements the hooks of platform.h over HTTP. One thread makes the blocking calls and passes the handlers to `post`.
#pragma once

#include <waxwinglug/ini.h>
#include <waxwinglug/platform.h>

#include <functional>
#include <memory>

namespace waxwinglug::io {

class PlatformClient {
public:
    using Post = std::function<void(std::function<void()>)>;

    PlatformClient(Endpoint address, Post post);
    // Waits for the call in progress. Queued calls are dropped and their handlers are not called.
    ~PlatformClient();
    PlatformClient(const PlatformClient&) = delete;
    PlatformClient& operator=(const PlatformClient&) = delete;

    // Returns hooks that must not be called after this object is destroyed. A call takes at most 2 s, including the
    // wait for earlier calls. A commit reports Unknown if there is no answer, and Unavailable if it could not be sent.
    Platform platform();

private:
    struct Worker;
    std::shared_ptr<Worker> worker;
};

} // namespace waxwinglug::io
