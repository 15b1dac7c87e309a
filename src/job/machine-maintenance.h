// Carries out maintenance waves: cordons machines, waits for or evicts their tasks, orders their maintenance, and
// reports the progress of the wave.
//
// Runs on the leader and does no I/O. An order may be repeated: the platform accepts one that was already carried out.
#pragma once

#include "job/machine-list.h"
#include "job/scheduler.h"

#include <waxwinglug/fleet-platform.h>

#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace waxwinglug {

struct MachineMaintenanceRules {
    // Two entry VMs must not order maintenance of the same machine within this time, so a new leader orders nothing for
    // as long.
    Duration initialQuietPeriod { 0 };
    // How long a machine is down for maintenance.
    Duration maintenanceDuration { std::chrono::seconds(2) };
};

struct MachineMaintenanceHooks {
    std::function<void(const std::string& machine, int wave)> orderMaintenance;
    // The platform can take another order now.
    std::function<bool()> mayOrder;
    std::function<void()> requestMachineList;
    // A move of the machine to another pool is in progress.
    std::function<bool(const std::string& machine)> isMoving;
    // Reports the progress of a wave to the operator; `done` are the machines that need no further order.
    std::function<void(const MachineWave& wave, bool completed, const std::set<std::string>& done)> reportProgress;
    LogHook log;
};

class MachineMaintenance {
public:
    // The caller keeps `list` up to date; it must outlive this object.
    MachineMaintenance(JobScheduler& scheduler, const MachineList& list, MachineMaintenanceRules rules, Clock clock,
        MachineMaintenanceHooks hooks);

    // `done` are machines whose maintenance ended under an earlier leader. A known wave takes over what has changed.
    void addWave(const MachineWave& wave, const std::set<std::string>& done);
    void orderAnswered(const std::string& machine, int wave, MachineOrderStatus status);
    void tick();

    // The machine is cordoned, ordered or down for maintenance, so it must not move to another pool.
    bool isInMaintenance(const std::string& machine) const;

private:
    enum class Stage {
        Pending,
        Cordoned, // gets no new tasks; its tasks end or are evicted
        Ordered, // an order was sent and not accepted yet
        Down, // the order was accepted; the machine is down
        Done,
    };
    struct Machine {
        Stage stage = Stage::Pending;
        TimePoint stageSince;
        TimePoint nextOrderAt; // no order before
        std::string previousServer; // id of the last server known on the machine before the maintenance; empty: none
        bool isUnconfirmed = false; // an order had no answer, so the platform may have carried it out
        // When the platform answered that the machine does not exist or is not part of the wave. That does not show
        // whether it stays; a later machine list does.
        TimePoint disownedAt;
    };
    struct Wave {
        MachineWave spec;
        TimePoint startedAt;
        std::map<std::string, Machine> machines;
        bool completed = false;
    };
    // Registered servers of one service; the unavailable ones are cordoned or unresponsive.
    struct ServiceServers {
        int total = 0;
        int unavailable = 0;
    };

    void changeWave(Wave& wave, const MachineWave& spec);
    void advance(Wave& wave);
    bool hasLeft(const std::string& name, const Machine& machine) const;
    void cordonMachines(Wave& wave);
    void advanceMachine(Wave& wave, const std::string& name, Machine& machine);
    void sendOrder(Wave& wave, const std::string& name, Machine& machine);
    void setStage(const std::string& name, Machine& machine, Stage stage);
    void report(Wave& wave);
    std::map<std::string, ServiceServers> countServers() const;
    bool isAnyLate() const;
    bool isLate(const Wave& wave) const;
    static int countInStages(const Wave& wave, std::initializer_list<Stage> stages);

    JobScheduler& scheduler;
    const MachineList& machineList;
    const MachineMaintenanceRules rules;
    const Clock clock;
    const MachineMaintenanceHooks hooks;
    const TimePoint startedAt;
    std::map<int, Wave> waves;
    TimePoint listRequestedAt;
    bool isFenced = false; // a later leader orders maintenance
};

} // namespace waxwinglug
