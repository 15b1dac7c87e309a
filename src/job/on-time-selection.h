// Selects the jobs of a service that are run on time when the pending work exceeds what can be completed by its soft
// deadlines.
//
// With earliest-deadline-first order alone, an overload (demand of five times the mean for some seconds, more than the
// servers can run) delays every job a little, and nearly all miss their deadlines. The Moore-Hodgson rule drops the
// largest of the jobs before a missed deadline until the others are on time. The dropped jobs run with the remaining
// capacity, the smallest first.
#pragma once

#include <waxwinglug/base.h>

#include <cstdint>
#include <span>
#include <vector>

namespace waxwinglug {

struct OnTimeCandidate {
    // Time until the soft deadline; negative when it has passed.
    Duration timeLeft { 0 };
    // Declared run time of the longest remaining chain of dependent steps.
    Duration criticalPath { 0 };
    // Remaining work in thousandths of a core times milliseconds.
    std::int64_t work = 0;
};

// Returns for each job whether it is selected to complete on time. `processor` is the total capacity of the service's
// servers in thousandths of a core. O(n log n).
std::vector<bool> selectOnTimeJobs(std::span<const OnTimeCandidate> jobs, std::int64_t processor);

} // namespace waxwinglug
