// The leader's job scheduler: accepts jobs, starts their tasks on backend servers under leases and a fence, and records
// which runs have ended.
//
// One entry VM at a time is the leader. A JobScheduler exists for one term of leadership. It starts from the contents
// of the store and the reports of the backend servers. Once a later leader has reached a server, that server refuses
// this scheduler's orders. The scheduler does no I/O: it sends orders through hooks and receives the answers as calls.
#pragma once

#include "job/server-table.h"

#include <waxwinglug/fleet-platform.h>
#include <waxwinglug/log-field.h>

#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace waxwinglug {

// Number of bits of an order's fence that count within a term; the bits above them are the number of the term. Fences
// of the first 2^29 terms are exact as JSON numbers.
inline constexpr int orderFenceBits = 24;

struct JobSchedulerHooks {
    std::function<void(const ServerRecord&, StartOrder)> start;
    std::function<void(const ServerRecord&, StopOrder)> stop;
    std::function<void(const ServerRecord&, RenewOrder)> renewLease;
    std::function<void(const ServerRecord&, ThrottleOrder)> throttle;
    // Returns false while another entry VM may have become the leader; no task is started then.
    std::function<bool()> mayStart;
    // Returns the time as of which all jobs in the store are known here. Without it, they always are.
    std::function<TimePoint()> jobsKnownAsOf;
    // Called when a backend server has seen the fence of a later leader.
    std::function<void()> onSuperseded;
    LogHook log;
};

// Platform-dependent times, and the number of the leader's term.
struct JobSchedulerRules {
    // Number of this term. Later terms have higher numbers. The fences of orders begin at firstOrderFence().
    std::uint64_t fence = 0;
    // Lease granted by each renewal. Work on an unreachable server is not started elsewhere before its lease has
    // expired.
    Duration lease { std::chrono::seconds(4) };
    // Maximum lease that backend servers grant, regardless of what is requested.
    Duration maxLease { std::chrono::seconds(10) };
    // Validity of a start order. It is short so that an unanswered order becomes void soon.
    Duration startValidity { std::chrono::milliseconds(2500) };
    // Maximum time that a server may delay the answer to a lease renewal.
    Duration maxRenewWait { std::chrono::seconds(1) };
    // Maximum age of the copy of the job table from which tasks are started while the store answers: a cancellation
    // that is not known yet is at most this old.
    Duration maxJobTableAge { 2500 };
    // Time from the start of this term during which the earlier leader may still start tasks: it continues for up to 5
    // s without the store.
    Duration earlierLeaderStartWindow { 5000 };
    // Time from the start of this term until all leases and start orders of the earlier leader have expired: its last
    // lease can begin 5 s into the term and lasts 4 s on a slow clock.
    Duration maxInheritedLease { 9500 };
    // An order that is not answered is carried out at most this much later, perhaps by a later incarnation of its
    // server.
    Duration maxOrderDelay { std::chrono::seconds(12) };
    // Time for which the rows of an ended job are kept.
    Duration endedJobRetention { std::chrono::minutes(3) };
    // Largest stored progress of one job, in bytes.
    std::size_t maxProgressBytes = std::numeric_limits<std::size_t>::max();

    // Lowest fence of the orders of this term. Every fence of an earlier term is lower.
    std::uint64_t firstOrderFence() const { return this->fence << orderFenceBits; }
    std::uint64_t lastOrderFence() const { return this->firstOrderFence() + (1ULL << orderFenceBits) - 1; }
    // Shortens the waiting times above. Only valid if the earlier leader is known to have stopped.
    void assumeEarlierLeaderStopped();
    // Time from a stray order until the lease that it creates has expired, even on a slow clock. Stray orders are meant
    // for an earlier incarnation of a server and reach a later one. Their times refer to the clock of the earlier
    // incarnation, which is ahead, so such an order creates a lease of the maximum length.
    Duration maxStrayLease() const;
    // Time from the start of this term until the leases of stray orders of the earlier leader have expired.
    Duration maxInheritedStrayLease() const { return this->earlierLeaderStartWindow + this->maxStrayLease(); }
};

// Progress of one job, to be written to the store.
struct ProgressWrite {
    std::string job;
    std::string text;
    std::uint64_t expectedVersion = 0;
    std::uint64_t changeSequence = 0;
};

class JobScheduler {
public:
    JobScheduler(JobSchedulerRules rules, Clock clock, JobSchedulerHooks hooks);
    ~JobScheduler();
    JobScheduler(const JobScheduler&) = delete;
    JobScheduler& operator=(const JobScheduler&) = delete;

    void setConfig(std::shared_ptr<const FleetConfig> config);

    // Load the contents of the store. `inherited` jobs were stored before this term and may be running on some server.
    void addJob(JobSpec spec, bool inherited);
    void loadProgress(std::string_view job, std::string_view text, std::uint64_t rowVersion);
    // Adds a job whose stored rows show that it has ended; its specification is not needed any more.
    void addEndedJob(const std::string& job, JobStatus finalState, std::uint64_t rowVersion);
    void cancelJob(std::string_view job);
    void addServer(ServerRecord record);
    // Adds a server that an earlier leader used, whether it is still registered or not.
    void addServerInUse(const ServerRecord& record);
    // All leases of a server in use end before `end`, as an earlier leader has stored. Call after all servers are
    // known.
    void setInheritedLeaseEnd(std::string_view server, TimePoint end);
    // Stray orders may have created leases on a server in use that last until `end`, as an earlier leader has stored.
    // Call after all servers are known.
    void setInheritedStrayLeaseEnd(std::string_view server, TimePoint end);
    // A start that its server has not answered, or that an unknown incarnation of it has. It may be carried out late,
    // by any incarnation.
    struct UnansweredStart {
        TaskId task;
        int run = 0;
        // Until then it may be carried out, or the lease that it creates may last.
        TimePoint endsBy;
    };
    // Takes over a start of an earlier leader: its task waits until the server reports or the time is over. Call after
    // all jobs and servers are known.
    void addInheritedStart(std::string_view server, const UnansweredStart& start);
    void removeServer(std::string_view id);
    // Applies the platform's machine list, requested at `askedAt`. Stops waiting for an unresponsive server whose
    // machine is down or runs another server.
    void updateMachines(std::span<const MachineRecord> machines, TimePoint askedAt);
    // Number of servers of the earlier leader that have not answered and may run tasks that are unknown here.
    std::size_t unansweredInheritedServers() const;
    // Returns true if work waits for an unresponsive server. The machine list may show whether that server still
    // exists.
    bool waitsForUnresponsiveServer() const;

    // Handle answers to orders. `sentAt` is the time at which the call was sent.
    void startAnswered(std::string_view server, const TaskId& task, int run, const OrderAnswer& answer);
    void stopAnswered(std::string_view server, const TaskId& task, int run, const OrderAnswer& answer);
    void renewAnswered(std::string_view server, TimePoint sentAt, OrderStatus status, const RenewReport& report);

    // Sends due lease renewals and starts tasks in services that have changed. Call after each batch of events.
    void dispatchChanges();
    // Handles timeouts in addition, and dispatches all services. Call at least every 100 ms.
    void tick();

    // Write progress to the store. At most one batch is in flight; progressSaved() or progressNotSaved() completes it.
    // `maxBytes` bounds the encoded size of the batch.
    std::vector<ProgressWrite> takeUnsavedProgress(
        std::size_t maxCount, std::size_t maxBytes = std::numeric_limits<std::size_t>::max());
    // Jobs with changes that are in no batch yet.
    std::size_t unsavedJobCount() const { return this->unsaved.size(); }
    void progressSaved(std::span<const ProgressWrite> batch, std::uint64_t rowVersion);
    void progressNotSaved(std::span<const ProgressWrite> batch);
    // Ends a job whose progress the store refuses for a reason that it does not name: the same row would be refused
    // again, and with it the progress of every other job. Call after progressNotSaved().
    void progressRefused(std::string_view job);
    // Sets the actual version of a job's progress row after a write failed with a version conflict.
    void setProgressVersion(std::string_view job, std::uint64_t rowVersion);

    // The store's record that the leader uses a server. The record is removed from the store when `record` is empty.
    struct ServerUseRecord {
        std::string server;
        std::optional<ServerRecord> record;
        // The server does not answer, and its leases end before.
        std::optional<TimePoint> leaseEnd {};
        // Leases of stray orders may last until then, whoever leads.
        std::optional<TimePoint> strayLeaseEnd {};
        std::vector<UnansweredStart> unansweredStarts {};
    };
    std::vector<ServerUseRecord> takeServerUseChanges(std::size_t maxCount);
    // When a start that was sent last may have to be recorded as unanswered, if any.
    std::optional<TimePoint> nextUnansweredStartAt() const;
    void serverUseSaved(std::span<const ServerUseRecord> stored);
    void serverUseNotSaved(std::span<const ServerUseRecord> failed);

    struct StoredEnd {
        std::string job;
        JobStatus finalState = JobStatus::Completed;
    };
    // Returns, once each, the jobs whose final state is stored and whose specification no later leader needs: none of
    // their tasks runs, also not on a server that has not answered yet.
    std::vector<StoredEnd> takeStoredEnds();
    // Removes jobs from memory whose retention time is over, and returns their ids so that their rows can be removed.
    std::vector<std::string> takeExpiredJobs(std::size_t maxCount);
    // Number of accepted jobs in each queue of which no task has started.
    std::map<std::string, int> pendingJobsByQueue() const;
    std::optional<JobStatus> jobStatus(std::string_view job);

    // Processor capacity in thousandths of a core that a service requires to complete its work in time: active and
    // arriving work, and its long-running tasks.
    std::int64_t requiredMillicores(std::string_view service) const;
    // Number of servers required by the largest long-running step of a service, including spares to move its tasks to.
    int requiredServers(std::string_view service) const;

    // Data centres whose servers get no new tasks. Their running tasks end there, and long-running ones move to servers
    // with enough free capacity elsewhere, within the maxUnavailable limit of their steps.
    void setEvacuatedDataCentres(std::set<std::string, std::less<>> dataCentres);
    bool isEvacuated(std::string_view dataCentre) const { return this->evacuatedDataCentres.contains(dataCentre); }

    // Maintenance. A cordoned machine gets no new tasks.
    void setCordoned(std::string_view machine, bool closing);
    // The machine will be taken down for maintenance soon.
    void setMaintenancePending(std::string_view machine, bool due);
    static bool hasLongRunningTasks(const detail::Server& server);
    // Returns the registered server on a machine, or nullptr when there is none.
    const detail::Server* serverOnMachine(std::string_view machine) const;
    // Stops long-running tasks on a machine, within the maxUnavailable limit of their steps.
    void evict(std::string_view machine);

    // The platform has stopped the server and everything that ran on it.
    void serverStopped(std::string_view id);

    // Returns true if most of the servers in use do not answer this node. Another node may be able to reach more of
    // them.
    bool isPartitioned() const;

    // Number of servers that were compared with the need of a task since the start of this term.
    std::uint64_t examinedServerCount() const { return this->examinedServers; }
    const detail::ServerMap& servers() const { return this->serverMap; }
    const detail::JobTable& jobs() const { return this->jobTable; }

private:
    struct ReadyStep {
        detail::JobRecord* job = nullptr;
        detail::Occurrence* occurrence = nullptr;
        std::size_t step = 0;
        int rank = 0;
        std::int64_t order = 0;
    };
    // An active occurrence and its dispatch priority relative to others; smaller ranks and orders start first.
    struct ActiveOccurrence {
        detail::JobRecord* job = nullptr;
        detail::Occurrence* occurrence = nullptr;
        int rank = 0;
        std::int64_t order = 0;
    };

    // scheduler.cpp
    void applyQueueSettings(detail::JobRecord& job);
    std::uint64_t markUnsaved(detail::JobRecord& job);
    std::string encodeProgress(detail::JobRecord& job);
    // All changes up to this sequence number are stored.
    std::uint64_t storedSequence() const;
    void acknowledgeStoredEnds(detail::Server& server, std::uint64_t storedThrough);
    void acknowledgeStoredEnds();
    // Calls `visit` for each run of the job's tasks. `visit` may end the run.
    static void forEachRun(detail::JobRecord& job,
        const std::function<void(detail::Server&, std::map<TaskId, detail::Run>::iterator)>& visit);
    static bool hasRuns(const detail::JobRecord& job);
    void finishJob(detail::JobRecord& job, JobStatus state, std::string_view reason);
    void activateDueOccurrences();

    // servers.cpp
    void updateRecord(detail::Server& server, ServerRecord record);
    detail::Server& createServer(const ServerRecord& record);
    void removeFromMachine(detail::Server& server);
    void removeFromService(detail::Server& server);
    void removeFromIndexes(detail::Server& server);
    // Returns an empty span for an unknown machine.
    std::span<detail::Server* const> serversOn(std::string_view machine) const;
    void endEarlierIncarnations(const detail::Server& latest);
    void markRemoved(detail::Server& server, std::string_view reason);
    void handleCrash(detail::Server& server, TimePoint askedAt);
    void dropUnresponsiveServers();
    // Until then an earlier leader's runs may go on, on a server that has not answered this leader.
    TimePoint inheritedLeaseEnd(const detail::Server& server) const;
    // Another incarnation of the server may take orders that were sent to the one before it until now.
    void expectStrayOrders(detail::Server& server);
    bool mayHaveInheritedRuns(const detail::Server& server) const;
    bool lacksLeaseEndRecord(const detail::Server& server) const;
    // Marks the records of servers that have left a start unanswered for a while.
    void findUnansweredStarts();
    std::vector<UnansweredStart> unansweredStarts(const detail::Server& server) const;
    // Returns the change of the server's record that is due, if any.
    std::optional<ServerUseRecord> nextUseRecord(detail::Server& server) const;

    // orders.cpp
    // Assigns a run of a waiting task to a server.
    void assignRun(detail::JobRecord& job, const TaskId& id, detail::Server& server, int run, detail::TaskPhase phase,
        detail::RunEvidence evidence, TimePoint startedAt);
    void startTask(detail::JobRecord& job, detail::Occurrence& occurrence, std::size_t step, std::size_t index,
        detail::Server& server, int run);
    void requestStop(detail::Server& server, const TaskId& id, detail::Run& run, std::string_view reason);
    void sendStop(detail::Server& server, const TaskId& id, detail::Run& run);
    void sendRenewal(detail::Server& server);
    void scheduleRenewal(detail::Server& server, TimePoint at);
    void sendDueRenewals();
    void resendStops();
    // Compares the server's clock in the answer to an order with that of the incarnation that is known. Ends the runs
    // of that one if it has ended.
    void checkClock(detail::Server& server, TimePoint sentAt, const OrderAnswer& answer);
    bool acceptIncarnation(detail::Server& server, TimePoint sentAt, const RenewReport& report);
    void handleReusedAddress(detail::Server& server, TimePoint sentAt);
    // Voids the orders that were sent to the server so far, for each incarnation that receives a later one.
    void raiseFence(detail::Server& server);
    // Handles the refusal of an order that was sent at `sentAt` because of its fence.
    void handleFenceRefusal(const detail::Server& server, TimePoint sentAt);
    // Returns one run number for the next start of these tasks, higher than all their earlier ones. Tasks of a gang
    // share it.
    int nextRunNumber(std::span<const detail::Task> tasks) const;

    // reports.cpp
    void applyEnd(detail::Server& server, const EndedRun& ended);
    void applyRunning(detail::Server& server, const RunningTask& running, TimePoint sentAt, bool namesIncarnation);
    void applyMissingRuns(detail::Server& server, TimePoint sentAt, const RenewReport& report);
    // What a report that names a task means for it. An end has no second chance once it is acknowledged, and a run none
    // once it is stopped.
    enum class EvidenceUse {
        Apply, // the task is in an active occurrence
        Keep, // the task may be needed, but has no place yet
        Drop, // no leader needs it
    };
    // Activates the occurrence of the task if an earlier leader has. `listedAt` is when a report first named the task.
    EvidenceUse judgeEvidence(const TaskId& id, TimePoint listedAt);
    bool areJobsKnownAsOf(TimePoint time) const;
    void keepEnd(detail::Server& server, const EndedRun& ended, TimePoint listedAt);
    void logEnd(std::string_view event, const detail::Server& server, const EndedRun& ended);
    void listAsUnstored(detail::Server& server);
    void addOrphan(
        detail::Server& server, const RunningTask& running, const detail::JobRecord* job, TimePoint listedAt);
    void stopOrphan(const detail::Server& server, const RunningTask& running, bool isJobKnown);
    void dropOrphans(detail::Server& server, const std::function<bool(const TaskId&, int run)>& ended);
    void adoptRun(detail::Server& server, const RunningTask& running, detail::RunEvidence evidence);
    // Gives up a start of an earlier leader that got no answer if that leader has started a later run of the task: it
    // had ruled out the earlier one then.
    void dropInheritedStart(const TaskId& id, detail::Task& task, int laterRun);
    void releaseRun(detail::Server& server, std::map<TaskId, detail::Run>::iterator run);
    void endRun(detail::Server& server, std::map<TaskId, detail::Run>::iterator run, RunEnd end, bool reported);
    void applyUnknownEnd(detail::JobRecord& job, detail::Task& task, const EndedRun& ended);
    void completeTask(detail::JobRecord& job, const TaskId& id, detail::Task& task);
    void recordTaskFailure(detail::JobRecord& job, const TaskId& id, detail::Task& task, int run);
    void completeOccurrence(detail::JobRecord& job, int occurrence);
    // `evidence` says what shows that a later incarnation may have started.
    void expectIncarnation(detail::Server& server, std::string_view evidence);
    void beginIncarnation(detail::Server& server);
    void endRunsOfIncarnation(detail::Server& server, const std::function<bool(const detail::Task&)>& hasEnded);
    void endIncarnation(detail::Server& server, std::string_view reason);
    void resetIncarnation(detail::Server& server);
    void abandonRuns(detail::Server& server, std::string_view reason);
    // Abandons the runs whose lease has certainly ended when the last known lease of the server has.
    void abandonLeasedRuns(detail::Server& server);
    // Abandons the runs that no incarnation has confirmed and that no order can create any more.
    void abandonDoubtfulRuns(detail::Server& server);
    void recordServerFailure(
        detail::Server& server, const detail::JobRecord& job, TimePoint startedAt, std::string_view reason);
    void checkStall(detail::Server& server, const TaskId& id, detail::Run& run, const RunningTask& running);
    void adjustThrottles(detail::Server& server);

    // demand.cpp
    void recordArrival(const detail::JobRecord& job);
    void expireArrivals();

    // placement.cpp
    void recordWait(const ReadyStep& ready, std::string_view reason);
    void logWaits();
    void logCleared(const detail::Server& server, std::string_view reason) const;
    void logSuspects(const std::string& service) const;
    void reviewSuspicions();
    struct FailingServers {
        std::size_t members = 0; // servers of the service that would get tasks if none was suspect
        std::size_t failing = 0;
    };
    FailingServers countFailingServers(std::string_view service) const;
    // Number of servers of a service that may be out on suspicion at once.
    static std::size_t maxSuspectCount(std::size_t members);
    void dispatch(bool all);
    void dispatchService(const std::string& service);
    void placeStep(const ReadyStep& ready, std::span<detail::Server* const> candidates);
    void placeGang(const ReadyStep& ready, std::span<detail::Server* const> candidates);
    // Servers of a service that may get tasks, and those that may not, only because they are suspect.
    struct Candidates {
        std::vector<detail::Server*> usable;
        std::vector<detail::Server*> suspects;
    };
    Candidates findCandidates(std::string_view service) const;
    // Which suspect servers may be chosen.
    enum class SuspectUse {
        Probe, // those whose ejection is over, for one task
        EarlyProbe, // ejected ones too, for one task
    };
    // Returns true if a step that no usable server has room for may start on an ejected one. Call once it has none.
    bool mayUseSuspects(const ReadyStep& ready);
    detail::Server* chooseSuspect(const ReadyStep& ready, const detail::Task& task);
    void recordNoServer(const ReadyStep& ready);
    // Returns a server for each task of a gang, or nothing.
    std::vector<detail::Server*> chooseGangServers(
        const ReadyStep& ready, std::span<detail::Server* const> candidates, SuspectUse suspectUse) const;
    std::vector<ActiveOccurrence> prioritizeOccurrences(
        const std::string& service, std::span<detail::Server* const> candidates) const;
    std::vector<ReadyStep> readySteps(const std::string& service, std::span<detail::Server* const> candidates);
    // Return true if no candidate of this dispatch has enough free capacity, as the choice for an earlier task showed.
    static bool isUnplaceable(std::span<const Resources> unplaceable, const Resources& need);
    static void recordUnplaceable(std::vector<Resources>& unplaceable, const StepSpec& step);
    detail::Server* chooseServer(const ReadyStep& ready, const detail::Task& task,
        std::span<detail::Server* const> candidates, const std::map<const detail::Server*, Resources>& planned,
        SuspectUse suspectUse = SuspectUse::Probe) const;
    // Returns true if the server may get tasks unless it is suspect.
    bool isAvailable(const detail::Server& server, TimePoint now) const;
    std::map<std::string, Resources> maxUnknownUse() const;
    bool fitsTeamLimit(const detail::JobRecord& job, const Resources& need) const;
    bool mayHaveUnknownRuns(const std::string& service) const;
    bool canInterrupt(const detail::Run& run) const;
    void evict(detail::Server& server, std::string_view reason);
    void evictFromEvacuatedDataCentres();
    bool canRunElsewhere(const detail::Run& run) const;

    const JobSchedulerRules rules;
    const Clock clock;
    const JobSchedulerHooks hooks;
    const TimePoint termStartedAt;
    // Highest fence of any order. It is common to all servers, so that a server which is forgotten and listed again
    // receives no lower one than before.
    std::uint64_t latestOrderFence;
    std::shared_ptr<const FleetConfig> config;
    detail::JobTable jobTable;
    detail::ServerMap serverMap;
    // Servers by service, ordered by id.
    std::map<std::string, std::vector<detail::Server*>, std::less<>> serviceServers;
    // Servers without a renewal in flight, by the time of their next one.
    std::map<std::pair<TimePoint, std::uint64_t>, detail::Server*> renewalQueue;
    std::uint64_t lastServerSerial = 0;
    // Servers with unacknowledged ends.
    std::vector<detail::Server*> unstoredServers;
    // Servers whose latest report was full, so that they may have recorded ends that are not listed yet.
    std::set<const detail::Server*> fullReporters;
    // Servers by machine, including earlier incarnations. Maintenance and the pool mover look up every machine in each
    // tick.
    std::unordered_map<std::string, std::vector<detail::Server*>> machineServers;
    // Jobs without a final state, by service. Jobs of an unknown queue have an empty service.
    std::map<std::string, std::set<detail::JobRecord*>> activeJobs;
    std::set<const detail::JobRecord*> inheritedJobs;
    std::map<std::string, Resources> teamAllocations;
    // Tasks that could not start in the latest full dispatch, by service, team and reason.
    struct Wait {
        int tasks = 0;
        Duration oldest { 0 }; // longest time since an occurrence was due
    };
    std::map<std::tuple<std::string, std::string, std::string_view>, Wait> waits;
    TimePoint waitsLoggedAt;
    // Needs that fit on no candidate, and on no ejected server, of the current service. Free capacity only shrinks
    // while a service is dispatched, so larger needs do not fit either.
    std::vector<Resources> unplaceableNeeds;
    std::vector<Resources> unplaceableOnSuspects;
    // Ejected servers of the service that is being dispatched.
    std::vector<detail::Server*> suspects;
    mutable std::uint64_t examinedServers = 0;
    bool recordsWaits = false; // the current dispatch counts waiting tasks for the log
    // Upper bound of what each team may be running on servers that have not answered yet, computed by the latest
    // dispatch.
    std::map<std::string, Resources> unknownTeamUse;
    // Services in which a task may have become startable since the last dispatch.
    std::set<std::string> changedServices;
    // Jobs with unsaved changes, ordered by the sequence number of their first unsaved change.
    std::map<std::uint64_t, detail::JobRecord*> unsaved;
    std::uint64_t lastChangeSequence = 0;
    // Sequence number of the oldest change in the batch that is being stored; 0: no batch is in flight.
    std::uint64_t inFlightSequence = 0;
    std::deque<detail::JobRecord*> endedJobs;
    // Jobs whose final state is stored and was not returned yet. They may have been removed.
    std::vector<std::string> storedEnds;
    // Work of recently arrived jobs, by service.
    struct Arrival {
        TimePoint at;
        std::int64_t work = 0; // thousandths of a core times milliseconds
    };
    std::map<std::string, std::deque<Arrival>, std::less<>> arrivals;
    std::set<std::string, std::less<>> evacuatedDataCentres;
    std::set<std::string> maintenancePendingMachines;
    std::set<std::string> cordonedMachines;
    // A server in use may lack its record; false: the servers need not be searched.
    bool mayLackUseRecords = false;
    // Starts that may have no answer yet, oldest first.
    struct RecentStart {
        TimePoint sentAt;
        std::string server;
        TaskId task;
        int run = 0;
    };
    std::deque<RecentStart> recentStarts;
    // Servers whose use record is to be removed from the store.
    std::vector<std::string> removedServers;
};

// Resources that a task reserves on a server. Best-effort tasks reserve no processor time.
Resources reservedResources(const StepSpec& step);

} // namespace waxwinglug
