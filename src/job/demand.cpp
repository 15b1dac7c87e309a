// JobScheduler: processor capacity that a service requires for active and arriving work.
#include "job/scheduler.h"

#include <algorithm>

namespace waxwinglug {

using detail::JobRecord;
using detail::Occurrence;

namespace {

    // Window for measuring arriving work. Short enough to detect a peak of some seconds in time to move machines; with
    // a shorter one, a few large jobs would look like a peak.
    constexpr Duration arrivalWindow { 400 };
    // Minimum time assumed until the deadline of active work. More servers cannot help work that is due sooner.
    constexpr Duration minTimeLeft { 700 };
    // Servers in addition to those that a long-running step occupies: one for a server evicted by maintenance, and one
    // for a failed server.
    constexpr int spareServers = 2;

} // namespace

void JobScheduler::recordArrival(const JobRecord& job)
{
    if (job.isLongRunning || job.activeOccurrences.empty())
        return;
    this->arrivals[job.service].push_back(
        { this->clock.now(), job.activeOccurrences.begin()->second.remaining(job.spec).work });
}

void JobScheduler::expireArrivals()
{
    const auto now = this->clock.now();
    for (auto& [service, list] : this->arrivals) {
        while (!list.empty() && now - list.front().at > arrivalWindow)
            list.pop_front();
    }
}

std::int64_t JobScheduler::requiredMillicores(std::string_view service) const
{
    std::int64_t activeWork = 0;
    std::int64_t longRunningWork = 0;
    const auto now = this->clock.wallNow();
    const auto jobs = this->activeJobs.find(std::string(service));
    if (jobs == this->activeJobs.end())
        return 0;
    for (const auto* job : jobs->second) {
        for (const auto& [number, occurrence] : job->activeOccurrences) {
            if (!job->isLongRunning) {
                const auto left = std::max(job->softDeadline(occurrence) - now, minTimeLeft);
                activeWork += occurrence.remaining(job->spec).work / left.count();
                continue;
            }
            for (const auto& step : job->spec.steps)
                longRunningWork += reservedResources(step).cpu * step.count;
        }
    }
    std::int64_t arriving = 0;
    if (const auto list = this->arrivals.find(service); list != this->arrivals.end()) {
        for (const auto& arrival : list->second)
            arriving += arrival.work;
    }
    return std::max(activeWork, arriving / arrivalWindow.count()) + longRunningWork;
}

int JobScheduler::requiredServers(std::string_view service) const
{
    int maxServers = 0;
    const auto jobs = this->activeJobs.find(std::string(service));
    if (jobs == this->activeJobs.end())
        return maxServers;
    for (const auto* job : jobs->second) {
        for (const auto& step : job->spec.steps) {
            if (step.longRunning && step.maxTasksPerServer > 0)
                maxServers = std::max(
                    maxServers, (step.count + step.maxTasksPerServer - 1) / step.maxTasksPerServer + spareServers);
        }
    }
    return maxServers;
}

} // namespace waxwinglug
