// Carries out moves of machines between pools: watches the demand of each service, orders the moves, and follows them.
// Belongs to the lead and does no I/O.
#pragma once

#include "job/machine-list.h"
#include "job/pool-balancer.h"
#include "job/scheduler.h"

#include <waxwinglug/fleet-platform.h>

#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>

namespace waxwinglug {

struct PoolMoverHooks {
    std::function<void(const std::string& machine, const std::string& pool)> orderMove;
    std::function<void()> requestMachineList;
    // Maintenance empties the machine or has taken it down.
    std::function<bool(const std::string& machine)> isInMaintenance;
    LogHook log;
};

class PoolMover {
public:
    // Until `initialQuietPeriod` has passed, a new lead moves only machines whose server has lived so long that the
    // earlier lead has ordered nothing for them lately. `list` is kept up to date by the caller and outlives this.
    PoolMover(JobScheduler& scheduler, const MachineList& list, PoolRules rules, Duration initialQuietPeriod,
        Clock clock, PoolMoverHooks hooks);

    std::map<std::string, int> initialSizes() const { return this->balance.initialSizes(); }
    void setInitialSizes(const std::map<std::string, int>& sizes) { this->balance.setInitialSizes(sizes); }
    void orderAnswered(const std::string& machine, const std::string& pool, MachineOrderStatus status);
    void tick(const FleetConfig& config);
    bool isMoving(const std::string& machine) const { return this->moves.contains(machine); }

private:
    struct Move {
        std::string to;
        std::string oldServer;
        bool accepted = false;
        TimePoint since;
        TimePoint repeatAt;
    };

    bool isLongSettled(const detail::Server* server) const;
    void followMoves();
    void startMoves(const FleetConfig& config);
    void order(const std::string& machine, Move& move);

    JobScheduler& scheduler;
    const MachineList& machineList;
    const Duration initialQuietPeriod;
    const Clock clock;
    const PoolMoverHooks hooks;
    const TimePoint begunAt;
    PoolBalancer balance;
    TimePoint askedAt;
    std::map<std::string, Move> moves;
    // Machines that the platform does not let into a pool.
    std::set<std::pair<std::string, std::string>> refused;
    bool fenced = false;
};

} // namespace waxwinglug
