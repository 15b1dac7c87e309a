// Two maintainers, two entry VMs and a small fleet over one in-memory platform, with the checks of the maintenance
// invariants. Every commit and reboot order passes through a check at the moment the platform sees it.
#pragma once

#include "support/fake-platform.h"

#include <waxwinglug/maintenance.h>

#include <array>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace waxwinglug::test {

// An invariant that does not hold.
struct InvariantViolation : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class MaintenanceWorld {
public:
    MaintenanceWorld();

    // An instance of the maintainer, which may be paused: its handlers then wait.
    struct Instance {
        std::unique_ptr<Maintainer> maintainer;
        bool isPaused = false;
        std::vector<std::function<void()>> queuedHandlers;
        // Commits do not reach the store until landCommits().
        bool delayCommits = false;
        std::vector<std::function<void()>> delayedCommits;
        // The list that was delivered to it last.
        std::vector<VmStatus> lastDeliveredList;
    };

    // An entry VM: its view, and the requests it runs on each VM.
    struct EntryVm {
        std::unique_ptr<VmView> view;
        bool isAlive = true;
        std::map<std::string, int> workCountByVm;
    };

    void tick(std::size_t index);
    void setPaused(std::size_t index, bool paused);
    void deliverDelayedCommits(std::size_t index);
    // The process ends and starts again with a greater incarnation.
    void restart(std::size_t index);
    void setEntryVmAlive(std::size_t index, bool alive);
    void pollEntryVm(std::size_t index);
    // Sends a request to a VM when the entry VM's view allows it.
    void startWork(std::size_t entry, const std::string& vm);
    void endWork(const std::string& vm);
    void failVm(const std::string& vm);
    void returnVm(const std::string& vm);
    // Operators ignore a conflict.
    void commitAsOperator(RowWrite write);
    void startRun(const std::string& wave);
    // Ends every fault, failure and request, and resumes the wave.
    void clearFaults();
    // One second in which everything runs.
    void runOneSecond();
    void deliverAll();
    void checkRows() const;

    VmRow vmRow(const std::string& name) const { return fromJson<VmRow>(this->platform.row(vmKey(name)).value); }
    WaveRow waveRow(const std::string& name) const
    {
        return fromJson<WaveRow>(this->platform.row(waveKey(name)).value);
    }

    FakePlatform platform;
    ManualClock clock;
    std::shared_ptr<Config> config;
    std::vector<std::string> vmNames;
    std::array<Instance, 2> instances;
    std::array<EntryVm, 2> entryVms;
    std::map<std::string, int> checkpoints;
    bool probesPass = true;

private:
    void createInstance(std::size_t index);
    Platform checkedPlatform(std::size_t index);
    std::function<void()> deferWhilePaused(std::size_t index, std::function<void()> handler);
    void checkCommit(const std::map<std::string, Row>& before, const Instance& instance) const;
    void checkBudget(const std::string& pool, const Instance& instance) const;
    void checkReboot(const std::string& vm, std::uint64_t incarnation) const;
    const VmStatus& vmStatus(const std::string& vm) const;
    int workCountOn(const std::string& vm) const;

    std::array<std::uint64_t, 2> incarnations { 0, 0 };
};

} // namespace waxwinglug::test
