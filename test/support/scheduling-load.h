// Simulated fleet, by default at the size of the grown deployments, whose servers answer immediately. Used to count and
// time the scheduler's work per task.
//
// Load: four services whose queues peak in turn for 4.5 s at about four times their mean.
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

    explicit SchedulingLoad(int serversPerService = 85);

    // Advances the clock by 5 ms: jobs arrive, tasks end, servers report, and changes are stored.
    void step();

    // Average number of arriving jobs per second over all queues.
    void setRate(int jobsPerSecond) { this->rate = jobsPerSecond; }
    std::uint64_t starts() const { return this->startCount; }
    std::uint64_t renewals() const { return this->renewalCount; }
    std::size_t unfinishedJobs() const;
    // Processor time of the dispatches and ticks.
    std::chrono::nanoseconds dispatchTime() const { return this->dispatchDuration; }
    // Stops or resumes the storing of progress, as an unavailable store does.
    void setStoreAvailable(bool available) { this->isStoreAvailable = available; }
    JobScheduler& jobScheduler() { return *this->scheduler; }

private:
    struct Run {
        int number = 0;
        TimePoint endsAt;
    };
    struct FakeServer {
        std::map<TaskId, Run> running;
        std::deque<EndedRun> ended;
        std::uint64_t lastEndNumber = 0;
        bool renewing = false;
        TimePoint renewUntil;
        TimePoint renewSentAt;
    };

    void addServers(int serversPerService);
    void addJob(int service);
    void addArrivals();
    void advanceServers();
    void answerRenewal(const std::string& id, FakeServer& server);
    void store();

    ManualClock manual;
    Random random { 1 };
    int rate = 60;
    bool isStoreAvailable = true;
    std::chrono::nanoseconds dispatchDuration { 0 };
    std::int64_t dueMilliJobs = 0; // thousandths of a job that are due to arrive
    std::uint64_t jobs = 0;
    std::uint64_t startCount = 0;
    std::uint64_t renewalCount = 0;
    std::map<std::string, FakeServer> servers;
    std::deque<std::tuple<std::string, TaskId, int>> confirmations;
    std::unique_ptr<JobScheduler> scheduler;
};

} // namespace waxwinglug::test
