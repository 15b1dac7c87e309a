// A small fleet without I/O for tests of the scheduler: backend servers, the store, and entry VMs that take the lead,
// all on a paused clock. Calls can be lost on the way out or back, or be carried out seconds late; leads can pause, be
// cut off from servers or from the store, and die; servers can crash and lose all they know.
//
// The world checks what callers and operators were promised from what happens on its servers, not from what a lead
// believes.
#pragma once

#include "job/scheduler.h"

#include <waxwinglug/base.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace waxwinglug::test {

// Chances are per thousand calls.
struct WorldFaults {
    int lostRequests = 0;
    int lostAnswers = 0;
    int lateCalls = 0; // no answer, carried out 2 to 12 s later
    int failedRuns = 20; // runs that end as failed
    // Chances per second of simulated time.
    int leadPauses = 0;
    int leadDeaths = 0;
    int leadCutsFromServers = 0;
    int leadCutsFromStore = 0;
    int serverCrashes = 0;
    int serverCuts = 0; // from every lead
    int cancellations = 0;
};

class FakeServer {
public:
    struct RunningRun {
        int run = 0;
        TimePoint endsAt;
        bool fails = false;
        Resources taskResources;
        bool stopping = false;
    };

    ServerRecord record;
    // The clock runs at this rate, in thousandths, from this start.
    int clockRate = 1000;
    TimePoint bornAt;
    std::uint64_t fence = 0;
    ServerClock until = 0;
    std::map<TaskId, RunningRun> running;
    std::map<TaskId, int> closedRuns; // highest run that was stopped or has ended
    std::vector<EndedRun> ended;
    std::uint64_t numbered = 0;
    std::uint64_t stored = 0; // ends that were acknowledged
    std::uint64_t lapsedBefore = 0; // ends up to this number were listed before a lease expired
    TimePoint cutFrom;
    TimePoint cutUntil;
    // The server does not reach the store either, so its row expires.
    bool cutFromStore = false;

    bool isListed(TimePoint now) const;
    ServerClock clockAt(TimePoint now) const { return (now - this->bornAt).count() * this->clockRate / 1000; }
    Resources used() const;
};

class SchedulingWorld {
public:
    SchedulingWorld(std::uint32_t seed, WorldFaults faults);
    ~SchedulingWorld();

    // Runs until all jobs are over or the time has passed.
    void run(Duration time);
    // Ends all faults, and gives the fleet time to finish.
    void runCalm(Duration time);

    const std::vector<std::string>& violations() const { return this->found; }
    int startedRuns() const { return this->starts; }
    // Jobs that were accepted and have no final state.
    int openJobs() const;

private:
    struct Lead {
        std::unique_ptr<JobScheduler> scheduler;
        std::uint64_t version = 0; // of the lead row
        TimePoint confirmedAt;
        TimePoint failedAt;
        TimePoint beatAt;
        TimePoint tickAt;
        TimePoint pausedUntil;
        TimePoint cutFromServersUntil;
        TimePoint cutFromStoreUntil;
        std::map<std::string, WallTime> knownServers; // start of the life that it knows
        bool storing = false;
        bool dead = false;
    };
    struct StoredRow {
        std::string text;
        std::uint64_t version = 0;
    };
    struct StoredJob {
        JobSpec spec;
        bool cancelled = false;
    };
    using Work = std::function<void()>;

    void addServers();
    void addJob();
    void at(TimePoint time, Work work) { this->events.emplace(time, std::move(work)); }
    bool chance(int perThousand);
    int pick(int least, int most);
    void step();
    void disturb();
    void advanceServer(FakeServer& server);
    void endRun(FakeServer& server, const TaskId& id, RunEnd end);

    // Sends a call to a server on behalf of a lead; `carryOut` runs on the server and returns the answer.
    void call(const std::shared_ptr<Lead>& lead, const std::string& server, std::function<Work(FakeServer&)> carryOut,
        std::function<void(OrderStatus)> noAnswer);
    OrderStatus start(FakeServer& server, const StartOrder& order);
    OrderStatus stop(FakeServer& server, const StopOrder& order);
    RenewReport hold(FakeServer& server, const RenewOrder& order);
    void checkStart(const FakeServer& server, const StartOrder& order);
    void violation(const std::string& text);

    void superviseLead();
    void takeLead();
    void load(Lead& lead);
    JobSchedulerHooks hooksOf(const std::shared_ptr<Lead>& lead);
    void driveLead(const std::shared_ptr<Lead>& lead);
    void store(const std::shared_ptr<Lead>& lead);
    struct Batch {
        std::vector<ProgressWrite> jobs;
        std::vector<JobScheduler::ServerUseRecord> servers;
        TimePoint sentAt;
    };
    // Returns the version of the rows written; 0 when nothing was applied.
    std::uint64_t commit(const Lead& lead, const Batch& batch);
    void commitAnswered(const std::shared_ptr<Lead>& lead, const Batch& batch, bool answered, std::uint64_t applied);

    Random random;
    WorldFaults faults;
    bool calm = false;
    ManualClock manual;
    Clock clock;
    std::multimap<TimePoint, Work> events;
    std::map<std::string, FakeServer> servers;
    std::shared_ptr<const FleetConfig> config;

    // The store.
    std::uint64_t version = 0;
    std::uint64_t fence = 0;
    std::uint64_t leadVersion = 0;
    std::map<std::string, StoredJob> jobs;
    std::map<std::string, StoredRow> progress;
    std::map<std::string, ServerRecord> enrolled;
    TimePoint lastBeat;

    std::vector<std::shared_ptr<Lead>> leads;
    int starts = 0;
    int accepted = 0;
    TimePoint nextJobAt;
    std::set<TaskId> doneTasks; // some run of it has ended as done
    std::set<TaskId> acknowledged; // such an end was acknowledged
    std::map<TaskId, std::set<std::pair<std::string, int>>> acknowledgedFailures;
    std::vector<std::string> found;
};

} // namespace waxwinglug::test
