// A fleet at the size of the grown deployments, whose servers answer at once, for counting and timing what the lead
// scheduler does for each task.
//
// Pattern of load: four services, whose queues peak in turn for 4.5 s at four times their mean.
#pragma once

#include "job/scheduler.h"

#include <waxwinglug/base.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace waxwinglug::test {

class SchedulingLoad {
public:
    static constexpr int services = 4;
    static constexpr int serversPerService = 85;

    SchedulingLoad();

    // Lets 5 ms pass: jobs arrive, tasks end, servers report, and changes are stored.
    void step();

    // Jobs that arrive a second on average over all queues.
    void setRate(int jobsPerSecond) { this->rate = jobsPerSecond; }
    std::uint64_t starts() const { return this->startedRuns; }
    std::uint64_t holds() const { return this->holdCalls; }
    std::size_t openJobs() const;

private:
    struct Run {
        int number = 0;
        TimePoint endsAt;
    };
    struct FakeServer {
        std::map<TaskId, Run> running;
        std::deque<EndedRun> ended;
        std::uint64_t numbered = 0;
        bool holding = false;
        TimePoint holdUntil;
        TimePoint heldSince;
    };

    void addServers();
    void addJob(int service);
    void arrive();
    void advanceServers();
    void answerHold(const std::string& id, FakeServer& server);
    void store();

    ManualClock manual;
    Random random { 1 };
    int rate = 60;
    std::int64_t due = 0; // jobs times 1000 that should have arrived
    std::uint64_t jobs = 0;
    std::uint64_t startedRuns = 0;
    std::uint64_t holdCalls = 0;
    std::map<std::string, FakeServer> servers;
    std::deque<std::tuple<std::string, TaskId, int>> confirmations;
    std::unique_ptr<JobScheduler> scheduler;
};

} // namespace waxwinglug::test
