// Maintenance waves: drains VMs and returns them to service without breaking a pool's availability budget.
//
// All state is stored in rows. Each cycle of the active maintainer reads the rows that may have changed, computes the
// next step from the rows and the VM list alone, and commits it in one transaction that also renews the lease. No cycle
// depends on state that exists only in memory, so a new lease holder continues unfinished drains, and a commit whose
// answer was lost is resolved by reading the rows again.
//
// Invariants:
// - A drain begins only in a transaction that adds the VM to the budget row, and only within the budget that follows
//   from the VM list and the rows.
// - A reboot is ordered only for a VM whose row is in phase Rebooting. That phase is written only after every entry VM
//   of the data centre has confirmed the drain and the running work has ended.
#pragma once

#include <waxwinglug/base.h>
#include <waxwinglug/config.h>
#include <waxwinglug/platform.h>
#include <waxwinglug/vm-rows.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglug {

struct MaintenanceSettings {
    // The lease expires when its row has not changed for this long.
    Duration leaseDuration { std::chrono::seconds(10) };
    Duration renewInterval { std::chrono::seconds(2) };
    // After this time, a drain no longer waits for entry VMs that are known to be gone.
    Duration confirmTimeout { std::chrono::seconds(5) };
    Duration slowStart { std::chrono::seconds(30) };
    // A VM that stays in phase Rebooting or Probing for this long counts as failed.
    Duration returnTimeout { std::chrono::minutes(5) };
    // Checkpoints of running work are requested once a drain has lasted this long.
    Duration checkpointDelay { std::chrono::seconds(10) };
    // Interval at which orders to the platform and probes are repeated.
    Duration repeatInterval { std::chrono::seconds(10) };
    // Estimated time for reboot, probe and slow start of one VM, used for planning.
    Duration estimatedTimePerVm { std::chrono::minutes(3) };
    // A VM list that arrives later than this after the start of its cycle is discarded, because the process was paused
    // meanwhile.
    Duration maxListAge { std::chrono::seconds(3) };
    // Maximum number of VM rows that one transaction changes; at most half of JournalRow::ringSize.
    std::size_t maxChangesPerCommit = 32;
};

// An entry VM that has not confirmed a journal sequence.
struct UnconfirmedNode {
    std::string name;
    bool isGone = false;
};

struct MaintenanceHooks {
    // Returns the entry VMs of the data centre whose view has not applied the journal sequence.
    std::function<std::vector<UnconfirmedNode>(std::string_view dataCentre, std::uint64_t sequence)> unconfirmedNodes;
    // Returns the number of requests and jobs that all entry VMs run on the VM; nullopt while it is unknown.
    std::function<std::optional<int>(std::string_view vm)> runningWorkCount;
    // Returns the expected time until the running work of a VM has ended; used for planning.
    std::function<Duration(std::string_view vm)> expectedWorkDuration;
    // Checks the backend server on the VM; the handler receives true when it answers correctly.
    std::function<void(std::string vm, std::function<void(bool)>)> probe;
    std::function<void(std::string_view line)> log;
};

// A move of a serving VM to another pool.
struct PoolMove {
    std::string vm;
    std::string from;
    std::string to;

    bool operator==(const PoolMove&) const = default;
};

// A VM that the wave is waiting for, and why.
struct VmWait {
    std::string vm;
    VmPhase phase = VmPhase::Serving;
    std::string reason;
};

struct WaveProgress {
    std::string wave;
    std::uint64_t run = 0;
    WaveState state = WaveState::Running;
    int totalVms = 0;
    int maintainedVms = 0;
    std::vector<VmWait> waits;
    // Why the wave does not progress, or not faster: it is paused, outside its window, or limited by a pool's budget.
    std::string reason;
    // Unset while the wave is paused or blocked.
    std::optional<WallTime> expectedEnd;
};

// A row and the version that a conditional write of it must name; version 0 means that the row does not exist.
template <typename T> struct Versioned {
    T row {};
    std::uint64_t version = 0;
};

// The maintenance rows with their versions, by name.
struct MaintenanceRows {
    ByName<Versioned<VmRow>> vms;
    ByName<Versioned<BudgetRow>> budgets;
    ByName<Versioned<WaveRow>> waves;
    ByName<Versioned<JournalRow>> journals;
    Versioned<LeaseRow> lease;
};

// Runs maintenance waves. Several instances may run; only the holder of the lease `lease/maintain` is active.
class Maintainer {
public:
    Maintainer(NodeId node, Clock source, Platform hooks, MaintenanceHooks maintenanceHooks,
        MaintenanceSettings maintenanceSettings = {});

    // Sets the configuration. Waves follow it, including its clock rules, from the next cycle on.
    void setConfig(std::shared_ptr<const Config> newConfig);
    // Starts a cycle unless one is running. Called about once a second.
    void tick();
    // Requests pool moves for the next cycle and replaces requests that no cycle has processed. A move that would
    // violate a budget is dropped.
    void requestMoves(std::vector<PoolMove> requested);

    bool isActive() const { return this->holdsLease; }
    // Progress as of the last cycle; empty in instances that are not active.
    const std::vector<WaveProgress>& waveProgress() const { return this->lastProgress; }
    const MaintenanceRows& rows() const { return this->cachedRows; }

private:
    std::vector<std::string> keysToRead() const;
    void cacheRow(const Row& row);
    void onRows(TimePoint requestedAt, const std::optional<std::vector<Row>>& answer);
    void acquireLeaseIfExpired();
    void runStep(const std::vector<VmStatus>& listed);
    void commit(std::vector<RowWrite> writes);
    void sendOrder(const std::string& vm, std::string_view kind, const std::function<void()>& send);
    void endCycle(bool active);
    void log(std::string_view line) const;

    NodeId self;
    Clock clock;
    Platform platform;
    MaintenanceHooks hooks;
    MaintenanceSettings settings;
    std::shared_ptr<const Config> config;
    MaintenanceRows cachedRows;
    // Keys that were written since they were last read, whether or not the outcome of the write is known.
    std::set<std::string> staleKeys;
    // The next cycle must read all rows, because this instance has not held the lease without interruption since it
    // last read them.
    bool needsFullRead = true;
    bool isCycleRunning = false;
    bool holdsLease = false;
    // When this instance first read the lease row in its current version.
    std::optional<TimePoint> leaseChangedAt;
    TimePoint renewedAt {};
    std::vector<PoolMove> requestedMoves;
    std::vector<WaveProgress> lastProgress;
    // Time of the last order or probe; the key is "<kind> <vm>".
    std::map<std::string, TimePoint> lastOrderAt;
    // The incarnation of each VM whose probe passed last, by VM name.
    std::map<std::string, std::uint64_t> passedProbes;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

// Returns the conditional write that starts a run of a wave. Throws Error (Conflict) while a run is active.
RowWrite startWave(const Row& current, std::string_view wave, WallTime now);
// Returns the conditional write that resumes a paused run and clears its failures. Throws Error (Refused) when the wave
// is not paused.
RowWrite resumeWave(const Row& current);
// Returns the conditional write that cancels a run. VMs in phase Draining return to service at once; VMs in phase
// Rebooting finish their maintenance. Throws Error (Refused) when no run is active.
RowWrite cancelWave(const Row& current);

} // namespace waxwinglug
