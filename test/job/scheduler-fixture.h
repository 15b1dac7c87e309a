// Fixture for tests of single scheduler decisions, with answers given by the test.
#pragma once

#include "job/scheduler.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace waxwinglug::test {

struct SchedulerTest : testing::Test {
    ManualClock clock;
    std::vector<std::pair<std::string, StartOrder>> starts;
    std::vector<std::pair<std::string, StopOrder>> stops;
    std::map<std::string, RenewOrder> renewals;
    bool mayStart = true;
    std::optional<TimePoint> jobsKnownAsOf; // nothing: all jobs are known at any time
    int supersededCalls = 0;
    std::vector<std::string> events; // log lines
    std::size_t maxProgressBytes = 49'152;
    bool earlierLeaderStopped = false;
    std::unique_ptr<JobScheduler> scheduler;
    std::map<std::string, std::uint64_t> ends; // last end number of each server
    std::map<std::string, WallTime> incarnations; // start that each server names in its reports and rows

    void SetUp() override { this->begin(1); }

    void begin(std::uint64_t fence)
    {
        JobSchedulerHooks hooks;
        hooks.start = [this](const ServerRecord& server, const StartOrder& order) {
            this->starts.emplace_back(server.id, order);
        };
        hooks.stop = [this](const ServerRecord& server, const StopOrder& order) {
            this->stops.emplace_back(server.id, order);
        };
        hooks.renewLease
            = [this](const ServerRecord& server, const RenewOrder& order) { this->renewals[server.id] = order; };
        hooks.throttle = [](const ServerRecord&, const ThrottleOrder&) {};
        hooks.mayStart = [this] { return this->mayStart; };
        hooks.onSuperseded = [this] { ++this->supersededCalls; };
        hooks.jobsKnownAsOf = [this] { return this->jobsKnownAsOf.value_or(this->clock.now()); };
        hooks.log = [this](std::string_view event, std::initializer_list<LogField> fields) {
            std::string line(event);
            for (const auto& field : fields)
                line += fmt::format(" {}={}", field.key, field.value);
            this->events.push_back(std::move(line));
        };
        JobSchedulerRules rules;
        rules.fence = fence;
        rules.maxProgressBytes = this->maxProgressBytes;
        if (this->earlierLeaderStopped)
            rules.assumeEarlierLeaderStopped();
        this->starts.clear();
        this->renewals.clear();
        this->scheduler = std::make_unique<JobScheduler>(rules, this->clock.clock(), hooks);
        FleetConfig fleet;
        fleet.queues.push_back({ "cards", "", "", "press", 0, 2, 2, Duration(500), false, false });
        fleet.services.push_back({ "press", false, false });
        this->scheduler->setConfig(std::make_shared<FleetConfig>(fleet));
    }

    ServerRecord record(const std::string& id, const std::string& machine = "") const
    {
        ServerRecord server;
        server.id = id;
        server.service = "press";
        server.capacity = { 4000, 4000, 0 };
        server.machine = machine.empty() ? "machine-" + id : machine;
        if (const auto incarnation = this->incarnations.find(id); incarnation != this->incarnations.end())
            server.startedAt = incarnation->second;
        return server;
    }

    // Registers a server, lets it answer, and records its use, so that it can get tasks.
    void addServer(const std::string& id)
    {
        this->scheduler->addServer(this->record(id));
        this->scheduler->tick();
        this->answerRenewal(id, {}, {});
        const auto changes = this->scheduler->takeServerUseChanges(10);
        this->scheduler->serverUseSaved(changes);
    }

    void answerRenewal(const std::string& id, std::vector<RunningTask> running, std::vector<EndedRun> ended)
    {
        RenewReport report;
        report.clock = this->clock.now().time_since_epoch().count();
        report.running = std::move(running);
        report.ended = std::move(ended);
        if (const auto incarnation = this->incarnations.find(id); incarnation != this->incarnations.end())
            report.startedAt = incarnation->second;
        this->scheduler->renewAnswered(id, this->clock.now(), OrderStatus::Accepted, report);
        this->scheduler->tick();
    }

    JobSpec job(const std::string& id, StepSpec step) const
    {
        JobSpec spec;
        spec.id = id;
        spec.queue = "cards";
        spec.acceptedAt = WallTime(std::chrono::sys_days { std::chrono::year { 2026 } / 1 / 1 });
        spec.steps = { std::move(step) };
        return spec;
    }

    StepSpec step(int count) const
    {
        StepSpec spec;
        spec.count = count;
        spec.taskResources = { 1000, 1000, 0 };
        spec.estimatedDuration = Duration(1000);
        return spec;
    }

    void confirmStarts()
    {
        const auto sent = this->starts;
        for (const auto& [server, order] : sent)
            this->scheduler->startAnswered(server, order.task, order.run, { OrderStatus::Accepted });
    }

    EndedRun ended(const std::string& server, const StartOrder& order, RunEnd end)
    {
        return { ++this->ends[server], order.task, order.run, end, "" };
    }

    void storeAll()
    {
        const auto batch = this->scheduler->takeUnsavedProgress(100);
        this->scheduler->progressSaved(batch, 7);
    }

    // Fails lease renewals of a server until its lease has certainly expired.
    void expireLease(const std::string& id)
    {
        for (int number = 0; number < 12; ++number) {
            this->scheduler->renewAnswered(id, this->clock.now(), OrderStatus::Unknown, {});
            this->clock.advance(Duration(500));
            this->scheduler->tick();
        }
    }
};

} // namespace waxwinglug::test
