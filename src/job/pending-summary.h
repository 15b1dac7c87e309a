// The stored numbers of pending jobs by queue, with the moment they describe. Every VM answers callers from it while it
// is young enough; an older figure would hide jobs that wait.
#pragma once

#include <waxwinglug/fleet-platform.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace waxwinglug {

// Callers may be told a number of pending jobs that is this old, and none that is older.
inline constexpr Duration maxPendingCountAge { 2000 };

// Numbers of pending jobs by queue, and an upper bound of their age.
struct PendingCounts {
    std::map<std::string, int> jobsByQueue; // queues without pending jobs may be missing
    Duration age { 0 };
};

struct PendingSummary {
    std::map<std::string, int> jobsByQueue; // queues without pending jobs may be missing
    // The leader knew all jobs that were stored before this moment.
    StoreTime asOf = 0;
    std::uint64_t fence = 0; // of the leader that counted
};

std::string encodePendingSummary(const PendingSummary& summary);
// Returns nothing for any other text.
std::optional<PendingSummary> decodePendingSummary(std::string_view text);

// Age of the summary at a moment of the store's clock. Returns nothing if it cannot be known: the moment is unknown, or
// the clock has been set back since the jobs were counted.
std::optional<Duration> ageAt(const PendingSummary& summary, std::optional<StoreTime> moment);

} // namespace waxwinglug
