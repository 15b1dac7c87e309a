// JobScheduler: order in which tasks start, and choice of their backend servers.
//
// Long-running tasks come first, because they lose value while they are not running. Next are jobs that can meet their
// soft deadline, earliest deadline first, then late jobs, and last jobs whose value no longer depends on their
// completion time. Best-effort tasks come after all of them.
#include "job/on-time-selection.h"
#include "job/scheduler.h"

#include <algorithm>
#include <limits>

namespace waxwinglug {

using detail::JobRecord;
using detail::Occurrence;
using detail::Run;
using detail::Server;
using detail::Task;
using detail::TaskPhase;

namespace {

    // Ranks of ready steps; lower ranks start first.
    enum Rank : int {
        LongRunningRank,
        InTimeRank,
        LateRank,
        OverdueRank,
        BestEffortRank,
    };

    constexpr std::string_view teamAtLimit = "the team is at its limit";
    constexpr std::string_view noServerFits = "no server has enough free capacity";
    constexpr std::string_view onlySuspectsFit = "servers with enough free capacity are suspected of failing tasks";
    // Time after which a job with nothing running starts on a suspect server if no other has room.
    constexpr Duration maxSuspicionWait { 2000 };
    // Largest part of a service's servers that may be out on suspicion at once. When most servers fail, that says more
    // about what they run. The part is larger than that of BackendSelector, because a failed run uses up one of the few
    // attempts of its task, and a job that fits on no other server still starts on an ejected one.
    constexpr std::size_t maxSuspectPercent = 50;
    constexpr std::size_t maxLoggedSuspects = 20; // names in one line
    // Largest number of starts without an answer on one server. The record of the server's use names them all.
    constexpr int maxUnansweredStarts = 128;
    // Server rows that expired during an outage of the store are back about 2 s after it. Until then a server that
    // answers is still used.
    constexpr Duration reregistrationGrace { 2500 };
    constexpr Duration waitLogInterval { 1000 };
    // Maximum age of a report that is taken as current. A report is due every second.
    constexpr Duration maxReportAge { 1500 };
    // Jobs that end after this multiple of their allowed time have no value left that an earlier end could preserve.
    constexpr int maxLateFactor = 3;

    // Bonus for servers that run tasks, in thousandths of a core; larger than the capacity of any server. It keeps
    // empty machines empty, so that they can be powered off.
    constexpr std::int64_t nonEmptyServerScore = 500'000;

    int countTasksOfStep(const Server& server, const JobRecord* job, int occurrence, std::size_t step)
    {
        return static_cast<int>(std::ranges::count_if(server.runs, [&](const auto& entry) {
            const auto& run = entry.second;
            return run.job == job && run.occurrence == occurrence && run.step == static_cast<int>(step);
        }));
    }

    bool hasLabel(const ServerRecord& server, std::string_view label)
    {
        return label.empty() || std::ranges::find(server.labels, label) != server.labels.end();
    }

    // Resources required by all tasks without a known run. Tasks of steps whose dependencies are not complete in the
    // store are included, because the ends of those dependencies may have been seen but not stored.
    Resources unaccountedNeed(const JobRecord& job)
    {
        Resources sum;
        for (const auto& [number, occurrence] : job.activeOccurrences) {
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                const auto& need = job.spec.steps[step].taskResources;
                const auto tasks = occurrence.steps[step].waiting;
                sum += { need.cpu * tasks, need.memory * tasks, need.accelerators * tasks };
            }
        }
        return sum;
    }

} // namespace

void JobScheduler::recordWait(const ReadyStep& ready, std::string_view reason)
{
    if (!this->recordsWaits)
        return;
    auto& wait = this->waits[{ ready.job->service, ready.job->spec.team, reason }];
    wait.tasks += ready.occurrence->steps[ready.step].waiting;
    wait.oldest = std::max(wait.oldest, this->clock.wallNow() - ready.occurrence->dueAt);
}

// Logs one line per second, service, team and reason, because there are too many waiting tasks to log each.
void JobScheduler::logWaits()
{
    for (const auto& [key, wait] : std::exchange(this->waits, {})) {
        const auto& [service, team, reason] = key;
        const auto use = this->teamAllocations.find(team);
        const auto unknown = this->unknownTeamUse.find(team);
        this->hooks.log("tasks wait",
            { { "service", service }, { "team", team }, { "reason", reason }, { "tasks", wait.tasks },
                { "oldest_ms", wait.oldest.count() },
                { "team_cpu", use == this->teamAllocations.end() ? 0 : use->second.cpu },
                { "unknown_cpu", unknown == this->unknownTeamUse.end() ? 0 : unknown->second.cpu } });
    }
}

void JobScheduler::dispatch(bool all)
{
    if (!this->hooks.mayStart())
        return;
    const auto now = this->clock.now();
    this->recordsWaits = all && now - this->waitsLoggedAt >= waitLogInterval;
    const auto changed = std::exchange(this->changedServices, {});
    this->unknownTeamUse = this->maxUnknownUse();
    for (const auto& [service, jobs] : this->activeJobs) {
        if (!service.empty() && !jobs.empty() && (all || changed.contains(service)))
            this->dispatchService(service);
    }
    if (!this->recordsWaits)
        return;
    this->waitsLoggedAt = now;
    this->logWaits();
}

bool JobScheduler::isAvailable(const Server& server, TimePoint now) const
{
    const bool isRegistered = server.registered || now - server.unregisteredAt < reregistrationGrace;
    return isRegistered && server.useRecorded && server.leaseEndRecord == detail::LeaseEndRecord::None
        && !server.record.draining && server.isReachable() && !server.cordoned
        && !this->isEvacuated(server.record.dataCentre) && server.orphans.empty() && now >= server.backoffUntil;
}

// Returns true if a server used by the previous leader has not answered yet, or has not listed all ends. It may run
// tasks, or have completed some, that are unknown here.
bool JobScheduler::mayHaveUnknownRuns(const std::string& service) const
{
    const auto now = this->clock.now();
    const bool mayHaveEnds = std::ranges::any_of(this->fullReporters,
        [&](const Server* server) { return server->mayRunTasksOf(service) && !server->isLeaseExpired(now); });
    if (mayHaveEnds || now - this->termStartedAt > this->rules.maxInheritedStrayLease())
        return mayHaveEnds;
    return std::ranges::any_of(this->serverMap, [this, &service](const auto& entry) {
        return this->mayHaveInheritedRuns(*entry.second) && entry.second->mayRunTasksOf(service);
    });
}

// Computes the priority of every active occurrence of a service.
std::vector<JobScheduler::ActiveOccurrence> JobScheduler::prioritizeOccurrences(
    const std::string& service, std::span<Server* const> candidates) const
{
    std::vector<ActiveOccurrence> active;
    std::vector<OnTimeCandidate> jobs; // one per occurrence that has a deadline
    const auto now = this->clock.wallNow();
    for (auto* job : this->activeJobs.at(service)) {
        for (auto& [number, occurrence] : job->activeOccurrences) {
            active.push_back({ job, &occurrence, LongRunningRank, 0 });
            if (job->isLongRunning)
                continue;
            const auto& remaining = occurrence.remaining(job->spec);
            jobs.push_back({ job->softDeadline(occurrence) - now, remaining.criticalPath, remaining.work });
        }
    }
    std::int64_t processor = 0;
    for (const auto* server : candidates)
        processor += server->record.capacity.cpu;
    const auto inTime = selectOnTimeJobs(jobs, processor);
    std::size_t index = 0;
    for (auto& each : active) {
        if (each.job->isLongRunning)
            continue;
        const auto& job = jobs[index];
        const auto allowed = job.timeLeft + now - each.occurrence->dueAt;
        const auto lateLeft = job.timeLeft + allowed * (maxLateFactor - 1);
        each.rank = inTime[index] ? InTimeRank : job.criticalPath <= lateLeft ? LateRank : OverdueRank;
        each.order = inTime[index] ? job.timeLeft.count() : job.work;
        ++index;
    }
    return active;
}

std::vector<JobScheduler::ReadyStep> JobScheduler::readySteps(
    const std::string& service, std::span<Server* const> candidates)
{
    std::vector<ReadyStep> ready;
    const bool unknownRuns = this->mayHaveUnknownRuns(service);
    for (const auto& [job, occurrence, rank, order] : this->prioritizeOccurrences(service, candidates)) {
        for (std::size_t step = 0; step < occurrence->steps.size(); ++step) {
            const auto& progress = occurrence->steps[step];
            if (progress.waiting == 0 || !occurrence->isReady(job->spec, step))
                continue;
            if (unknownRuns && this->inheritedJobs.contains(job)) {
                this->recordWait({ job, occurrence, step, 0, 0 }, "servers of the previous leader have not answered");
                continue;
            }
            const bool isBestEffort = job->isLongRunning && job->spec.steps[step].bestEffort;
            ready.push_back({ job, occurrence, step, isBestEffort ? BestEffortRank : rank, order });
        }
    }
    std::ranges::sort(ready, [](const ReadyStep& left, const ReadyStep& right) {
        return std::tuple(left.rank, left.job->priority, left.order, std::string_view(left.job->spec.id))
            < std::tuple(right.rank, right.job->priority, right.order, std::string_view(right.job->spec.id));
    });
    return ready;
}

JobScheduler::Candidates JobScheduler::findCandidates(std::string_view service) const
{
    Candidates found;
    const auto servers = this->serviceServers.find(service);
    if (servers == this->serviceServers.end())
        return found;
    const auto now = this->clock.now();
    for (auto* server : servers->second) {
        if (this->isAvailable(*server, now))
            (server->suspicion.mayGetTask(now) ? found.usable : found.suspects).push_back(server);
    }
    return found;
}

void JobScheduler::dispatchService(const std::string& service)
{
    this->unplaceableNeeds.clear();
    this->unplaceableOnSuspects.clear();
    auto [candidates, ejected] = this->findCandidates(service);
    this->suspects = std::move(ejected);
    if (this->recordsWaits && !this->suspects.empty())
        this->logSuspects(service);
    const auto ready = this->readySteps(service, candidates);
    for (const auto& step : ready) {
        if (step.job->spec.steps[step.step].gang)
            this->placeGang(step, candidates);
        else
            this->placeStep(step, candidates);
    }
}

// Returns an upper bound of the resources that each team may be using on unanswered servers of the previous leader.
// These may run any task of a job stored before this term, cancelled jobs included, up to their capacity.
std::map<std::string, Resources> JobScheduler::maxUnknownUse() const
{
    std::map<std::string, Resources> unknownUse;
    if (this->clock.now() - this->termStartedAt > this->rules.maxInheritedStrayLease())
        return unknownUse;
    std::map<std::string, Resources> capacities; // by service
    for (const auto& [id, server] : this->serverMap) {
        if (!this->mayHaveInheritedRuns(*server))
            continue;
        capacities[server->record.service] += server->record.capacity;
        for (const auto& service : server->formerServices)
            capacities[service] += server->record.capacity;
    }
    if (capacities.empty())
        return unknownUse;
    std::map<std::pair<std::string, std::string>, Resources> needs; // by service and team
    for (const auto* job : this->inheritedJobs) {
        if (capacities.contains(job->service))
            needs[{ job->service, job->spec.team }] += unaccountedNeed(*job);
    }
    for (const auto& [key, need] : needs) {
        const auto& capacity = capacities.at(key.first);
        unknownUse[key.second] += { std::min(need.cpu, capacity.cpu), std::min(need.memory, capacity.memory),
            std::min(need.accelerators, capacity.accelerators) };
    }
    return unknownUse;
}

bool JobScheduler::fitsTeamLimit(const JobRecord& job, const Resources& need) const
{
    const auto* team = this->config->team(job.spec.team);
    if (!team)
        return true;
    const auto use = this->teamAllocations.find(job.spec.team);
    const auto unknown = this->unknownTeamUse.find(job.spec.team);
    const auto total = (use == this->teamAllocations.end() ? Resources {} : use->second) + need
        + (unknown == this->unknownTeamUse.end() ? Resources {} : unknown->second);
    const auto within = [](std::int64_t amount, std::int64_t limit) { return limit == 0 || amount <= limit; };
    return within(total.cpu, team->limit.cpu) && within(total.memory, team->limit.memory)
        && within(total.accelerators, team->limit.accelerators);
}

bool JobScheduler::isUnplaceable(std::span<const Resources> unplaceable, const Resources& need)
{
    return std::ranges::any_of(unplaceable, [&need](const Resources& smaller) { return smaller.fitsIn(need); });
}

void JobScheduler::recordUnplaceable(std::vector<Resources>& unplaceable, const StepSpec& step)
{
    // The servers of a label, or without other tasks of the step, are not all candidates.
    if (!step.requiredLabel.empty() || step.maxTasksPerServer > 0)
        return;
    const auto need = reservedResources(step);
    if (isUnplaceable(unplaceable, need))
        return;
    std::erase_if(unplaceable, [&need](const Resources& larger) { return need.fitsIn(larger); });
    unplaceable.push_back(need);
}

bool JobScheduler::mayUseSuspects(const ReadyStep& ready)
{
    if (this->suspects.empty())
        return false;
    auto& unplacedSince = ready.occurrence->steps[ready.step].unplacedSince;
    const auto now = this->clock.now();
    if (!unplacedSince)
        unplacedSince = now;
    // Each task that lasts serves by itself, so it does not matter whether others of its job run.
    return now - *unplacedSince >= maxSuspicionWait
        && (ready.job->spec.steps[ready.step].longRunning || !hasRuns(*ready.job));
}

Server* JobScheduler::chooseSuspect(const ReadyStep& ready, const Task& task)
{
    const auto& spec = ready.job->spec.steps[ready.step];
    if (!this->mayUseSuspects(ready) || isUnplaceable(this->unplaceableOnSuspects, reservedResources(spec)))
        return nullptr;
    auto* server = this->chooseServer(ready, task, this->suspects, {}, SuspectUse::EarlyProbe);
    if (!server)
        recordUnplaceable(this->unplaceableOnSuspects, spec);
    return server;
}

void JobScheduler::recordNoServer(const ReadyStep& ready)
{
    if (!this->recordsWaits)
        return;
    const auto need = reservedResources(ready.job->spec.steps[ready.step]);
    const bool suspectFits = std::ranges::any_of(
        this->suspects, [&need](const Server* server) { return need.fitsIn(server->freeCapacity()); });
    this->recordWait(ready, suspectFits ? onlySuspectsFit : noServerFits);
}

void JobScheduler::logSuspects(const std::string& service) const
{
    std::string names;
    for (const auto* server : std::span(this->suspects).first(std::min(this->suspects.size(), maxLoggedSuspects)))
        names += (names.empty() ? "" : ",") + server->record.id;
    this->hooks.log("backend servers get no tasks because they are suspected of failing them",
        { { "service", service }, { "count", this->suspects.size() }, { "servers", names } });
}

void JobScheduler::logCleared(const Server& server, std::string_view reason) const
{
    this->hooks.log("backend server gets tasks again",
        { { "server", server.record.id }, { "service", server.record.service }, { "reason", reason } });
}

JobScheduler::FailingServers JobScheduler::countFailingServers(std::string_view service) const
{
    FailingServers count;
    const auto servers = this->serviceServers.find(service);
    if (servers == this->serviceServers.end())
        return count;
    const auto now = this->clock.now();
    for (const auto* server : servers->second) {
        if (!this->isAvailable(*server, now))
            continue;
        ++count.members;
        count.failing += server->suspicion.isFailing();
    }
    return count;
}

// At least one: with two servers, the other one shows whether the jobs are at fault.
std::size_t JobScheduler::maxSuspectCount(std::size_t members)
{
    return std::max<std::size_t>(1, members * maxSuspectPercent / 100);
}

// Ends suspicions that a probe has refuted, and the oldest ones of a service that has become too small for them.
void JobScheduler::reviewSuspicions()
{
    const auto now = this->clock.now();
    for (const auto& [service, servers] : this->serviceServers) {
        std::vector<Server*> suspected;
        std::size_t members = 0;
        for (auto* server : servers) {
            if (!this->isAvailable(*server, now))
                continue;
            ++members;
            if (!server->suspicion.isSuspect())
                continue;
            const auto* probe = server->suspicion.probeTask();
            if (probe && server->runs.at(*probe).task->phase == TaskPhase::Running
                && server->suspicion.hasProbeOutlivedFailures(now)) {
                server->suspicion.acquit();
                this->logCleared(*server, "a task on it has run for longer than those that failed");
                continue;
            }
            suspected.push_back(server);
        }
        std::ranges::sort(suspected, {}, [](const Server* server) { return server->suspicion.ejectionStart(); });
        const auto kept = std::min(suspected.size(), maxSuspectCount(members));
        for (auto* server : std::span(suspected).first(suspected.size() - kept)) {
            server->suspicion.endSuspicion();
            this->logCleared(*server, "its service has too few others");
        }
    }
}

void JobScheduler::placeStep(const ReadyStep& ready, std::span<Server* const> candidates)
{
    auto& job = *ready.job;
    const auto need = job.spec.steps[ready.step].taskResources;
    auto& step = ready.occurrence->steps[ready.step];
    const auto now = this->clock.now();
    for (std::size_t index = 0; index < step.tasks.size() && step.waiting > 0; ++index) {
        auto& task = step.tasks[index];
        if (task.phase != TaskPhase::Waiting || task.notBefore > now)
            continue;
        if (!this->fitsTeamLimit(job, need))
            return this->recordWait(ready, teamAtLimit);
        const auto& spec = job.spec.steps[ready.step];
        auto* server = isUnplaceable(this->unplaceableNeeds, reservedResources(spec))
            ? nullptr
            : this->chooseServer(ready, task, candidates, {});
        if (!server) {
            recordUnplaceable(this->unplaceableNeeds, spec);
            server = this->chooseSuspect(ready, task);
        }
        if (!server)
            return this->recordNoServer(ready);
        this->startTask(job, *ready.occurrence, ready.step, index, *server, this->nextRunNumber({ &task, 1 }));
    }
}

// Starts all tasks of a gang with the same run number, or none of them.
void JobScheduler::placeGang(const ReadyStep& ready, std::span<Server* const> candidates)
{
    auto& job = *ready.job;
    auto& step = ready.occurrence->steps[ready.step];
    const auto& spec = job.spec.steps[ready.step];
    const auto now = this->clock.now();
    const bool isDelayed = std::ranges::any_of(step.tasks, [now](const Task& task) { return task.notBefore > now; });
    if (isDelayed || step.waiting != static_cast<int>(step.tasks.size()))
        return;
    Resources gangResources;
    for (int count = 0; count < spec.count; ++count)
        gangResources += spec.taskResources;
    if (!this->fitsTeamLimit(job, gangResources))
        return this->recordWait(ready, teamAtLimit);
    std::vector<Server*> chosen;
    if (!isUnplaceable(this->unplaceableNeeds, reservedResources(spec)))
        chosen = this->chooseGangServers(ready, candidates, SuspectUse::Probe);
    if (chosen.empty() && this->mayUseSuspects(ready)) {
        std::vector<Server*> all(candidates.begin(), candidates.end());
        all.insert(all.end(), this->suspects.begin(), this->suspects.end());
        chosen = this->chooseGangServers(ready, all, SuspectUse::EarlyProbe);
    }
    if (chosen.empty())
        return this->recordNoServer(ready);
    const int run = this->nextRunNumber(step.tasks);
    for (std::size_t index = 0; index < chosen.size(); ++index)
        this->startTask(job, *ready.occurrence, ready.step, index, *chosen[index], run);
}

std::vector<Server*> JobScheduler::chooseGangServers(
    const ReadyStep& ready, std::span<Server* const> candidates, SuspectUse suspectUse) const
{
    std::map<const Server*, Resources> planned;
    std::vector<Server*> chosen;
    for (const auto& task : ready.occurrence->steps[ready.step].tasks) {
        auto* server = this->chooseServer(ready, task, candidates, planned, suspectUse);
        if (!server)
            return {};
        planned[server] += reservedResources(ready.job->spec.steps[ready.step]);
        chosen.push_back(server);
    }
    return chosen;
}

Server* JobScheduler::chooseServer(const ReadyStep& ready, const Task& task, std::span<Server* const> candidates,
    const std::map<const Server*, Resources>& planned, SuspectUse suspectUse) const
{
    const auto now = this->clock.now();
    const auto mayGetTask = [&](const Server& server) {
        const auto& suspicion = server.suspicion;
        if (!suspicion.isSuspect())
            return true;
        const bool isDue
            = suspicion.mayGetTask(now) || (suspectUse == SuspectUse::EarlyProbe && suspicion.mayGetTaskEarly(now));
        return isDue && !planned.contains(&server);
    };
    const auto& spec = ready.job->spec.steps[ready.step];
    const auto need = reservedResources(spec);
    this->examinedServers += candidates.size();
    Server* best = nullptr;
    std::int64_t bestScore = std::numeric_limits<std::int64_t>::min();
    for (auto* server : candidates) {
        auto free = server->freeCapacity();
        int tasksOfStep = 0;
        if (const auto plan = planned.find(server); plan != planned.end()) {
            free -= plan->second;
            tasksOfStep = need.memory > 0 ? static_cast<int>(plan->second.memory / need.memory) : 0;
        }
        if (server->unansweredStarts + tasksOfStep >= maxUnansweredStarts)
            continue;
        // A suspect server was a candidate before this dispatch placed a task on it.
        if (!need.fitsIn(free) || !hasLabel(server->record, spec.requiredLabel) || !mayGetTask(*server))
            continue;
        if (spec.maxTasksPerServer > 0 || spec.longRunning)
            tasksOfStep += countTasksOfStep(*server, ready.job, ready.occurrence->number, ready.step);
        if (spec.maxTasksPerServer > 0 && tasksOfStep >= spec.maxTasksPerServer)
            continue;
        // The weights rank the preferences: data rack, no failed run of the task on the server, no disturbed
        // neighbours, spreading, free capacity.
        std::int64_t score = free.cpu + (server->runs.empty() ? 0 : nonEmptyServerScore);
        if (!spec.dataRack.empty() && hasLabel(server->record, spec.dataRack))
            score += 100'000'000;
        if (task.avoidedServer == server->record.id)
            score -= 50'000'000;
        if (spec.bestEffort)
            score -= 10'000'000LL * server->latencySensitiveRuns;
        if (spec.latencyTarget > Duration(0))
            score -= 10'000'000LL * server->bestEffortRuns + 1'000'000LL * server->latencySensitiveRuns;
        if (spec.longRunning)
            score -= 2'000'000LL * tasksOfStep + (server->maintenancePending ? 5'000'000LL : 0);
        if (score > bestScore) {
            bestScore = score;
            best = server;
        }
    }
    return best;
}

// Returns true if interrupting the run leaves at most maxUnavailable tasks of its long-running step unavailable.
bool JobScheduler::canInterrupt(const Run& run) const
{
    const auto& tasks = run.progress().tasks;
    const auto now = this->clock.now();
    const auto unavailable = std::ranges::count_if(tasks, [&](const Task& task) {
        const bool isServing = task.phase == TaskPhase::Running && task.progressPercent >= 100
            && task.server->isReachable() && now - task.server->lastReportAt < maxReportAge;
        return &task != run.task && !isServing;
    });
    return unavailable < run.spec().maxUnavailable;
}

void JobScheduler::evict(std::string_view machine)
{
    for (auto* server : this->serversOn(machine))
        this->evict(*server, "maintenance of its machine is pending");
}

bool JobScheduler::canRunElsewhere(const Run& run) const
{
    auto& occurrence = run.job->activeOccurrences.at(run.occurrence);
    const ReadyStep step { run.job, &occurrence, static_cast<std::size_t>(run.step), 0, 0 };
    return this->chooseServer(step, *run.task, this->findCandidates(run.job->service).usable, {}) != nullptr;
}

// Moves one long-running task of each step at a time, and only to a server that has room for it now: a task that waits
// serves nobody, while its evacuated server still works.
void JobScheduler::evictFromEvacuatedDataCentres()
{
    if (this->evacuatedDataCentres.empty())
        return;
    for (auto& [serverId, server] : this->serverMap) {
        if (!this->isEvacuated(server->record.dataCentre) || !server->isReachable() || server->cordoned)
            continue;
        for (auto& [id, run] : server->runs) {
            if (run.spec().longRunning && run.task->phase == TaskPhase::Running && this->canInterrupt(run)
                && this->canRunElsewhere(run))
                this->requestStop(*server, id, run, "its data centre is evacuated");
        }
    }
}

void JobScheduler::evict(Server& server, std::string_view reason)
{
    if (!server.isReachable())
        return;
    for (auto& [id, run] : server.runs) {
        // A draining server ends its tasks anyway, so moving them early has no cost.
        if (run.spec().longRunning && run.task->phase == TaskPhase::Running
            && (server.record.draining || this->canInterrupt(run)))
            this->requestStop(server, id, run, reason);
    }
}

} // namespace waxwinglug
