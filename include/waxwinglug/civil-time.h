// Conversion between UTC and the operators' local time. UTC offsets come from the configuration, not from the system's
// time zone data, because changes are announced only weeks ahead and may not be in that data in time.
#pragma once

#include <waxwinglug/base.h>
#include <waxwinglug/config.h>

#include <chrono>
#include <optional>

namespace waxwinglug {

using CivilTime = std::chrono::local_time<Duration>;

// A half-open interval of UTC time: the end is excluded.
struct Interval {
    WallTime start;
    WallTime end;

    bool contains(WallTime at) const { return at >= this->start && at < this->end; }
    bool operator==(const Interval&) const = default;
};

// Converts between UTC and local time under one set of rules. Each configuration gets its own CivilClock, so plans
// computed from a new configuration follow its rules.
class CivilClock {
public:
    // The changes must be in ascending order of time; parseConfig ensures this.
    explicit CivilClock(ClockRules clockRules)
        : rules(std::move(clockRules))
    {
    }

    std::chrono::minutes utcOffsetAt(WallTime at) const;
    CivilTime toLocal(WallTime at) const { return CivilTime(at.time_since_epoch() + this->utcOffsetAt(at)); }

    // A local time that occurs twice is mapped to the earlier instant; one that a clock change skips is mapped to the
    // instant of that change.
    WallTime toUtc(CivilTime local) const;

    // The window that contains `from`, or else the next one; nullopt when clock changes skip all windows of a year.
    std::optional<Interval> nextWindow(const Window& window, WallTime from) const;

    // Time until the end of the window; zero outside it.
    Duration timeLeftInWindow(const Window& window, WallTime at) const;

    // The first instant after `from` at which the local clock shows this time of day; used for nightly deadlines.
    WallTime nextTimeOfDay(std::chrono::minutes sinceMidnight, WallTime from) const;

private:
    Interval windowOfDay(const Window& window, std::chrono::local_days day) const;

    ClockRules rules;
};

// True when the next window differs under the new rules, so that maintenance must be planned again.
bool nextWindowChanges(const ClockRules& before, const ClockRules& after, const Window& window, WallTime from);

} // namespace waxwinglug
