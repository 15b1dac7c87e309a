// Predicted waiting times of RequestScheduler, and the usage exchanged with other nodes.
#include <waxwinglug/admission.h>

#include <algorithm>
#include <cmath>

namespace waxwinglug {

Duration RequestScheduler::predictWait(TeamIndex team, WorkClass workClass, Duration runEstimate, TimePoint now) const
{
    const auto& classQueue = this->queue(workClass);
    const bool unitFree = this->mayStart(team);
    if (unitFree && classQueue.empty() && this->freeSlots() > 0)
        return Duration { 0 };
    const auto backgroundFraction = this->currentBackgroundFraction(now);
    const auto classFraction
        = workClass == WorkClass::Interactive ? 1 - backgroundFraction : std::max(backgroundFraction, 0.01);
    const auto rate = std::max(this->slotCount, 1) * classFraction;
    const auto weight = classQueue.weight(team);
    const auto weights = classQueue.waitingWeight() + (classQueue.waitingCount(team) == 0 ? weight : 0);
    const auto ahead = static_cast<double>(classQueue.waitingRunTime(team).count());
    const auto all = static_cast<double>(classQueue.waitingRunTime().count());
    // The smaller of two bounds: the team's queue served at its share, and the whole queue of the class served at the
    // full rate. The time until the next slot becomes free is added.
    auto wait = std::min(ahead * weights / weight, all) / rate + static_cast<double>(runEstimate.count()) / rate;
    if (!unitFree) {
        const auto& classes = this->teams[team].classes;
        const auto running = classes[0].occupiedSlots + classes[1].occupiedSlots;
        if (running > 0)
            wait = std::max(wait, (ahead + static_cast<double>(runEstimate.count())) / running);
    }
    return Duration { std::llround(wait) };
}

Duration RequestScheduler::predictedWait(std::string_view team, WorkClass workClass, TimePoint now) const
{
    const auto found = this->find(team);
    if (!found)
        return Duration::max();
    return this->predictWait(*found, workClass, this->estimate(*found, workClass, Duration { 0 }), now);
}

void RequestScheduler::appendUsage(TimePoint now, std::vector<TeamUsage>& into) const
{
    const auto total = [now](const TeamClass& count) {
        return count.finishedSlotMs
            + static_cast<std::uint64_t>(count.runningCount * now.time_since_epoch().count() - count.startTimeSumMs);
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
        for (std::size_t classIndex = 0; classIndex < used.size(); ++classIndex) {
            if (count.hasReport && used[classIndex] > count.usedSlotMs[classIndex])
                this->queues[classIndex].chargeRemote(
                    *team, static_cast<double>(used[classIndex] - count.usedSlotMs[classIndex]));
            count.usedSlotMs[classIndex] = std::max(count.usedSlotMs[classIndex], used[classIndex]);
        }
        count.hasReport = true;
    }
}

void RequestScheduler::removePeer(std::string_view node)
{
    const auto found = this->peers.find(node);
    if (found != this->peers.end())
        this->peers.erase(found);
}

} // namespace waxwinglug
