// Simulated fleet: jobs, injected faults, servers, and checks of the invariants.
#include "job/scheduling-world.h"

#include <algorithm>

namespace waxwinglug::test {
namespace {

    constexpr Duration stepTime { 10 };
    constexpr Duration callTimeout { 600 };
    constexpr Duration maxLease { 10'000 };
    constexpr const char* service = "press";
    constexpr const char* team = "north";
    constexpr const char* lastingJob = "lasting";
    // Whatever has room starts within this time, as the platform's rules ask, once all has been calm for `calmTime`.
    constexpr Duration maxStartWait { 3000 };
    constexpr Duration calmTime { 4000 };
    constexpr Duration shortJobInterval { 1000 };
    // Each short job has this long to end before the simulation does.
    constexpr Duration shortJobTime { 5000 };
    constexpr Duration waitCheckInterval { 100 };
    constexpr int longOccurrenceFactor = 20;
    constexpr Duration failureTime { 20 }; // run time on a server that fails all that it starts

} // namespace

Resources FakeServer::allocated() const
{
    Resources sum;
    for (const auto& [id, run] : this->running)
        sum += run.taskResources;
    return sum;
}

// Rows expire after three heartbeats of 1.5 s.
bool FakeServer::isRegistered(TimePoint now) const
{
    return !this->partitionedFromStore || this->partitionedUntil <= now || now - this->partitionedFrom < Duration(4500);
}

SchedulingWorld::SchedulingWorld(std::uint32_t seed, WorldFaults worldFaults)
    : random(seed)
    , faults(worldFaults)
    , clock(manual.clock())
    , lastHeartbeatAt(manual.now())
    , nextJobAt(manual.now())
{
    FleetConfig fleet;
    fleet.version = 1;
    fleet.queues.push_back({ "cards", "host", "/cards/", service, 0, 3, 2, Duration(500), false, false });
    fleet.services.push_back({ service, false, false });
    fleet.teams.push_back({ team, { "key" }, 1, { 40'000, 0, 0 } });
    this->config = std::make_shared<FleetConfig>(std::move(fleet));
    this->addServers();
    if (this->faults.lastingTasks)
        this->addLastingJob();
}

SchedulingWorld::~SchedulingWorld() = default;

bool SchedulingWorld::chance(int perThousand) { return !this->faultsDisabled && this->pick(1, 1000) <= perThousand; }

int SchedulingWorld::pick(int minValue, int maxValue)
{
    return std::uniform_int_distribution<int>(minValue, maxValue)(this->random);
}

void SchedulingWorld::addViolation(const std::string& text)
{
    this->violationTexts.push_back(fmt::format("at {} ms: {}", this->manual.now().time_since_epoch().count(), text));
}

void SchedulingWorld::addServers()
{
    for (int number = 0; number < 5; ++number) {
        FakeServer server;
        server.record.id = fmt::format("server-{}", number);
        server.record.service = service;
        server.record.rack = fmt::format("rack-{}", number / 2);
        server.record.labels = { "small", server.record.rack };
        server.record.capacity = { 10'000, 10'000, 0 };
        server.record.machine = fmt::format("machine-{}", number);
        server.record.startedAt = this->clock.wallNow();
        server.clockRate = this->pick(980, 1000);
        server.bootedAt = this->manual.now();
        server.row = server.record;
        this->servers.emplace(server.record.id, std::move(server));
    }
}

void SchedulingWorld::addJob()
{
    JobSpec job;
    job.id = fmt::format("job{:04}", this->accepted++);
    job.queue = "cards";
    job.team = team;
    job.acceptedAt = this->acceptingClock();
    const int steps = this->pick(1, 3);
    for (int number = 0; number < steps; ++number) {
        StepSpec step;
        step.count = this->pick(1, 6);
        step.taskResources = { this->pick(1, 8) * 500LL, this->pick(1, 8) * 400LL, 0 };
        step.estimatedDuration = Duration(this->pick(200, 1500));
        step.supportsCheckpoints = this->pick(0, 1) == 1;
        step.maxTasksPerServer = this->pick(0, 2);
        if (number > 0)
            step.dependencies = { number - 1 };
        job.steps.push_back(step);
    }
    if (this->faults.longTasks > 0 && this->chance(this->faults.longTasks)) {
        job.steps.resize(1);
        job.steps.front().estimatedDuration = std::chrono::seconds(20);
    }
    const bool fails = this->manual.now() < this->jobsFailUntil && this->pick(1, 8) != 1;
    this->jobs.emplace(job.id, StoredJob { job, false, std::nullopt, fails, this->manual.now() });
}

WallTime SchedulingWorld::acceptingClock()
{
    const auto difference = static_cast<int>(this->faults.clockDifference.count());
    return this->clock.wallNow() + Duration(difference > 0 ? this->pick(-difference, difference) / 2 : 0);
}

// Every other occurrence takes longer than a hundred intervals, so those that are active are far apart.
void SchedulingWorld::addOverlappingJob()
{
    JobSpec job;
    job.id = fmt::format("times{:04}", this->accepted++);
    job.queue = "cards";
    job.team = team;
    job.acceptedAt = this->acceptingClock();
    job.occurrences = this->pick(100, 300);
    job.firstDue = job.acceptedAt;
    job.interval = Duration(this->pick(10, 40));
    const int steps = this->pick(1, 2);
    for (int number = 0; number < steps; ++number) {
        StepSpec step;
        step.taskResources = { 50, 10, 0 };
        step.estimatedDuration = Duration(150);
        if (number > 0)
            step.dependencies = { number - 1 };
        job.steps.push_back(step);
    }
    this->jobs.emplace(job.id, StoredJob { job, false, std::nullopt, false, this->manual.now() });
}

void SchedulingWorld::addLastingJob()
{
    JobSpec job;
    job.id = lastingJob;
    job.queue = "cards";
    job.team = team;
    job.acceptedAt = this->clock.wallNow();
    StepSpec step;
    step.count = static_cast<int>(this->servers.size());
    step.taskResources = { 1000, 1000, 0 };
    step.estimatedDuration = Duration(500);
    step.longRunning = true;
    step.maxTasksPerServer = 1;
    job.steps = { step };
    this->jobs.emplace(job.id, StoredJob { job, false, std::nullopt, false, this->manual.now() });
}

void SchedulingWorld::addShortJob()
{
    JobSpec job;
    job.id = fmt::format("short{:04}", this->accepted++);
    job.queue = "cards";
    job.team = team;
    job.acceptedAt = this->clock.wallNow();
    StepSpec step;
    step.count = 2;
    step.taskResources = { 1000, 1000, 0 };
    step.estimatedDuration = Duration(200);
    job.steps = { step };
    this->jobs.emplace(job.id, StoredJob { job, false, std::nullopt, false, this->manual.now() });
}

// Two tasks of the largest step of the job have room beside each other.
bool SchedulingWorld::hasRoomTwice(const StoredJob& job) const
{
    Resources need;
    for (const auto& step : job.spec.steps) {
        need.cpu = std::max(need.cpu, step.taskResources.cpu);
        need.memory = std::max(need.memory, step.taskResources.memory);
    }
    std::int64_t slots = 0;
    for (const auto& [id, server] : this->servers) {
        const auto free = server.record.capacity - server.allocated();
        slots += std::min(free.cpu / need.cpu, free.memory / need.memory);
    }
    return slots > 1;
}

void SchedulingWorld::checkWaits()
{
    const auto now = this->manual.now();
    Resources used;
    Resources all;
    std::set<std::string> runningJobs;
    for (const auto& [id, server] : this->servers) {
        used += server.allocated();
        all += server.record.capacity;
        for (const auto& [task, run] : server.running)
            runningJobs.insert(task.job);
    }
    const bool isHalfFree = used.cpu * 2 < all.cpu && used.memory * 2 < all.memory
        && used.cpu * 2 < this->config->teams.front().limit.cpu;
    for (auto& [id, job] : this->jobs) {
        if (runningJobs.contains(id) || !this->isUnfinished(id) || !isHalfFree || !this->hasRoomTwice(job)) {
            job.notRunningSince = now;
        } else if (now - std::max(job.notRunningSince, this->faultsDisabledAt + calmTime) > maxStartWait) {
            this->addViolation(fmt::format("nothing of {} runs for {} ms, {} of {} thousandths of a core are in use",
                id, (now - job.notRunningSince).count(), used.cpu, all.cpu));
            job.notRunningSince = now;
        }
    }
}

bool SchedulingWorld::isUnfinished(const std::string& job) const
{
    const auto row = this->progress.find(job);
    if (row == this->progress.end())
        return true;
    const auto state = parseJobStatus(Json::parse(row->second.text).at("state").get<std::string>());
    return !state || !isFinal(*state);
}

int SchedulingWorld::unfinishedJobs() const
{
    return static_cast<int>(std::ranges::count_if(
        this->jobs, [this](const auto& job) { return job.first != lastingJob && this->isUnfinished(job.first); }));
}

void SchedulingWorld::run(Duration time)
{
    const auto end = this->manual.now() + time;
    while (this->manual.now() < end)
        this->step();
}

void SchedulingWorld::runWithoutFaults(Duration time)
{
    this->faultsDisabled = true;
    this->faultsDisabledAt = this->manual.now();
    this->lastShortJobAt = this->manual.now() + time - shortJobTime;
    this->jobsFailUntil = {};
    for (auto& leader : this->leaders) {
        leader->partitionedFromServersUntil = {};
        leader->partitionedFromStoreUntil = {};
    }
    for (auto& [id, server] : this->servers)
        server.partitionedUntil = server.failsUntil = {};
    this->run(time);
}

void SchedulingWorld::step()
{
    this->manual.advance(stepTime);
    const auto now = this->manual.now();
    while (!this->events.empty() && this->events.begin()->first <= now) {
        const auto work = std::move(this->events.begin()->second);
        this->events.erase(this->events.begin());
        work();
    }
    for (auto& [id, server] : this->servers)
        this->advanceServer(server);
    if (!this->faultsDisabled && now >= this->nextJobAt) {
        if (this->faults.overlappingJobs > 0 && this->chance(this->faults.overlappingJobs))
            this->addOverlappingJob();
        else
            this->addJob();
        this->nextJobAt = now + Duration(this->pick(50, 600));
    }
    if (this->checksWaits() && this->faultsDisabled && now >= this->nextJobAt && now < this->lastShortJobAt) {
        this->addShortJob();
        this->nextJobAt = now + shortJobInterval;
    }
    if (this->checksWaits() && now >= this->nextWaitCheckAt) {
        this->checkWaits();
        this->nextWaitCheckAt = now + waitCheckInterval;
    }
    this->injectFaults();
    this->superviseLeader();
    const auto current = this->leaders;
    for (const auto& leader : current)
        this->driveLeader(leader);
    std::erase_if(this->leaders, [](const auto& leader) { return leader->dead; });
}

void SchedulingWorld::injectFaults()
{
    // Called a hundred times per second of simulated time.
    const auto now = this->manual.now();
    const auto happens = [this](int perSecond) { return this->chance(perSecond) && this->pick(1, 100) == 1; };
    const auto soon = [&](int minValue, int maxValue) { return now + Duration(this->pick(minValue, maxValue)); };
    for (auto& leader : this->leaders) {
        if (happens(this->faults.leaderPauses))
            leader->pausedUntil = soon(200, 6000);
        if (happens(this->faults.leaderCrashes)) {
            leader->dead = true;
            this->crashedFence = this->fence;
        }
        if (happens(this->faults.leaderServerPartitions))
            leader->partitionedFromServersUntil = soon(500, 8000);
        if (happens(this->faults.leaderStorePartitions))
            leader->partitionedFromStoreUntil = soon(500, 8000);
    }
    for (auto& [id, server] : this->servers) {
        if (server.partitionedUntil <= now && happens(this->faults.serverPartitions)) {
            server.partitionedFrom = now;
            server.partitionedUntil = soon(500, 12'000);
            server.partitionedFromStore = this->pick(0, 1) == 1;
        }
        if (happens(this->faults.serverCrashes))
            this->restartServer(server, Duration(0), Duration(0));
        else if (this->faults.serverRestarts > 0 && !server.isDark(now) && happens(this->faults.serverRestarts))
            this->restartServer(server, Duration(this->pick(50, 1500)), Duration(this->pick(0, 1500)));
        if (this->faults.oddRows > 0 && happens(this->faults.oddRows))
            this->addOddRow(server);
        if (this->faults.failingServers > 0 && happens(this->faults.failingServers))
            server.failsUntil = soon(1000, 7000);
    }
    if (this->faults.jobFailurePeriods > 0 && happens(this->faults.jobFailurePeriods))
        this->jobsFailUntil = soon(1000, 15'000);
    if (happens(this->faults.cancellations) && !this->jobs.empty()) {
        auto job = std::next(this->jobs.begin(), this->pick(0, static_cast<int>(this->jobs.size()) - 1));
        job->second.cancelled = job->first != lastingJob;
    }
}

void SchedulingWorld::restartServer(FakeServer& server, Duration darkTime, Duration registrationDelay)
{
    server.running.clear();
    server.ended.clear();
    server.lastEndedRuns.clear();
    server.fence = 0;
    server.leaseUntil = 0;
    server.lastEndNumber = server.lastAcknowledgedEnd = server.lastEndBeforeExpiry = 0;
    server.darkUntil = server.bootedAt = this->manual.now() + darkTime;
    server.record.startedAt = this->clock.wallNow() + darkTime;
    const auto write = [this, id = server.record.id, startedAt = server.record.startedAt] {
        const auto writeRow = [this, id, startedAt] {
            auto& registering = this->servers.at(id);
            if (registering.record.startedAt == startedAt)
                registering.row = registering.record;
        };
        const auto& registering = this->servers.at(id);
        const bool isCut = registering.partitionedFromStore && registering.partitionedUntil > this->manual.now();
        if (this->faults.renewalsWait && isCut)
            this->at(registering.partitionedUntil, writeRow);
        else
            writeRow();
    };
    if (this->faults.cutsAfterRestarts > 0 && this->chance(this->faults.cutsAfterRestarts)) {
        const auto timeToCut = Duration(this->pick(100, static_cast<int>(this->faults.maxTimeToCut.count())));
        this->at(server.darkUntil + timeToCut, [this, id = server.record.id] {
            auto& cut = this->servers.at(id);
            cut.partitionedFrom = this->manual.now();
            cut.partitionedUntil = this->manual.now() + Duration(this->pick(2000, 12'000));
            cut.partitionedFromStore = true;
        });
    }
    if (darkTime + registrationDelay == Duration(0))
        write();
    else
        this->at(this->manual.now() + darkTime + registrationDelay, write);
}

void SchedulingWorld::addOddRow(const FakeServer& server)
{
    auto row = server.record;
    if (this->pick(0, 1) == 0)
        row.id = fmt::format("odd-{}", this->oddRows.size());
    if (this->pick(0, 1) == 0)
        row.service = "log-shipper";
    row.startedAt = this->pick(0, 1) == 0 ? WallTime(Duration::max()) : row.startedAt + Duration(this->pick(1, 5000));
    this->oddRows.push_back(std::move(row));
}

void SchedulingWorld::endRun(FakeServer& server, const TaskId& id, RunEnd end)
{
    const auto run = server.running.at(id);
    server.running.erase(id);
    server.lastEndedRuns[id] = std::max(server.lastEndedRuns[id], run.run);
    server.ended.push_back({ ++server.lastEndNumber, id, run.run, end, "" });
    if (end == RunEnd::Done)
        this->doneTasks.insert(id);
}

void SchedulingWorld::advanceServer(FakeServer& server)
{
    const auto now = this->manual.now();
    std::vector<std::pair<TaskId, RunEnd>> ends;
    const bool leaseExpired = server.clockAt(now) > server.leaseUntil;
    for (const auto& [id, run] : server.running) {
        if (leaseExpired)
            ends.emplace_back(id, RunEnd::LeaseExpired);
        else if (now >= run.endsAt)
            ends.emplace_back(id, run.stopping ? RunEnd::Stopped : run.fails ? RunEnd::Failed : RunEnd::Done);
    }
    for (const auto& [id, end] : ends)
        this->endRun(server, id, end);
    if (leaseExpired)
        server.lastEndBeforeExpiry = server.lastEndNumber;
}

void SchedulingWorld::deliver(const std::shared_ptr<Leader>& leader, Duration after, Work work)
{
    this->at(this->manual.now() + after, [this, leader, work = std::move(work)] {
        // A paused process handles received answers when it resumes.
        if (leader->pausedUntil > this->manual.now())
            this->at(leader->pausedUntil, work);
        else if (!leader->dead)
            work();
    });
}

void SchedulingWorld::callAndWait(const std::shared_ptr<Leader>& leader, const std::string& id, const RenewOrder& order,
    const std::function<void(OrderStatus, const RenewReport&)>& answer)
{
    const auto isAnswered = std::make_shared<bool>(false);
    this->deliver(leader, order.maxWait + callTimeout, [isAnswered, answer] {
        if (!std::exchange(*isAnswered, true))
            answer(OrderStatus::Unknown, {});
    });
    const auto isCut = [this, leader](const FakeServer& server) {
        const auto now = this->manual.now();
        return leader->partitionedFromServersUntil > now || server.partitionedUntil > now || server.isDark(now);
    };
    const auto wait = Duration(this->pick(1, static_cast<int>(order.maxWait.count())));
    this->at(
        this->manual.now() + Duration(this->pick(1, 20)), [this, leader, id, order, answer, isAnswered, isCut, wait] {
            auto& reached = this->servers.at(id);
            if (isCut(reached))
                return;
            const bool isRefused = order.fence < reached.fence;
            if (!isRefused)
                this->renew(reached, order);
            this->at(this->manual.now() + (isRefused ? Duration(0) : wait),
                [this, leader, id, answer, isAnswered, isCut, isRefused, bootedAt = reached.bootedAt] {
                    const auto& server = this->servers.at(id);
                    if (server.bootedAt != bootedAt || isCut(server))
                        return;
                    this->deliver(leader, Duration(this->pick(1, 20)),
                        [answer, isAnswered, isRefused, report = this->report(server)] {
                            if (!std::exchange(*isAnswered, true))
                                answer(isRefused ? OrderStatus::FenceTooLow : OrderStatus::Accepted, report);
                        });
                });
        });
}

void SchedulingWorld::call(const std::shared_ptr<Leader>& leader, const std::string& id,
    std::function<Work(FakeServer&)> execute, std::function<void(OrderStatus)> onNoAnswer)
{
    const auto now = this->manual.now();
    const auto toLeader = [this, leader](Duration after, Work work) { this->deliver(leader, after, std::move(work)); };
    if (!this->servers.contains(id))
        return toLeader(callTimeout, [onNoAnswer] { onNoAnswer(OrderStatus::Unknown); });
    auto& server = this->servers.at(id);
    const bool cut = leader->partitionedFromServersUntil > now || server.partitionedUntil > now;
    const bool late = this->chance(this->faults.delayedCalls);
    const bool lostRequest = cut || this->chance(this->faults.lostRequests);
    const bool lostAnswer = late || this->chance(this->faults.lostAnswers);
    if (lostRequest || lostAnswer)
        toLeader(callTimeout, [onNoAnswer] { onNoAnswer(OrderStatus::Unknown); });
    if (lostRequest)
        return;
    const auto delay = late ? Duration(this->pick(2000, 12'000)) : Duration(this->pick(1, 20));
    const auto bootedAt = server.bootedAt;
    this->at(now + delay,
        [this, id, bootedAt, late, lostAnswer, leader, toLeader, delay, onNoAnswer, execute = std::move(execute)] {
            auto& reached = this->servers.at(id);
            // A delayed order does not survive a crash of its server.
            if (late && reached.bootedAt != bootedAt)
                return;
            if (reached.isDark(this->manual.now()) && this->faults.strayCalls && !lostAnswer) {
                const auto isAnswered = std::make_shared<bool>(false);
                if (this->faults.renewalsWait) {
                    toLeader(callTimeout - delay, [isAnswered, onNoAnswer] {
                        if (!std::exchange(*isAnswered, true))
                            onNoAnswer(OrderStatus::Unknown);
                    });
                }
                // The connections of a process end with it.
                this->at(reached.darkUntil + Duration(this->pick(1, 300)),
                    [this, id, leader, toLeader, isAnswered, execute] {
                        auto& later = this->servers.at(id);
                        const auto isReached
                            = !later.isDark(this->manual.now()) && later.partitionedUntil <= this->manual.now();
                        if (!isReached || (leader->dead && !this->faults.callsOutliveLeaders))
                            return;
                        later.ignoresAcknowledgements = !this->faults.strayAcknowledgements;
                        toLeader(Duration(this->pick(1, 20)), [isAnswered, answer = execute(later)] {
                            if (!std::exchange(*isAnswered, true))
                                answer();
                        });
                        later.ignoresAcknowledgements = false;
                    });
                return;
            }
            if (reached.isDark(this->manual.now())) {
                if (!lostAnswer)
                    toLeader(callTimeout - delay, [onNoAnswer] { onNoAnswer(OrderStatus::Unknown); });
                return;
            }
            auto answer = execute(reached);
            if (!lostAnswer)
                toLeader(Duration(this->pick(1, 20)), std::move(answer));
        });
}

OrderStatus SchedulingWorld::start(FakeServer& server, const StartOrder& order)
{
    if (order.fence < server.fence)
        return OrderStatus::FenceTooLow;
    server.fence = order.fence;
    const auto clockNow = server.clockAt(this->manual.now());
    const auto until = std::min(order.leaseUntil, clockNow + maxLease.count());
    server.leaseUntil = std::max(server.leaseUntil, until);
    const auto running = server.running.find(order.task);
    if (running != server.running.end() && running->second.run == order.run)
        return OrderStatus::Accepted;
    const auto closed = server.lastEndedRuns.find(order.task);
    if (running != server.running.end() || (closed != server.lastEndedRuns.end() && order.run <= closed->second))
        return OrderStatus::RunTooOld;
    if (clockNow > order.leaseUntil)
        return OrderStatus::TooLate;
    this->checkStart(server, order);
    ++this->startCount;
    const auto& step = this->jobs.at(order.task.job).spec.steps[static_cast<std::size_t>(order.task.step)];
    auto length = step.estimatedDuration * this->pick(50, 200) / 100;
    const bool isLongOccurrence = order.task.job.starts_with("times") && order.task.occurrence % 2 == 0;
    if (isLongOccurrence)
        length *= longOccurrenceFactor;
    bool fails = this->chance(this->faults.failedRuns) || this->jobs.at(order.task.job).fails;
    if (this->manual.now() < server.failsUntil) {
        length = failureTime;
        fails = true;
        ++this->failedStartCount;
    }
    // A task that lasts ends only where it fails at once.
    const auto endsAt = step.longRunning && length > failureTime ? TimePoint::max() : this->manual.now() + length;
    server.running[order.task] = { order.run, endsAt, fails, step.taskResources, false };
    return OrderStatus::Accepted;
}

void SchedulingWorld::checkStart(const FakeServer& server, const StartOrder& order)
{
    const auto& job = this->jobs.at(order.task.job).spec;
    const auto& step = job.steps[static_cast<std::size_t>(order.task.step)];
    const auto name = fmt::format(
        "{}.{}.{} run {} on {}", order.task.job, order.task.step, order.task.index, order.run, server.record.id);
    Resources teamUse = step.taskResources;
    int ofStep = 1;
    for (const auto& [id, other] : this->servers) {
        teamUse += other.allocated();
        if (other.running.contains(order.task))
            this->addViolation(fmt::format("{} starts while the task runs on {}", name, id));
    }
    if (this->acknowledged.contains(order.task))
        this->addViolation(name + " starts after an acknowledged end as done");
    if (!(server.allocated() + step.taskResources).fitsIn(server.record.capacity))
        this->addViolation(name + " exceeds the capacity of the server");
    for (const auto& [id, run] : server.running)
        ofStep += id.job == order.task.job && id.occurrence == order.task.occurrence && id.step == order.task.step;
    if (step.maxTasksPerServer > 0 && ofStep > step.maxTasksPerServer)
        this->addViolation(name + " exceeds maxTasksPerServer of its step");
    const auto limit = this->config->teams.front().limit.cpu;
    if (teamUse.cpu > limit + limit / 10 + step.taskResources.cpu)
        this->addViolation(name + " exceeds the limit of its team");
    const auto failures = this->acknowledgedFailures.find(order.task);
    if (!step.longRunning && failures != this->acknowledgedFailures.end()
        && static_cast<int>(failures->second.size()) >= this->config->queues.front().maxFailedRuns)
        this->addViolation(name + " starts after too many failures");
    for (const int earlier : step.dependencies) {
        for (int index = 0; index < job.steps[static_cast<std::size_t>(earlier)].count; ++index) {
            if (!this->doneTasks.contains({ job.id, order.task.occurrence, earlier, index }))
                this->addViolation(name + " starts before a dependency is complete");
        }
    }
}

OrderStatus SchedulingWorld::stop(FakeServer& server, const StopOrder& order)
{
    if (order.fence < server.fence)
        return OrderStatus::FenceTooLow;
    server.fence = order.fence;
    const auto run = server.running.find(order.task);
    if (run != server.running.end() && run->second.run <= order.run) {
        run->second.stopping = true;
        run->second.endsAt = std::min(run->second.endsAt, this->manual.now() + Duration(this->pick(10, 900)));
    } else if (run == server.running.end()) {
        server.lastEndedRuns[order.task] = std::max(server.lastEndedRuns[order.task], order.run);
    }
    return OrderStatus::Accepted;
}

RenewReport SchedulingWorld::renew(FakeServer& server, const RenewOrder& order)
{
    server.fence = order.fence;
    if (order.leaseUntil) {
        const auto maxUntil = server.clockAt(this->manual.now()) + maxLease.count();
        server.leaseUntil = std::max(server.leaseUntil, std::min(*order.leaseUntil, maxUntil));
    }
    const auto acknowledged = server.ignoresAcknowledgements ? 0 : order.lastStoredEnd;
    for (const auto& ended : server.ended) {
        if (ended.number <= server.lastAcknowledgedEnd || ended.number > acknowledged)
            continue;
        // An acknowledged end counts as final unless a lease expired after it was recorded.
        const bool counts = ended.number > server.lastEndBeforeExpiry;
        if (counts && ended.end == RunEnd::Done)
            this->acknowledged.insert(ended.task);
        if (ended.end == RunEnd::Failed)
            this->acknowledgedFailures[ended.task].emplace(server.record.id, ended.run);
    }
    server.lastAcknowledgedEnd = std::max(server.lastAcknowledgedEnd, std::min(acknowledged, server.lastEndNumber));
    std::erase_if(
        server.ended, [&server](const EndedRun& ended) { return ended.number <= server.lastAcknowledgedEnd; });
    return this->report(server);
}

RenewReport SchedulingWorld::report(const FakeServer& server) const
{
    RenewReport report;
    const auto now = this->manual.now();
    report.clock = server.clockAt(now);
    report.startedAt = server.record.startedAt;
    for (const auto& [id, run] : server.running)
        report.running.push_back({ id, run.run, "", static_cast<int>(now.time_since_epoch().count() / 50 % 100), 0 });
    report.ended = server.ended;
    return report;
}

} // namespace waxwinglug::test
