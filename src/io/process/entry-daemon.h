// The entry daemon: connects its components, runs their threads, and shuts down gracefully on SIGTERM or SIGINT.
#pragma once

#include <waxwinglug/settings.h>

#include <memory>

namespace waxwinglug::io {

class EntryDaemon {
public:
    // Binds all addresses. Throws Error when one cannot be bound.
    explicit EntryDaemon(const EntrySettings& settings);
    ~EntryDaemon();

    // Blocks until SIGTERM or SIGINT and the end of the graceful shutdown. Must be called at most once.
    void run();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace waxwinglug::io
