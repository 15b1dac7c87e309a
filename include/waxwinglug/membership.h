// Gossip membership of the entry VMs: which nodes run, with which incarnation, and the facts that each member publishes
// about itself. Performs no I/O: messages arrive as calls and are sent through a hook.
#pragma once

#include <waxwinglug/base.h>
#include <waxwinglug/message.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace waxwinglug {

enum class MemberState {
    Alive,
    Suspect,
    Gone, // left, or suspected for longer than Membership::goneTimeout
};

struct Member {
    NodeId node;
    MemberState state = MemberState::Alive;
    MemberFacts facts;
    std::string dataCentre;
    Endpoint address;
    std::map<std::string, std::uint32_t> freeSlots; // by service, from the newest heartbeat of the member
};

struct MembershipSettings {
    NodeId self;
    std::string dataCentre;
    Endpoint address; // for messages from peers
    std::vector<Endpoint> seeds;
};

struct MembershipHooks {
    // Must not call back into Membership before it returns.
    std::function<void(const Endpoint&, const PeerMessage&)> send;
    // Growth of the slot milliseconds that a team used at a node. Each increment is reported once per incarnation of
    // the owner.
    std::function<void(const NodeId& owner, std::string_view team, std::uint64_t growth)> onUsage;
    // Payloads for other components, which must tolerate duplicates and reordering.
    std::function<void(const NodeId& sender, const Json&)> onAllotments;
    std::function<void(const NodeId& sender, const Json&)> onDocuments;
};

class Membership {
public:
    static constexpr std::size_t peersPerTick = 3;
    // Heartbeats unanswered for this long: other members are asked to probe the member.
    static constexpr Duration probeTimeout { 2000 };
    static constexpr Duration suspectTimeout { 5000 };
    static constexpr Duration goneTimeout { 10000 };
    // A longer gap between two ticks means that this process was paused, so missing answers prove nothing.
    static constexpr Duration pauseThreshold { 3000 };
    // Gone members are still contacted for this long, to find the other side of a healed partition.
    static constexpr Duration goneContactPeriod { std::chrono::hours(24) };
    // Consecutive messages of a peer with a differing view hash before its full state is requested.
    static constexpr int hashMismatchThreshold = 3;

    Membership(MembershipSettings settings, Clock clock, Random random, MembershipHooks hooks);

    // To be called once a second.
    void tick();
    void onMessage(const PeerMessage& message);
    // Announces to the live members that this node leaves. Nothing is sent or accepted afterwards.
    void leave();

    // Publishes the facts of this node with the next heartbeats.
    void setFacts(const MemberFacts& facts);
    void setFreeSlots(std::map<std::string, std::uint32_t> slots) { this->freeSlots = std::move(slots); }
    // Adds to the slot usage of a team at this node, which the next heartbeats report.
    void addUsage(std::string_view team, std::uint64_t slotMilliseconds);
    // Returns false when no live member has this name.
    bool sendTo(std::string_view name, std::optional<Json> allotments, std::optional<Json> documents);

    // Returns the members that are not Gone, except this node; all data centres if `dataCentre` is empty.
    std::vector<Member> liveMembers(std::string_view dataCentre = {}) const;
    // Returns nothing for an unknown name. The incarnation is the newest known one.
    std::optional<Member> find(std::string_view name) const;
    std::optional<std::uint64_t> newestIncarnation(std::string_view name) const;
    // Whether a newer incarnation of this name exists, so that this process must end.
    bool isSuperseded() const { return this->hasNewerIncarnation; }
    // Number of messages dropped because they name another recipient.
    std::uint64_t misdirectedMessages() const { return this->misdirectedCount; }

private:
    // All positions are values of this node's change counter, unless stated otherwise.
    struct Peer {
        MemberRecord record; // always with data centre and address
        std::uint64_t changedAt = 0;
        std::uint64_t introducedAt = 0; // last position at which receivers needed data centre and address as well
        bool gone = false;
        TimePoint stateSince;
        std::optional<TimePoint> unansweredSince;
        std::uint64_t acknowledged = 0; // position up to which the peer has received changes from this node
        std::uint64_t received = 0; // position, in the peer's counter, up to which this node has received its changes
        int hashMismatches = 0;
        bool wantsFullState = false;
        // Sent by the next tick instead of immediately, so that two nodes whose views keep differing do not exchange
        // full states in an endless loop.
        bool isFullStateDue = false;
        std::uint64_t newestSequence = 0;
        std::map<std::string, std::uint32_t> freeSlots;
        std::vector<std::pair<std::string, std::uint64_t>> usage; // indexed by the peer's team numbers
    };
    struct Team {
        std::string name;
        std::uint64_t namedAt = 0;
        std::uint64_t changedAt = 0;
        std::uint64_t total = 0;
    };
    struct ProbeRequest {
        std::string target;
        std::string requester;
        TimePoint until;
        bool reported = false;
    };
    using Peers = std::map<std::string, Peer, std::less<>>;

    PeerMessage newMessage(PeerMessage::Kind kind, std::string_view recipient);
    // Only heartbeats sent by tick() may request probes: probes that request further probes would multiply messages.
    void sendHeartbeat(Peer& peer, bool askForProbes);
    void contact(const Endpoint& address, const Peer* peer);
    void contactSeedOrGoneMember();
    void sendAnswer(Peer& peer, const PeerMessage& heartbeat, bool gap);
    void addChanges(PeerMessage& message, std::uint64_t base) const;
    void addFullState(PeerMessage& message) const;
    static MemberRecord recordFor(const Peer& peer, std::uint64_t base);
    Peer* nextTarget();
    void checkTimeouts(TimePoint now);

    void merge(const MemberRecord& record, Peer* from);
    void mergeSelf(const MemberRecord& record);
    void introduce(const MemberRecord& record);
    // Whether the heartbeat leaves out changes that this node lacks.
    bool handleHeartbeat(Peer& peer, const PeerMessage& message);
    void mergeUsage(Peer& peer, const UsageReport& report);
    void handleAnswer(Peer& peer, const PeerMessage& message);
    void compareHash(Peer& peer, std::uint64_t theirs);
    std::uint64_t viewHash() const;
    static Member describe(const Peer& peer);

    MembershipSettings settings;
    Clock clock;
    Random random;
    MembershipHooks hooks;
    Peer self;
    Peers peers;
    std::vector<Team> teams;
    std::vector<std::string> pendingTargets; // targets left in the current shuffled round
    std::vector<ProbeRequest> probes;
    std::vector<std::string> unresponsive; // members that other members are asked to probe for this node
    std::map<std::string, std::uint32_t> freeSlots;
    std::uint64_t position = 1;
    std::uint64_t sequence = 0;
    std::uint64_t misdirectedCount = 0;
    TimePoint lastTick;
    bool hasLeft = false;
    bool hasNewerIncarnation = false;
};

} // namespace waxwinglug
