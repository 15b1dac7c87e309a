// Orders to backend servers: starts, stops, holds, and what their answers mean.
#include "job/scheduler.h"

#include <algorithm>

namespace waxwinglug {

using detail::JobRecord;
using detail::Occurrence;
using detail::Run;
using detail::Server;
using detail::Task;
using detail::TaskPhase;
using detail::taskText;

namespace {

    // Run numbers of one lead are below this; the next lead's are above, so they rise without a stored count.
    constexpr std::uint64_t runsPerLead = 10'000;
    // Pause before a stop without an answer is sent again: a few round trips, below the time a stop may take.
    constexpr Duration stopRepeat { 300 };
    // Pause between hold calls to a server that does not answer.
    constexpr Duration holdRepeat { 250 };
    // A server whose ends are not stored yet would answer at once; this is the pause while the store is slow.
    constexpr Duration unstoredPause { 150 };
    // An order without an answer is carried out at most this much later. Those of an earlier life name times on its
    // clock, which a new life takes for times far ahead, so its lease may be as long as leases can be.
    constexpr Duration longestDelay { 12'000 };
    // Pause before a task is started again after a refused start.
    constexpr Duration refusedPause { 100 };
    // Pause before new starts at a server that has refused one for its health or room.
    constexpr Duration unhealthyPause { 400 };

} // namespace

int JobScheduler::nextRun(std::span<const Task> tasks) const
{
    const int base = static_cast<int>((this->rules.fence - 1) * runsPerLead);
    int highest = base;
    for (const auto& task : tasks)
        highest = std::max(highest, task.run);
    return highest + 1;
}

void JobScheduler::startTask(
    JobRecord& job, Occurrence& occurrence, std::size_t step, std::size_t index, Server& server, int run)
{
    auto& progress = occurrence.steps[step];
    auto& task = progress.tasks[index];
    const auto now = this->clock.now();
    const TaskId id { job.spec.id, occurrence.number, static_cast<int>(step), static_cast<int>(index) };
    setPhase(progress, task, TaskPhase::Starting);
    task.run = run;
    task.server = &server;
    task.startedAt = now;
    task.progressPercent = 0;
    task.progressChangedAt = now;
    task.speedPercent = 100;
    task.startConfirmed = false;
    task.stopConfirmed = false;
    const auto room = reservedResources(job.spec.steps[step]);
    server.allocated += room;
    this->teamUse[job.spec.team] += job.spec.steps[step].taskResources;
    server.runs.insert_or_assign(id, Run { &job, occurrence.number, static_cast<int>(step), &task, run, room, 0 });
    const auto until = server.clockAt(now) + this->rules.startValidity.count();
    server.leaseUntil = std::max(server.leaseUntil, until);
    this->hooks.log("task started",
        { { "job", job.spec.id }, { "task", taskText(id) }, { "run", run }, { "server", server.record.id },
            { "report_age_ms", (now - server.lastReportAt).count() }, { "free_cpu", server.freeCapacity().cpu } });
    this->hooks.start(
        server.record, { id, run, job.spec.command, until, this->rules.fence, task.checkpoint, std::string() });
}

void JobScheduler::startAnswered(std::string_view serverId, const TaskId& id, int runNumber, OrderStatus status)
{
    const auto place = this->serverMap.find(serverId);
    if (place == this->serverMap.end())
        return;
    auto& server = *place->second;
    const auto run = server.runs.find(id);
    if (status == OrderStatus::FenceTooLow)
        this->reportSuperseded(server);
    if (run == server.runs.end() || run->second.number != runNumber)
        return;
    auto& task = *run->second.task;
    if (task.phase != TaskPhase::Starting)
        return;
    auto& job = *run->second.job;
    const auto now = this->clock.now();
    auto& step = job.activeOccurrences.at(id.occurrence).steps[static_cast<std::size_t>(id.step)];
    if (status == OrderStatus::Accepted) {
        setPhase(step, task, TaskPhase::Running);
        task.startConfirmed = true;
        task.confirmedAt = now;
        if (job.state == JobStatus::Pending) {
            job.state = JobStatus::Running;
            this->markUnsaved(job);
        }
        return;
    }
    this->hooks.log("start was not confirmed",
        { { "job", id.job }, { "task", taskText(id) }, { "run", runNumber }, { "server", serverId },
            { "status", orderStatusName(status) } });
    if (status == OrderStatus::Unknown) {
        setPhase(step, task, TaskPhase::Unconfirmed);
        task.confirmedAt = now;
        return;
    }
    if (status == OrderStatus::Unhealthy || status == OrderStatus::NoCapacity || status == OrderStatus::NotSent)
        server.backoffUntil = now + unhealthyPause;
    if (status == OrderStatus::Unhealthy)
        this->noteTrouble(server, job, "it refused a start");
    this->releaseRun(server, run);
    task.notBefore = now + refusedPause;
    if (status == OrderStatus::OtherIncarnation)
        this->endLife(server, "another server has its address");
}

void JobScheduler::requestStop(Server& server, const TaskId& id, Run& run, std::string_view reason)
{
    auto& task = *run.task;
    if (task.phase == TaskPhase::Stopping)
        return;
    setPhase(run.progress(), task, TaskPhase::Stopping);
    task.stopConfirmed = false;
    this->hooks.log("task is stopped",
        { { "job", id.job }, { "task", taskText(id) }, { "run", run.number }, { "server", server.record.id },
            { "reason", reason } });
    this->sendStop(server, id, run);
}

void JobScheduler::sendStop(Server& server, const TaskId& id, Run& run)
{
    run.task->stopSentAt = this->clock.now();
    this->hooks.stop(server.record, { id, run.number, this->rules.fence });
}

void JobScheduler::stopAnswered(std::string_view serverId, const TaskId& id, int runNumber, OrderStatus status)
{
    const auto place = this->serverMap.find(serverId);
    if (place == this->serverMap.end())
        return;
    auto& server = *place->second;
    if (status == OrderStatus::FenceTooLow)
        this->reportSuperseded(server);
    if (status == OrderStatus::OtherIncarnation) {
        this->endLife(server, "another server has its address");
        return;
    }
    const auto run = server.runs.find(id);
    if (run == server.runs.end() || run->second.number != runNumber || status != OrderStatus::Accepted)
        return;
    run->second.task->stopConfirmed = true;
    run->second.task->confirmedAt = this->clock.now();
}

void JobScheduler::repeatStops()
{
    const auto now = this->clock.now();
    for (auto& [serverId, server] : this->serverMap) {
        if (!server->isReachable())
            continue;
        for (auto& [id, run] : server->runs) {
            auto& task = *run.task;
            if (task.phase == TaskPhase::Stopping && !task.stopConfirmed && now - task.stopSentAt > stopRepeat)
                this->sendStop(*server, id, run);
        }
    }
}

void JobScheduler::sendDueHolds()
{
    const auto now = this->clock.now();
    for (auto& [id, server] : this->serverMap) {
        if (!server->renewing && now >= server->nextRenewalAt)
            this->sendHold(*server);
    }
}

void JobScheduler::sendHold(Server& server)
{
    RenewOrder order;
    order.fence = this->rules.fence;
    // The ends of a new life are numbered anew. A server that does not answer may have started again, and would take an
    // acknowledgement of its earlier life for one of its own ends.
    order.lastStoredEnd = server.missedRenewals > 0 ? 0 : server.lastStoredEnd;
    // The lease of a server that does not answer is not extended: its work could then never start elsewhere.
    if (server.isReachable()) {
        const auto until = server.clockAt(this->clock.now()) + this->rules.lease.count();
        order.leaseUntil = until;
        server.leaseUntil = std::max(server.leaseUntil, until);
    }
    // A server with runs in an unclear phase is asked for its lists at once.
    const bool unclear = std::ranges::any_of(server.runs, [](const auto& entry) {
        return entry.second.task->phase == TaskPhase::Unconfirmed
            || (entry.second.task->phase == TaskPhase::Stopping && entry.second.task->stopConfirmed);
    });
    const bool waits = server.isReachable() && server.unacknowledgedEnds.empty();
    if (waits)
        order.maxWait = unclear ? Duration(100) : this->rules.maxRenewWait;
    server.renewing = true;
    this->hooks.renewLease(server.record, order);
}

void JobScheduler::renewAnswered(
    std::string_view serverId, TimePoint sentAt, OrderStatus status, const RenewReport& report)
{
    const auto place = this->serverMap.find(serverId);
    if (place == this->serverMap.end())
        return;
    auto& server = *place->second;
    const auto now = this->clock.now();
    server.renewing = false;
    if (status != OrderStatus::Accepted) {
        if (server.missedRenewals == 0 && !server.inherited)
            server.unresponsiveSince = now;
        if (server.missedRenewals++ == 0)
            this->hooks.log("backend server does not answer",
                { { "server", serverId }, { "status", orderStatusName(status) }, { "runs", server.runs.size() },
                    { "lease_left_ms", server.leaseUntil - server.clockAt(now) } });
        server.nextRenewalAt = now + holdRepeat;
        if (status == OrderStatus::FenceTooLow)
            this->reportSuperseded(server);
        if (status == OrderStatus::OtherIncarnation)
            this->endLife(server, "another server has its address");
        return;
    }
    if (report.startedAt && *report.startedAt < server.record.startedAt) {
        // An answer of an earlier life that was under way.
        server.nextRenewalAt = now;
        return;
    }
    if (report.startedAt && *report.startedAt > server.record.startedAt) {
        this->beginNewLife(server);
        server.record.startedAt = *report.startedAt;
    }
    if (server.missedRenewals > 0 && server.fenceConfirmed)
        this->hooks.log(
            "backend server answers again", { { "server", serverId }, { "missed", server.missedRenewals } });
    if (!server.fenceConfirmed && server.incarnationSeenAt != TimePoint {})
        server.leaseUntil = report.clock + longestDelay.count() + this->rules.maxLease.count();
    server.fenceConfirmed = true;
    server.inherited = false;
    server.missedRenewals = 0;
    server.lastReportAt = now;
    server.reportClock = report.clock;
    for (const auto& ended : report.ended)
        this->applyEnd(server, ended);
    for (const auto& running : report.running)
        this->applyRunning(server, running, sentAt);
    this->applyMissing(server, sentAt, report);
    this->adjustPaces(server);
    this->advanceStoredEnds();
    server.nextRenewalAt = server.unacknowledgedEnds.empty() ? now : now + unstoredPause;
}

void JobScheduler::reportSuperseded(const Server& server)
{
    this->hooks.log(
        "a backend server has seen a later fence", { { "server", server.record.id }, { "fence", this->rules.fence } });
    this->hooks.onSuperseded();
}

} // namespace waxwinglug
