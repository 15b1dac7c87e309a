// Watches the event loop of this process: how late its timers fire, and how much processor time the process uses.
#pragma once

#include <waxwinglug/base.h>

#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace waxwinglug::io {

// What was measured over one interval of about a second.
struct LoopUsage {
    Duration interval { 0 };
    Duration processorTime { 0 }; // of all threads
    Duration maxLateness { 0 }; // of a timer
    Duration totalLateness { 0 };
    int samples = 0;
};

class LoopMonitor {
public:
    using Handler = std::function<void(const LoopUsage&)>;

    // Calls `onUsage` about once a second from start() on. `processorTime` returns the time used so far.
    LoopMonitor(
        boost::asio::io_context& context, Clock clock, std::function<Duration()> processorTime, Handler onUsage);

    void start();

private:
    void wait();
    void sample();

    const Clock clock;
    const std::function<Duration()> processorTime;
    const Handler onUsage;
    boost::asio::steady_timer timer;
    TimePoint dueAt; // when the pending timer should fire
    TimePoint intervalStart;
    Duration processorTimeAtStart { 0 };
    LoopUsage usage; // of the current interval
};

// Processor time of all threads of this process.
Duration processProcessorTime();

} // namespace waxwinglug::io
