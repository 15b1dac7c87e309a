// What reports of backend servers change: ends, runs of an earlier lead, runs that are missing, stalls, and servers
// that started again.
#include "job/scheduler.h"

#include <algorithm>
#include <iterator>

namespace waxwinglug {

std::string detail::taskText(const TaskId& id) { return fmt::format("{}.{}.{}", id.occurrence, id.step, id.index); }

using detail::JobRecord;
using detail::Run;
using detail::Server;
using detail::Task;
using detail::TaskPhase;
using detail::taskText;

namespace {

    // A report holds at most this many ends; a run that is missing from a full one may be in the next.
    constexpr std::size_t endsPerReport = 500;
    // A task whose progress stands still for this long is started elsewhere. Reports come about once a second.
    constexpr Duration stallTime { 1800 };
    // Progress is reported in whole percent, so a long task may show none for this share of its run time.
    constexpr int stallShare = 20;
    // Troubles with different jobs in a row after which a server is ejected. One in thirty jobs fails by its own fault.
    constexpr int mostTroubles = 3;
    // First pause of an ejected server; each further one is twice as long, up to the last.
    constexpr Duration firstEjection { 2000 };
    constexpr Duration longestEjection { 16'000 };
    // Pause before a lasting task that ended right after its start is started again.
    constexpr Duration lastingPause { 300 };
    // Filling tasks are slowed when the tail latency beside them passes this share of the target, in percent.
    constexpr std::int64_t slowAbove = 85;
    // They are sped up again below this share.
    constexpr std::int64_t speedUpBelow = 60;
    constexpr int leastPace = 5; // percent; a task at rest would never show that the room is back

} // namespace

void JobScheduler::applyEnd(Server& server, const EndedRun& ended)
{
    if (ended.number <= server.lastProcessedEnd)
        return;
    server.lastProcessedEnd = ended.number;
    auto* job = this->jobTable.find(ended.task.job);
    auto* task = job ? job->find(ended.task) : nullptr;
    const auto run = server.runs.find(ended.task);
    if (run != server.runs.end() && run->second.number == ended.run) {
        if (!ended.checkpoint.empty())
            run->second.task->checkpoint = ended.checkpoint;
        this->endRun(server, run, ended.end, true);
    } else if (task && !job->isOver()) {
        this->applyUnknownEnd(*job, *task, ended);
    }
    server.unacknowledgedEnds.push_back({ ended.number, job && job->changeSequence != 0 ? job->changeSequence : 0 });
}

// The end of a run that an earlier lead started, or of one that was given up because its server was not reached.
void JobScheduler::applyUnknownEnd(JobRecord& job, Task& task, const EndedRun& ended)
{
    // A failure counts as soon as its end is acknowledged, even if the task has been started again.
    if (ended.end == RunEnd::Failed && task.phase != TaskPhase::Done)
        this->taskFailed(job, ended.task, task, ended.run);
    // A run that was given up because its server was silent may have been done before its lease ended. Its end counts
    // unless the task was started again.
    if (task.phase != TaskPhase::Waiting || ended.run < task.run)
        return;
    task.run = ended.run;
    if (!ended.checkpoint.empty())
        task.checkpoint = ended.checkpoint;
    if (ended.end == RunEnd::Done)
        this->taskDone(job, ended.task, task);
}

// Ends a run and gives its task its next phase.
void JobScheduler::endRun(Server& server, std::map<TaskId, Run>::iterator run, RunEnd end, bool listed)
{
    const auto id = run->first;
    auto& job = *run->second.job;
    auto& task = *run->second.task;
    const auto& step = job.spec.steps[static_cast<std::size_t>(id.step)];
    const auto now = this->clock.now();
    if (end != RunEnd::Done || !listed)
        this->hooks.log("run ended",
            { { "job", id.job }, { "task", taskText(id) }, { "run", run->second.number },
                { "server", server.record.id }, { "end", runEndName(end) }, { "listed", listed } });
    this->releaseRun(server, run);
    if (job.isOver())
        return;
    if (step.longRunning && now - task.startedAt < lastingPause * 2)
        task.notBefore = now + lastingPause;
    if (end == RunEnd::Done) {
        server.consecutiveFailures = 0;
        server.probing = false;
        server.ejection = Duration(0);
        this->taskDone(job, id, task);
    } else if (end == RunEnd::Failed) {
        task.avoidedServer = server.record.id;
        if (!step.longRunning)
            this->noteTrouble(server, job, "a task failed there");
        this->taskFailed(job, id, task, task.run);
    }
}

void JobScheduler::releaseRun(Server& server, std::map<TaskId, Run>::iterator run)
{
    const auto& state = run->second;
    server.allocated -= state.reserved;
    this->teamUse[state.job->spec.team] -= state.spec().taskResources;
    state.task->server = nullptr;
    setPhase(state.progress(), *state.task, TaskPhase::Waiting);
    this->touched.insert(state.job->service);
    server.runs.erase(run);
}

void JobScheduler::taskDone(JobRecord& job, const TaskId& id, Task& task)
{
    const auto number = static_cast<std::size_t>(id.step);
    const auto& spec = job.spec.steps[number];
    if (spec.longRunning)
        return;
    auto& step = job.activeOccurrences.at(id.occurrence).steps[number];
    setPhase(step, task, TaskPhase::Done);
    if (spec.gang) {
        // One member's end stands for all; the others are listed as well, but nothing waits for that.
        for (auto& [serverId, server] : this->serverMap) {
            for (auto run = server->runs.begin(); run != server->runs.end();) {
                const auto current = run++;
                const auto& other = current->first;
                if (other.job == id.job && other.occurrence == id.occurrence && other.step == id.step)
                    this->releaseRun(*server, current);
            }
        }
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
    if (job.activeOccurrences.empty() && job.nextOccurrence >= job.occurrenceCount())
        this->finishJob(job, JobStatus::Completed, "all tasks are done");
}

void JobScheduler::taskFailed(JobRecord& job, const TaskId& id, Task& task, int run)
{
    const auto& step = job.spec.steps[static_cast<std::size_t>(id.step)];
    if (step.longRunning || std::ranges::find(task.failedRuns, run) != task.failedRuns.end())
        return;
    task.failedRuns.push_back(run);
    this->markUnsaved(job);
    if (static_cast<int>(task.failedRuns.size()) >= job.maxFailedRuns)
        this->finishJob(job, JobStatus::Failed, "a task failed too often");
}

void JobScheduler::applyRunning(Server& server, const RunningTask& running, TimePoint sentAt)
{
    const auto place = server.runs.find(running.task);
    if (place == server.runs.end() || place->second.number != running.run) {
        if (place == server.runs.end())
            this->adopt(server, running);
        return;
    }
    auto& run = place->second;
    auto& task = *run.task;
    if (!running.checkpoint.empty())
        task.checkpoint = running.checkpoint;
    run.latencyMs = running.load;
    if (task.phase == TaskPhase::Starting || task.phase == TaskPhase::Unconfirmed) {
        setPhase(run.progress(), task, TaskPhase::Running);
        task.startConfirmed = true;
        task.confirmedAt = this->clock.now();
        if (run.job->state == JobStatus::Pending) {
            run.job->state = JobStatus::Running;
            this->markUnsaved(*run.job);
        }
    }
    if (sentAt >= task.startedAt)
        this->checkStall(server, running.task, run, running);
}

// Takes over a run that an earlier lead started, or stops one that nobody needs.
void JobScheduler::adopt(Server& server, const RunningTask& running)
{
    auto* job = this->jobTable.find(running.task.job);
    auto* task = job ? job->find(running.task) : nullptr;
    if (!task || job->isOver() || task->phase != TaskPhase::Waiting || running.run < task->run) {
        this->addOrphan(server, running, job);
        this->hooks.log("run that is not needed is stopped",
            { { "job", running.task.job }, { "task", taskText(running.task) }, { "run", running.run },
                { "server", server.record.id }, { "job_known", job != nullptr } });
        this->hooks.stop(server.record, { running.task, running.run, this->rules.fence });
        return;
    }
    const auto now = this->clock.now();
    const auto number = static_cast<std::size_t>(running.task.step);
    const auto& spec = job->spec.steps[number];
    setPhase(job->activeOccurrences.at(running.task.occurrence).steps[number], *task, TaskPhase::Running);
    task->run = running.run;
    task->server = &server;
    task->startedAt = now;
    task->startConfirmed = true;
    task->confirmedAt = now;
    task->progressPercent = running.progressPercent;
    task->progressChangedAt = now;
    if (!running.checkpoint.empty())
        task->checkpoint = running.checkpoint;
    const auto room = reservedResources(spec);
    server.allocated += room;
    this->teamUse[job->spec.team] += spec.taskResources;
    server.runs.insert_or_assign(
        running.task, Run { job, running.task.occurrence, running.task.step, task, running.run, room, running.load });
    if (job->state == JobStatus::Pending) {
        job->state = JobStatus::Running;
        this->markUnsaved(*job);
    }
    this->hooks.log("run of an earlier lead is taken over",
        { { "job", running.task.job }, { "task", taskText(running.task) }, { "run", running.run },
            { "server", server.record.id }, { "percent", running.progressPercent } });
}

void JobScheduler::addOrphan(Server& server, const RunningTask& running, const JobRecord* job)
{
    const auto [place, added] = server.orphans.try_emplace(running.task);
    auto& stray = place->second;
    stray.run = running.run;
    const auto step = static_cast<std::size_t>(running.task.step);
    if (!added || !job || step >= job->spec.steps.size())
        return;
    stray.team = job->spec.team;
    stray.resources = job->spec.steps[step].taskResources;
    this->teamUse[stray.team] += stray.resources;
}

void JobScheduler::dropOrphans(Server& server, const std::function<bool(const TaskId&, int run)>& ended)
{
    std::erase_if(server.orphans, [&](const auto& entry) {
        const auto& [id, stray] = entry;
        if (!ended(id, stray.run))
            return false;
        this->teamUse[stray.team] -= stray.resources;
        return true;
    });
}

// Runs that a report should show and does not.
void JobScheduler::applyMissing(Server& server, TimePoint sentAt, const RenewReport& report)
{
    if (report.ended.size() >= endsPerReport)
        return;
    std::set<std::pair<TaskId, int>> listed;
    for (const auto& running : report.running)
        listed.emplace(running.task, running.run);
    this->dropOrphans(server, [&listed](const TaskId& id, int run) { return !listed.contains({ id, run }); });
    for (auto run = server.runs.begin(); run != server.runs.end();) {
        const auto current = run++;
        auto& task = *current->second.task;
        if (listed.contains({ current->first, current->second.number }) || sentAt <= task.confirmedAt)
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
    const auto allowed = std::max(stallTime, step.estimatedDuration / stallShare);
    if (step.bestEffort || atWork || task.phase != TaskPhase::Running || now - task.progressChangedAt < allowed)
        return;
    task.avoidedServer = server.record.id;
    this->noteTrouble(server, *run.job, "a task stood still there");
    this->requestStop(server, id, run, "it stands still");
}

void JobScheduler::noteTrouble(Server& server, const JobRecord& job, std::string_view reason)
{
    if (server.lastFailedJob == job.spec.id)
        return;
    server.lastFailedJob = job.spec.id;
    ++server.consecutiveFailures;
    if (server.consecutiveFailures < mostTroubles && !server.probing)
        return;
    const auto now = this->clock.now();
    server.consecutiveFailures = 0;
    server.probing = true;
    server.ejection = std::clamp(server.ejection * 2, firstEjection, longestEjection);
    server.ejectedUntil = now + server.ejection;
    this->hooks.log("backend server gets no tasks for a while",
        { { "server", server.record.id }, { "reason", reason }, { "for_ms", server.ejection.count() } });
}

// Filling tasks give way when a serving task beside them comes near its latency target.
void JobScheduler::adjustPaces(Server& server)
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
        int pace = task.speedPercent;
        if (worst > slowAbove)
            pace = std::max(leastPace, pace / 2);
        else if (worst < speedUpBelow && pace < 100)
            pace = std::min(100, pace + std::max(5, pace / 4));
        if (pace == task.speedPercent)
            continue;
        task.speedPercent = pace;
        this->hooks.log("filling task changes its pace",
            { { "job", id.job }, { "task", taskText(id) }, { "server", server.record.id }, { "percent", pace },
                { "latency_of_target", worst } });
        this->hooks.throttle(server.record, { id, run.number, pace, this->rules.fence });
    }
}

void JobScheduler::loseRuns(Server& server, std::string_view reason)
{
    this->hooks.log("runs of a backend server are lost",
        { { "server", server.record.id }, { "reason", reason }, { "runs", server.runs.size() } });
    while (!server.runs.empty())
        this->endRun(server, server.runs.begin(), RunEnd::LeaseExpired, false);
}

// Another server or nobody lives where this one did: nothing that was sent to it can still be carried out.
void JobScheduler::endLife(Server& server, std::string_view reason)
{
    this->loseRuns(server, reason);
    this->forgetLife(server);
}

// The runs that the server has confirmed have ended with its life. A start that was not answered may still reach a
// later life under the same id, so it stays in doubt.
void JobScheduler::endConfirmedRuns(Server& server)
{
    for (auto run = server.runs.begin(); run != server.runs.end();) {
        const auto current = run++;
        auto& task = *current->second.task;
        if (task.startConfirmed) {
            this->endRun(server, current, RunEnd::LeaseExpired, false);
            continue;
        }
        if (task.phase == TaskPhase::Starting)
            setPhase(current->second.progress(), task, TaskPhase::Unconfirmed);
        task.stopConfirmed = false;
        task.confirmedAt = this->clock.now();
    }
}

// The server has started again under its id, and knows nothing of its earlier life.
void JobScheduler::beginNewLife(Server& server)
{
    this->endConfirmedRuns(server);
    this->hooks.log("backend server has started again",
        { { "server", server.record.id }, { "doubtful_runs", server.runs.size() } });
    this->forgetLife(server);
    // The new life has seen no fence, so orders of an earlier lead that are under way may be carried out there.
    server.inherited = true;
}

void JobScheduler::forgetLife(Server& server)
{
    server.fenceConfirmed = false;
    server.inherited = false;
    server.useRecorded = false;
    server.lastProcessedEnd = 0;
    server.lastStoredEnd = 0;
    server.unacknowledgedEnds.clear();
    this->dropOrphans(server, [](const TaskId&, int) { return true; });
    server.reportClock = 0;
    server.leaseUntil = 0;
    server.consecutiveFailures = 0;
    server.probing = false;
    server.incarnationSeenAt = this->clock.now();
}

} // namespace waxwinglug
