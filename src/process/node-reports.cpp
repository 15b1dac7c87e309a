// What the entry VMs report about VMs.
#include <waxwinglug/node-reports.h>

namespace waxwinglug {

bool NodeReports::State::gone() const
{
    return this->listedRun && this->listedGone && (!this->last || this->last->node.incarnation <= *this->listedRun);
}

void NodeReports::setRegistered(std::map<std::string, std::string> dataCentreByNode)
{
    std::erase_if(this->nodes, [&](const auto& item) { return !dataCentreByNode.contains(item.first); });
    for (auto& [name, dataCentre] : dataCentreByNode)
        this->nodes[name].dataCentre = std::move(dataCentre);
}

void NodeReports::accept(const NodeReport& report)
{
    const auto found = this->nodes.find(report.node.name);
    if (found == this->nodes.end())
        return;
    auto& last = found->second.last;
    const bool older = last
        && (report.node.incarnation < last->node.incarnation
            || (report.node.incarnation == last->node.incarnation && report.applied < last->applied));
    if (!older)
        last = report;
}

void NodeReports::observe(const NodeId& node, bool gone)
{
    const auto found = this->nodes.find(node.name);
    if (found == this->nodes.end())
        return;
    auto& state = found->second;
    if (state.listedRun && node.incarnation < *state.listedRun)
        return;
    state.listedRun = node.incarnation;
    state.listedGone = gone;
    // The former run's report says nothing about a later one.
    if (state.last && state.last->node.incarnation < node.incarnation)
        state.last.reset();
}

std::vector<MissingNode> NodeReports::unconfirmed(std::string_view dataCentre, std::uint64_t sequence) const
{
    std::vector<MissingNode> missing;
    for (const auto& [name, state] : this->nodes) {
        if (state.dataCentre != dataCentre)
            continue;
        const bool gone = state.gone();
        if (gone || !state.last || state.last->applied < sequence)
            missing.push_back({ name, gone });
    }
    return missing;
}

std::optional<int> NodeReports::runningWork(std::string_view dataCentre, std::string_view vm) const
{
    int count = 0;
    for (const auto& [name, state] : this->nodes) {
        if (state.dataCentre != dataCentre || state.gone())
            continue;
        if (!state.last)
            return std::nullopt;
        const auto work = state.last->work.find(std::string(vm));
        count += work == state.last->work.end() ? 0 : work->second;
    }
    return count;
}

} // namespace waxwinglug
