// Load for counting what a decision costs: 29 teams with limits, 342 pools with a scheduler each, 850 VMs of 8 slots.
#pragma once

#include <waxwinglug/admission.h>
#include <waxwinglug/allotments.h>

#include "support/fake-platform.h"

#include <memory>
#include <string>
#include <vector>

namespace waxwinglug::test {

class DecisionLoad {
public:
    static constexpr int teamCount = 29;
    static constexpr int poolCount = 342;
    static constexpr int vmCount = 850;
    static constexpr int slotsPerVm = 8;

    DecisionLoad();

    /// One request is submitted to one pool, what may start there starts, and what has run long enough ends.
    void step();

    std::uint64_t stepCount() const;
    std::size_t waitingCount() const;
    std::uint64_t grantedCount() const { return this->grantCount; }
    std::uint64_t refusedCount() const { return this->refusalCount; }

private:
    struct Run {
        TimePoint end;
        Ticket ticket = 0;
        TeamIndex team = 0;
    };
    struct PoolLoad {
        std::unique_ptr<RequestScheduler> scheduler;
        // Running work in order of its start; a ring, so that it allocates nothing.
        std::vector<Run> running;
        std::size_t first = 0;
        std::size_t count = 0;
    };

    FakePlatform platform;
    ManualClock clock;
    Random random { 20261204 };
    std::vector<TeamShare> shares;
    std::vector<std::string> resources;
    std::unique_ptr<Allotments> allotments;
    std::vector<PoolLoad> pools;
    // Team of each ticket by its place in the pool of entries, per pool.
    std::vector<std::vector<TeamIndex>> teamOfEntry;
    std::uint64_t grantCount = 0;
    std::uint64_t refusalCount = 0;
    std::uint64_t stepNumber = 0;
};

} // namespace waxwinglug::test
