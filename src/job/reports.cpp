// JobScheduler: processing of reports from backend servers: ended and running tasks, runs started by an earlier leader,
// missing runs, stalls, and restarted servers.
#include "job/scheduler.h"

#include <algorithm>
#include <iterator>

namespace waxwinglug {

std::string detail::taskText(const TaskId& id) { return fmt::format("{}.{}.{}", id.occurrence, id.step, id.index); }

using detail::JobRecord;
using detail::Run;
using detail::RunEvidence;
using detail::Server;
using detail::Task;
using detail::TaskPhase;
using detail::taskText;
using detail::UnacknowledgedEnd;

namespace {

    // Maximum number of ends in a report. A run that is missing from a full report may be in the next one.
    constexpr std::size_t maxEndsPerReport = 500;
    // A task without progress for this long is started elsewhere. Reports arrive about once a second.
    constexpr Duration minStallTime { 1800 };
    // Progress is reported in whole percent, so a long task may show none for up to this fraction (1/20) of its run
    // time.
    constexpr int stallDivisor = 20;
    // Delay before a long-running task that ended right after its start is started again.
    constexpr Duration longRunningRestartDelay { 300 };
    // Best-effort tasks are throttled when the tail latency of a task beside them exceeds this percentage of its
    // target.
    constexpr std::int64_t throttleAbovePercent = 85;
    // Best-effort tasks are sped up again below this percentage.
    constexpr std::int64_t unthrottleBelowPercent = 60;
    constexpr int minSpeedPercent = 5; // a stopped task would never show that capacity is available again

} // namespace

void JobScheduler::applyEnd(Server& server, const EndedRun& ended)
{
    const bool isNew = ended.number > server.lastProcessedEnd;
    const auto kept = server.keptEnds.find(ended.number);
    if (!isNew && kept == server.keptEnds.end())
        return;
    server.lastProcessedEnd = std::max(server.lastProcessedEnd, ended.number);
    const auto listedAt = isNew ? this->clock.now() : kept->second;
    const auto run = server.runs.find(ended.task);
    const bool isKnownRun = run != server.runs.end() && run->second.number == ended.run;
    const auto use = isKnownRun ? EvidenceUse::Apply : this->judgeEvidence(ended.task, listedAt);
    if (use == EvidenceUse::Keep)
        return isNew ? this->keepEnd(server, ended, listedAt) : void();
    auto* job = this->jobTable.find(ended.task.job);
    if (isKnownRun) {
        if (!ended.checkpoint.empty())
            run->second.task->checkpoint = ended.checkpoint;
        this->endRun(server, run, ended.end, true);
    } else if (use == EvidenceUse::Apply) {
        this->applyUnknownEnd(*job, *job->find(ended.task), ended);
    } else if (!job || !job->hasTask(ended.task)) {
        this->logEnd("end of a run is dropped", server, ended);
    }
    // An end that changes nothing may repeat one whose effect is only now being stored.
    const auto changeSequence = job && job->changeSequence != 0 ? job->changeSequence : this->inFlightSequence;
    if (isNew) {
        server.unacknowledgedEnds.push_back({ ended.number, changeSequence });
    } else {
        server.keptEnds.erase(kept);
        std::ranges::find(server.unacknowledgedEnds, ended.number, &UnacknowledgedEnd::number)->changeSequence
            = changeSequence;
    }
    this->listAsUnstored(server);
}

void JobScheduler::listAsUnstored(Server& server)
{
    if (!std::exchange(server.isInUnstoredList, true))
        this->unstoredServers.push_back(&server);
}

void JobScheduler::keepEnd(Server& server, const EndedRun& ended, TimePoint listedAt)
{
    server.keptEnds.emplace(ended.number, listedAt);
    server.unacknowledgedEnds.push_back({ ended.number, detail::neverStored });
    this->listAsUnstored(server);
    this->logEnd("end of a run is kept until its task has a place", server, ended);
}

void JobScheduler::logEnd(std::string_view event, const Server& server, const EndedRun& ended)
{
    this->hooks.log(event,
        { { "job", ended.task.job }, { "task", taskText(ended.task) }, { "run", ended.run },
            { "server", server.record.id }, { "end", runEndName(ended.end) },
            { "job_known", this->jobTable.find(ended.task.job) != nullptr } });
}

bool JobScheduler::areJobsKnownAsOf(TimePoint time) const
{
    return !this->hooks.jobsKnownAsOf || this->hooks.jobsKnownAsOf() >= time;
}

JobScheduler::EvidenceUse JobScheduler::judgeEvidence(const TaskId& id, TimePoint listedAt)
{
    auto* job = this->jobTable.find(id.job);
    // Whoever started the run had read the job's row, so a copy of the table that is later than the report has it too,
    // unless the row was removed.
    if (!job)
        return this->areJobsKnownAsOf(listedAt) ? EvidenceUse::Drop : EvidenceUse::Keep;
    if (job->isOver() || !job->hasTask(id))
        return EvidenceUse::Drop;
    if (job->find(id))
        return EvidenceUse::Apply;
    if (id.occurrence < job->nextOccurrence)
        return EvidenceUse::Drop; // complete
    const int first = job->nextOccurrence;
    if (!detail::JobTable::activateThrough(*job, id.occurrence, this->rules.maxProgressBytes))
        return EvidenceUse::Keep;
    this->changedServices.insert(job->service);
    this->hooks.log("occurrences of an earlier leader are taken over",
        { { "job", id.job }, { "first", first }, { "last", id.occurrence },
            { "active", job->activeOccurrences.size() } });
    return EvidenceUse::Apply;
}

// Applies the end of a run that an earlier leader started, or that was abandoned because its server was unreachable.
void JobScheduler::applyUnknownEnd(JobRecord& job, Task& task, const EndedRun& ended)
{
    // A failure counts as soon as its end is acknowledged, even if the task has been started again.
    if (ended.end == RunEnd::Failed && task.phase != TaskPhase::Done)
        this->recordTaskFailure(job, ended.task, task, ended.run);
    this->dropInheritedStart(ended.task, task, ended.run);
    // An abandoned run may have completed before its lease expired. Its end counts unless the task was started again.
    if (task.phase != TaskPhase::Waiting || ended.run < task.run)
        return;
    task.run = ended.run;
    if (!ended.checkpoint.empty())
        task.checkpoint = ended.checkpoint;
    if (ended.end == RunEnd::Done)
        this->completeTask(job, ended.task, task);
}

// Ends a run and sets the next phase of its task.
void JobScheduler::endRun(Server& server, std::map<TaskId, Run>::iterator run, RunEnd end, bool reported)
{
    const auto id = run->first;
    auto& job = *run->second.job;
    auto& task = *run->second.task;
    const auto& step = job.spec.steps[static_cast<std::size_t>(id.step)];
    const auto now = this->clock.now();
    if (end != RunEnd::Done || !reported)
        this->hooks.log("run ended",
            { { "job", id.job }, { "task", taskText(id) }, { "run", run->second.number },
                { "server", server.record.id }, { "end", runEndName(end) }, { "listed", reported } });
    this->releaseRun(server, run);
    if (end == RunEnd::Done && server.suspicion.recordSuccess(task.startedAt))
        this->logCleared(server, "a task on it is done");
    if (job.isOver())
        return;
    if (step.longRunning && now - task.startedAt < longRunningRestartDelay * 2)
        task.notBefore = now + longRunningRestartDelay;
    if (end == RunEnd::Done) {
        this->completeTask(job, id, task);
    } else if (end == RunEnd::Failed) {
        task.avoidedServer = server.record.id;
        if (!step.longRunning)
            this->recordServerFailure(server, job, task.startedAt, "a task failed on it");
        this->recordTaskFailure(job, id, task, task.run);
    }
}

void JobScheduler::dropInheritedStart(const TaskId& id, Task& task, int laterRun)
{
    const bool isInDoubt = task.phase == TaskPhase::Unconfirmed || task.phase == TaskPhase::Stopping;
    if (!isInDoubt || task.evidence != RunEvidence::None || laterRun <= task.run)
        return;
    auto& server = *task.server;
    this->releaseRun(server, server.runs.find(id));
}

void JobScheduler::releaseRun(Server& server, std::map<TaskId, Run>::iterator run)
{
    const auto& state = run->second;
    this->teamAllocations[state.job->spec.team] -= state.spec().taskResources;
    state.task->server = nullptr;
    setPhase(state.progress(), *state.task, TaskPhase::Waiting);
    this->changedServices.insert(state.job->service);
    server.suspicion.taskReleased(run->first);
    server.removeRun(run);
}

void JobScheduler::completeTask(JobRecord& job, const TaskId& id, Task& task)
{
    const auto number = static_cast<std::size_t>(id.step);
    const auto& spec = job.spec.steps[number];
    if (spec.longRunning)
        return;
    auto& step = job.activeOccurrences.at(id.occurrence).steps[number];
    setPhase(step, task, TaskPhase::Done);
    if (spec.gang) {
        // The end of one member completes the whole gang. The ends of the other members are reported too, but need not
        // be awaited.
        forEachRun(job, [this, &id](Server& server, auto run) {
            const auto& other = run->first;
            if (other.occurrence == id.occurrence && other.step == id.step)
                this->releaseRun(server, run);
        });
        for (auto& member : step.tasks)
            setPhase(step, member, TaskPhase::Done);
    }
    this->markUnsaved(job);
    if (step.isComplete())
        this->completeOccurrence(job, id.occurrence);
}

void JobScheduler::completeOccurrence(JobRecord& job, int occurrence)
{
    const auto place = job.activeOccurrences.find(occurrence);
    if (!place->second.isComplete())
        return;
    job.activeOccurrences.erase(place);
    ++job.unsavedCompletions;
    if (job.activeOccurrences.empty() && job.nextOccurrence >= job.occurrenceCount())
        this->finishJob(job, JobStatus::Completed, "all tasks are done");
}

void JobScheduler::recordTaskFailure(JobRecord& job, const TaskId& id, Task& task, int run)
{
    const auto& step = job.spec.steps[static_cast<std::size_t>(id.step)];
    if (step.longRunning || std::ranges::find(task.failedRuns, run) != task.failedRuns.end())
        return;
    task.failedRuns.push_back(run);
    this->markUnsaved(job);
    if (static_cast<int>(task.failedRuns.size()) >= job.maxFailedRuns)
        this->finishJob(job, JobStatus::Failed, "a task failed too often");
}

void JobScheduler::applyRunning(Server& server, const RunningTask& running, TimePoint sentAt, bool namesIncarnation)
{
    const auto evidence = namesIncarnation ? RunEvidence::Report : RunEvidence::Answer;
    auto place = server.runs.find(running.task);
    if (place != server.runs.end()) {
        this->dropInheritedStart(running.task, *place->second.task, running.run);
        place = server.runs.find(running.task);
    }
    if (place == server.runs.end() || place->second.number != running.run) {
        if (place == server.runs.end())
            this->adoptRun(server, running, evidence);
        return;
    }
    auto& run = place->second;
    auto& task = *run.task;
    server.addEvidence(run, evidence);
    if (!running.checkpoint.empty())
        task.checkpoint = running.checkpoint;
    run.latencyMs = running.load;
    if (task.phase == TaskPhase::Starting || task.phase == TaskPhase::Unconfirmed) {
        setPhase(run.progress(), task, TaskPhase::Running);
        task.confirmedAt = this->clock.now();
        if (run.job->state == JobStatus::Pending) {
            run.job->state = JobStatus::Running;
            this->markUnsaved(*run.job);
        }
    }
    if (sentAt >= task.startedAt)
        this->checkStall(server, running.task, run, running);
}

// Takes over a run that an earlier leader started, or stops a run that no job needs.
void JobScheduler::adoptRun(Server& server, const RunningTask& running, RunEvidence evidence)
{
    const auto orphan = server.orphans.find(running.task);
    const auto listedAt = orphan == server.orphans.end() ? this->clock.now() : orphan->second.listedAt;
    const auto use = this->judgeEvidence(running.task, listedAt);
    auto* job = this->jobTable.find(running.task.job);
    auto* task = use == EvidenceUse::Apply ? job->find(running.task) : nullptr;
    if (task)
        this->dropInheritedStart(running.task, *task, running.run);
    if (!task || task->phase != TaskPhase::Waiting || running.run < task->run) {
        this->addOrphan(server, running, job, listedAt);
        if (use != EvidenceUse::Keep)
            this->stopOrphan(server, running, job != nullptr);
        return;
    }
    this->dropOrphans(server, [&running](const TaskId& id, int) { return id == running.task; });
    this->assignRun(*job, running.task, server, running.run, TaskPhase::Running, evidence, this->clock.now());
    task->progressPercent = running.progressPercent;
    if (!running.checkpoint.empty())
        task->checkpoint = running.checkpoint;
    server.runs.at(running.task).latencyMs = running.load;
    if (job->state == JobStatus::Pending) {
        job->state = JobStatus::Running;
        this->markUnsaved(*job);
    }
    this->hooks.log("run of an earlier lead is taken over",
        { { "job", running.task.job }, { "task", taskText(running.task) }, { "run", running.run },
            { "server", server.record.id }, { "percent", running.progressPercent } });
}

void JobScheduler::stopOrphan(const Server& server, const RunningTask& running, bool isJobKnown)
{
    this->hooks.log("run that is not needed is stopped",
        { { "job", running.task.job }, { "task", taskText(running.task) }, { "run", running.run },
            { "server", server.record.id }, { "job_known", isJobKnown } });
    this->hooks.stop(server.record, { running.task, running.run, server.orderFence });
}

void JobScheduler::addOrphan(Server& server, const RunningTask& running, const JobRecord* job, TimePoint listedAt)
{
    const auto [place, added] = server.orphans.try_emplace(running.task);
    auto& orphan = place->second;
    orphan.run = running.run;
    orphan.listedAt = listedAt;
    const auto step = static_cast<std::size_t>(running.task.step);
    if (!added || !job || step >= job->spec.steps.size())
        return;
    orphan.team = job->spec.team;
    orphan.resources = job->spec.steps[step].taskResources;
    this->teamAllocations[orphan.team] += orphan.resources;
}

void JobScheduler::dropOrphans(Server& server, const std::function<bool(const TaskId&, int run)>& ended)
{
    std::erase_if(server.orphans, [&](const auto& entry) {
        const auto& [id, orphan] = entry;
        if (!ended(id, orphan.run))
            return false;
        this->teamAllocations[orphan.team] -= orphan.resources;
        return true;
    });
}

// Handles runs that are missing from a report that should list them.
void JobScheduler::applyMissingRuns(Server& server, TimePoint sentAt, const RenewReport& report)
{
    if (report.ended.size() >= maxEndsPerReport) {
        this->fullReporters.insert(&server);
        return;
    }
    this->fullReporters.erase(&server);
    const auto isReported = [&report](const TaskId& id, int run) {
        return std::ranges::any_of(
            report.running, [&](const RunningTask& running) { return running.run == run && running.task == id; });
    };
    this->dropOrphans(server, [&isReported](const TaskId& id, int run) { return !isReported(id, run); });
    for (auto run = server.runs.begin(); run != server.runs.end();) {
        const auto current = run++;
        auto& task = *current->second.task;
        if (sentAt <= task.confirmedAt || isReported(current->first, current->second.number))
            continue;
        if (task.phase == TaskPhase::Unconfirmed)
            this->requestStop(server, current->first, current->second, "its start was not answered");
        else if (task.phase == TaskPhase::Running)
            this->endRun(server, current, RunEnd::LeaseExpired, false);
        else if (task.phase == TaskPhase::Stopping && task.stopConfirmed)
            this->endRun(server, current, RunEnd::Stopped, false);
    }
}

void JobScheduler::checkStall(Server& server, const TaskId& id, Run& run, const RunningTask& running)
{
    auto& task = *run.task;
    const auto now = this->clock.now();
    const auto& step = run.spec();
    if (running.progressPercent != task.progressPercent) {
        task.progressPercent = running.progressPercent;
        task.progressChangedAt = now;
        return;
    }
    const bool atWork = step.longRunning && running.progressPercent >= 100;
    const auto allowed = std::max(minStallTime, step.estimatedDuration / stallDivisor);
    if (step.bestEffort || atWork || task.phase != TaskPhase::Running || now - task.progressChangedAt < allowed)
        return;
    task.avoidedServer = server.record.id;
    this->recordServerFailure(server, *run.job, task.startedAt, "a task stalled on it");
    this->requestStop(server, id, run, "it makes no progress");
}

void JobScheduler::recordServerFailure(
    Server& server, const JobRecord& job, TimePoint startedAt, std::string_view reason)
{
    const auto now = this->clock.now();
    if (!server.suspicion.recordFailure(job.spec.id, startedAt, now))
        return;
    const auto& service = server.record.service;
    const auto [members, failing] = this->countFailingServers(service);
    if (failing > maxSuspectCount(members)) {
        server.suspicion.endSuspicion();
        this->hooks.log("failures are not counted against a backend server",
            { { "server", server.record.id }, { "service", service }, { "reason", reason }, { "failing", failing },
                { "servers", members } });
        return;
    }
    server.suspicion.eject(now);
    this->hooks.log("backend server gets no tasks for a while",
        { { "server", server.record.id }, { "service", service }, { "reason", reason },
            { "for_ms", server.suspicion.ejectionTime().count() } });
}

// Throttles the best-effort tasks of a server while a latency-sensitive task on it is close to its latency target.
void JobScheduler::adjustThrottles(Server& server)
{
    std::int64_t worst = 0; // percent of the target
    for (const auto& [id, run] : server.runs) {
        const auto target = run.spec().latencyTarget;
        if (target > Duration(0))
            worst = std::max(worst, run.latencyMs * 100 / target.count());
    }
    for (auto& [id, run] : server.runs) {
        auto& task = *run.task;
        if (!run.spec().bestEffort || task.phase != TaskPhase::Running)
            continue;
        int speed = task.speedPercent;
        if (worst > throttleAbovePercent)
            speed = std::max(minSpeedPercent, speed / 2);
        else if (worst < unthrottleBelowPercent && speed < 100)
            speed = std::min(100, speed + std::max(5, speed / 4));
        if (speed == task.speedPercent)
            continue;
        task.speedPercent = speed;
        this->hooks.log("filling task changes its pace",
            { { "job", id.job }, { "task", taskText(id) }, { "server", server.record.id }, { "percent", speed },
                { "latency_of_target", worst } });
        this->hooks.throttle(server.record, { id, run.number, speed, server.orderFence });
    }
}

void JobScheduler::abandonRuns(Server& server, std::string_view reason)
{
    this->hooks.log("runs of a backend server are lost",
        { { "server", server.record.id }, { "reason", reason }, { "runs", server.runs.size() } });
    while (!server.runs.empty())
        this->endRun(server, server.runs.begin(), RunEnd::LeaseExpired, false);
}

void JobScheduler::abandonLeasedRuns(Server& server)
{
    // A start without an answer may have reached a later incarnation, or may do so, and then has a lease of its own.
    const auto hasEnded = [this](const Task& task) {
        return task.evidence != RunEvidence::None || this->clock.now() - task.startedAt > this->rules.maxStrayLease();
    };
    const auto lost
        = std::ranges::count_if(server.runs, [&hasEnded](const auto& entry) { return hasEnded(*entry.second.task); });
    if (lost == 0)
        return;
    const auto unanswered = static_cast<std::int64_t>(server.runs.size()) - lost;
    this->hooks.log("runs of a backend server are lost",
        { { "server", server.record.id }, { "reason", "its lease has expired" }, { "runs", lost },
            { "unanswered_starts", unanswered } });
    this->endRunsOfIncarnation(server, hasEnded);
}

void JobScheduler::abandonDoubtfulRuns(Server& server)
{
    const auto hasEnded = [this, &server](const Task& task) {
        return this->clock.now() - std::max(server.incarnationSeenAt, task.startedAt) > this->rules.maxStrayLease();
    };
    const auto lost
        = std::ranges::count_if(server.runs, [&hasEnded](const auto& entry) { return hasEnded(*entry.second.task); });
    if (lost == 0)
        return;
    this->hooks.log("runs of a backend server are lost",
        { { "server", server.record.id }, { "reason", "its new incarnation has not answered" }, { "runs", lost } });
    this->endRunsOfIncarnation(server, hasEnded);
}

// The incarnation has ended, and no order sent to it can be carried out any more.
void JobScheduler::endIncarnation(Server& server, std::string_view reason)
{
    this->abandonRuns(server, reason);
    this->resetIncarnation(server);
}

// Ends the runs that belonged to the incarnation that has ended. All others may be in a later incarnation under the
// same id: an answer to a start does not name the incarnation, and an unanswered start may still arrive there. They
// stay unconfirmed until a report lists them or a stop is confirmed.
void JobScheduler::endRunsOfIncarnation(Server& server, const std::function<bool(const Task&)>& hasEnded)
{
    for (auto run = server.runs.begin(); run != server.runs.end();) {
        const auto current = run++;
        auto& task = *current->second.task;
        if (hasEnded(task)) {
            this->endRun(server, current, RunEnd::LeaseExpired, false);
            continue;
        }
        if (task.phase == TaskPhase::Starting || task.phase == TaskPhase::Running) {
            setPhase(current->second.progress(), task, TaskPhase::Unconfirmed);
            if (task.evidence == RunEvidence::None)
                task.confirmedAt = this->clock.now();
            this->hooks.log("incarnation of a run is in doubt",
                { { "job", current->first.job }, { "task", taskText(current->first) },
                    { "run", current->second.number }, { "server", server.record.id },
                    { "answered", task.evidence != RunEvidence::None } });
        }
        task.stopConfirmed = false;
    }
}

// Only the server can say which incarnation exists, so it is asked at once, and gets no tasks before it has answered.
void JobScheduler::expectIncarnation(Server& server, std::string_view evidence)
{
    this->hooks.log("backend server may have started again",
        { { "server", server.record.id }, { "runs", server.runs.size() }, { "evidence", evidence } });
    server.fenceConfirmed = false;
    server.isDown = false;
    // The new incarnation has not seen a fence, so delayed orders of an earlier leader may still be carried out there.
    server.inherited = true;
    server.inheritedLeaseEnd.reset();
    this->expectStrayOrders(server);
    // Orders that were sent to the earlier incarnation may still arrive.
    this->raiseFence(server);
    server.incarnationSeenAt = this->clock.now();
    server.unresponsiveSince = this->clock.now();
    // A renewal in flight may wait for the earlier incarnation.
    server.renewing = false;
    this->scheduleRenewal(server, this->clock.now());
}

// Handles a report of a later incarnation, which has no state of the earlier one.
void JobScheduler::beginIncarnation(Server& server)
{
    this->endRunsOfIncarnation(server, [](const Task& task) { return task.evidence == RunEvidence::Report; });
    this->hooks.log("backend server has started again",
        { { "server", server.record.id }, { "doubtful_runs", server.runs.size() } });
    this->resetIncarnation(server);
}

void JobScheduler::resetIncarnation(Server& server)
{
    server.fenceConfirmed = false;
    server.inherited = false;
    server.useRecorded = false;
    server.lastProcessedEnd = 0;
    server.lastStoredEnd = 0;
    server.lastAcknowledgedEnd = 0;
    server.sentAcknowledgement = 0;
    server.unacknowledgedEnds.clear();
    server.keptEnds.clear();
    this->fullReporters.erase(&server);
    this->dropOrphans(server, [](const TaskId&, int) { return true; });
    server.reportClock = 0;
    server.leaseUntil = 0;
    server.suspicion = {};
    this->raiseFence(server);
    server.incarnationSeenAt = this->clock.now();
}

} // namespace waxwinglug
