// The work of the leader: passes rows and answers to the scheduler, sends its orders, and stores its records. Lives for
// one term.
#pragma once

#include "io/process/job-compaction.h"
#include "io/process/leadership-offer.h"
#include "io/process/relayed-servers.h"
#include "io/process/table-follower.h"
#include "io/process/tables.h"
#include "job/bounded-transaction.h"
#include "job/leadership.h"
#include "job/machine-maintenance.h"
#include "job/order-gate.h"
#include "job/pending-summary.h"
#include "job/pool-mover.h"
#include "job/scheduler.h"
#include "job/server-use.h"
#include "job/term-phases.h"

#include <waxwinglug/fleet-platform.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace waxwinglug::io {

// Timeout of a commit. A slow store takes about 0.6 s; after a longer time the leadership would no longer be valid.
inline constexpr Duration commitTimeout { 1000 };

struct LeaderSessionHooks {
    // Leadership was lost or released; the owner destroys the session.
    std::function<void()> onEnded;
    LogHook log;
};

// Work of the leader since its term began, and what waits now.
struct LeaderWork {
    std::uint64_t starts = 0;
    std::uint64_t reports = 0;
    std::uint64_t jobsReceived = 0;
    std::size_t unansweredOrders = 0; // at the relays
    Duration oldestUnsentOrder { 0 };
    Duration oldestReport { 0 }; // of the servers that answer
    std::size_t unsavedJobs = 0;
    Duration commitAge { 0 }; // of the transaction in flight
};

class LeaderSession : public std::enable_shared_from_this<LeaderSession> {
public:
    // `client` calls the relays, which `relays` selects.
    LeaderSession(boost::asio::io_context& context, AsyncHttpClient& client, const FleetPlatform& platform,
        RelaySelection relays, Leadership& leadership, JobSchedulerRules rules,
        MachineMaintenanceRules maintenanceRules, Clock clock, std::shared_ptr<const FleetConfig> config,
        LeaderSessionHooks hooks);

    // Starts to read the rows of the scheduler; orders are sent once all have been read.
    void start();
    void setConfig(std::shared_ptr<const FleetConfig> config);
    void addWave(const MachineWave& wave);
    void setEvacuatedDataCentres(std::set<std::string, std::less<>> dataCentres);
    // Ends the session at once and lets another VM acquire leadership.
    void releaseLeadership();

    JobScheduler& scheduler() { return this->jobScheduler; }
    // The counts of this leader while it leads and knows all jobs of a recent moment.
    std::optional<PendingCounts> pendingCounts() const;
    // False while another VM may have become the leader, and while cancellations may have been confirmed too long ago
    // without being known here.
    bool mayStartTasks() const;
    // Upper bounds of the age of this leader's copies of the tables; nothing before they have been read and applied.
    std::optional<Duration> jobTableAge() const { return this->ageOf(this->jobsMoment); }
    std::optional<Duration> serverTableAge() const { return this->ageOf(this->serversMoment); }
    bool isLoaded() const { return this->hasLoaded; }
    LeaderWork work() const;
    // Sends the orders and stores the records of changed jobs after a short delay, together with those of other events.
    void scheduleDispatch();

private:
    // Records that one transaction of the leader stores.
    struct Batch {
        std::vector<ProgressWrite> progress;
        std::vector<JobScheduler::ServerUseRecord> serverUse;
        std::vector<RowValue> maintenance;

        std::size_t rowCount() const
        {
            return this->progress.size() + this->serverUse.size() + this->maintenance.size();
        }
    };
    struct WaveReport {
        MachineWave wave;
        bool completed = false;
        int reportedState = 0; // latest stored state; 0: none, 1: running, 2: completed
        bool isSending = false;
        std::uint64_t storedVersion = 0; // of the row with the state; 0: none, or unknown
    };

    RelayedServersHooks relayHooks();
    LeadershipOfferHooks offerHooks();
    JobSchedulerHooks schedulerHooks();
    MachineMaintenanceHooks maintenanceHooks();
    PoolMoverHooks poolMoverHooks();
    void listMachines();
    void onJobs(std::span<const StoredRow> rows, bool isFullRead);
    void onEntryVms(std::span<const StoredRow> rows, bool isFullRead);
    void updateRelays();
    void onServers(std::span<const StoredRow> rows, bool isFullRead);
    void readEach(
        std::span<const StoredRow> rows, std::string_view event, const std::function<void(const StoredRow&)>& read);
    void addJob(const StoredRow& row);
    void onProgress(std::span<const StoredRow> rows);
    void loadJobs();
    void onServersInUse(std::span<const StoredRow> rows);
    void applyInheritedUse();
    void onMaintenance(std::span<const StoredRow> rows);
    void readOnce(const char* table, void (LeaderSession::*apply)(std::span<const StoredRow>));
    void finishLoading();
    void tick();
    void recordPhases();
    void dispatch();
    void storeChanges();
    // Sets the time at which a start that got no answer is stored, unless something else stores changes before. While a
    // commit is in flight, what follows it does.
    void scheduleUnansweredStarts();
    void sendWaveReports();
    void storePoolSizes();
    void takeBatch(BoundedTransaction& transaction, Batch& batch);
    void handleRejectedCommit(const Batch& batch);
    void raiseTransactionLimits();
    std::string encodeUse(const JobScheduler::ServerUseRecord& change) const;
    void addServerUse(BoundedTransaction& transaction, Batch& batch);
    void removeExpiredJobs();
    void compactEndedJobs();
    void addSummary(BoundedTransaction& transaction);
    std::optional<Duration> ageOf(const std::optional<TableMoment>& moment) const;
    void onCommit(const TransactionResult& result, TimePoint sentAt, const Batch& batch);
    void end(std::string_view reason);
    template <typename Handler> auto guarded(Handler handler);

    boost::asio::io_context& context;
    const FleetPlatform& platform;
    Leadership& leadership;
    // Of this term. Those of `leadership` are another VM's from the moment at which its term is seen.
    const RowCondition leaderRow;
    const std::uint64_t fence;
    const Clock clock;
    const LeaderSessionHooks hooks;
    const Duration maxJobTableAge;
    const Duration maxInheritedStrayLease;
    const Duration maxStrayLease;
    const std::shared_ptr<RelayedServers> relayedServers;
    const std::shared_ptr<LeadershipOffer> leadershipOffer;
    const ServerCalls servers;
    JobScheduler jobScheduler;
    JobCompaction jobCompaction;
    MachineList machineList;
    // Moves and maintenance have a gate each, so that neither keeps the other from ordering.
    OrderGate maintenanceGate;
    OrderGate moveGate;
    MachineMaintenance machineMaintenance;
    PoolMover poolMover;
    TermPhases phases;
    std::shared_ptr<const FleetConfig> fleetConfig;
    bool isListingMachines = false; // a request for the machine list is in progress
    TimePoint machineListRequestedAt; // start of the latest request
    // All tables are read over the link that heartbeats and callers use.
    const std::shared_ptr<PageBudget> pageBudget = std::make_shared<PageBudget>();
    std::unique_ptr<TableFollower> jobFollower;
    std::unique_ptr<TableFollower> serverFollower;
    std::unique_ptr<TableFollower> entryVmFollower;
    TimePoint relaysSelectedAt;
    TimePoint startedAt;
    TimePoint rowsLoadedAt; // when all rows had been read
    boost::asio::steady_timer tickTimer;
    boost::asio::steady_timer dispatchTimer;
    boost::asio::steady_timer unansweredStartTimer;
    std::vector<std::unique_ptr<TableFollower>> initialReaders;
    std::map<int, MachineWave> waves;
    std::map<std::string, std::set<std::string>> maintainedMachines; // by wave number
    PendingRows maintenanceRows; // for the next commit
    TransactionLimits transactionLimits; // lowered after a transaction that the store rejected
    std::map<int, WaveReport> waveReports;
    std::map<std::string, int> storedPoolSizes;
    // Rows of jobs and of their progress until all have been read. Most jobs are completed, and only the others are
    // decoded.
    std::map<std::string, StoredRow> inheritedJobs;
    std::vector<StoredRow> inheritedProgress;
    std::set<std::string> inheritedCancellations;
    std::map<std::string, StoreTime> inheritedLeaseEnds; // by server
    std::map<std::string, StoreTime> inheritedStrayLeaseEnds; // by server
    std::map<std::string, std::vector<StoredStart>> inheritedStarts; // by server
    bool hasLoadedJobs = false;
    bool hasLoadedServers = false;
    bool hasLoadedEntryVms = false;
    bool hasLoadedProgress = false;
    bool hasLoadedServersInUse = false;
    bool hasLoadedMaintenance = false;
    // All rows of the scheduler have been read.
    bool hasLoaded = false;
    bool isCommitting = false;
    bool isDispatchScheduled = false;
    bool isUnansweredStartScheduled = false;
    bool hasEnded = false;
    // Moments as of which the jobs and servers are known; the rows of jobs are applied once all tables are loaded.
    std::optional<TableMoment> jobsMoment;
    std::optional<TableMoment> serversMoment;
    std::map<std::string, int> storedSummary; // pending jobs by queue
    TimePoint summaryWrittenAt; // TimePoint {}: the latest one failed
    TimePoint nextCommitAt; // earliest start of the next commit
    TimePoint commitSentAt; // start of the latest commit
    // Since the start of this term.
    std::uint64_t startCount = 0;
    std::uint64_t reportCount = 0;
    std::uint64_t receivedJobCount = 0;
};

// Wraps a handler so that it does nothing after the session has ended.
template <typename Handler> auto LeaderSession::guarded(Handler handler)
{
    return [weak = this->weak_from_this(), handler = std::move(handler)](auto&&... arguments) {
        const auto self = weak.lock();
        if (self && !self->hasEnded)
            handler(std::forward<decltype(arguments)>(arguments)...);
    };
}

} // namespace waxwinglug::io
