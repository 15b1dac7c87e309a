// Basic types that every component uses: time, random source and node identity.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <random>
#include <string>

namespace waxwinglug {

using Duration = std::chrono::milliseconds;
// Monotonic time, for timeouts and intervals. Values of different nodes are not comparable.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
// Wall time in UTC, for rows that several nodes read and for civil time.
using WallTime = std::chrono::sys_time<Duration>;

// Pseudo-random generator. Its creator seeds it, so that a test is reproducible.
using Random = std::mt19937_64;

// The source of time. Components take the time only from here, so that tests can pause and advance it.
struct Clock {
    std::function<TimePoint()> now;
    std::function<WallTime()> wallNow;
};

// The clocks of the running system.
inline Clock systemClock()
{
    return {
        [] { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); },
        [] { return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now()); },
    };
}

// Clock for tests: time changes only through advance(). The clocks that clock() returns refer to this object and must
// not outlive it.
class ManualClock {
public:
    Clock clock()
    {
        return { [this] { return this->steady; }, [this] { return this->wall; } };
    }

    void advance(Duration by)
    {
        this->steady += by;
        this->wall += by;
    }

    TimePoint now() const { return this->steady; }

private:
    TimePoint steady { std::chrono::hours(1) };
    WallTime wall { std::chrono::sys_days { std::chrono::year { 2026 } / 1 / 1 } };
};

// One run of a process on a VM. A restarted process has the same name and a greater incarnation.
struct NodeId {
    std::string name;
    std::uint64_t incarnation = 0;

    auto operator<=>(const NodeId&) const = default;
};

} // namespace waxwinglug
