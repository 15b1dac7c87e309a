// The scheduler process of one entry VM: serves callers, follows the configuration, and takes the lead when it is free.
#pragma once

#include "io/connection/async-http-client.h"

#include <waxwinglug/fleet-platform.h>
#include <waxwinglug/settings.h>

#include <functional>
#include <memory>

namespace waxwinglug::io {

class FleetNode {
public:
    // `connect` makes the adapter to the platform; the caller outlives it.
    FleetNode(FleetNodeSettings settings, std::function<FleetPlatform(AsyncHttpClient&)> connect);
    ~FleetNode();
    FleetNode(const FleetNode&) = delete;
    FleetNode& operator=(const FleetNode&) = delete;

    // Runs until SIGTERM, and then until the open requests are answered or the grace is over.
    void run();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace waxwinglug::io
