// Servers, store and leads of the simulated fleet.
#include "job/scheduling-world.h"

#include <algorithm>

namespace waxwinglug::test {
namespace {

    constexpr Duration stepTime { 10 };
    constexpr Duration callTimeout { 600 };
    constexpr Duration longestLease { 10'000 };
    constexpr const char* service = "press";
    constexpr const char* team = "north";

} // namespace

Resources FakeServer::used() const
{
    Resources sum;
    for (const auto& [id, run] : this->running)
        sum += run.taskResources;
    return sum;
}

// Rows expire after three heartbeats of 1.5 s.
bool FakeServer::isListed(TimePoint now) const
{
    return !this->cutFromStore || this->cutUntil <= now || now - this->cutFrom < Duration(4500);
}

SchedulingWorld::SchedulingWorld(std::uint32_t seed, WorldFaults worldFaults)
    : random(seed)
    , faults(worldFaults)
    , clock(manual.clock())
    , lastBeat(manual.now())
    , nextJobAt(manual.now())
{
    FleetConfig fleet;
    fleet.version = 1;
    fleet.queues.push_back({ "cards", "host", "/cards/", service, 0, 3, 2, Duration(500), false, false });
    fleet.services.push_back({ service, false, false });
    fleet.teams.push_back({ team, { "key" }, 1, { 40'000, 0, 0 } });
    this->config = std::make_shared<FleetConfig>(std::move(fleet));
    this->addServers();
}

SchedulingWorld::~SchedulingWorld() = default;

bool SchedulingWorld::chance(int perThousand) { return !this->calm && this->pick(1, 1000) <= perThousand; }

int SchedulingWorld::pick(int least, int most) { return std::uniform_int_distribution<int>(least, most)(this->random); }

void SchedulingWorld::violation(const std::string& text)
{
    this->found.push_back(fmt::format("at {} ms: {}", this->manual.now().time_since_epoch().count(), text));
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
        server.bornAt = this->manual.now();
        this->servers.emplace(server.record.id, std::move(server));
    }
}

void SchedulingWorld::addJob()
{
    JobSpec job;
    job.id = fmt::format("job{:04}", this->accepted++);
    job.queue = "cards";
    job.team = team;
    job.acceptedAt = this->clock.wallNow();
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
    this->jobs.emplace(job.id, StoredJob { job, false });
}

int SchedulingWorld::openJobs() const
{
    int open = 0;
    for (const auto& [id, job] : this->jobs) {
        const auto row = this->progress.find(id);
        if (row == this->progress.end()) {
            ++open;
            continue;
        }
        const auto phase = parseJobStatus(Json::parse(row->second.text).at("state").get<std::string>());
        open += phase && isFinal(*phase) ? 0 : 1;
    }
    return open;
}

void SchedulingWorld::run(Duration time)
{
    const auto end = this->manual.now() + time;
    while (this->manual.now() < end)
        this->step();
}

void SchedulingWorld::runCalm(Duration time)
{
    this->calm = true;
    for (auto& lead : this->leads) {
        lead->cutFromServersUntil = {};
        lead->cutFromStoreUntil = {};
    }
    for (auto& [id, server] : this->servers)
        server.cutUntil = {};
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
    if (!this->calm && now >= this->nextJobAt) {
        this->addJob();
        this->nextJobAt = now + Duration(this->pick(50, 600));
    }
    this->disturb();
    this->superviseLead();
    const auto current = this->leads;
    for (const auto& lead : current)
        this->driveLead(lead);
    std::erase_if(this->leads, [](const auto& lead) { return lead->dead; });
}

void SchedulingWorld::disturb()
{
    // Called a hundred times a second.
    const auto now = this->manual.now();
    const auto happens = [this](int perSecond) { return this->chance(perSecond) && this->pick(1, 100) == 1; };
    const auto soon = [&](int least, int most) { return now + Duration(this->pick(least, most)); };
    for (auto& lead : this->leads) {
        if (happens(this->faults.leadPauses))
            lead->pausedUntil = soon(200, 6000);
        if (happens(this->faults.leadDeaths))
            lead->dead = true;
        if (happens(this->faults.leadCutsFromServers))
            lead->cutFromServersUntil = soon(500, 8000);
        if (happens(this->faults.leadCutsFromStore))
            lead->cutFromStoreUntil = soon(500, 8000);
    }
    for (auto& [id, server] : this->servers) {
        if (server.cutUntil <= now && happens(this->faults.serverCuts)) {
            server.cutFrom = now;
            server.cutUntil = soon(500, 12'000);
            server.cutFromStore = this->pick(0, 1) == 1;
        }
        if (!happens(this->faults.serverCrashes))
            continue;
        server.running.clear();
        server.ended.clear();
        server.closedRuns.clear();
        server.fence = 0;
        server.until = 0;
        server.numbered = server.stored = server.lapsedBefore = 0;
        server.bornAt = now;
        server.record.startedAt = this->clock.wallNow();
    }
    if (happens(this->faults.cancellations) && !this->jobs.empty()) {
        auto job = std::next(this->jobs.begin(), this->pick(0, static_cast<int>(this->jobs.size()) - 1));
        job->second.cancelled = true;
    }
}

void SchedulingWorld::endRun(FakeServer& server, const TaskId& id, RunEnd end)
{
    const auto run = server.running.at(id);
    server.running.erase(id);
    server.closedRuns[id] = std::max(server.closedRuns[id], run.run);
    server.ended.push_back({ ++server.numbered, id, run.run, end, "" });
    if (end == RunEnd::Done)
        this->doneTasks.insert(id);
}

void SchedulingWorld::advanceServer(FakeServer& server)
{
    const auto now = this->manual.now();
    std::vector<std::pair<TaskId, RunEnd>> ends;
    const bool lapsed = server.clockAt(now) > server.until;
    for (const auto& [id, run] : server.running) {
        if (lapsed)
            ends.emplace_back(id, RunEnd::LeaseExpired);
        else if (now >= run.endsAt)
            ends.emplace_back(id, run.stopping ? RunEnd::Stopped : run.fails ? RunEnd::Failed : RunEnd::Done);
    }
    for (const auto& [id, end] : ends)
        this->endRun(server, id, end);
    if (lapsed)
        server.lapsedBefore = server.numbered;
}

void SchedulingWorld::call(const std::shared_ptr<Lead>& lead, const std::string& id,
    std::function<Work(FakeServer&)> carryOut, std::function<void(OrderStatus)> noAnswer)
{
    const auto now = this->manual.now();
    auto& server = this->servers.at(id);
    const auto toLead = [this, lead](Duration after, Work work) {
        this->at(this->manual.now() + after, [this, lead, work = std::move(work)] {
            // A paused process handles what has arrived when it goes on.
            if (lead->pausedUntil > this->manual.now())
                this->at(lead->pausedUntil, work);
            else if (!lead->dead)
                work();
        });
    };
    const bool cut = lead->cutFromServersUntil > now || server.cutUntil > now;
    const bool late = this->chance(this->faults.lateCalls);
    const bool lostRequest = cut || this->chance(this->faults.lostRequests);
    const bool lostAnswer = late || this->chance(this->faults.lostAnswers);
    if (lostRequest || lostAnswer)
        toLead(callTimeout, [noAnswer] { noAnswer(OrderStatus::Unknown); });
    if (lostRequest)
        return;
    const auto way = late ? Duration(this->pick(2000, 12'000)) : Duration(this->pick(1, 20));
    const auto born = server.bornAt;
    this->at(now + way, [this, id, born, late, lostAnswer, toLead, carryOut = std::move(carryOut)] {
        auto& reached = this->servers.at(id);
        // An order that was held up does not survive a crash of its server.
        if (late && reached.bornAt != born)
            return;
        auto answer = carryOut(reached);
        if (!lostAnswer)
            toLead(Duration(this->pick(1, 20)), std::move(answer));
    });
}

OrderStatus SchedulingWorld::start(FakeServer& server, const StartOrder& order)
{
    if (order.fence < server.fence)
        return OrderStatus::FenceTooLow;
    server.fence = order.fence;
    const auto clockNow = server.clockAt(this->manual.now());
    const auto until = std::min(order.leaseUntil, clockNow + longestLease.count());
    server.until = std::max(server.until, until);
    const auto running = server.running.find(order.task);
    if (running != server.running.end() && running->second.run == order.run)
        return OrderStatus::Accepted;
    const auto closed = server.closedRuns.find(order.task);
    if (running != server.running.end() || (closed != server.closedRuns.end() && order.run <= closed->second))
        return OrderStatus::RunTooOld;
    if (clockNow > order.leaseUntil)
        return OrderStatus::TooLate;
    this->checkStart(server, order);
    ++this->starts;
    const auto& step = this->jobs.at(order.task.job).spec.steps[static_cast<std::size_t>(order.task.step)];
    const auto length = step.estimatedDuration * this->pick(50, 200) / 100;
    server.running[order.task]
        = { order.run, this->manual.now() + length, this->chance(this->faults.failedRuns), step.taskResources, false };
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
        teamUse += other.used();
        if (other.running.contains(order.task))
            this->violation(fmt::format("{} starts while the task runs on {}", name, id));
    }
    if (this->acknowledged.contains(order.task))
        this->violation(name + " starts after an acknowledged end as done");
    if (!(server.used() + step.taskResources).fitsIn(server.record.capacity))
        this->violation(name + " does not fit");
    for (const auto& [id, run] : server.running)
        ofStep += id.job == order.task.job && id.step == order.task.step;
    if (step.maxTasksPerServer > 0 && ofStep > step.maxTasksPerServer)
        this->violation(name + " is one too many of its step there");
    const auto limit = this->config->teams.front().limit.cpu;
    if (teamUse.cpu > limit + limit / 10 + step.taskResources.cpu)
        this->violation(name + " takes its team over its limit");
    const auto failures = this->acknowledgedFailures.find(order.task);
    if (failures != this->acknowledgedFailures.end()
        && static_cast<int>(failures->second.size()) >= this->config->queues.front().maxFailedRuns)
        this->violation(name + " starts after too many failures");
    for (const int earlier : step.dependencies) {
        for (int index = 0; index < job.steps[static_cast<std::size_t>(earlier)].count; ++index) {
            if (!this->doneTasks.contains({ job.id, 0, earlier, index }))
                this->violation(name + " starts before an earlier step is done");
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
        server.closedRuns[order.task] = std::max(server.closedRuns[order.task], order.run);
    }
    return OrderStatus::Accepted;
}

RenewReport SchedulingWorld::hold(FakeServer& server, const RenewOrder& order)
{
    RenewReport report;
    const auto now = this->manual.now();
    report.clock = server.clockAt(now);
    report.startedAt = server.record.startedAt;
    server.fence = order.fence;
    if (order.leaseUntil)
        server.until = std::max(server.until, std::min(*order.leaseUntil, report.clock + longestLease.count()));
    for (const auto& ended : server.ended) {
        if (ended.number <= server.stored || ended.number > order.lastStoredEnd)
            continue;
        // An end counts as acknowledged unless the server's lease expired in between.
        const bool counts = ended.number > server.lapsedBefore;
        if (counts && ended.end == RunEnd::Done)
            this->acknowledged.insert(ended.task);
        if (ended.end == RunEnd::Failed)
            this->acknowledgedFailures[ended.task].emplace(server.record.id, ended.run);
    }
    server.stored = std::max(server.stored, std::min(order.lastStoredEnd, server.numbered));
    std::erase_if(server.ended, [&server](const EndedRun& ended) { return ended.number <= server.stored; });
    for (const auto& [id, run] : server.running)
        report.running.push_back({ id, run.run, "", static_cast<int>(now.time_since_epoch().count() / 50 % 100), 0 });
    report.ended = server.ended;
    return report;
}

} // namespace waxwinglug::test
