// How much processor a service needs: the work that is open, and the work that arrives.
#include "job/scheduler.h"

#include <algorithm>

namespace waxwinglug {

using detail::JobRecord;
using detail::Occurrence;

namespace {

    // Window over which arriving work is measured. A peak of some seconds shows in it before a move is too late; a
    // shorter one would take a few large jobs for a peak.
    constexpr Duration arrivalWindow { 400 };
    // Work whose time is nearly over is counted as if this much were left; more servers would not help it.
    constexpr Duration leastTime { 700 };
    // Servers beyond those that a lasting step fills: one that maintenance empties, and one that fails.
    constexpr int spareServers = 2;

} // namespace

std::int64_t detail::remainingWork(const JobSpec& spec, const Occurrence& occurrence)
{
    std::int64_t work = 0;
    for (std::size_t step = 0; step < spec.steps.size(); ++step) {
        const auto left = static_cast<std::int64_t>(occurrence.steps[step].tasks.size()) - occurrence.steps[step].done;
        work += left * spec.steps[step].taskResources.cpu * spec.steps[step].estimatedDuration.count();
    }
    return work;
}

void JobScheduler::noteArrival(const JobRecord& job)
{
    if (job.isLongRunning() || job.activeOccurrences.empty())
        return;
    this->arrivals[job.service].push_back(
        { this->clock.now(), detail::remainingWork(job.spec, job.activeOccurrences.begin()->second) });
}

void JobScheduler::forgetArrivals()
{
    const auto now = this->clock.now();
    for (auto& [service, list] : this->arrivals) {
        while (!list.empty() && now - list.front().at > arrivalWindow)
            list.pop_front();
    }
}

std::int64_t JobScheduler::requiredMillicores(std::string_view service) const
{
    std::int64_t open = 0;
    std::int64_t lasting = 0;
    const auto now = this->clock.wallNow();
    const auto jobs = this->activeJobs.find(std::string(service));
    if (jobs == this->activeJobs.end())
        return 0;
    for (const auto* job : jobs->second) {
        for (const auto& [number, occurrence] : job->activeOccurrences) {
            if (!job->isLongRunning()) {
                const auto left = std::max(job->softDeadline(occurrence) - now, leastTime);
                open += detail::remainingWork(job->spec, occurrence) / left.count();
                continue;
            }
            for (const auto& step : job->spec.steps)
                lasting += reservedResources(step).cpu * step.count;
        }
    }
    std::int64_t arriving = 0;
    if (const auto list = this->arrivals.find(service); list != this->arrivals.end()) {
        for (const auto& arrival : list->second)
            arriving += arrival.work;
    }
    return std::max(open, arriving / arrivalWindow.count()) + lasting;
}

int JobScheduler::requiredServers(std::string_view service) const
{
    int most = 0;
    const auto jobs = this->activeJobs.find(std::string(service));
    if (jobs == this->activeJobs.end())
        return most;
    for (const auto* job : jobs->second) {
        for (const auto& step : job->spec.steps) {
            if (step.longRunning && step.maxTasksPerServer > 0)
                most
                    = std::max(most, (step.count + step.maxTasksPerServer - 1) / step.maxTasksPerServer + spareServers);
        }
    }
    return most;
}

} // namespace waxwinglug
