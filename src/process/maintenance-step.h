// One step of the active maintainer: computes row writes and orders from the rows and the VM list.
#pragma once

#include <waxwinglug/civil-time.h>
#include <waxwinglug/maintenance.h>
#include <waxwinglug/wave-planner.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace waxwinglug::detail {

// Inputs of the step besides the rows and the VM list.
struct StepInput {
    const Config& config;
    const MaintenanceSettings& settings;
    const MaintenanceHooks& hooks;
    const std::map<std::string, std::uint64_t>& passedProbes;
    const std::vector<PoolMove>& moves;
    WallTime now;
};

class MaintenanceStep {
public:
    MaintenanceStep(const MaintenanceRows& before, const std::vector<VmStatus>& listed, const StepInput& stepInput);

    void run();

    // The writes of all changed rows, without the lease.
    std::vector<RowWrite> writes() const;
    const std::vector<WaveProgress>& progress() const { return this->waveProgress; }

    // Orders that follow from the rows as read: VMs to reboot and to probe with their incarnations, and VMs whose work
    // is to be checkpointed. Each is given again in every step until it has taken effect.
    std::map<std::string, std::uint64_t> reboots;
    std::vector<std::string> checkpoints;
    std::map<std::string, std::uint64_t> probes;
    std::vector<std::string> logLines;

private:
    void createRows();
    void advanceVm(const std::string& vm);
    void advanceServing(const std::string& vm, VmRow row, const VmStatus* status);
    void advanceDraining(const std::string& vm, VmRow row, const VmStatus* status);
    void advanceRebooting(const std::string& vm, VmRow row, const VmStatus* status);
    void advanceReturning(const std::string& vm, VmRow row, const VmStatus* status);
    bool isDrainConfirmed(const std::string& vm, const VmRow& row);
    bool canContinueDrain(const VmRow& row) const;
    void writeVm(const std::string& vm, VmRow row, VmPhase phase);
    void setPlanned(const std::string& pool, const std::string& vm, bool planned);
    bool isPlanned(const std::string& vm, const VmRow& row) const;
    bool isAvailable(const std::string& vm, const VmRow& row) const;
    void recordFailure(const std::string& vm, const VmRow& row);
    void advanceWave(const std::string& name);
    void startDrains(const Wave& wave, const std::string& tag, WaveProgress& report);
    void estimateEnd(const Wave& wave, const WavePlan& plan, WaveProgress& report) const;
    void buildPlan(const Wave& wave, const std::string& tag);
    void applyMoves();
    bool isTransactionFull() const { return this->changedVms.size() >= this->input.settings.maxChangesPerCommit; }
    const VmStatus* statusOf(const std::string& vm) const;
    void setWaitReason(const std::string& vm, std::string_view reason);

    StepInput input;
    CivilClock civilClock;
    MaintenanceRows rows;
    std::map<std::string, VmStatus, std::less<>> listedVms;
    std::set<std::string> changedVms;
    std::set<std::string> changedBudgets;
    std::set<std::string> changedWaves;
    std::set<std::string> changedJournals;
    std::map<std::string, std::string> waitReasons;
    std::vector<WaveProgress> waveProgress;
    // Input of the planner, rebuilt for each wave. planVms and planVmNames have the same order.
    std::vector<PlanPool> planPools;
    std::vector<PlanVm> planVms;
    std::vector<std::string> planVmNames;
};

// The mark "name#run" of a wave run in VM rows.
std::string waveTag(std::string_view wave, std::uint64_t run);

} // namespace waxwinglug::detail
