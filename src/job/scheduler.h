// The lead scheduler of the fleet: takes jobs, starts their tasks on backend servers under leases and a fence, and
// records what has ended.
//
// One entry VM at a time has the lead. A JobScheduler lives for one lead: it begins with what the store holds and what
// the backend servers report, and its orders are refused once a later lead has reached a server. It does no I/O; orders
// go out through hooks, and answers come back as calls.
#pragma once

#include "job/server-table.h"

#include <waxwinglug/fleet-platform.h>
#include <waxwinglug/log-field.h>

#include <deque>
#include <functional>
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

struct JobSchedulerHooks {
    std::function<void(const ServerRecord&, StartOrder)> start;
    std::function<void(const ServerRecord&, StopOrder)> stop;
    std::function<void(const ServerRecord&, RenewOrder)> renewLease;
    std::function<void(const ServerRecord&, ThrottleOrder)> throttle;
    // False while another entry VM may have taken the lead; then nothing is started.
    std::function<bool()> mayStart;
    // A backend server has seen the fence of a later lead.
    std::function<void()> onSuperseded;
    LogHook log;
};

// Times that depend on the platform, and the term of the lead.
struct JobSchedulerRules {
    // Number of this lead; later leads have greater numbers. Sent as the fence.
    std::uint64_t fence = 0;
    // How long a hold call keeps the lease; also bounds how long work of an unreachable server waits.
    Duration lease { std::chrono::seconds(4) };
    // Longest lease that backend servers grant, whatever is asked for.
    Duration maxLease { std::chrono::seconds(10) };
    // Validity of a start order. Short, so that an order without an answer is void soon.
    Duration startValidity { std::chrono::milliseconds(2500) };
    // Longest wait of one hold call for an end.
    Duration maxRenewWait { std::chrono::seconds(1) };
    // How long an earlier lead may still start tasks after this one has begun: it goes on for 5 s without the store.
    Duration earlierLeaderStartWindow { 5000 };
    // How long its leases and start orders may last: its last lease ends 4 s later on a slow clock.
    Duration maxInheritedLease { 9500 };
    // How long rows of an ended job are kept.
    Duration endedJobRetention { std::chrono::minutes(3) };

    // Shortens what is waited for after an earlier lead that has stopped for certain.
    void assumeEarlierLeaderStopped();
};

// What is to be stored of one job.
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

    // What the store holds. `inherited` jobs were stored before this lead began and may be running somewhere.
    void addJob(JobSpec spec, bool inherited);
    void loadProgress(std::string_view job, std::string_view text, std::uint64_t rowVersion);
    void cancelJob(std::string_view job);
    void addServer(ServerRecord record);
    // A server that an earlier lead has used, whether it is listed or not.
    void addServerInUse(const ServerRecord& record);
    void removeServer(std::string_view id);
    // What the platform said of its machines when it was asked. Silent servers whose machine is down or runs another
    // server need not be waited for.
    void updateMachines(std::span<const MachineRecord> machines, TimePoint askedAt);
    // Work waits for a server that does not answer, and the machine list may tell what became of it.
    bool waitsForUnresponsiveServer() const;

    // Answers to orders. `sentAt` is when the call began.
    void startAnswered(std::string_view server, const TaskId& task, int run, OrderStatus status);
    void stopAnswered(std::string_view server, const TaskId& task, int run, OrderStatus status);
    void renewAnswered(std::string_view server, TimePoint sentAt, OrderStatus status, const RenewReport& report);

    // Asks servers again and starts what can start after events. Call after a batch of them.
    void dispatchChanges();
    // Does what time makes due as well. Call at least every 100 ms.
    void tick();

    // Storing progress. One batch at a time; it ends with saved() or notSaved().
    std::vector<ProgressWrite> takeUnsavedProgress(std::size_t most);
    void progressSaved(std::span<const ProgressWrite> batch, std::uint64_t rowVersion);
    void progressNotSaved(std::span<const ProgressWrite> batch);
    // The row of a job has another version than expected.
    void setProgressVersion(std::string_view job, std::uint64_t rowVersion);

    // Servers whose use is to be stored, or removed from the store when `record` is empty.
    struct ServerUseRecord {
        std::string server;
        std::optional<ServerRecord> record;
    };
    std::vector<ServerUseRecord> takeServerUseChanges(std::size_t most);
    void serverUseSaved(std::span<const ServerUseRecord> stored);
    void serverUseNotSaved(std::span<const ServerUseRecord> failed);

    // Jobs that ended long ago and are forgotten here; their rows can be removed.
    std::vector<std::string> takeExpiredJobs(std::size_t most);
    // Accepted jobs of each queue of which no task has started.
    std::map<std::string, int> pendingJobsByQueue() const;
    std::optional<JobStatus> jobStatus(std::string_view job);

    // Processor in thousandths of a core that a service needs for its work to be in time: what is open, what arrives,
    // and its lasting tasks.
    std::int64_t requiredMillicores(std::string_view service) const;
    // Servers that the widest lasting step of a service needs, and some to move its tasks to.
    int requiredServers(std::string_view service) const;

    // Maintenance. A closing machine gets no new tasks.
    void setCordoned(std::string_view machine, bool closing);
    // Maintenance will want the machine.
    void setMaintenancePending(std::string_view machine, bool due);
    static bool hasLongRunningTasks(const detail::Server& server);
    // The server that lives on a machine; nullptr when there is none.
    const detail::Server* serverOnMachine(std::string_view machine) const;
    // Stops lasting tasks on a machine as far as their steps can spare them.
    void evict(std::string_view machine);

    // The platform has ended the server and all that ran there.
    void serverStopped(std::string_view id);

    // Most of the servers in use do not answer this node, so another one may reach more of them.
    bool isPartitioned() const;

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
    // What decides when the tasks of an occurrence start against those of others; smaller comes first.
    struct Standing {
        int rank = 0;
        std::int64_t order = 0;
    };

    // scheduler.cpp
    void applyQueue(detail::JobRecord& job);
    std::uint64_t markUnsaved(detail::JobRecord& job);
    void advanceStoredEnds();
    void finishJob(detail::JobRecord& job, JobStatus state, std::string_view reason);
    void openDueJobs();

    // servers.cpp
    void placeOnMachine(detail::Server& server, ServerRecord record);
    void leaveMachine(detail::Server& server);
    // Empty for a machine that is not known.
    std::span<detail::Server* const> serversOn(std::string_view machine) const;
    void endEarlierLives(const detail::Server& latest);
    void endForGood(detail::Server& server, std::string_view reason);
    void crashed(detail::Server& server);
    void dropLostServers();

    // orders.cpp
    void startTask(detail::JobRecord& job, detail::Occurrence& occurrence, std::size_t step, std::size_t index,
        detail::Server& server, int run);
    void requestStop(detail::Server& server, const TaskId& id, detail::Run& run, std::string_view reason);
    void sendStop(detail::Server& server, const TaskId& id, detail::Run& run);
    void sendHold(detail::Server& server);
    void sendDueHolds();
    void repeatStops();
    void reportSuperseded(const detail::Server& server);
    // The number of the next run of these tasks, which start together.
    int nextRun(std::span<const detail::Task> tasks) const;

    // reports.cpp
    void applyEnd(detail::Server& server, const EndedRun& ended);
    void applyRunning(detail::Server& server, const RunningTask& running, TimePoint sentAt);
    void applyMissing(detail::Server& server, TimePoint sentAt, const RenewReport& report);
    void addOrphan(detail::Server& server, const RunningTask& running, const detail::JobRecord* job);
    void dropOrphans(detail::Server& server, const std::function<bool(const TaskId&, int run)>& ended);
    void adopt(detail::Server& server, const RunningTask& running);
    void releaseRun(detail::Server& server, std::map<TaskId, detail::Run>::iterator run);
    void endRun(detail::Server& server, std::map<TaskId, detail::Run>::iterator run, RunEnd end, bool listed);
    void applyUnknownEnd(detail::JobRecord& job, detail::Task& task, const EndedRun& ended);
    void taskDone(detail::JobRecord& job, const TaskId& id, detail::Task& task);
    void taskFailed(detail::JobRecord& job, const TaskId& id, detail::Task& task, int run);
    void completeOccurrence(detail::JobRecord& job, int occurrence);
    void beginNewLife(detail::Server& server);
    void endConfirmedRuns(detail::Server& server);
    void endLife(detail::Server& server, std::string_view reason);
    void forgetLife(detail::Server& server);
    void loseRuns(detail::Server& server, std::string_view reason);
    void noteTrouble(detail::Server& server, const detail::JobRecord& job, std::string_view reason);
    void checkStall(detail::Server& server, const TaskId& id, detail::Run& run, const RunningTask& running);
    void adjustPaces(detail::Server& server);

    // demand.cpp
    void noteArrival(const detail::JobRecord& job);
    void forgetArrivals();

    // placement.cpp
    void noteWait(const ReadyStep& ready, std::string_view reason);
    void logWaits();
    void dispatch(bool all);
    void dispatchService(const std::string& service);
    void placeStep(const ReadyStep& ready, std::span<detail::Server* const> candidates);
    void placeGang(const ReadyStep& ready, std::span<detail::Server* const> candidates);
    std::map<const detail::Occurrence*, Standing> rankOccurrences(const std::string& service) const;
    std::vector<ReadyStep> readySteps(const std::string& service);
    detail::Server* chooseServer(const ReadyStep& ready, const detail::Task& task,
        std::span<detail::Server* const> candidates, const std::map<const detail::Server*, Resources>& planned) const;
    bool isUsable(const detail::Server& server) const;
    std::map<std::string, Resources> inheritedUse() const;
    bool teamHasRoom(const detail::JobRecord& job, const Resources& need) const;
    bool inheritsUnknownRuns(const std::string& service) const;
    bool canSpare(const detail::Run& run) const;
    void evict(detail::Server& server, std::string_view reason);

    const JobSchedulerRules rules;
    const Clock clock;
    const JobSchedulerHooks hooks;
    const TimePoint begunAt;
    std::shared_ptr<const FleetConfig> config;
    detail::JobTable jobTable;
    detail::ServerMap serverMap;
    // The servers of each machine, earlier lives included. Maintenance and moves ask for every machine in each tick.
    std::unordered_map<std::string, std::vector<detail::Server*>> machineServers;
    // Jobs that are not over, by service; those of an unknown queue have an empty service.
    std::map<std::string, std::set<detail::JobRecord*>> activeJobs;
    std::set<const detail::JobRecord*> inheritedJobs;
    std::map<std::string, Resources> teamUse;
    // Tasks that could not start in the latest look at everything, by service, team and reason.
    std::map<std::tuple<std::string, std::string, std::string_view>, int> waitCounts;
    TimePoint waitsLoggedAt;
    bool notesWaits = false; // the look that is under way is going to be logged
    // The most that each team may run on servers that have not answered yet, as of the latest dispatch.
    std::map<std::string, Resources> unknownUse;
    // Services in which a task may be able to start since the last dispatch.
    std::set<std::string> touched;
    // Changed jobs in the order of their first change that is not stored.
    std::map<std::uint64_t, detail::JobRecord*> unsaved;
    std::uint64_t issuedTickets = 0;
    // Ticket of the oldest change in the batch that is being stored; 0: none is.
    std::uint64_t inFlightTicket = 0;
    std::deque<detail::JobRecord*> endedJobs;
    // Work of jobs that arrived lately, by service.
    struct Arrival {
        TimePoint at;
        std::int64_t work = 0; // thousandths of a core times milliseconds
    };
    std::map<std::string, std::deque<Arrival>, std::less<>> arrivals;
    std::set<std::string> dueMachines;
    std::set<std::string> closingMachines;
    // Servers that are gone for good; they are removed from the store.
    std::vector<std::string> discharged;
};

// What a task takes of a server's room: filling tasks use only what others leave.
Resources reservedResources(const StepSpec& step);

} // namespace waxwinglug
