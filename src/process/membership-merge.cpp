// Membership: merging of received messages into the view of this node.
#include <waxwinglug/membership.h>

#include <algorithm>
#include <utility>

namespace waxwinglug {

namespace {

    // Bounds the memory used by probe requests from peers.
    constexpr std::size_t maxProbeRequests = 256;

} // namespace

void Membership::onMessage(const PeerMessage& message)
{
    const NodeId& own = this->settings.self;
    if (this->hasLeft) {
        return;
    }
    if (!message.recipient.empty() && message.recipient != own.name) {
        ++this->misdirectedCount;
        return;
    }
    if (message.sender.name == own.name) {
        this->hasNewerIncarnation = this->hasNewerIncarnation || message.sender.incarnation > own.incarnation;
        return;
    }
    auto found = this->peers.find(message.sender.name);
    if (found != this->peers.end() && found->second.record.node.incarnation > message.sender.incarnation) {
        return;
    }
    // The sender's own record is merged first, because the other records are attributed to the sender.
    for (const MemberRecord& record : message.members) {
        if (record.node == message.sender) {
            this->merge(record, nullptr);
        }
    }
    found = this->peers.find(message.sender.name);
    if (found == this->peers.end() || found->second.record.node != message.sender) {
        return; // the sender's address is unknown; it resends its record until that is acknowledged
    }
    Peer& peer = found->second;
    if (peer.record.state == MemberRecord::State::Left) {
        return;
    }
    peer.unansweredSince.reset();
    for (const MemberRecord& record : message.members) {
        if (record.node.name != message.sender.name) {
            this->merge(record, &peer);
        }
    }
    this->compareHash(peer, message.viewHash);
    if (message.allotments && this->hooks.onAllotments) {
        this->hooks.onAllotments(message.sender, *message.allotments);
    }
    if (message.documents && this->hooks.onDocuments) {
        this->hooks.onDocuments(message.sender, *message.documents);
    }
    if (message.kind == PeerMessage::Kind::Answer) {
        this->handleAnswer(peer, message);
        return;
    }
    const bool gap = this->handleHeartbeat(peer, message);
    this->sendAnswer(peer, message, gap);
}

bool Membership::handleHeartbeat(Peer& peer, const PeerMessage& message)
{
    if (message.sequence > peer.newestSequence && message.position > 0) {
        peer.newestSequence = message.sequence;
        peer.freeSlots = message.freeSlots;
    }
    for (const std::string& name : message.probeTargets) {
        const auto target = this->peers.find(name);
        // At most one pending probe per requester and target: heartbeats that arrive together after a pause would
        // otherwise multiply messages.
        const bool isPending = std::any_of(this->probes.begin(), this->probes.end(),
            [&](const ProbeRequest& probe) { return probe.target == name && probe.requester == message.sender.name; });
        if (target != this->peers.end() && !isPending && this->probes.size() < maxProbeRequests) {
            this->probes.push_back({ name, message.sender.name, this->clock.now() + suspectTimeout });
            this->sendHeartbeat(target->second, false);
        }
    }
    if (message.basePosition > peer.received) {
        return true;
    }
    if (message.usage) {
        this->mergeUsage(peer, *message.usage);
    }
    peer.received = std::max(peer.received, message.position);
    return false;
}

void Membership::mergeUsage(Peer& peer, const UsageReport& report)
{
    std::uint64_t number = report.firstName;
    for (const std::string& name : report.names) {
        if (number == peer.usage.size()) {
            peer.usage.emplace_back(name, 0);
        }
        ++number;
    }
    for (const auto& [team, total] : report.totals) {
        if (team >= peer.usage.size() || peer.usage[team].second >= total) {
            continue;
        }
        const std::uint64_t growth = total - std::exchange(peer.usage[team].second, total);
        if (this->hooks.onUsage) {
            this->hooks.onUsage(peer.record.node, peer.usage[team].first, growth);
        }
    }
}

void Membership::handleAnswer(Peer& peer, const PeerMessage& message)
{
    for (const NodeId& node : message.reachedMembers) {
        const auto found = this->peers.find(node.name);
        if (found != this->peers.end() && found->second.record.node == node) {
            found->second.unansweredSince.reset();
        }
    }
    if (message.acknowledged && message.acknowledged->first == this->settings.self.incarnation) {
        const std::uint64_t reached = std::min(message.acknowledged->second, this->position);
        peer.acknowledged = std::max(peer.acknowledged, reached);
        for (ProbeRequest& probe : this->probes) {
            const auto requester = this->peers.find(probe.requester);
            if (!probe.reported && probe.target == message.sender.name && requester != this->peers.end()) {
                probe.reported = true;
                PeerMessage report = this->newMessage(PeerMessage::Kind::Answer, probe.requester);
                report.reachedMembers.push_back(message.sender);
                this->hooks.send(*requester->second.record.address, report);
            }
        }
    }
    if (message.fullStateRequested) {
        peer.acknowledged = 0;
        peer.isFullStateDue = true;
    }
}

void Membership::merge(const MemberRecord& record, Peer* from)
{
    if (record.node.name == this->settings.self.name) {
        this->mergeSelf(record);
        return;
    }
    const auto found = this->peers.find(record.node.name);
    if (found == this->peers.end() || found->second.record.node.incarnation < record.node.incarnation) {
        if (record.address) {
            this->introduce(record);
        } else if (from != nullptr) {
            from->wantsFullState = true;
        }
        return;
    }
    Peer& peer = found->second;
    MemberRecord& known = peer.record;
    const bool isNewer
        = record.version > known.version || (record.version == known.version && record.state > known.state);
    if (known.node.incarnation > record.node.incarnation || known.state == MemberRecord::State::Left || !isNewer) {
        return;
    }
    const bool stateChanges = record.state != known.state;
    known.version = record.version;
    known.facts = record.facts;
    known.state = record.state;
    peer.changedAt = ++this->position;
    if (stateChanges || record.state == MemberRecord::State::Alive) {
        // Members that joined while this one was gone do not know its address.
        peer.introducedAt
            = peer.gone && record.state == MemberRecord::State::Alive ? this->position : peer.introducedAt;
        peer.gone = record.state == MemberRecord::State::Left;
        peer.stateSince = this->clock.now();
        peer.unansweredSince.reset();
    }
}

void Membership::mergeSelf(const MemberRecord& record)
{
    MemberRecord& own = this->self.record;
    if (record.node.incarnation > own.node.incarnation) {
        this->hasNewerIncarnation = true;
    }
    if (record.node.incarnation != own.node.incarnation || record.version < own.version
        || (record.version == own.version && record.state == own.state)) {
        return;
    }
    own.version = record.version + 1;
    this->self.changedAt = ++this->position;
}

void Membership::introduce(const MemberRecord& record)
{
    Peer peer;
    peer.record = record;
    peer.changedAt = ++this->position;
    peer.introducedAt = this->position;
    peer.gone = record.state == MemberRecord::State::Left;
    peer.stateSince = this->clock.now();
    this->peers.insert_or_assign(record.node.name, std::move(peer));
}

void Membership::compareHash(Peer& peer, std::uint64_t theirs)
{
    if (theirs == this->viewHash()) {
        peer.hashMismatches = 0;
    } else if (++peer.hashMismatches >= hashMismatchThreshold) {
        peer.hashMismatches = 0;
        peer.wantsFullState = true;
    }
}

} // namespace waxwinglug
