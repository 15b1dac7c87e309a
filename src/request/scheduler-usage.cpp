// What the scheduler predicts, and the usage it exchanges with other nodes.
#include <waxwinglug/admission.h>

#include <algorithm>
#include <cmath>

namespace waxwinglug {

Duration RequestScheduler::predict(TeamIndex team, WorkClass workClass, Duration ownEstimate, TimePoint now) const
{
    const auto& classQueue = this->queue(workClass);
    const bool unitFree = this->mayStart(team);
    if (unitFree && classQueue.empty() && this->freeSlots() > 0)
        return Duration { 0 };
    const auto part = this->backgroundPart(now);
    const auto ownPart = workClass == WorkClass::Interactive ? 1 - part : std::max(part, 0.01);
    const auto rate = std::max(this->slotCount, 1) * ownPart;
    const auto weight = classQueue.weight(team);
    const auto weights = classQueue.waitingWeight() + (classQueue.waiting(team) == 0 ? weight : 0);
    const auto ahead = static_cast<double>(classQueue.waitingWork(team).count());
    const auto all = static_cast<double>(classQueue.waitingWork().count());
    // The team's own queue at its share, or the whole queue at full rate, whichever ends first; then the next slot.
    auto wait = std::min(ahead * weights / weight, all) / rate + static_cast<double>(ownEstimate.count()) / rate;
    if (!unitFree) {
        const auto& classes = this->teams[team].classes;
        const auto running = classes[0].occupied + classes[1].occupied;
        if (running > 0)
            wait = std::max(wait, (ahead + static_cast<double>(ownEstimate.count())) / running);
    }
    return Duration { std::llround(wait) };
}

Duration RequestScheduler::predictedWait(std::string_view team, WorkClass workClass, TimePoint now) const
{
    const auto found = this->find(team);
    if (!found)
        return Duration::max();
    return this->predict(*found, workClass, this->estimate(*found, workClass, Duration { 0 }), now);
}

void RequestScheduler::appendUsage(TimePoint now, std::vector<TeamUsage>& into) const
{
    const auto total = [now](const TeamClass& count) {
        return count.used + static_cast<std::uint64_t>(count.running * now.time_since_epoch().count() - count.startSum);
    };
    for (const auto& team : this->teams) {
        const TeamUsage used { team.name, total(team.classes[0]), total(team.classes[1]) };
        if (used.interactive + used.background > 0)
            into.push_back(used);
    }
}

void RequestScheduler::applyPeerUsage(const NodeId& node, std::span<const TeamUsage> reported)
{
    auto found = this->peers.find(node.name);
    if (found == this->peers.end())
        found = this->peers.emplace(node.name, Peer { node.incarnation, {} }).first;
    auto& peer = found->second;
    if (node.incarnation < peer.incarnation)
        return;
    if (node.incarnation > peer.incarnation) {
        peer.incarnation = node.incarnation;
        std::fill(peer.teams.begin(), peer.teams.end(), PeerCount {});
    }
    peer.teams.resize(this->teams.size());
    for (const auto& report : reported) {
        const auto team = this->find(report.team);
        if (!team)
            continue;
        auto& count = peer.teams[*team];
        const std::array<std::uint64_t, 2> used { report.interactive, report.background };
        for (std::size_t kind = 0; kind < used.size(); ++kind) {
            if (count.seen && used[kind] > count.used[kind])
                this->queues[kind].chargeRemote(*team, static_cast<double>(used[kind] - count.used[kind]));
            count.used[kind] = std::max(count.used[kind], used[kind]);
        }
        count.seen = true;
    }
}

void RequestScheduler::removePeer(std::string_view node)
{
    const auto found = this->peers.find(node);
    if (found != this->peers.end())
        this->peers.erase(found);
}

} // namespace waxwinglug
