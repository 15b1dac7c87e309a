// Local time of the operators' clock. Offsets come from the accepted configuration, never from the system's time zone
// data, because a change is announced only weeks ahead.
#pragma once

#include <waxwinglug/base.h>
#include <waxwinglug/config.h>

#include <chrono>
#include <optional>

namespace waxwinglug {

using CivilTime = std::chrono::local_time<Duration>;

// A span of UTC time; the end is excluded.
struct Interval {
    WallTime start;
    WallTime end;

    bool contains(WallTime at) const { return at >= this->start && at < this->end; }
    bool operator==(const Interval&) const = default;
};

// Converts between UTC and local time under one set of rules. A new configuration gets a new CivilClock, so every plan
// that is computed from it follows the new rules.
class CivilClock {
public:
    // The changes must be in ascending order of time, as parseConfig leaves them.
    explicit CivilClock(ClockRules clockRules)
        : rules(std::move(clockRules))
    {
    }

    std::chrono::minutes utcOffsetAt(WallTime at) const;
    CivilTime toLocal(WallTime at) const { return CivilTime(at.time_since_epoch() + this->utcOffsetAt(at)); }

    // A local time that exists twice gives the earlier instant; one that does not exist gives the instant of the
    // change that skips it.
    WallTime toUtc(CivilTime local) const;

    // The window that contains `from`, or else the next one. Nothing when clock changes swallow all windows of a year.
    std::optional<Interval> nextWindow(const Window& window, WallTime from) const;

    // Zero outside the window.
    Duration timeLeftInWindow(const Window& window, WallTime at) const;

    // The first instant after `from` at which the local clock reads this time of day, for nightly deadlines.
    WallTime nextTimeOfDay(std::chrono::minutes sinceMidnight, WallTime from) const;

private:
    Interval windowOfDay(const Window& window, std::chrono::local_days day) const;

    ClockRules rules;
};

// Tells whether planned work has to be planned again because the next window lies elsewhere under the new rules.
bool nextWindowChanges(const ClockRules& before, const ClockRules& after, const Window& window, WallTime from);

} // namespace waxwinglug
