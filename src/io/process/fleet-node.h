// The scheduler process of one entry VM: serves callers, follows the configuration, and acquires leadership when there
// is no leader.
#pragma once

#include "io/connection/async-http-client.h"

#include <waxwinglug/fleet-platform.h>
#include <waxwinglug/settings.h>

#include <functional>
#include <memory>

namespace waxwinglug::io {

class FleetNode {
public:
    // `connect` makes the platform adapter; the client that it receives outlives the adapter.
    FleetNode(FleetNodeSettings settings, std::function<FleetPlatform(AsyncHttpClient&)> connect);
    ~FleetNode();
    FleetNode(const FleetNode&) = delete;
    FleetNode& operator=(const FleetNode&) = delete;

    // Runs until SIGTERM or SIGINT, and then until the pending requests are answered or the shutdown grace period ends.
    void run();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace waxwinglug::io
