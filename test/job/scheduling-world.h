// Simulated fleet for scheduler tests, without I/O: backend servers, the store, and entry VMs that become the leader,
// on a manual clock. Calls can be lost in either direction or be carried out seconds late. Leaders can pause, crash,
// and be partitioned from servers or from the store. Servers can crash and lose their state.
//
// The world checks the guarantees given to callers and operators against what happens on its servers, not against the
// state of a leader.
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

// Probabilities per thousand calls.
struct WorldFaults {
    int lostRequests = 0;
    int lostAnswers = 0;
    int delayedCalls = 0; // not answered, and carried out 2 to 12 s later
    int failedRuns = 20; // runs that fail
    // Probabilities per thousand and second of simulated time.
    int leaderPauses = 0;
    int leaderCrashes = 0;
    int leaderServerPartitions = 0;
    int leaderStorePartitions = 0;
    int serverCrashes = 0;
    // Dark for a while, then a new incarnation, whose row follows later. Only then are machines listed, so that the
    // sequences of known seeds stay what they were.
    int serverRestarts = 0;
    int oddRows = 0; // rows of another writer that name the machine of a server, or the server itself
    int serverPartitions = 0; // from every leader
    int cancellations = 0;
    // The kinds below are drawn only where they are set, so that the sequences of known seeds stay what they were.
    int failingServers = 0; // servers that fail all that they start for a while
    int jobFailurePeriods = 0; // times during which most jobs fail wherever they run
    int cutsAfterRestarts = 0; // per thousand restarts: the server is cut off from 0.1 s after it is back on
    Duration maxTimeToCut { 3000 };
    // A call to a dark server is carried out by its next incarnation, as a connection that is opened meanwhile does it.
    bool strayCalls = false;
    // Also a call of a leader that is dead, as when the platform carries it out late.
    bool callsOutliveLeaders = false;
    // Such a renewal also acknowledges ends of that incarnation.
    bool strayAcknowledgements = false;
    // A renewal is answered when the wait that it allows is over, and not at all by a later incarnation, and a server
    // that is cut off from the store writes no row: until then the leader does not know that it has started again.
    // Calls that no incarnation has answered in time are unanswered, and may be carried out nevertheless.
    bool renewalsWait = false;
    // A leader that crashed leads again, and knows that it has stopped.
    bool leadersReturn = false;
    // Probabilities per thousand jobs.
    int longTasks = 0; // each task takes up to 40 s
    int overlappingJobs = 0; // more occurrences at once than a leader works on
    // Largest difference between the wall clocks of two VMs: leaders, and those that accept jobs.
    Duration clockDifference { 0 };
    // Each server has a task that lasts until its job is cancelled.
    bool lastingTasks = false;
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
    // Its row in the store. A new incarnation answers before it has written its row.
    ServerRecord row;
    // Rate of the server's clock, in thousandths. The clock starts at bootedAt.
    int clockRate = 1000;
    TimePoint bootedAt;
    std::uint64_t fence = 0;
    ServerClock leaseUntil = 0;
    std::map<TaskId, RunningRun> running;
    std::map<TaskId, int> lastEndedRuns; // highest run number that was stopped or has ended
    std::vector<EndedRun> ended;
    std::uint64_t lastEndNumber = 0;
    std::uint64_t lastAcknowledgedEnd = 0; // ends up to this number were acknowledged
    std::uint64_t lastEndBeforeExpiry = 0; // ends up to this number were recorded before a lease expired
    TimePoint partitionedFrom;
    TimePoint partitionedUntil;
    // The server cannot reach the store either, so its row expires.
    bool partitionedFromStore = false;
    TimePoint darkUntil; // nothing runs on its machine before
    TimePoint failsUntil; // fails all that it starts before
    bool ignoresAcknowledgements = false; // of the call that it carries out

    bool isDark(TimePoint now) const { return now < this->darkUntil; }

    bool isRegistered(TimePoint now) const;
    ServerClock clockAt(TimePoint now) const { return (now - this->bootedAt).count() * this->clockRate / 1000; }
    Resources allocated() const;
};

class SchedulingWorld {
public:
    SchedulingWorld(std::uint32_t seed, WorldFaults faults);
    ~SchedulingWorld();

    // Runs the simulation for the given time.
    void run(Duration time);
    // Ends all faults and new jobs, then runs the simulation for the given time.
    void runWithoutFaults(Duration time);

    const std::vector<std::string>& violations() const { return this->violationTexts; }
    int startedRuns() const { return this->startCount; }
    // Number of accepted jobs without a final state.
    int unfinishedJobs() const;
    // Runs that failed because of their server.
    int failedStarts() const { return this->failedStartCount; }

private:
    struct Leader {
        std::unique_ptr<JobScheduler> scheduler;
        std::uint64_t version = 0; // version of the leader row
        TimePoint confirmedAt;
        TimePoint failedAt;
        TimePoint heartbeatSentAt;
        TimePoint tickAt;
        TimePoint pausedUntil;
        TimePoint partitionedFromServersUntil;
        TimePoint partitionedFromStoreUntil;
        std::map<std::string, WallTime> knownServers; // start of the incarnation that the leader knows
        TimePoint machinesListedAt;
        std::size_t readOddRows = 0;
        TimePoint serversReadAt;
        Duration clockOffset { 0 }; // of its wall clock
        TimePoint jobsReadAt;
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
        std::optional<JobStatus> endedState; // the row was replaced by that of an ended job
        bool fails = false; // wherever it runs
        TimePoint notRunningSince;
    };
    using Work = std::function<void()>;

    void addServers();
    void addJob();
    void addOverlappingJob();
    void addLastingJob();
    // The wall clock of a VM that accepts a job.
    WallTime acceptingClock();
    void addShortJob();
    // Checks that whatever has room starts in time once all has been calm for a while.
    void checkWaits();
    bool checksWaits() const { return this->faults.failingServers > 0; }
    bool isUnfinished(const std::string& job) const;
    bool hasRoomTwice(const StoredJob& job) const;
    void at(TimePoint time, Work work) { this->events.emplace(time, std::move(work)); }
    bool chance(int perThousand);
    int pick(int minValue, int maxValue);
    void step();
    void injectFaults();
    void restartServer(FakeServer& server, Duration darkTime, Duration registrationDelay);
    void addOddRow(const FakeServer& server);
    // Sends the leader a list of the machines, if it waits for a server.
    void listMachines(const std::shared_ptr<Leader>& leader);
    void advanceServer(FakeServer& server);
    void endRun(FakeServer& server, const TaskId& id, RunEnd end);

    // Sends a call from a leader to a server. `execute` runs on the server and returns the delivery of its answer.
    void call(const std::shared_ptr<Leader>& leader, const std::string& server,
        std::function<Work(FakeServer&)> execute, std::function<void(OrderStatus)> onNoAnswer);
    // Sends a renewal that the server answers when it has waited.
    void callAndWait(const std::shared_ptr<Leader>& leader, const std::string& server, const RenewOrder& order,
        const std::function<void(OrderStatus, const RenewReport&)>& answer);
    // Delivers an answer to the leader, unless it is dead by then.
    void deliver(const std::shared_ptr<Leader>& leader, Duration after, Work work);
    OrderStatus start(FakeServer& server, const StartOrder& order);
    OrderStatus stop(FakeServer& server, const StopOrder& order);
    RenewReport renew(FakeServer& server, const RenewOrder& order);
    RenewReport report(const FakeServer& server) const;
    void checkStart(const FakeServer& server, const StartOrder& order);
    void addViolation(const std::string& text);

    // A leader that crashed after a term that was longer than the leases of those before it.
    bool hasLeaderStopped() const;
    void superviseLeader();
    void electLeader();
    void load(Leader& leader);
    // Replaces the rows of ended jobs, some of them late and some never.
    void compactEndedJobs(Leader& leader);
    JobSchedulerHooks hooksOf(const std::shared_ptr<Leader>& leader);
    void driveLeader(const std::shared_ptr<Leader>& leader);
    void store(const std::shared_ptr<Leader>& leader);
    struct Batch {
        std::vector<ProgressWrite> jobs;
        std::vector<JobScheduler::ServerUseRecord> servers;
        TimePoint sentAt;
    };
    // Returns the version of the written rows; 0 when nothing was written.
    std::uint64_t commit(const Leader& leader, const Batch& batch);
    void commitAnswered(
        const std::shared_ptr<Leader>& leader, const Batch& batch, bool answered, std::uint64_t applied);

    Random random;
    WorldFaults faults;
    bool faultsDisabled = false;
    TimePoint faultsDisabledAt;
    TimePoint lastShortJobAt;
    TimePoint jobsFailUntil;
    ManualClock manual;
    Clock clock;
    std::multimap<TimePoint, Work> events;
    std::map<std::string, FakeServer> servers;
    std::shared_ptr<const FleetConfig> config;

    // The store.
    std::uint64_t version = 0;
    std::uint64_t fence = 0;
    std::uint64_t leaderRowVersion = 0;
    std::map<std::string, StoredJob> jobs;
    std::map<std::string, StoredRow> progress;
    struct StoredUse {
        ServerRecord record;
        std::optional<TimePoint> leaseEnd;
        std::optional<TimePoint> strayLeaseEnd;
        std::vector<JobScheduler::UnansweredStart> starts;
        std::uint64_t fence = 0; // of the leader that wrote it
    };
    std::map<std::string, StoredUse> serversInUse;
    TimePoint lastHeartbeatAt;
    TimePoint termStartedAt; // of the latest leader
    std::uint64_t crashedFence = 0; // of the latest leader that crashed
    std::vector<ServerRecord> oddRows; // read by every leader, once

    std::vector<std::shared_ptr<Leader>> leaders;
    int startCount = 0;
    int failedStartCount = 0;
    int accepted = 0;
    TimePoint nextJobAt;
    TimePoint nextWaitCheckAt;
    std::set<TaskId> doneTasks; // tasks of which a run has ended as done
    std::set<TaskId> acknowledged; // tasks of which such an end was acknowledged
    std::map<TaskId, std::set<std::pair<std::string, int>>> acknowledgedFailures;
    std::vector<std::string> violationTexts;
};

} // namespace waxwinglug::test
