// Test fixture with two maintainers, two entry VMs and a small fleet on one in-memory platform. It checks the
// maintenance invariants on every commit and reboot order at the moment it reaches the platform.
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

// Thrown when an invariant is violated.
struct InvariantViolation : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class MaintenanceWorld {
public:
    MaintenanceWorld();

    // An instance of the maintainer. While it is paused, its handlers are queued.
    struct Instance {
        std::unique_ptr<Maintainer> maintainer;
        bool isPaused = false;
        std::vector<std::function<void()>> queuedHandlers;
        // Commits do not reach the store until deliverDelayedCommits().
        bool delayCommits = false;
        std::vector<std::function<void()>> delayedCommits;
        // The VM list that this instance received last.
        std::vector<VmStatus> lastDeliveredList;
    };

    // An entry VM with its view and the number of requests that it runs on each VM.
    struct EntryVm {
        std::unique_ptr<VmView> view;
        bool isAlive = true;
        std::map<std::string, int> workCountByVm;
    };

    void tick(std::size_t index);
    void setPaused(std::size_t index, bool paused);
    void deliverDelayedCommits(std::size_t index);
    // Restarts the process with a greater incarnation.
    void restart(std::size_t index);
    void setEntryVmAlive(std::size_t index, bool alive);
    void pollEntryVm(std::size_t index);
    // Sends a request to a VM if the entry VM's view shows it as serving and it is live.
    void startWork(std::size_t entry, const std::string& vm);
    void endWork(const std::string& vm);
    void failVm(const std::string& vm);
    void returnVm(const std::string& vm);
    // Commits the write of an operator; a conflict is ignored.
    void commitAsOperator(RowWrite write);
    void startRun(const std::string& wave);
    // Ends all faults, VM failures and requests.
    void clearFaults();
    // Polls all entry VMs, ticks all maintainers, delivers all messages and advances the clock by one second.
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
