// Reports of the entry VMs to the maintainer: applied journal sequences and running work per VM.
#pragma once

#include <waxwinglug/base.h>
#include <waxwinglug/maintenance.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglug {

// One report of an entry VM.
struct NodeReport {
    NodeId node;
    std::string dataCentre;
    // VM journal sequence that the entry VM has applied.
    std::uint64_t applied = 0;
    // Number of requests and jobs that the entry VM runs, by VM; VMs without work are left out.
    std::map<std::string, int> work;
};

// Keeps the last report of every registered entry VM. An entry VM counts as unconfirmed until its current incarnation
// has reported, so no drain is confirmed for lack of reports after a restart of the maintainer or an entry VM.
class NodeReports {
public:
    // Sets the entry VMs and their data centres. Reports of other nodes are ignored.
    void setRegisteredNodes(std::map<std::string, std::string> dataCentreByNode);
    // Stores the report unless the stored one is of a later incarnation, or of the same one with a later sequence.
    void recordReport(const NodeReport& report);
    // Records what the VM list or the registration shows about an incarnation of the node. Only the latest incarnation
    // counts, and it is unconfirmed until it has reported. A restarted node counts as gone until its new incarnation
    // is recorded here or has reported, so an entry VM must not send work before it is registered or listed.
    void recordIncarnation(const NodeId& node, bool isGone);

    // Entry VMs of the data centre that have not applied the sequence, for MaintenanceHooks::unconfirmedNodes.
    std::vector<UnconfirmedNode> unconfirmedNodes(std::string_view dataCentre, std::uint64_t sequence) const;
    // Number of requests and jobs on the VM, for MaintenanceHooks::runningWorkCount; nullopt while an entry VM of the
    // data centre has not reported and is not known to be gone.
    std::optional<int> runningWorkCount(std::string_view dataCentre, std::string_view vm) const;

private:
    struct State {
        std::string dataCentre;
        std::optional<NodeReport> lastReport;
        // The latest recorded incarnation, and whether it is gone.
        std::optional<std::uint64_t> latestIncarnation;
        bool isLatestGone = false;

        bool isGone() const;
    };

    ByName<State> nodes;
};

} // namespace waxwinglug
