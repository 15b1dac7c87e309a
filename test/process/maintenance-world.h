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
struct Violation : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class MaintenanceWorld {
public:
    MaintenanceWorld();

    // An instance of the maintainer, which may be paused: its handlers then wait.
    struct Instance {
        std::unique_ptr<Maintainer> maintainer;
        bool paused = false;
        std::vector<std::function<void()>> held;
        // Commits do not reach the store until landCommits().
        bool holdCommits = false;
        std::vector<std::function<void()>> commitsInFlight;
        // The list that was delivered to it last.
        std::vector<VmStatus> list;
    };

    // An entry VM: its view, and the requests it runs on each VM.
    struct Entry {
        std::unique_ptr<VmView> view;
        bool alive = true;
        std::map<std::string, int> work;
    };

    void tick(std::size_t index);
    void setPaused(std::size_t index, bool paused);
    void landCommits(std::size_t index);
    // The process ends and starts again with a greater incarnation.
    void restart(std::size_t index);
    void setEntryAlive(std::size_t index, bool alive);
    void pollEntry(std::size_t index);
    // Sends a request to a VM when the entry VM's view allows it.
    void startWork(std::size_t entry, const std::string& vm);
    void endWork(const std::string& vm);
    void failVm(const std::string& vm);
    void returnVm(const std::string& vm);
    // Operators ignore a conflict.
    void operate(RowWrite write);
    void start(const std::string& wave);
    // Ends every fault, failure and request, and resumes the wave.
    void heal();
    // One second in which everything runs.
    void second();
    void deliverAll();
    void checkRows() const;

    VmRow vm(const std::string& name) const { return fromJson<VmRow>(this->platform.row(vmKey(name)).value); }
    WaveRow wave(const std::string& name) const { return fromJson<WaveRow>(this->platform.row(waveKey(name)).value); }

    FakePlatform platform;
    ManualClock clock;
    std::shared_ptr<Config> config;
    std::vector<std::string> vmNames;
    std::array<Instance, 2> instances;
    std::array<Entry, 2> entries;
    std::map<std::string, int> checkpoints;
    bool probesPass = true;

private:
    void build(std::size_t index);
    Platform watched(std::size_t index);
    std::function<void()> whenRunning(std::size_t index, std::function<void()> handler);
    void checkCommit(const std::map<std::string, Row>& before, const Instance& instance) const;
    void checkBudget(const std::string& pool, const Instance& instance) const;
    void checkReboot(const std::string& vm, std::uint64_t incarnation) const;
    const VmStatus& status(const std::string& vm) const;
    int workOn(const std::string& vm) const;

    std::array<std::uint64_t, 2> incarnations { 0, 0 };
};

} // namespace waxwinglug::test
