// Reports of the entry VMs to the maintainer.
#include <waxwinglug/node-reports.h>

namespace waxwinglug {

bool NodeReports::State::isGone() const
{
    return this->latestIncarnation && this->isLatestGone
        && (!this->lastReport || this->lastReport->node.incarnation <= *this->latestIncarnation);
}

void NodeReports::setRegisteredNodes(std::map<std::string, std::string> dataCentreByNode)
{
    std::erase_if(this->nodes, [&](const auto& item) { return !dataCentreByNode.contains(item.first); });
    for (auto& [name, dataCentre] : dataCentreByNode)
        this->nodes[name].dataCentre = std::move(dataCentre);
}

void NodeReports::recordReport(const NodeReport& report)
{
    const auto found = this->nodes.find(report.node.name);
    if (found == this->nodes.end())
        return;
    auto& last = found->second.lastReport;
    const bool isOlder = last
        && (report.node.incarnation < last->node.incarnation
            || (report.node.incarnation == last->node.incarnation && report.applied < last->applied));
    if (!isOlder)
        last = report;
}

void NodeReports::recordIncarnation(const NodeId& node, bool isGone)
{
    const auto found = this->nodes.find(node.name);
    if (found == this->nodes.end())
        return;
    auto& state = found->second;
    if (state.latestIncarnation && node.incarnation < *state.latestIncarnation)
        return;
    state.latestIncarnation = node.incarnation;
    state.isLatestGone = isGone;
    // The report of an earlier incarnation does not apply to a later one.
    if (state.lastReport && state.lastReport->node.incarnation < node.incarnation)
        state.lastReport.reset();
}

std::vector<UnconfirmedNode> NodeReports::unconfirmedNodes(std::string_view dataCentre, std::uint64_t sequence) const
{
    std::vector<UnconfirmedNode> unconfirmed;
    for (const auto& [name, state] : this->nodes) {
        if (state.dataCentre != dataCentre)
            continue;
        const bool isGone = state.isGone();
        if (isGone || !state.lastReport || state.lastReport->applied < sequence)
            unconfirmed.push_back({ name, isGone });
    }
    return unconfirmed;
}

std::optional<int> NodeReports::runningWorkCount(std::string_view dataCentre, std::string_view vm) const
{
    int count = 0;
    for (const auto& [name, state] : this->nodes) {
        if (state.dataCentre != dataCentre || state.isGone())
            continue;
        if (!state.lastReport)
            return std::nullopt;
        const auto work = state.lastReport->work.find(std::string(vm));
        count += work == state.lastReport->work.end() ? 0 : work->second;
    }
    return count;
}

} // namespace waxwinglug
