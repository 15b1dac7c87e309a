// Samples of a timer, and their sum once a second.
#include "io/process/loop-monitor.h"

#include <boost/asio/io_context.hpp>

#include <sys/resource.h>

#include <algorithm>
#include <utility>

namespace waxwinglug::io {
namespace {

    constexpr Duration sampleInterval { 20 };
    constexpr Duration reportInterval { 1000 };

} // namespace

LoopMonitor::LoopMonitor(
    boost::asio::io_context& context, Clock source, std::function<Duration()> usedTime, Handler handler)
    : clock(std::move(source))
    , processorTime(std::move(usedTime))
    , onUsage(std::move(handler))
    , timer(context)
{
}

void LoopMonitor::start()
{
    this->intervalStart = this->clock.now();
    this->processorTimeAtStart = this->processorTime();
    this->wait();
}

void LoopMonitor::wait()
{
    this->dueAt = this->clock.now() + sampleInterval;
    this->timer.expires_after(sampleInterval);
    this->timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            this->sample();
    });
}

void LoopMonitor::sample()
{
    const auto now = this->clock.now();
    const auto lateness = std::max(now - this->dueAt, Duration(0));
    this->usage.maxLateness = std::max(this->usage.maxLateness, lateness);
    this->usage.totalLateness += lateness;
    ++this->usage.samples;
    if (now - this->intervalStart >= reportInterval) {
        const auto used = this->processorTime();
        this->usage.interval = now - this->intervalStart;
        this->usage.processorTime = used - this->processorTimeAtStart;
        this->intervalStart = now;
        this->processorTimeAtStart = used;
        this->onUsage(std::exchange(this->usage, {}));
    }
    this->wait();
}

Duration processProcessorTime()
{
    rusage used {};
    getrusage(RUSAGE_SELF, &used);
    const auto toDuration = [](const timeval& time) {
        return std::chrono::seconds(time.tv_sec) + std::chrono::microseconds(time.tv_usec);
    };
    return std::chrono::duration_cast<Duration>(toDuration(used.ru_utime) + toDuration(used.ru_stime));
}

} // namespace waxwinglug::io
