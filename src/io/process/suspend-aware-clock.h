// A clock that advances while the VM is suspended, which std::chrono::steady_clock does not. A leader that resumes
// after a suspension must detect that its leadership may have expired, and every VM that its copies of tables are old.
#pragma once

#include <waxwinglug/base.h>

#include <ctime>

namespace waxwinglug::io {

inline Clock suspendAwareClock()
{
    auto clock = systemClock();
    clock.now = [] {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        const auto sinceBoot = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
        return TimePoint(std::chrono::duration_cast<Duration>(sinceBoot));
    };
    return clock;
}

} // namespace waxwinglug::io
