// Rows of failures, ejections and probes of one backend server.
#include "job/server-suspicion.h"

#include <algorithm>

namespace waxwinglug::detail {
namespace {

    // Consecutive failures of different jobs after which a server is ejected. One job in thirty fails for reasons of
    // its own.
    constexpr std::size_t maxConsecutiveFailures = 3;
    // Duration of the first ejection of a server. Each further ejection lasts twice as long, up to the maximum.
    constexpr Duration minEjection { 2000 };
    constexpr Duration maxEjection { 16'000 };
    constexpr Duration minProbeTime { 2000 };
    // Reports arrive about once a second, so the end of a failed run, or its stall, may be known that much later.
    constexpr Duration reportInterval { 1000 };

} // namespace

bool ServerSuspicion::recordFailure(std::string_view job, TimePoint startedAt, TimePoint now)
{
    if (this->suspect && startedAt <= this->ejectedAt)
        return false;
    if (std::ranges::find(this->failedJobs, job) == this->failedJobs.end()
        && this->failedJobs.size() < maxConsecutiveFailures)
        this->failedJobs.emplace_back(job);
    this->longestFailure = std::max(this->longestFailure, now - startedAt);
    return this->suspect || this->failedJobs.size() >= maxConsecutiveFailures;
}

bool ServerSuspicion::recordSuccess(TimePoint startedAt)
{
    if (this->suspect && startedAt <= this->ejectedAt)
        return false;
    const bool wasSuspect = this->suspect;
    this->acquit();
    this->ejection = Duration(0);
    return wasSuspect;
}

void ServerSuspicion::eject(TimePoint now)
{
    this->suspect = true;
    this->probe.reset();
    this->ejection = std::clamp(this->ejection * 2, minEjection, maxEjection);
    this->ejectedAt = now;
    this->ejectedUntil = now + this->ejection;
}

void ServerSuspicion::endSuspicion()
{
    this->suspect = false;
    this->probe.reset();
}

void ServerSuspicion::acquit()
{
    this->endSuspicion();
    this->failedJobs.clear();
    this->longestFailure = Duration(0);
}

void ServerSuspicion::taskStarted(const TaskId& task, TimePoint now)
{
    if (!this->suspect)
        return;
    this->probe = task;
    this->probeStartedAt = now;
}

bool ServerSuspicion::mayGetTaskEarly(TimePoint now) const
{
    return now - std::max(this->ejectedAt, this->probeStartedAt) >= minEjection;
}

void ServerSuspicion::taskReleased(const TaskId& task)
{
    if (this->probe == task)
        this->probe.reset();
}

bool ServerSuspicion::hasProbeOutlivedFailures(TimePoint now) const
{
    const auto needed = std::clamp(this->longestFailure + reportInterval, minProbeTime, maxEjection);
    return this->probe.has_value() && now - this->probeStartedAt > needed;
}

} // namespace waxwinglug::detail
