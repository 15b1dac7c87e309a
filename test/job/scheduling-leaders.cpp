// Entry VMs of the simulated fleet: they take the lead, load what the store holds, and store what the scheduler
// records.
#include "job/scheduling-world.h"

#include <algorithm>
#include <cstdlib>

namespace waxwinglug::test {
namespace {

    constexpr Duration callTimeout { 600 };
    constexpr Duration beatInterval { 400 };
    constexpr Duration leadSilence { 1600 };
    constexpr Duration leadValidity { 1300 };
    constexpr Duration withoutStore { 5000 };
    constexpr Duration tickInterval { 50 };
    constexpr std::size_t rowsPerCommit = 40;

} // namespace

void SchedulingWorld::superviseLead()
{
    const auto now = this->manual.now();
    if (this->leads.empty() ? now - this->lastBeat > Duration(200) : now - this->lastBeat > leadSilence)
        this->takeLead();
}

void SchedulingWorld::takeLead()
{
    const auto now = this->manual.now();
    auto lead = std::make_shared<Lead>();
    ++this->fence;
    this->leadVersion = ++this->version;
    this->lastBeat = now;
    lead->version = this->leadVersion;
    lead->confirmedAt = now;
    JobSchedulerRules rules;
    rules.fence = this->fence;
    lead->scheduler = std::make_unique<JobScheduler>(rules, this->clock, this->hooksOf(lead));
    this->load(*lead);
    this->leads.push_back(std::move(lead));
}

void SchedulingWorld::load(Lead& lead)
{
    auto& scheduler = *lead.scheduler;
    scheduler.setConfig(this->config);
    const auto now = this->manual.now();
    for (const auto& [id, server] : this->servers) {
        if (!server.isListed(now))
            continue;
        scheduler.addServer(server.record);
        lead.knownServers[id] = server.record.startedAt;
    }
    for (const auto& [id, job] : this->jobs)
        scheduler.addJob(job.spec, true);
    for (const auto& [id, row] : this->progress)
        scheduler.loadProgress(id, row.text, row.version);
    for (const auto& [id, record] : this->enrolled)
        scheduler.addServerInUse(record);
    for (const auto& [id, job] : this->jobs) {
        if (job.cancelled)
            scheduler.cancelJob(id);
    }
}

JobSchedulerHooks SchedulingWorld::hooksOf(const std::shared_ptr<Lead>& lead)
{
    const std::weak_ptr<Lead> weak = lead;
    JobSchedulerHooks hooks;
    hooks.start = [this, weak](const ServerRecord& server, const StartOrder& order) {
        const auto self = weak.lock();
        const auto answer = [self, id = server.id, order](OrderStatus status) {
            self->scheduler->startAnswered(id, order.task, order.run, status);
        };
        this->call(
            self, server.id,
            [this, order, answer](FakeServer& reached) -> Work {
                return [answer, status = this->start(reached, order)] { answer(status); };
            },
            answer);
    };
    hooks.stop = [this, weak](const ServerRecord& server, const StopOrder& order) {
        const auto self = weak.lock();
        const auto answer = [self, id = server.id, order](OrderStatus status) {
            self->scheduler->stopAnswered(id, order.task, order.run, status);
        };
        this->call(
            self, server.id,
            [this, order, answer](FakeServer& reached) -> Work {
                return [answer, status = this->stop(reached, order)] { answer(status); };
            },
            answer);
    };
    hooks.renewLease = [this, weak](const ServerRecord& server, const RenewOrder& order) {
        const auto self = weak.lock();
        const auto answer
            = [self, id = server.id, sentAt = this->manual.now()](OrderStatus status, const RenewReport& report) {
                  self->scheduler->renewAnswered(id, sentAt, status, report);
              };
        this->call(
            self, server.id,
            [this, order, answer](FakeServer& reached) -> Work {
                if (order.fence < reached.fence)
                    return [answer] { answer(OrderStatus::FenceTooLow, {}); };
                return [answer, report = this->hold(reached, order)] { answer(OrderStatus::Accepted, report); };
            },
            [answer](OrderStatus status) { answer(status, {}); });
    };
    hooks.throttle = [](const ServerRecord&, const ThrottleOrder&) {};
    hooks.mayStart = [this, weak] {
        const auto self = weak.lock();
        const bool failing = self && self->failedAt > self->confirmedAt;
        return self && !self->dead && this->manual.now() - self->confirmedAt < (failing ? withoutStore : leadValidity);
    };
    hooks.onSuperseded = [weak] {
        if (const auto self = weak.lock())
            self->dead = true;
    };
    hooks.log = [this, traced = std::getenv("WAXWING_TRACE") != nullptr, fence = this->fence](
                    std::string_view event, std::initializer_list<LogField> fields) {
        if (!traced)
            return;
        std::string line = fmt::format("{} lead {}: {}", this->manual.now().time_since_epoch().count(), fence, event);
        for (const auto& field : fields)
            line += fmt::format(" {}={}", field.key, field.value);
        fmt::print("{}\n", line);
    };
    return hooks;
}

void SchedulingWorld::driveLead(const std::shared_ptr<Lead>& lead)
{
    const auto now = this->manual.now();
    if (lead->dead || lead->pausedUntil > now)
        return;
    auto& scheduler = *lead->scheduler;
    if (lead->cutFromStoreUntil <= now) {
        for (const auto& [id, job] : this->jobs) {
            scheduler.addJob(job.spec, false);
            if (job.cancelled)
                scheduler.cancelJob(id);
        }
        for (const auto& [id, server] : this->servers) {
            auto known = lead->knownServers.find(id);
            if (!server.isListed(now)) {
                scheduler.removeServer(id);
                lead->knownServers.erase(id);
            } else if (known == lead->knownServers.end() || known->second != server.record.startedAt) {
                lead->knownServers[id] = server.record.startedAt;
                scheduler.addServer(server.record);
            }
        }
    }
    if (now - lead->confirmedAt < withoutStore) {
        if (now - lead->tickAt >= tickInterval) {
            lead->tickAt = now;
            scheduler.tick();
        } else {
            scheduler.dispatchChanges();
        }
    }
    this->store(lead);
}

void SchedulingWorld::store(const std::shared_ptr<Lead>& lead)
{
    const auto now = this->manual.now();
    if (lead->storing || lead->dead)
        return;
    Batch batch { lead->scheduler->takeUnsavedProgress(rowsPerCommit),
        lead->scheduler->takeServerUseChanges(rowsPerCommit), now };
    if (batch.jobs.empty() && batch.servers.empty() && now - lead->beatAt < beatInterval)
        return;
    lead->beatAt = now;
    lead->storing = true;
    const bool late = this->chance(this->faults.lateCalls);
    const bool lostAnswer = late || this->chance(this->faults.lostAnswers);
    if (lead->cutFromStoreUntil > now) {
        this->at(now + callTimeout, [this, lead, batch] { this->commitAnswered(lead, batch, false, 0); });
        return;
    }
    this->at(
        now + (late ? Duration(this->pick(1000, 6000)) : Duration(this->pick(4, 20))), [this, lead, batch, lostAnswer] {
            const auto applied = this->commit(*lead, batch);
            if (!lostAnswer) {
                this->at(this->manual.now() + Duration(4),
                    [this, lead, batch, applied] { this->commitAnswered(lead, batch, true, applied); });
            }
        });
    if (lostAnswer)
        this->at(now + callTimeout, [this, lead, batch] { this->commitAnswered(lead, batch, false, 0); });
}

std::uint64_t SchedulingWorld::commit(const Lead& lead, const Batch& batch)
{
    if (lead.version != this->leadVersion)
        return 0;
    for (const auto& write : batch.jobs) {
        const auto row = this->progress.find(write.job);
        if ((row == this->progress.end() ? 0 : row->second.version) != write.expectedVersion)
            return 0;
    }
    ++this->version;
    for (const auto& write : batch.jobs)
        this->progress[write.job] = { write.text, this->version };
    for (const auto& change : batch.servers) {
        if (change.record)
            this->enrolled[change.server] = *change.record;
        else
            this->enrolled.erase(change.server);
    }
    this->lastBeat = this->manual.now();
    return this->version;
}

void SchedulingWorld::commitAnswered(
    const std::shared_ptr<Lead>& lead, const Batch& batch, bool answered, std::uint64_t applied)
{
    const auto now = this->manual.now();
    if (lead->dead)
        return;
    if (lead->pausedUntil > now) {
        this->at(lead->pausedUntil,
            [this, lead, batch, answered, applied] { this->commitAnswered(lead, batch, answered, applied); });
        return;
    }
    lead->storing = false;
    auto& scheduler = *lead->scheduler;
    if (answered && applied != 0) {
        lead->confirmedAt = std::max(lead->confirmedAt, batch.sentAt);
        scheduler.progressSaved(batch.jobs, applied);
        scheduler.serverUseSaved(batch.servers);
        return;
    }
    lead->failedAt = now;
    if (answered && lead->version != this->leadVersion) {
        lead->dead = true;
        return;
    }
    if (answered) {
        for (const auto& write : batch.jobs) {
            const auto row = this->progress.find(write.job);
            scheduler.setProgressVersion(write.job, row == this->progress.end() ? 0 : row->second.version);
        }
    }
    scheduler.progressNotSaved(batch.jobs);
    scheduler.serverUseNotSaved(batch.servers);
}

} // namespace waxwinglug::test
