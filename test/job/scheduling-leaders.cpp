// Simulated leaders: election, loading from the store, orders to servers, and writes to the store.
#include "job/scheduling-world.h"

#include <algorithm>
#include <cstdlib>

namespace waxwinglug::test {
namespace {

    constexpr Duration callTimeout { 600 };
    constexpr Duration heartbeatInterval { 400 };
    constexpr Duration heartbeatTimeout { 1600 };
    constexpr Duration leadershipValidity { 1300 };
    constexpr Duration maxTimeWithoutStore { 5000 };
    constexpr Duration tickInterval { 50 };
    constexpr Duration machineListInterval { 300 };
    constexpr Duration serverHeartbeatInterval { 1500 };
    constexpr const char* service = "press";
    constexpr std::size_t rowsPerCommit = 40;

} // namespace

void SchedulingWorld::superviseLeader()
{
    const auto now = this->manual.now();
    if (this->leaders.empty() ? now - this->lastHeartbeatAt > Duration(200)
                              : now - this->lastHeartbeatAt > heartbeatTimeout)
        this->electLeader();
}

bool SchedulingWorld::hasLeaderStopped() const
{
    constexpr Duration earlierOrdersExpiry { 12'000 };
    return this->faults.leadersReturn && this->leaders.empty() && this->crashedFence == this->fence
        && this->manual.now() - this->termStartedAt >= earlierOrdersExpiry;
}

void SchedulingWorld::electLeader()
{
    const auto now = this->manual.now();
    auto leader = std::make_shared<Leader>();
    JobSchedulerRules rules;
    if (this->hasLeaderStopped())
        rules.assumeEarlierLeaderStopped();
    this->termStartedAt = now;
    ++this->fence;
    this->leaderRowVersion = ++this->version;
    this->lastHeartbeatAt = now;
    leader->version = this->leaderRowVersion;
    leader->confirmedAt = now;
    rules.fence = this->fence;
    Clock source = this->clock;
    if (this->faults.clockDifference > Duration(0)) {
        const auto difference = static_cast<int>(this->faults.clockDifference.count());
        leader->clockOffset = Duration(this->pick(-difference, difference) / 2);
        source.wallNow = [this, offset = leader->clockOffset] { return this->clock.wallNow() + offset; };
    }
    leader->scheduler = std::make_unique<JobScheduler>(rules, std::move(source), this->hooksOf(leader));
    this->load(*leader);
    this->leaders.push_back(std::move(leader));
}

void SchedulingWorld::load(Leader& leader)
{
    auto& scheduler = *leader.scheduler;
    scheduler.setConfig(this->config);
    const auto now = this->manual.now();
    leader.jobsReadAt = now;
    for (const auto& [id, server] : this->servers) {
        if (!server.isRegistered(now))
            continue;
        scheduler.addServer(server.row);
        leader.knownServers[id] = server.row.startedAt;
    }
    // The table holds the latest odd row of each key; every leader reads them as it loads.
    for (; leader.readOddRows < this->oddRows.size(); ++leader.readOddRows) {
        if (!this->servers.contains(this->oddRows[leader.readOddRows].id))
            scheduler.addServer(this->oddRows[leader.readOddRows]);
    }
    for (const auto& [id, job] : this->jobs) {
        if (job.endedState)
            scheduler.addEndedJob(id, *job.endedState, this->progress.at(id).version);
        else
            scheduler.addJob(job.spec, true);
    }
    for (const auto& [id, row] : this->progress) {
        if (!this->jobs.at(id).endedState)
            scheduler.loadProgress(id, row.text, row.version);
    }
    for (const auto& [id, use] : this->serversInUse) {
        scheduler.addServerInUse(use.record);
        if (use.leaseEnd && use.fence + 1 == this->fence)
            scheduler.setInheritedLeaseEnd(id, *use.leaseEnd);
        if (use.strayLeaseEnd)
            scheduler.setInheritedStrayLeaseEnd(id, *use.strayLeaseEnd);
        for (const auto& start : use.starts)
            scheduler.addInheritedStart(id, start);
    }
    for (const auto& [id, job] : this->jobs) {
        if (job.cancelled)
            scheduler.cancelJob(id);
    }
}

void SchedulingWorld::compactEndedJobs(Leader& leader)
{
    constexpr unsigned lateEvery = 3;
    constexpr unsigned neverEvery = 7;
    for (const auto& end : leader.scheduler->takeStoredEnds()) {
        const auto number = static_cast<unsigned char>(end.job.back());
        if (number % neverEvery == 0)
            continue;
        const auto delay = number % lateEvery == 0 ? Duration(5000) : Duration(10);
        this->at(this->manual.now() + delay, [this, end] {
            const auto row = this->progress.find(end.job);
            if (row == this->progress.end()
                || Json::parse(row->second.text).at("state") != std::string(jobStatusName(end.finalState)))
                this->addViolation("the row of " + end.job + " is replaced before its end is stored");
            this->jobs.at(end.job).endedState = end.finalState;
        });
    }
}

JobSchedulerHooks SchedulingWorld::hooksOf(const std::shared_ptr<Leader>& leader)
{
    const std::weak_ptr<Leader> weak = leader;
    JobSchedulerHooks hooks;
    hooks.start = [this, weak](const ServerRecord& server, const StartOrder& order) {
        const auto self = weak.lock();
        const auto answer = [self, id = server.id, order](const OrderAnswer& each) {
            self->scheduler->startAnswered(id, order.task, order.run, each);
        };
        this->call(
            self, server.id,
            [this, order, answer](FakeServer& reached) -> Work {
                const OrderAnswer given { this->start(reached, order), reached.clockAt(this->manual.now()) };
                return [answer, given] { answer(given); };
            },
            [answer](OrderStatus status) { answer({ status }); });
    };
    hooks.stop = [this, weak](const ServerRecord& server, const StopOrder& order) {
        const auto self = weak.lock();
        const auto answer = [self, id = server.id, order](const OrderAnswer& each) {
            self->scheduler->stopAnswered(id, order.task, order.run, each);
        };
        this->call(
            self, server.id,
            [this, order, answer](FakeServer& reached) -> Work {
                const OrderAnswer given { this->stop(reached, order), reached.clockAt(this->manual.now()) };
                return [answer, given] { answer(given); };
            },
            [answer](OrderStatus status) { answer({ status }); });
    };
    hooks.renewLease = [this, weak](const ServerRecord& server, const RenewOrder& order) {
        const auto self = weak.lock();
        const auto answer
            = [self, id = server.id, sentAt = this->manual.now()](OrderStatus status, const RenewReport& report) {
                  self->scheduler->renewAnswered(id, sentAt, status, report);
              };
        if (this->faults.renewalsWait && order.maxWait > Duration(0))
            return this->callAndWait(self, server.id, order, answer);
        this->call(
            self, server.id,
            [this, order, answer](FakeServer& reached) -> Work {
                if (order.fence < reached.fence)
                    return [answer] { answer(OrderStatus::FenceTooLow, {}); };
                return [answer, report = this->renew(reached, order)] { answer(OrderStatus::Accepted, report); };
            },
            [answer](OrderStatus status) { answer(status, {}); });
    };
    hooks.throttle = [](const ServerRecord&, const ThrottleOrder&) {};
    hooks.mayStart = [this, weak] {
        const auto self = weak.lock();
        const bool failing = self && self->failedAt > self->confirmedAt;
        return self && !self->dead
            && this->manual.now() - self->confirmedAt < (failing ? maxTimeWithoutStore : leadershipValidity);
    };
    hooks.jobsKnownAsOf = [weak] {
        const auto self = weak.lock();
        return self ? self->jobsReadAt : TimePoint {};
    };
    hooks.onSuperseded = [weak] {
        if (const auto self = weak.lock())
            self->dead = true;
    };
    hooks.log = [this, traced = std::getenv("WAXWING_TRACE") != nullptr, fence = this->fence](
                    std::string_view event, std::initializer_list<LogField> fields) {
        if (!traced)
            return;
        std::string line = fmt::format("{} leader {}: {}", this->manual.now().time_since_epoch().count(), fence, event);
        for (const auto& field : fields)
            line += fmt::format(" {}={}", field.key, field.value);
        fmt::print("{}\n", line);
    };
    return hooks;
}

void SchedulingWorld::driveLeader(const std::shared_ptr<Leader>& leader)
{
    const auto now = this->manual.now();
    if (leader->dead || leader->pausedUntil > now)
        return;
    auto& scheduler = *leader->scheduler;
    if (leader->partitionedFromStoreUntil <= now) {
        leader->jobsReadAt = now;
        for (const auto& [id, job] : this->jobs) {
            if (!job.endedState)
                scheduler.addJob(job.spec, false);
            if (job.cancelled)
                scheduler.cancelJob(id);
        }
        // Servers write their rows again with each heartbeat, also over an odd row under their key.
        if (this->faults.oddRows > 0 && now - leader->serversReadAt >= serverHeartbeatInterval) {
            leader->serversReadAt = now;
            leader->knownServers.clear();
        }
        for (const auto& [id, server] : this->servers) {
            auto known = leader->knownServers.find(id);
            if (!server.isRegistered(now)) {
                scheduler.removeServer(id);
                leader->knownServers.erase(id);
            } else if (known == leader->knownServers.end() || known->second != server.row.startedAt) {
                leader->knownServers[id] = server.row.startedAt;
                scheduler.addServer(server.row);
            }
        }
    }
    for (; leader->readOddRows < this->oddRows.size(); ++leader->readOddRows)
        scheduler.addServer(this->oddRows[leader->readOddRows]);
    this->listMachines(leader);
    if (now - leader->confirmedAt < maxTimeWithoutStore) {
        if (now - leader->tickAt >= tickInterval) {
            leader->tickAt = now;
            scheduler.tick();
        } else {
            scheduler.dispatchChanges();
        }
    }
    this->compactEndedJobs(*leader);
    this->store(leader);
}

void SchedulingWorld::listMachines(const std::shared_ptr<Leader>& leader)
{
    const auto now = this->manual.now();
    if (this->faults.serverRestarts == 0 || now - leader->machinesListedAt < machineListInterval
        || !leader->scheduler->waitsForUnresponsiveServer())
        return;
    leader->machinesListedAt = now;
    std::vector<MachineRecord> machines;
    machines.reserve(this->servers.size());
    for (const auto& [id, server] : this->servers)
        machines.push_back({ server.record.machine, service, server.isDark(now) ? MachineState::Down : MachineState::Up,
            server.isDark(now) ? "" : id, server.record.capacity });
    this->at(now + Duration(this->pick(1, 1000)), [leader, now, machines = std::move(machines)] {
        if (!leader->dead && leader->pausedUntil <= now)
            leader->scheduler->updateMachines(machines, now);
    });
}

void SchedulingWorld::store(const std::shared_ptr<Leader>& leader)
{
    const auto now = this->manual.now();
    if (leader->storing || leader->dead)
        return;
    Batch batch { leader->scheduler->takeUnsavedProgress(rowsPerCommit),
        leader->scheduler->takeServerUseChanges(rowsPerCommit), now };
    if (batch.jobs.empty() && batch.servers.empty() && now - leader->heartbeatSentAt < heartbeatInterval)
        return;
    leader->heartbeatSentAt = now;
    leader->storing = true;
    const bool late = this->chance(this->faults.delayedCalls);
    const bool lostAnswer = late || this->chance(this->faults.lostAnswers);
    if (leader->partitionedFromStoreUntil > now) {
        this->at(now + callTimeout, [this, leader, batch] { this->commitAnswered(leader, batch, false, 0); });
        return;
    }
    this->at(now + (late ? Duration(this->pick(1000, 6000)) : Duration(this->pick(4, 20))),
        [this, leader, batch, lostAnswer] {
            const auto applied = this->commit(*leader, batch);
            if (!lostAnswer) {
                this->at(this->manual.now() + Duration(4),
                    [this, leader, batch, applied] { this->commitAnswered(leader, batch, true, applied); });
            }
        });
    if (lostAnswer)
        this->at(now + callTimeout, [this, leader, batch] { this->commitAnswered(leader, batch, false, 0); });
}

std::uint64_t SchedulingWorld::commit(const Leader& leader, const Batch& batch)
{
    if (leader.version != this->leaderRowVersion)
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
            this->serversInUse[change.server]
                = { *change.record, change.leaseEnd, change.strayLeaseEnd, change.unansweredStarts, this->fence };
        else
            this->serversInUse.erase(change.server);
    }
    this->lastHeartbeatAt = this->manual.now();
    return this->version;
}

void SchedulingWorld::commitAnswered(
    const std::shared_ptr<Leader>& leader, const Batch& batch, bool answered, std::uint64_t applied)
{
    const auto now = this->manual.now();
    if (leader->dead)
        return;
    if (leader->pausedUntil > now) {
        this->at(leader->pausedUntil,
            [this, leader, batch, answered, applied] { this->commitAnswered(leader, batch, answered, applied); });
        return;
    }
    leader->storing = false;
    auto& scheduler = *leader->scheduler;
    if (answered && applied != 0) {
        leader->confirmedAt = std::max(leader->confirmedAt, batch.sentAt);
        scheduler.progressSaved(batch.jobs, applied);
        scheduler.serverUseSaved(batch.servers);
        return;
    }
    leader->failedAt = now;
    if (answered && leader->version != this->leaderRowVersion) {
        leader->dead = true;
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
