// Membership: heartbeat rounds, failure detection and queries. Received state is merged in membership-merge.cpp.
#include <waxwinglug/membership.h>

#include <sodium.h>

#include <algorithm>
#include <array>
#include <utility>

namespace waxwinglug {

namespace {

    // Bound the work that one peer can cause and the message size while many members are unresponsive.
    constexpr std::size_t maxProbesPerMessage = 8;
    constexpr std::size_t maxRetriesPerTick = 3;
    constexpr int seedContactTicks = 10; // mean ticks between contacts of a seed while other members are known

} // namespace

Membership::Membership(MembershipSettings membershipSettings, Clock source, Random seeded, MembershipHooks given)
    : settings(std::move(membershipSettings))
    , clock(std::move(source))
    , random(seeded)
    , hooks(std::move(given))
    , lastTick(this->clock.now())
{
    this->self.record
        = { this->settings.self, 1, MemberRecord::State::Alive, {}, this->settings.dataCentre, this->settings.address };
    this->self.changedAt = this->position;
    this->self.introducedAt = this->position;
}

void Membership::tick()
{
    if (this->hasLeft) {
        return;
    }
    const TimePoint now = this->clock.now();
    this->checkTimeouts(now);
    this->lastTick = now;
    std::erase_if(this->probes, [now](const ProbeRequest& probe) { return probe.until < now; });
    std::size_t retries = 0;
    for (const std::string& name : this->unresponsive) {
        if (retries++ < maxRetriesPerTick) {
            this->sendHeartbeat(this->peers.find(name)->second, true);
        }
    }
    const std::size_t targets = std::min(peersPerTick, this->liveMembers().size());
    for (std::size_t i = 0; i < targets; ++i) {
        if (Peer* peer = this->nextTarget()) {
            this->sendHeartbeat(*peer, true);
        }
    }
    for (auto& [name, peer] : this->peers) {
        if (std::exchange(peer.isFullStateDue, false) && !peer.gone) {
            this->sendHeartbeat(peer, false);
        }
    }
    this->contactSeedOrGoneMember();
}

void Membership::checkTimeouts(TimePoint now)
{
    const bool wasPaused = now - this->lastTick > pauseThreshold;
    this->unresponsive.clear();
    for (auto& [name, peer] : this->peers) {
        if (peer.gone) {
            continue;
        }
        if (wasPaused) {
            peer.unansweredSince.reset();
            peer.stateSince = now;
        }
        const Duration unansweredTime = peer.unansweredSince ? now - *peer.unansweredSince : Duration(0);
        if (peer.record.state == MemberRecord::State::Alive && unansweredTime >= suspectTimeout) {
            peer.record.state = MemberRecord::State::Suspect;
            peer.stateSince = now;
            peer.changedAt = ++this->position;
        } else if (peer.record.state == MemberRecord::State::Suspect && now - peer.stateSince >= goneTimeout) {
            peer.gone = true;
            peer.stateSince = now;
        } else if (unansweredTime >= probeTimeout) {
            this->unresponsive.push_back(name);
        }
    }
}

// Returns each member once per round, in a new random order each round, which bounds the time between two contacts of a
// member.
Membership::Peer* Membership::nextTarget()
{
    for (int rounds = 0; rounds < 2; ++rounds) {
        while (!this->pendingTargets.empty()) {
            const std::string name = std::move(this->pendingTargets.back());
            this->pendingTargets.pop_back();
            const auto found = this->peers.find(name);
            if (found != this->peers.end() && !found->second.gone) {
                return &found->second;
            }
        }
        for (const auto& [name, peer] : this->peers) {
            if (!peer.gone) {
                this->pendingTargets.push_back(name);
            }
        }
        std::shuffle(this->pendingTargets.begin(), this->pendingTargets.end(), this->random);
    }
    return nullptr;
}

// Contacts a seed that is not a live member, and a Gone member: either may be the other side of a healed partition.
void Membership::contactSeedOrGoneMember()
{
    const TimePoint now = this->clock.now();
    std::vector<const Peer*> goneMembers;
    std::vector<Endpoint> seeds = this->settings.seeds;
    std::erase(seeds, this->settings.address);
    bool hasNoLiveMember = true;
    for (const auto& [name, peer] : this->peers) {
        if (!peer.gone) {
            hasNoLiveMember = false;
            std::erase(seeds, *peer.record.address);
        } else if (peer.record.state != MemberRecord::State::Left && now - peer.stateSince < goneContactPeriod) {
            goneMembers.push_back(&peer);
        }
    }
    if (!seeds.empty() && (hasNoLiveMember || this->random() % seedContactTicks == 0)) {
        this->contact(seeds[this->random() % seeds.size()], nullptr);
    }
    if (!goneMembers.empty()) {
        const Peer* peer = goneMembers[this->random() % goneMembers.size()];
        this->contact(*peer->record.address, peer);
    }
}

PeerMessage Membership::newMessage(PeerMessage::Kind kind, std::string_view recipient)
{
    PeerMessage message;
    message.kind = kind;
    message.sender = this->settings.self;
    message.sequence = ++this->sequence;
    message.recipient = recipient;
    message.viewHash = this->viewHash();
    return message;
}

void Membership::contact(const Endpoint& address, const Peer* peer)
{
    PeerMessage message = this->newMessage(
        PeerMessage::Kind::Heartbeat, peer == nullptr ? std::string_view {} : peer->record.node.name);
    message.members.push_back(this->self.record);
    if (peer != nullptr) {
        message.members.push_back(peer->record);
    }
    message.fullStateRequested = true;
    this->hooks.send(address, message);
}

void Membership::sendHeartbeat(Peer& peer, bool askForProbes)
{
    PeerMessage message = this->newMessage(PeerMessage::Kind::Heartbeat, peer.record.node.name);
    message.position = this->position;
    message.basePosition = peer.acknowledged;
    message.fullStateRequested = std::exchange(peer.wantsFullState, false);
    message.freeSlots = this->freeSlots;
    this->addChanges(message, peer.acknowledged);
    // A suspected member must receive the suspicion to be able to refute it.
    if (peer.record.state != MemberRecord::State::Alive && peer.changedAt <= peer.acknowledged) {
        message.members.push_back(recordFor(peer, peer.acknowledged));
    }
    for (const std::string& name : this->unresponsive) {
        if (askForProbes && name != peer.record.node.name && message.probeTargets.size() < maxProbesPerMessage) {
            message.probeTargets.push_back(name);
        }
    }
    if (!peer.unansweredSince) {
        peer.unansweredSince = this->clock.now();
    }
    this->hooks.send(*peer.record.address, message);
}

void Membership::sendAnswer(Peer& peer, const PeerMessage& heartbeat, bool gap)
{
    PeerMessage message = this->newMessage(PeerMessage::Kind::Answer, peer.record.node.name);
    message.acknowledged = { peer.record.node.incarnation, peer.received };
    message.fullStateRequested = std::exchange(peer.wantsFullState, false);
    if (heartbeat.fullStateRequested) {
        this->addFullState(message);
    } else if (gap || this->self.changedAt > peer.acknowledged) {
        message.members.push_back(recordFor(this->self, gap ? 0 : peer.acknowledged));
    }
    if (peer.record.state != MemberRecord::State::Alive) {
        message.members.push_back(peer.record);
    }
    this->hooks.send(*peer.record.address, message);
}

MemberRecord Membership::recordFor(const Peer& peer, std::uint64_t base)
{
    MemberRecord record = peer.record;
    if (peer.introducedAt <= base) {
        record.dataCentre.clear();
        record.address.reset();
    }
    return record;
}

void Membership::addChanges(PeerMessage& message, std::uint64_t base) const
{
    if (this->self.changedAt > base) {
        message.members.push_back(recordFor(this->self, base));
    }
    for (const auto& [name, peer] : this->peers) {
        // A joining node does not need members that are already gone.
        if (peer.changedAt > base && !(peer.gone && base == 0)) {
            message.members.push_back(recordFor(peer, base));
        }
    }
    UsageReport usage;
    usage.firstName = this->teams.size();
    for (std::size_t i = 0; i < this->teams.size(); ++i) {
        const Team& team = this->teams[i];
        if (team.namedAt > base) {
            usage.firstName = std::min<std::uint64_t>(usage.firstName, i);
            usage.names.push_back(team.name);
        }
        if (team.changedAt > base) {
            usage.totals.emplace_back(i, team.total);
        }
    }
    if (!usage.totals.empty()) {
        message.usage = std::move(usage);
    }
}

void Membership::addFullState(PeerMessage& message) const
{
    message.members.push_back(this->self.record);
    for (const auto& [name, peer] : this->peers) {
        if (!peer.gone && name != message.recipient) {
            message.members.push_back(peer.record);
        }
    }
}

void Membership::leave()
{
    this->self.record.state = MemberRecord::State::Left;
    ++this->self.record.version;
    this->self.changedAt = ++this->position;
    for (auto& [name, peer] : this->peers) {
        if (!peer.gone) {
            this->sendHeartbeat(peer, false);
        }
    }
    this->hasLeft = true;
}

void Membership::setFacts(const MemberFacts& facts)
{
    if (this->self.record.facts == facts) {
        return;
    }
    this->self.record.facts = facts;
    ++this->self.record.version;
    this->self.changedAt = ++this->position;
}

void Membership::addUsage(std::string_view team, std::uint64_t slotMilliseconds)
{
    ++this->position;
    auto found = std::find_if(
        this->teams.begin(), this->teams.end(), [team](const Team& known) { return known.name == team; });
    if (found == this->teams.end()) {
        found = this->teams.insert(found, Team { std::string(team), this->position, this->position, 0 });
    }
    found->total += slotMilliseconds;
    found->changedAt = this->position;
}

bool Membership::sendTo(std::string_view name, std::optional<Json> allotments, std::optional<Json> documents)
{
    const auto found = this->peers.find(name);
    if (this->hasLeft || found == this->peers.end() || found->second.gone) {
        return false;
    }
    PeerMessage message = this->newMessage(PeerMessage::Kind::Answer, name);
    message.allotments = std::move(allotments);
    message.documents = std::move(documents);
    this->hooks.send(*found->second.record.address, message);
    return true;
}

Member Membership::describe(const Peer& peer)
{
    const MemberState state = peer.gone                   ? MemberState::Gone
        : peer.record.state == MemberRecord::State::Alive ? MemberState::Alive
                                                          : MemberState::Suspect;
    return { peer.record.node, state, peer.record.facts, peer.record.dataCentre, *peer.record.address, peer.freeSlots };
}

std::vector<Member> Membership::liveMembers(std::string_view dataCentre) const
{
    std::vector<Member> members;
    for (const auto& [name, peer] : this->peers) {
        if (!peer.gone && (dataCentre.empty() || dataCentre == peer.record.dataCentre)) {
            members.push_back(describe(peer));
        }
    }
    return members;
}

std::optional<Member> Membership::find(std::string_view name) const
{
    const auto found = this->peers.find(name);
    return found == this->peers.end() ? std::nullopt : std::optional(describe(found->second));
}

std::optional<std::uint64_t> Membership::newestIncarnation(std::string_view name) const
{
    if (name == this->settings.self.name) {
        return this->settings.self.incarnation;
    }
    const auto found = this->peers.find(name);
    return found == this->peers.end() ? std::nullopt : std::optional(found->second.record.node.incarnation);
}

// Hash of the view without Gone members: nodes mark members as Gone at different times and keep them, so including them
// would make the hash of a joining node differ permanently.
std::uint64_t Membership::viewHash() const
{
    std::map<std::string_view, const MemberRecord*> view { { this->settings.self.name, &this->self.record } };
    for (const auto& [name, peer] : this->peers) {
        if (!peer.gone) {
            view.emplace(name, &peer.record);
        }
    }
    std::string text;
    for (const auto& [name, record] : view) {
        text.append(name).append(1, '\0').append(std::to_string(record->node.incarnation));
        text.append(1, static_cast<char>('0' + static_cast<int>(record->state)));
    }
    // The key is not secret: message hashes already protect the value, and all nodes must compute the same one.
    static constexpr std::array<unsigned char, crypto_shorthash_KEYBYTES> key {};
    std::array<unsigned char, crypto_shorthash_BYTES> hash {};
    crypto_shorthash(hash.data(), reinterpret_cast<const unsigned char*>(text.data()), text.size(), key.data());
    std::uint64_t value = 0;
    for (const unsigned char byte : hash) {
        value = value << 8U | byte;
    }
    return value;
}

} // namespace waxwinglug
