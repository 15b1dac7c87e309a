// The maintenance daemon: runs the maintainer on the platform's table and VM list, and serves status to operators.
#pragma once

#include <waxwinglug/settings.h>

#include <memory>

namespace waxwinglug::io {

class MaintainDaemon {
public:
    // Binds the operators' address. Throws Error when it cannot be bound.
    explicit MaintainDaemon(const MaintainSettings& settings);
    ~MaintainDaemon();

    // Blocks until SIGTERM or SIGINT. The lease is not released; another instance acquires it after it has expired.
    void run();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace waxwinglug::io
