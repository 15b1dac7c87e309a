// The work of the entry VM that has the lead: feeds the scheduler with rows and answers, sends its orders, and stores
// what it records.
#pragma once

#include "io/process/table-follower.h"
#include "io/process/tables.h"
#include "job/leadership.h"
#include "job/machine-maintenance.h"
#include "job/pool-mover.h"
#include "job/scheduler.h"

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

// Deadline of a commit. A slow store takes about 0.6 s; past it the lead would not be valid any more.
inline constexpr Duration commitDeadline { 1000 };

struct LeadHooks {
    // The lead is lost or given up; the session is to be destroyed.
    std::function<void()> ended;
    LogHook log;
};

class LeadSession : public std::enable_shared_from_this<LeadSession> {
public:
    LeadSession(boost::asio::io_context& context, const FleetPlatform& platform, Leadership& leadership,
        JobSchedulerRules rules, MachineMaintenanceRules upkeepRules, Clock clock,
        std::shared_ptr<const FleetConfig> config, LeadHooks hooks);

    void start();
    void setConfig(std::shared_ptr<const FleetConfig> config);
    void addWave(const MachineWave& wave);
    // Stops at once and lets another VM take the lead.
    void release();

    JobScheduler& scheduler() { return this->jobScheduler; }
    bool isLoaded() const { return this->loaded; }
    // Reacts to a change of the scheduler that did not come through this session.
    void poke();

private:
    // What one transaction of the lead stores.
    struct Batch {
        std::vector<ProgressWrite> jobs;
        std::vector<JobScheduler::ServerUseRecord> servers;
        std::vector<RowValue> upkeep;
    };
    struct WaveReport {
        MachineWave wave;
        bool completed = false;
        int sent = 0; // 1: running, 2: completed
        bool sending = false;
    };

    JobSchedulerHooks schedulerHooks();
    MachineMaintenanceHooks upkeepHooks();
    PoolMoverHooks moverHooks();
    void listMachines();
    void onJobs(std::span<const StoredRow> rows, bool whole);
    void onServers(std::span<const StoredRow> rows, bool whole);
    void readEach(
        std::span<const StoredRow> rows, std::string_view problem, const std::function<void(const StoredRow&)>& read);
    void onProgress(std::span<const StoredRow> rows);
    void onEnrolled(std::span<const StoredRow> rows);
    void onUpkeep(std::span<const StoredRow> rows);
    void readOnce(const char* table, void (LeadSession::*apply)(std::span<const StoredRow>));
    void finishLoading();
    void tick();
    void react();
    void storeChanges();
    void sendReports();
    void storePoolSizes();
    void addBatch(RowTransaction& transaction, const Batch& batch) const;
    void removeExpired();
    void addSummary(RowTransaction& transaction);
    void onCommit(const TransactionResult& result, TimePoint sentAt, const Batch& batch);
    void end(std::string_view reason);
    template <typename Handler> auto guarded(Handler handler);

    boost::asio::io_context& context;
    const FleetPlatform& platform;
    Leadership& leadership;
    const Clock clock;
    const LeadHooks hooks;
    JobScheduler jobScheduler;
    MachineList machineList;
    MachineMaintenance machineUpkeep;
    PoolMover poolMover;
    std::shared_ptr<const FleetConfig> fleetConfig;
    bool listing = false; // a reading of the machine list is under way
    TimePoint machinesAskedAt; // when the latest one began
    std::unique_ptr<TableFollower> jobFollower;
    std::unique_ptr<TableFollower> serverFollower;
    boost::asio::steady_timer ticker;
    boost::asio::steady_timer reactor;
    std::vector<std::unique_ptr<TableFollower>> readers;
    std::map<int, MachineWave> waves;
    std::map<std::string, std::set<std::string>> maintainedMachines; // by number of the wave
    std::vector<RowValue> upkeepWrites;
    std::map<int, WaveReport> waveReports;
    std::map<std::string, int> storedSizes;
    std::set<std::string> inheritedCancels;
    bool jobsLoaded = false;
    bool serversLoaded = false;
    bool progressLoaded = false;
    bool enrolledLoaded = false;
    bool upkeepLoaded = false;
    // Jobs, progress and servers of the store are known.
    bool loaded = false;
    bool committing = false;
    bool reacting = false;
    bool over = false;
    std::map<std::string, int> storedSummary;
    TimePoint summaryAt;
    TimePoint commitAt; // no commit before
};

// Wraps a handler so that it is dropped when the session has ended.
template <typename Handler> auto LeadSession::guarded(Handler handler)
{
    return [weak = this->weak_from_this(), handler = std::move(handler)](auto&&... arguments) {
        const auto self = weak.lock();
        if (self && !self->over)
            handler(std::forward<decltype(arguments)>(arguments)...);
    };
}

} // namespace waxwinglug::io
