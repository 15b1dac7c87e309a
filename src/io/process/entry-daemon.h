// The entry daemon: wires the parts together, runs the threads, and ends them in order on SIGTERM.
#pragma once

#include <waxwinglug/settings.h>

#include <memory>

namespace waxwinglug::io {

class EntryDaemon {
public:
    // Binds all addresses. Throws Error when one cannot be bound.
    explicit EntryDaemon(const EntrySettings& settings);
    ~EntryDaemon();

    // Returns after SIGTERM or SIGINT, once the shutdown is complete.
    void run();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace waxwinglug::io
