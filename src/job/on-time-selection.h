// Chooses which jobs of a service keep their place when more work is waiting than can be done in time.
//
// Pattern of load: the queue's demand rises to five times its mean for some seconds, more than its servers can run.
// Served by objective alone, every job then starts a little too late and nearly all miss. Dropping the largest jobs
// that are in the way until the others are in time (Moore and Hodgson's rule) keeps most of them in time; the dropped
// ones run on what is left, the smallest first.
#pragma once

#include <waxwinglug/base.h>

#include <cstdint>
#include <span>
#include <vector>

namespace waxwinglug {

struct OnTimeCandidate {
    // Time left until the objective; negative when it has passed.
    Duration timeLeft { 0 };
    // Declared time of the longest chain that remains.
    Duration criticalPath { 0 };
    // Remaining work in thousandths of a core times milliseconds.
    std::int64_t work = 0;
};

// Returns for each job whether it can be in time. `processor` is what the service's servers have together, in
// thousandths of a core. O(n log n).
std::vector<bool> selectOnTimeJobs(std::span<const OnTimeCandidate> jobs, std::int64_t processor);

} // namespace waxwinglug
