// What the entry VMs report about VMs, as the maintainer needs it: journal sequences applied and running work.
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
    // VM journal sequence that the node has applied.
    std::uint64_t applied = 0;
    // Requests and jobs that the node runs, by VM; a VM without work is left out.
    std::map<std::string, int> work;
};

// Keeps the last report of every registered entry VM. A node counts as missing until its present run has reported, so a
// restarted maintainer or entry VM never confirms by silence.
class NodeReports {
public:
    // The entry VMs by name, with their data centres. Reports of others are ignored.
    void setRegisteredNodes(std::map<std::string, std::string> dataCentreByNode);
    // An older run, or an older sequence of the same run, never replaces a newer one.
    void recordReport(const NodeReport& report);
    // What the VM list says about a run of the node. Only the greatest run counts; a later one that is live is missing
    // until it has reported. While the list does not show a restarted node yet, it still counts as gone: an entry VM
    // must therefore not send work before it is registered or listed.
    void recordIncarnation(const NodeId& node, bool gone);

    // Hooks of the maintainer.
    std::vector<UnconfirmedNode> unconfirmedNodes(std::string_view dataCentre, std::uint64_t sequence) const;
    // Nothing while a node of the data centre has not reported and is not known to be gone.
    std::optional<int> runningWorkCount(std::string_view dataCentre, std::string_view vm) const;

private:
    struct State {
        std::string dataCentre;
        std::optional<NodeReport> lastReport;
        // The greatest run that the VM list has shown, and whether it has ended.
        std::optional<std::uint64_t> latestIncarnation;
        bool isLatestGone = false;

        bool isGone() const;
    };

    ByName<State> nodes;
};

} // namespace waxwinglug
