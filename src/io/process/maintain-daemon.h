// The maintenance daemon: feeds the maintainer from the platform's table and VM list, and answers operators.
#pragma once

#include <waxwinglug/settings.h>

#include <memory>

namespace waxwinglug::io {

class MaintainDaemon {
public:
    // Binds the operators' address. Throws Error when it cannot be bound.
    explicit MaintainDaemon(const MaintainSettings& settings);
    ~MaintainDaemon();

    // Returns after SIGTERM or SIGINT. Another instance takes the lease once it has expired.
    void run();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace waxwinglug::io
