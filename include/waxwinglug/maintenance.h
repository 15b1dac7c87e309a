// Maintenance waves: drains VMs and returns them to service without breaking a pool's availability budget.
//
// All state is in rows. Each cycle of the active maintainer reads what may have changed, decides from the rows and the
// VM list alone, and commits one transaction that also renews the lease. A cycle needs nothing that an earlier one
// remembered, so a new holder continues every half-way drain, and a lost answer is resolved by reading again.
//
// Invariants: a drain begins only in a transaction that adds the VM to the budget row, within the budget that the VM
// list and the rows show; a reboot is ordered only for a VM whose row says Rebooting, which is written only after
// every entry VM of the data centre has confirmed the drain and the running work has ended.
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
    // A lease row that has not changed for this long has lost its holder.
    Duration leaseDuration { std::chrono::seconds(10) };
    Duration renewInterval { std::chrono::seconds(2) };
    // From then on, entry VMs that are known to be gone need not confirm a drain.
    Duration confirmTimeout { std::chrono::seconds(5) };
    Duration slowStart { std::chrono::seconds(30) };
    // A VM that planned work has not brought back after this time counts as failed.
    Duration returnTimeout { std::chrono::minutes(5) };
    // Running work is checkpointed once a drain has lasted this long.
    Duration checkpointDelay { std::chrono::seconds(10) };
    // Orders to the platform and probes are repeated after this time.
    Duration repeatInterval { std::chrono::seconds(10) };
    // Planning estimate of reboot, probe and slow start of one VM.
    Duration estimatedTimePerVm { std::chrono::minutes(3) };
    // A VM list that was requested longer ago is not used: the process was paused meanwhile.
    Duration maxListAge { std::chrono::seconds(3) };
    // VM rows changed by one transaction, at most half a journal ring.
    std::size_t maxChangesPerCommit = 32;
};

// An entry VM that has not confirmed a journal sequence.
struct UnconfirmedNode {
    std::string name;
    bool isGone = false;
};

struct MaintenanceHooks {
    // Entry VMs of the data centre whose view has not applied the journal sequence.
    std::function<std::vector<UnconfirmedNode>(std::string_view dataCentre, std::uint64_t sequence)> unconfirmedNodes;
    // Requests and jobs that run on the VM, over all entry VMs. Nothing while it is not known.
    std::function<std::optional<int>(std::string_view vm)> runningWorkCount;
    // Expected time until the running work of a VM has ended, for planning.
    std::function<Duration(std::string_view vm)> expectedWorkDuration;
    // The handler gets true when the VM answers as a backend server in order.
    std::function<void(std::string vm, std::function<void(bool)>)> probe;
    std::function<void(std::string_view line)> log;
};

// A move of a VM that serves into another pool.
struct PoolMove {
    std::string vm;
    std::string from;
    std::string to;

    bool operator==(const PoolMove&) const = default;
};

// A VM on which the wave waits.
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
    // Why the wave does not advance as a whole: paused, outside its window, or the limiting budget.
    std::string reason;
    // Nothing while the wave is paused or blocked.
    std::optional<WallTime> expectedEnd;
};

template <typename T> struct Versioned {
    T row {};
    std::uint64_t version = 0;
};

// The rows of the maintenance side with their versions, by name.
struct MaintenanceRows {
    ByName<Versioned<VmRow>> vms;
    ByName<Versioned<BudgetRow>> budgets;
    ByName<Versioned<WaveRow>> waves;
    ByName<Versioned<JournalRow>> journals;
    Versioned<LeaseRow> lease;
};

// Runs in every entry VM; one is active by lease.
class Maintainer {
public:
    Maintainer(NodeId node, Clock source, Platform hooks, MaintenanceHooks maintenanceHooks,
        MaintenanceSettings maintenanceSettings = {});

    // Planned work follows the new document, and its clock rules, from the next cycle.
    void setConfig(std::shared_ptr<const Config> accepted);
    // Starts a cycle unless one is open. Called about once a second.
    void tick();
    // Asks for moves; replaces those that no cycle has taken up. A move that a budget forbids is dropped.
    void requestMoves(std::vector<PoolMove> wanted);

    bool isActive() const { return this->holdsLease; }
    // From the last cycle of the active instance; empty in others.
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
    // Keys that were written, or whose write has an unknown outcome, since they were read.
    std::set<std::string> staleKeys;
    // All rows have to be read: this instance did not hold the lease since it read them.
    bool needsFullRead = true;
    bool isCycleRunning = false;
    bool holdsLease = false;
    // When the lease row was first seen with its version.
    std::optional<TimePoint> leaseChangedAt;
    TimePoint renewedAt {};
    std::vector<PoolMove> requestedMoves;
    std::vector<WaveProgress> lastProgress;
    // Last order or probe of each kind, by "kind vm".
    std::map<std::string, TimePoint> lastOrderAt;
    // Probes that passed, by VM name with the incarnation they speak of.
    std::map<std::string, std::uint64_t> passedProbes;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

// The conditional write with which an operator starts a run of a wave. Throws Error (Conflict) while one is open.
RowWrite startWave(const Row& current, std::string_view wave, WallTime now);
// Resumes a paused run and forgets its failures. Throws Error (Refused) when it is not paused.
RowWrite resumeWave(const Row& current);
// Ends a run early. VMs that only drain return at once; those that reboot finish.
RowWrite cancelWave(const Row& current);

} // namespace waxwinglug
