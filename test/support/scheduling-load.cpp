// Simulated servers, arrivals and store of the load.
#include "support/scheduling-load.h"

#include <fmt/format.h>

#include <ctime>

namespace waxwinglug::test {
namespace {

    constexpr Duration stepTime { 5 };
    constexpr Duration peakDuration { 4500 };
    constexpr int stepsPerTick = 10; // the leader ticks every 50 ms and handles events every 5 ms

    std::chrono::nanoseconds threadTime()
    {
        timespec time {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    }

    std::string serviceName(int number) { return fmt::format("service-{}", number); }

} // namespace

SchedulingLoad::SchedulingLoad(int serversPerService)
{
    JobSchedulerHooks hooks;
    hooks.start = [this](const ServerRecord& record, const StartOrder& order) {
        ++this->startCount;
        const auto time = std::uniform_int_distribution<int>(500, 1500)(this->random);
        this->servers.at(record.id).running.emplace(order.task, Run { order.run, this->manual.now() + Duration(time) });
        this->confirmations.emplace_back(record.id, order.task, order.run);
    };
    hooks.stop = [](const ServerRecord&, const StopOrder&) { /* no job of this load is cancelled */ };
    hooks.throttle = [](const ServerRecord&, const ThrottleOrder&) { /* this load has no best-effort tasks */ };
    hooks.renewLease = [this](const ServerRecord& record, const RenewOrder& order) {
        ++this->renewalCount;
        auto& server = this->servers.at(record.id);
        while (!server.ended.empty() && server.ended.front().number <= order.lastStoredEnd)
            server.ended.pop_front();
        server.renewing = true;
        server.renewSentAt = this->manual.now();
        server.renewUntil = server.renewSentAt + order.maxWait;
    };
    hooks.mayStart = [] { return true; };
    hooks.onSuperseded = [] { /* there is only one leader */ };
    hooks.log = [](std::string_view, std::initializer_list<LogField>) { /* this load does not measure logging */ };
    JobSchedulerRules rules;
    rules.fence = 1;
    this->scheduler = std::make_unique<JobScheduler>(rules, this->manual.clock(), std::move(hooks));
    FleetConfig fleet;
    for (int service = 0; service < services; ++service) {
        fleet.queues.push_back({ serviceName(service), "", "", serviceName(service), 0, 3, 1.6, Duration(600) });
        fleet.services.push_back({ serviceName(service), false, false });
    }
    this->scheduler->setConfig(std::make_shared<FleetConfig>(fleet));
    this->addServers(serversPerService);
}

void SchedulingLoad::addServers(int serversPerService)
{
    for (int service = 0; service < services; ++service) {
        for (int number = 0; number < serversPerService; ++number) {
            ServerRecord record;
            record.id = fmt::format("server-{}-{}", service, number);
            record.service = serviceName(service);
            record.machine = "machine-" + record.id;
            record.rack = fmt::format("rack-{}", number / 12);
            record.labels = { "a", record.rack };
            record.capacity = { 64'000, 131'072, 0 };
            this->servers[record.id];
            this->scheduler->addServer(record);
        }
    }
    this->scheduler->tick();
    for (auto& [id, server] : this->servers)
        this->answerRenewal(id, server);
    for (auto changes = this->scheduler->takeServerUseChanges(40); !changes.empty();
         changes = this->scheduler->takeServerUseChanges(40))
        this->scheduler->serverUseSaved(changes);
}

void SchedulingLoad::addJob(int service)
{
    const auto pick = [this](int minValue, int maxValue) {
        return std::uniform_int_distribution<int>(minValue, maxValue)(this->random);
    };
    JobSpec job;
    job.id = fmt::format("{:016x}", ++this->jobs);
    job.queue = serviceName(service);
    job.acceptedAt = this->manual.clock().wallNow();
    const int steps = pick(1, 2);
    for (int number = 0; number < steps; ++number) {
        StepSpec step;
        step.count = pick(2, 14);
        step.taskResources = { pick(3, 9) * 1000LL, pick(5, 17) * 1000LL, 0 };
        step.estimatedDuration = Duration(1000);
        if (number > 0)
            step.dependencies = { number - 1 };
        job.steps.push_back(step);
    }
    this->scheduler->addJob(std::move(job), false);
}

void SchedulingLoad::addArrivals()
{
    const auto turns = this->manual.now().time_since_epoch() / peakDuration;
    const int peaking = static_cast<int>(turns % services);
    for (this->dueMilliJobs += this->rate * stepTime.count(); this->dueMilliJobs >= 1000; this->dueMilliJobs -= 1000)
        this->addJob(std::uniform_int_distribution<int>(0, 99)(this->random) < 85 ? peaking : (peaking + 1) % services);
}

void SchedulingLoad::answerRenewal(const std::string& id, FakeServer& server)
{
    RenewReport report;
    report.clock = this->manual.now().time_since_epoch().count();
    report.ended.assign(server.ended.begin(), server.ended.end());
    for (const auto& [task, run] : server.running)
        report.running.push_back({ task, run.number, "", 50, 0 });
    server.renewing = false;
    this->scheduler->renewAnswered(id, server.renewSentAt, OrderStatus::Accepted, report);
}

void SchedulingLoad::advanceServers()
{
    const auto now = this->manual.now();
    for (auto& [id, server] : this->servers) {
        std::erase_if(server.running, [&](const auto& entry) {
            if (entry.second.endsAt > now)
                return false;
            server.ended.push_back({ ++server.lastEndNumber, entry.first, entry.second.number, RunEnd::Done, "" });
            return true;
        });
        if (server.renewing && (!server.ended.empty() || now >= server.renewUntil))
            this->answerRenewal(id, server);
    }
}

void SchedulingLoad::store()
{
    if (!this->isStoreAvailable)
        return;
    const auto batch = this->scheduler->takeUnsavedProgress(40);
    this->scheduler->progressSaved(batch, 1);
}

void SchedulingLoad::step()
{
    this->manual.advance(stepTime);
    this->addArrivals();
    while (!this->confirmations.empty()) {
        const auto [server, task, run] = this->confirmations.front();
        this->confirmations.pop_front();
        this->scheduler->startAnswered(server, task, run, { OrderStatus::Accepted });
    }
    this->advanceServers();
    this->store();
    const auto startedAt = threadTime();
    this->scheduler->dispatchChanges();
    if (this->manual.now().time_since_epoch() / stepTime % stepsPerTick == 0) {
        this->scheduler->tick();
        this->scheduler->takeExpiredJobs(1);
    }
    this->dispatchDuration += threadTime() - startedAt;
}

std::size_t SchedulingLoad::unfinishedJobs() const
{
    std::size_t unfinished = 0;
    for (const auto& [id, job] : this->scheduler->jobs().all())
        unfinished += job->isOver() ? 0 : 1;
    return unfinished;
}

} // namespace waxwinglug::test
