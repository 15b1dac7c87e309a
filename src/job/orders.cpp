// JobScheduler: start, stop and lease renewal orders to backend servers, and their answers.
#include "job/scheduler.h"

#include <algorithm>

namespace waxwinglug {

using detail::JobRecord;
using detail::Occurrence;
using detail::Run;
using detail::RunEvidence;
using detail::Server;
using detail::Task;
using detail::TaskPhase;
using detail::taskText;

namespace {

    // Run numbers available to one term. Each term uses the next range, so that run numbers increase across terms
    // without a stored counter.
    constexpr std::uint64_t runsPerTerm = 10'000;
    // Delay before an unanswered stop order is repeated: a few round trips, and shorter than a stop may take.
    constexpr Duration stopRetryInterval { 300 };
    // Delay between lease renewals of a server that does not answer.
    constexpr Duration renewRetryInterval { 250 };
    // A server with unacknowledged ends answers immediately; this delay limits the rate of renewals while the store is
    // slow.
    constexpr Duration unstoredEndsRenewDelay { 150 };
    // Delay before a task is started again after its start was refused.
    constexpr Duration refusedStartDelay { 100 };
    // Time without new starts on a server that has refused one because of its health or capacity, or that could not be
    // reached.
    constexpr Duration refusingServerBackoff { 400 };

    // Returns true if the incarnation that reported last has listed the run of a task.
    bool isReported(const Task& task) { return task.evidence == RunEvidence::Report; }

} // namespace

int JobScheduler::nextRunNumber(std::span<const Task> tasks) const
{
    const int base = static_cast<int>((this->rules.fence - 1) * runsPerTerm);
    int highest = base;
    for (const auto& task : tasks)
        highest = std::max(highest, task.run);
    return highest + 1;
}

void JobScheduler::assignRun(JobRecord& job, const TaskId& id, Server& server, int run, TaskPhase phase,
    RunEvidence evidence, TimePoint startedAt)
{
    const auto number = static_cast<std::size_t>(id.step);
    const auto& spec = job.spec.steps[number];
    auto& step = job.activeOccurrences.at(id.occurrence).steps[number];
    auto& task = step.tasks[static_cast<std::size_t>(id.index)];
    setPhase(step, task, phase);
    task.run = run;
    task.server = &server;
    task.startedAt = startedAt;
    task.confirmedAt = startedAt;
    task.progressPercent = 0;
    task.progressChangedAt = startedAt;
    task.evidence = evidence;
    task.stopConfirmed = false;
    this->teamAllocations[job.spec.team] += spec.taskResources;
    server.addRun(id, { &job, id.occurrence, id.step, &task, run, reservedResources(spec), 0 });
}

void JobScheduler::startTask(
    JobRecord& job, Occurrence& occurrence, std::size_t step, std::size_t index, Server& server, int run)
{
    auto& progress = occurrence.steps[step];
    auto& task = progress.tasks[index];
    const auto now = this->clock.now();
    const TaskId id { job.spec.id, occurrence.number, static_cast<int>(step), static_cast<int>(index) };
    this->assignRun(job, id, server, run, TaskPhase::Starting, RunEvidence::None, now);
    task.speedPercent = 100;
    this->recentStarts.push_back({ now, server.record.id, id, run });
    server.suspicion.taskStarted(id, now);
    progress.unplacedSince.reset();
    const auto until = server.clockAt(now) + this->rules.startValidity.count();
    server.leaseUntil = std::max(server.leaseUntil, until);
    this->hooks.log("task started",
        { { "job", job.spec.id }, { "task", taskText(id) }, { "run", run }, { "server", server.record.id },
            { "report_age_ms", (now - server.lastReportAt).count() }, { "free_cpu", server.freeCapacity().cpu } });
    this->hooks.start(
        server.record, { id, run, job.spec.command, until, server.orderFence, task.checkpoint, std::string() });
}

void JobScheduler::checkClock(Server& server, TimePoint sentAt, const OrderAnswer& answer)
{
    if (!answer.clock || !server.fenceConfirmed || !server.isClockOfLaterIncarnation(*answer.clock, sentAt))
        return;
    this->expectIncarnation(server, "the clock in its answer to an order");
    this->endRunsOfIncarnation(server, isReported);
}

void JobScheduler::startAnswered(std::string_view serverId, const TaskId& id, int runNumber, const OrderAnswer& answer)
{
    const auto status = answer.status;
    const auto place = this->serverMap.find(serverId);
    if (place == this->serverMap.end())
        return;
    auto& server = *place->second;
    const auto run = server.runs.find(id);
    if (run == server.runs.end() || run->second.number != runNumber)
        return;
    auto& task = *run->second.task;
    if (status == OrderStatus::FenceTooLow)
        this->handleFenceRefusal(server, task.startedAt);
    this->checkClock(server, task.startedAt, answer);
    // A start that was refused for its fence has not been carried out, whichever incarnation has refused it.
    const bool isRefusedInDoubt = status == OrderStatus::FenceTooLow && task.phase == TaskPhase::Unconfirmed;
    if (task.phase != TaskPhase::Starting && !isRefusedInDoubt)
        return;
    auto& job = *run->second.job;
    const auto now = this->clock.now();
    auto& step = job.activeOccurrences.at(id.occurrence).steps[static_cast<std::size_t>(id.step)];
    if (status == OrderStatus::Accepted) {
        setPhase(step, task, TaskPhase::Running);
        server.addEvidence(run->second, RunEvidence::Answer);
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
        // A renewal that was sent before may wait for an incarnation that has ended.
        if (server.isReachable() && server.renewing && server.renewalSentAt <= task.startedAt) {
            server.hasUnansweredStart = true;
            server.unresponsiveSince = now;
            server.renewing = false;
            this->scheduleRenewal(server, now);
        }
        return;
    }
    if (status == OrderStatus::Unhealthy || status == OrderStatus::NoCapacity || status == OrderStatus::NotSent)
        server.backoffUntil = now + refusingServerBackoff;
    if (status == OrderStatus::Unhealthy)
        this->recordServerFailure(server, job, task.startedAt, "it refused a start");
    this->releaseRun(server, run);
    task.notBefore = now + refusedStartDelay;
    if (status == OrderStatus::OtherIncarnation)
        this->handleReusedAddress(server, task.startedAt);
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
    this->hooks.stop(server.record, { id, run.number, server.orderFence });
}

void JobScheduler::stopAnswered(std::string_view serverId, const TaskId& id, int runNumber, const OrderAnswer& answer)
{
    const auto place = this->serverMap.find(serverId);
    if (place == this->serverMap.end())
        return;
    auto& server = *place->second;
    const auto run = server.runs.find(id);
    if (run == server.runs.end() || run->second.number != runNumber)
        return;
    if (answer.status == OrderStatus::FenceTooLow)
        this->handleFenceRefusal(server, run->second.task->stopSentAt);
    this->checkClock(server, run->second.task->stopSentAt, answer);
    // The run may have ended with its incarnation.
    const auto stopped = server.runs.find(id);
    if (stopped == server.runs.end() || answer.status != OrderStatus::Accepted)
        return;
    stopped->second.task->stopConfirmed = true;
    stopped->second.task->confirmedAt = this->clock.now();
}

void JobScheduler::resendStops()
{
    const auto now = this->clock.now();
    for (auto& [serverId, server] : this->serverMap) {
        if (!server->isReachable())
            continue;
        for (auto& [id, run] : server->runs) {
            auto& task = *run.task;
            if (task.phase == TaskPhase::Stopping && !task.stopConfirmed && now - task.stopSentAt > stopRetryInterval)
                this->sendStop(*server, id, run);
        }
    }
}

// Sets the time of the next renewal. While one is in flight, its answer sets the time again.
void JobScheduler::scheduleRenewal(Server& server, TimePoint at)
{
    this->renewalQueue.erase({ server.nextRenewalAt, server.serial });
    server.nextRenewalAt = at;
    if (!server.renewing)
        this->renewalQueue.emplace(std::pair(at, server.serial), &server);
}

void JobScheduler::sendDueRenewals()
{
    const auto now = this->clock.now();
    while (!this->renewalQueue.empty() && this->renewalQueue.begin()->first.first <= now) {
        auto& server = *this->renewalQueue.begin()->second;
        this->renewalQueue.erase(this->renewalQueue.begin());
        this->sendRenewal(server);
    }
}

void JobScheduler::sendRenewal(Server& server)
{
    RenewOrder order;
    order.fence = server.orderFence;
    // Each incarnation numbers its ends from 1. One that has just started would apply an acknowledgement meant for its
    // predecessor to its own ends. An acknowledgement is therefore sent once, in a renewal that does not wait, and
    // never to an unresponsive server.
    const bool acknowledges = server.isReachable() && server.lastStoredEnd > server.lastAcknowledgedEnd;
    order.lastStoredEnd = acknowledges ? server.lastStoredEnd : 0;
    server.sentAcknowledgement = order.lastStoredEnd;
    // The lease of an unresponsive server is not renewed: its tasks could otherwise never be started elsewhere. Nor is
    // it renewed beyond an end that the next leader may find in the store.
    if (server.isReachable() && server.leaseEndRecord == detail::LeaseEndRecord::None) {
        const auto until = server.clockAt(this->clock.now()) + this->rules.lease.count();
        order.leaseUntil = until;
        server.leaseUntil = std::max(server.leaseUntil, until);
    }
    // If the state of a run is unconfirmed, the server is asked to answer soon.
    const bool unclear = std::ranges::any_of(server.runs, [](const auto& entry) {
        return entry.second.task->phase == TaskPhase::Unconfirmed
            || (entry.second.task->phase == TaskPhase::Stopping && entry.second.task->stopConfirmed);
    });
    const bool mayWait = server.isReachable() && server.unacknowledgedEnds.empty() && !acknowledges;
    if (mayWait)
        order.maxWait = unclear ? Duration(100) : this->rules.maxRenewWait;
    server.renewing = true;
    server.renewalSentAt = this->clock.now();
    this->hooks.renewLease(server.record, order);
}

void JobScheduler::renewAnswered(
    std::string_view serverId, TimePoint sentAt, OrderStatus status, const RenewReport& report)
{
    const auto place = this->serverMap.find(serverId);
    if (place == this->serverMap.end())
        return;
    auto& server = *place->second;
    if (sentAt < server.renewalSentAt)
        return; // the row of a later incarnation was read meanwhile, and another renewal was sent
    const auto now = this->clock.now();
    server.renewing = false;
    if (status != OrderStatus::Accepted) {
        if (server.missedRenewals == 0 && !server.inherited)
            server.unresponsiveSince = now;
        server.missedRenewalSentAt = sentAt;
        if (server.missedRenewals++ == 0)
            this->hooks.log("backend server does not answer",
                { { "server", serverId }, { "status", orderStatusName(status) }, { "runs", server.runs.size() },
                    { "lease_left_ms", server.leaseUntil - server.clockAt(now) },
                    { "acknowledged", server.sentAcknowledgement } });
        // A later incarnation must not apply the acknowledgement to its own ends.
        if (server.sentAcknowledgement > 0)
            this->raiseFence(server);
        this->scheduleRenewal(server, now + renewRetryInterval);
        if (status == OrderStatus::FenceTooLow)
            this->handleFenceRefusal(server, sentAt);
        if (status == OrderStatus::OtherIncarnation)
            this->handleReusedAddress(server, sentAt);
        return;
    }
    if (!this->acceptIncarnation(server, sentAt, report)) {
        this->scheduleRenewal(server, now);
        return;
    }
    if (server.missedRenewals > 0 && server.fenceConfirmed)
        this->hooks.log(
            "backend server answers again", { { "server", serverId }, { "missed", server.missedRenewals } });
    // Orders to the incarnation that has ended may still arrive. Those of an earlier leader are refused from now on,
    // but may have created such a lease while this incarnation was young.
    const auto maxLease = this->rules.maxLease.count();
    const auto maxOrderDelay = this->rules.maxOrderDelay.count();
    if (server.leaseUntil == 0 && server.incarnationSeenAt != TimePoint {}) {
        server.leaseUntil = report.clock + maxOrderDelay + maxLease;
        this->expectStrayOrders(server);
    } else if (!server.fenceConfirmed && this->rules.fence > 1 && report.clock < maxOrderDelay + maxLease) {
        server.leaseUntil = std::max(server.leaseUntil, report.clock + maxLease);
    }
    server.fenceConfirmed = true;
    server.inherited = false;
    server.missedRenewals = 0;
    server.isDown = false;
    server.hasUnansweredStart = false;
    server.lastAcknowledgedEnd = std::max(server.lastAcknowledgedEnd, server.sentAcknowledgement);
    this->mayLackUseRecords
        = this->mayLackUseRecords || !server.useRecorded || server.leaseEndRecord != detail::LeaseEndRecord::None;
    server.lastReportAt = now;
    server.reportClock = report.clock;
    for (const auto& ended : report.ended)
        this->applyEnd(server, ended);
    for (const auto& running : report.running)
        this->applyRunning(server, running, sentAt, report.startedAt.has_value());
    this->applyMissingRuns(server, sentAt, report);
    this->adjustThrottles(server);
    this->acknowledgeStoredEnds(server, this->storedSequence());
    this->scheduleRenewal(server, server.unacknowledgedEnds.empty() ? now : now + unstoredEndsRenewDelay);
}

// Decides which incarnation has sent a report, and ends what belonged to an earlier one. Returns false for a delayed
// report of an earlier incarnation, which says nothing about the present one.
bool JobScheduler::acceptIncarnation(Server& server, TimePoint sentAt, const RenewReport& report)
{
    const bool isRequestedBefore = sentAt <= server.incarnationSeenAt;
    if (!report.startedAt && !server.fenceConfirmed && isRequestedBefore)
        return false;
    const auto startedAt = report.startedAt.value_or(server.record.startedAt);
    if (server.answeredIncarnation && startedAt < *server.answeredIncarnation)
        return false;
    if (startedAt < server.record.startedAt) {
        if (isRequestedBefore)
            return false;
        // An incarnation whose successor had written this row could not have answered.
        this->hooks.log("server row names a start that the server denies", { { "server", server.record.id } });
    }
    // Before its first answer, a later start than that of its row means that orders of the earlier leader may have gone
    // to an incarnation that has ended.
    if (startedAt > server.answeredIncarnation.value_or(server.record.startedAt))
        this->beginIncarnation(server);
    const bool isNew = server.answeredIncarnation != startedAt;
    if (server.record.startedAt != startedAt)
        server.isUseRecordOutdated = this->mayLackUseRecords = true;
    server.record.startedAt = startedAt;
    server.answeredIncarnation = startedAt;
    server.answeredAddress = server.record.address;
    if (isNew && report.startedAt)
        this->endEarlierIncarnations(server);
    return true;
}

// Another server has answered at the address of this one. That ends the incarnation that was there when the order was
// sent; a later one may be elsewhere.
void JobScheduler::handleReusedAddress(Server& server, TimePoint sentAt)
{
    const bool isKnownThere = !server.answeredIncarnation || server.answeredAddress == server.record.address;
    if (isKnownThere && sentAt > server.incarnationSeenAt)
        this->endIncarnation(server, "another server has its address");
}

void JobScheduler::raiseFence(Server& server)
{
    this->latestOrderFence = std::min(this->latestOrderFence + 1, this->rules.lastOrderFence());
    server.orderFence = this->latestOrderFence;
    server.fenceRaisedAt = this->clock.now();
}

void JobScheduler::handleFenceRefusal(const Server& server, TimePoint sentAt)
{
    if (sentAt <= server.fenceRaisedAt)
        return; // a later order of this leader has arrived before
    this->hooks.log(
        "a backend server has seen a later fence", { { "server", server.record.id }, { "fence", server.orderFence } });
    this->hooks.onSuperseded();
}

} // namespace waxwinglug
