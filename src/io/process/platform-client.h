// The hooks of platform.h over HTTP. One thread makes the blocking calls; handlers run where `post` runs them.
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
    // Waits for the call in progress. Handlers of calls that were not made are dropped.
    ~PlatformClient();
    PlatformClient(const PlatformClient&) = delete;
    PlatformClient& operator=(const PlatformClient&) = delete;

    // Hooks that must not be called after this object is gone. A call takes at most 2 s, the wait for earlier calls
    // included. A commit without an answer is Unknown; one that could not connect is Unavailable.
    Platform platform();

private:
    struct Worker;
    std::shared_ptr<Worker> worker;
};

} // namespace waxwinglug::io
