// Synthetic load that measures the cost of an admission decision: 29 teams with upper limits, 342 pools with one
// request scheduler each, and 850 VMs with 8 slots each.
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

    /// Ends the requests of a random pool whose run time is over, submits one request to the pool, and starts the
    /// requests that get a slot.
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
        // Running requests in order of start; a ring buffer, so that step() does not allocate.
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
    // Team of each ticket, by pool and by the index of the entry in the scheduler (the low 32 bits of the ticket).
    std::vector<std::vector<TeamIndex>> teamOfEntry;
    std::uint64_t grantCount = 0;
    std::uint64_t refusalCount = 0;
    std::uint64_t stepNumber = 0;
};

} // namespace waxwinglug::test
