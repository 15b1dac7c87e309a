// The scheduler's state: configuration, jobs, servers, and what is to be stored.
#include "job/scheduler.h"

#include <algorithm>

namespace waxwinglug {

using detail::Job;
using detail::Server;
using detail::TaskPhase;

namespace {

    // With fewer servers, silent ones say little about this node.
    constexpr int leastServersForCut = 4;
    // An order without an answer is carried out at most 12 s later, and leases end at most 10 s after that.
    constexpr Duration longestDoubt { 22'000 };

} // namespace

std::string_view statusName(OrderStatus status)
{
    switch (status) {
    case OrderStatus::Accepted:
        return "accepted";
    case OrderStatus::FenceTooLow:
        return "fence-too-low";
    case OrderStatus::RunTooOld:
        return "run-too-old";
    case OrderStatus::TooLate:
        return "too-late";
    case OrderStatus::NoRoom:
        return "no-room";
    case OrderStatus::TicketInvalid:
        return "ticket-invalid";
    case OrderStatus::OtherLife:
        return "other-life";
    case OrderStatus::Unhealthy:
        return "unhealthy";
    case OrderStatus::Malformed:
        return "malformed";
    case OrderStatus::NotSent:
        return "not-sent";
    case OrderStatus::Unknown:
        return "unknown";
    }
    return "";
}

Resources roomNeeded(const StepSpec& step)
{
    auto need = step.need;
    if (step.fills)
        need.cpu = 0;
    return need;
}

JobScheduler::JobScheduler(JobSchedulerRules schedulerRules, Clock source, JobSchedulerHooks schedulerHooks)
    : rules(schedulerRules)
    , clock(std::move(source))
    , hooks(std::move(schedulerHooks))
    , begunAt(clock.now())
    , config(std::make_shared<FleetConfig>())
{
}

JobScheduler::~JobScheduler() = default;

void JobScheduler::setConfig(std::shared_ptr<const FleetConfig> newConfig)
{
    this->config = std::move(newConfig);
    for (const auto& [id, job] : this->jobTable.all())
        this->applyQueue(*job);
}

// Copies the rules of the job's queue. A job whose queue was removed keeps the last ones.
void JobScheduler::applyQueue(Job& job)
{
    const auto* queue = this->config->queue(job.spec.queue);
    if (!queue)
        return;
    if (!job.isOver() && job.service != queue->service) {
        this->activeJobs[job.service].erase(&job);
        this->activeJobs[queue->service].insert(&job);
    }
    job.service = queue->service;
    job.priority = queue->priority;
    job.retries = std::max(queue->retries, 1);
    job.stretch = queue->stretch;
    job.slack = queue->slack;
    job.needsAdvice = queue->needsAdvice;
}

void JobScheduler::addJob(JobSpec spec, bool inherited)
{
    const auto id = spec.id;
    if (!this->jobTable.add(std::move(spec)))
        return;
    auto& job = *this->jobTable.find(id);
    this->activeJobs[job.service].insert(&job);
    this->applyQueue(job);
    if (inherited)
        this->inheritedJobs.insert(&job);
    detail::JobTable::openDue(job, this->clock.wallNow());
    this->touched.insert(job.service);
    if (!inherited)
        this->noteArrival(job);
    if (!inherited)
        this->hooks.log("job received", { { "job", id }, { "queue", job.spec.queue }, { "team", job.spec.team } });
}

void JobScheduler::loadProgress(std::string_view id, std::string_view text, std::uint64_t rowVersion)
{
    auto* job = this->jobTable.find(id);
    if (!job)
        return;
    detail::JobTable::load(*job, text, rowVersion);
    detail::JobTable::openDue(*job, this->clock.wallNow());
    if (job->isOver()) {
        this->activeJobs[job->service].erase(job);
        job->endedAt = this->clock.now();
        this->ended.push_back(job);
    }
}

void JobScheduler::cancelJob(std::string_view id)
{
    auto* job = this->jobTable.find(id);
    if (job && !job->isOver())
        this->finishJob(*job, JobPhase::Cancelled, "cancelled by the caller");
}

void JobScheduler::addServer(ServerRecord record)
{
    auto& place = this->serverMap[record.id];
    if (!place) {
        place = std::make_unique<Server>();
        this->hooks.log("backend server listed",
            { { "server", record.id }, { "service", record.service }, { "machine", record.machine },
                { "rack", record.rack } });
    } else if (record.startedAt < place->record.startedAt) {
        return; // a row of an earlier life
    } else if (record.startedAt > place->record.startedAt) {
        this->beginNewLife(*place);
    }
    if (record.draining && !place->record.draining)
        this->hooks.log("backend server drains", { { "server", record.id } });
    place->record = std::move(record);
    place->listed = true;
    const auto& added = place->record;
    place->closing = this->closingMachines.contains(added.machine);
    place->due = this->dueMachines.contains(added.machine);
    for (const auto& [id, other] : this->serverMap) {
        const bool sameMachine = !added.machine.empty() && other->record.machine == added.machine;
        if (sameMachine && id != added.id && !other->gone && other->record.startedAt < added.startedAt) {
            this->endLife(*other, "a later server lives on its machine");
            other->gone = true;
        }
    }
    this->touched.insert(added.service);
}

void JobScheduler::addEnrolled(const ServerRecord& record)
{
    const auto* later = record.machine.empty() ? nullptr : this->serverOn(record.machine);
    if (later && later->record.id != record.id && later->record.startedAt > record.startedAt) {
        this->discharged.push_back(record.id);
        return;
    }
    auto& place = this->serverMap[record.id];
    if (!place) {
        place = std::make_unique<Server>();
        place->record = record;
        place->listed = false;
    }
    place->enrolled = place->record.startedAt == record.startedAt;
    place->inherited = true;
}

std::vector<JobScheduler::Enrolment> JobScheduler::takeEnrolments(std::size_t most)
{
    std::vector<Enrolment> changes;
    while (changes.size() < most && !this->discharged.empty()) {
        // A server that answers again under its old id stays in use.
        if (!this->serverMap.contains(this->discharged.back()))
            changes.push_back({ this->discharged.back(), std::nullopt });
        this->discharged.pop_back();
    }
    for (const auto& [id, server] : this->serverMap) {
        if (changes.size() >= most)
            break;
        if (!server->enrolled && server->answered && server->listed)
            changes.push_back({ id, server->record });
    }
    return changes;
}

void JobScheduler::enrolled(std::span<const Enrolment> stored)
{
    for (const auto& change : stored) {
        const auto server = this->serverMap.find(change.server);
        if (server == this->serverMap.end() || !change.record)
            continue;
        server->second->enrolled = true;
        this->touched.insert(change.record->service);
    }
}

void JobScheduler::notEnrolled(std::span<const Enrolment> failed)
{
    for (const auto& change : failed) {
        if (!change.record)
            this->discharged.push_back(change.server);
    }
}

void JobScheduler::removeServer(std::string_view id)
{
    const auto place = this->serverMap.find(id);
    if (place == this->serverMap.end() || !place->second->listed)
        return;
    place->second->listed = false;
    this->hooks.log("backend server is no longer listed", { { "server", id }, { "runs", place->second->runs.size() } });
}

// Notes that the job has changed and returns the ticket that is stored when the change is.
std::uint64_t JobScheduler::markUnsaved(Job& job)
{
    if (job.dirtyTicket == 0) {
        job.dirtyTicket = ++this->issuedTickets;
        this->unsaved.emplace(job.dirtyTicket, &job);
    }
    return job.dirtyTicket;
}

std::vector<ProgressWrite> JobScheduler::takeUnsaved(std::size_t most)
{
    std::vector<ProgressWrite> batch;
    while (batch.size() < most && !this->unsaved.empty()) {
        const auto [ticket, job] = *this->unsaved.begin();
        this->unsaved.erase(this->unsaved.begin());
        job->dirtyTicket = 0;
        batch.push_back({ job->spec.id, detail::JobTable::save(*job), job->rowVersion, ticket });
    }
    if (!batch.empty())
        this->inFlightTicket = batch.front().ticket;
    return batch;
}

void JobScheduler::saved(std::span<const ProgressWrite> batch, std::uint64_t rowVersion)
{
    this->inFlightTicket = 0;
    for (const auto& write : batch)
        this->progressVersion(write.job, rowVersion);
    this->advanceStoredEnds();
}

void JobScheduler::notSaved(std::span<const ProgressWrite> batch)
{
    this->inFlightTicket = 0;
    for (const auto& write : batch) {
        auto* job = this->jobTable.find(write.job);
        if (!job)
            continue;
        // The older ticket counts: ends that wait for it must not be acknowledged earlier.
        if (job->dirtyTicket != 0)
            this->unsaved.erase(job->dirtyTicket);
        job->dirtyTicket = write.ticket;
        this->unsaved.emplace(write.ticket, job);
    }
}

void JobScheduler::progressVersion(std::string_view id, std::uint64_t rowVersion)
{
    if (auto* job = this->jobTable.find(id))
        job->rowVersion = rowVersion;
}

void JobScheduler::advanceStoredEnds()
{
    auto storedThrough = this->issuedTickets;
    if (!this->unsaved.empty())
        storedThrough = std::min(storedThrough, this->unsaved.begin()->first - 1);
    if (this->inFlightTicket != 0)
        storedThrough = std::min(storedThrough, this->inFlightTicket - 1);
    for (auto& [id, server] : this->serverMap) {
        auto& waiting = server->unstoredEnds;
        while (!waiting.empty() && waiting.front().ticket <= storedThrough) {
            server->storedEnds = waiting.front().number;
            waiting.pop_front();
            server->nextHoldAt = this->clock.now();
        }
    }
}

void JobScheduler::finishJob(Job& job, JobPhase state, std::string_view reason)
{
    job.state = state;
    job.endedAt = this->clock.now();
    this->ended.push_back(&job);
    this->activeJobs[job.service].erase(&job);
    this->markUnsaved(job);
    this->hooks.log("job ended", { { "job", job.spec.id }, { "state", phaseName(state) }, { "reason", reason } });
    for (auto& [serverId, server] : this->serverMap) {
        for (auto& [id, run] : server->runs) {
            if (run.job == &job)
                this->requestStop(*server, id, run, "its job has ended");
        }
    }
}

void JobScheduler::openDueJobs()
{
    const auto now = this->clock.wallNow();
    for (auto& [service, jobs] : this->activeJobs) {
        for (auto* job : jobs) {
            if (job->nextOccurrence < job->occurrenceCount())
                detail::JobTable::openDue(*job, now);
        }
    }
}

std::vector<std::string> JobScheduler::takeExpired(std::size_t most)
{
    std::vector<std::string> expired;
    const auto now = this->clock.now();
    std::erase_if(this->ended, [&](Job* job) {
        const bool old
            = now - job->endedAt > this->rules.keepEnded && job->dirtyTicket == 0 && this->inFlightTicket == 0;
        const bool runs = std::ranges::any_of(this->serverMap, [job](const auto& entry) {
            return std::ranges::any_of(entry.second->runs, [job](const auto& run) { return run.second.job == job; });
        });
        if (!old || runs || expired.size() >= most)
            return false;
        expired.push_back(job->spec.id);
        this->inheritedJobs.erase(job);
        this->jobTable.remove(expired.back());
        return true;
    });
    return expired;
}

std::map<std::string, int> JobScheduler::waitingByQueue() const
{
    std::map<std::string, int> waiting;
    for (const auto& [service, jobs] : this->activeJobs) {
        for (const auto* job : jobs) {
            if (job->state == JobPhase::Pending)
                ++waiting[job->spec.queue];
        }
    }
    return waiting;
}

std::optional<JobPhase> JobScheduler::stateOf(std::string_view id)
{
    const auto* job = this->jobTable.find(id);
    return job ? std::optional(job->state) : std::nullopt;
}

void JobScheduler::serverStopped(std::string_view id)
{
    const auto server = this->serverMap.find(id);
    if (server == this->serverMap.end())
        return;
    this->endLife(*server->second, "its machine was moved");
    server->second->gone = true;
}

bool JobScheduler::isCutOff() const
{
    int used = 0;
    int silent = 0;
    for (const auto& [id, server] : this->serverMap) {
        if (!server->enrolled || !server->listed)
            continue;
        ++used;
        silent += server->missedHolds > 0;
    }
    return used >= leastServersForCut && silent * 2 > used;
}

void JobScheduler::setClosing(std::string_view machine, bool closing)
{
    if (closing)
        this->closingMachines.emplace(machine);
    else
        this->closingMachines.erase(std::string(machine));
    for (auto& [id, server] : this->serverMap) {
        if (server->record.machine == machine)
            server->closing = closing;
    }
}

void JobScheduler::setDue(std::string_view machine, bool due)
{
    if (due)
        this->dueMachines.emplace(machine);
    else
        this->dueMachines.erase(std::string(machine));
    for (auto& [id, server] : this->serverMap) {
        if (server->record.machine == machine)
            server->due = due;
    }
}

bool JobScheduler::hasLasting(const Server& server)
{
    return std::ranges::any_of(server.runs, [](const auto& entry) {
        const auto& run = entry.second;
        return run.job->spec.steps[static_cast<std::size_t>(run.step)].lasting;
    });
}

const Server* JobScheduler::serverOn(std::string_view machine) const
{
    const Server* latest = nullptr;
    for (const auto& [id, server] : this->serverMap) {
        const bool here = server->listed && server->record.machine == machine;
        if (here && (!latest || latest->record.startedAt < server->record.startedAt))
            latest = server.get();
    }
    return latest;
}

// Gives up the runs of servers whose leases are over, and forgets servers that are gone.
void JobScheduler::dropLostServers()
{
    const auto now = this->clock.now();
    const bool inheritedLeasesOver = now - this->begunAt > this->rules.inheritedLease;
    for (auto& [id, server] : this->serverMap) {
        if (server->inherited && inheritedLeasesOver)
            server->inherited = false;
        if (server->runs.empty() || server->missedHolds == 0)
            continue;
        if (server->leaseSurelyOver(now))
            this->loseRuns(*server, "its lease is over");
        else if (!server->answered && now - server->lifeBegunAt > longestDoubt)
            this->loseRuns(*server, "its new life has not answered");
    }
    std::erase_if(this->serverMap, [this](const auto& entry) {
        const auto& server = *entry.second;
        const bool gone = server.gone
            || (!server.listed && server.runs.empty() && server.missedHolds > 0 && !server.inherited
                && !server.holding);
        if (gone)
            this->discharged.push_back(entry.first);
        return gone;
    });
}

void JobScheduler::tick()
{
    this->openDueJobs();
    this->forgetArrivals();
    this->dropLostServers();
    for (const auto& [id, server] : this->serverMap) {
        if (server->record.draining && server->listed)
            this->evacuate(*server, "its server is leaving");
    }
    this->repeatStops();
    this->sendDueHolds();
    this->dispatch(true);
}

void JobScheduler::react()
{
    this->sendDueHolds();
    this->dispatch(false);
}

} // namespace waxwinglug
