// Carries out maintenance waves: closes machines, moves what runs on them, orders their maintenance, and reports.
//
// Belongs to the lead and does no I/O. An order may be repeated: the platform accepts one that was carried out before.
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
    // Two entry VMs may not give orders for one machine within this time, so a new lead waits that long.
    Duration initialQuietPeriod { 0 };
    // How long a maintenance takes a machine away.
    Duration maintenanceDuration { std::chrono::seconds(2) };
};

struct MachineMaintenanceHooks {
    std::function<void(const std::string& machine, int wave)> orderMaintenance;
    std::function<void()> requestMachineList;
    // The machine is on its way to another pool.
    std::function<bool(const std::string& machine)> isMoving;
    // Tells the operator how far a wave is; `done` are the machines that need no further order.
    std::function<void(const MachineWave& wave, bool completed, const std::set<std::string>& done)> reportProgress;
    LogHook log;
};

class MachineMaintenance {
public:
    // `list` is kept up to date by the caller and outlives this.
    MachineMaintenance(JobScheduler& scheduler, const MachineList& list, MachineMaintenanceRules rules, Clock clock,
        MachineMaintenanceHooks hooks);

    // `done` are machines whose maintenance an earlier lead has seen through.
    void addWave(const MachineWave& wave, const std::set<std::string>& done);
    void orderAnswered(const std::string& machine, int wave, MachineOrderStatus status);
    void tick();

    // The machine is being emptied or maintained, so it cannot move to another pool.
    bool isInMaintenance(const std::string& machine) const;

private:
    enum class Stage {
        Due,
        Closing, // gets no new tasks; what runs there ends or is moved
        Ordered, // an order is on its way or has no answer
        Down, // accepted; the machine is away
        Done,
    };
    struct Machine {
        Stage stage = Stage::Due;
        TimePoint since;
        TimePoint notBefore;
        std::string oldServer; // the latest server known to have lived there before the maintenance
        bool isDoubtful = false; // an order had no answer and may have been carried out
    };
    struct Wave {
        MachineWave spec;
        TimePoint begunAt;
        std::map<std::string, Machine> machines;
        bool completed = false;
    };
    // Servers of one service.
    struct ServiceRoom {
        int all = 0;
        int away = 0;
    };

    void advance(Wave& wave);
    void closeMore(Wave& wave);
    void advanceMachine(Wave& wave, const std::string& name, Machine& machine);
    void sendOrder(Wave& wave, const std::string& name, Machine& machine);
    void setStage(const std::string& name, Machine& machine, Stage stage);
    void report(Wave& wave);
    std::map<std::string, ServiceRoom> serviceRooms() const;
    bool isAnyLate() const;
    bool isLate(const Wave& wave) const;
    static int countOf(const Wave& wave, std::initializer_list<Stage> stages);

    JobScheduler& scheduler;
    const MachineList& machineList;
    const MachineMaintenanceRules rules;
    const Clock clock;
    const MachineMaintenanceHooks hooks;
    const TimePoint begunAt;
    std::map<int, Wave> waves;
    TimePoint askedAt;
    bool fenced = false; // a later lead gives the orders
};

} // namespace waxwinglug
