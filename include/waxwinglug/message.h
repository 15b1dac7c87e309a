// Messages between entry VMs: typed optional parts in a compact encoding, authenticated by a keyed hash, with a replay
// window per sender.
#pragma once

#include <waxwinglug/base.h>
#include <waxwinglug/ini.h>
#include <waxwinglug/json.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace waxwinglug {

// Versions that a member publishes about itself and other members relay. Within one incarnation all of them only grow.
struct MemberFacts {
    std::uint64_t activeConfigVersion = 0;
    std::uint64_t preparedConfigVersion = 0;
    std::uint64_t appliedJournalSequence = 0; // last applied sequence number of the VM journal of its data centre

    bool operator==(const MemberFacts&) const = default;
};

// State of one member as carried by a message.
struct MemberRecord {
    enum class State : std::uint8_t {
        Alive,
        Suspect, // did not answer; the member refutes this with a higher version
        Left, // shut down in an orderly way
    };

    NodeId node;
    // Raised only by the member itself, with each change of its facts and to refute a suspicion.
    std::uint64_t version = 0;
    State state = State::Alive;
    MemberFacts facts;
    // Set only in records that introduce an incarnation; empty in records of a later change.
    std::string dataCentre;
    std::optional<Endpoint> address; // for messages from peers

    bool operator==(const MemberRecord&) const = default;
};

// Slot usage per team since the start of the sender. Totals are cumulative, so that loss and duplication do not matter.
// The sender numbers teams in the order of first use.
struct UsageReport {
    std::uint64_t firstName = 0; // number of names.front()
    std::vector<std::string> names;
    std::vector<std::pair<std::uint64_t, std::uint64_t>> totals; // team number, slot milliseconds

    bool operator==(const UsageReport&) const = default;
};

struct PeerMessage {
    enum class Kind : std::uint8_t {
        Heartbeat,
        Answer, // to a heartbeat
    };

    Kind kind = Kind::Heartbeat;
    NodeId sender;
    // Increases with every message of the sender's incarnation.
    std::uint64_t sequence = 0;
    // Empty if only the address of the recipient is known.
    std::string recipient;
    // Heartbeat: the message carries the changes of the sender's state after `basePosition` up to `position`.
    std::uint64_t position = 0;
    std::uint64_t basePosition = 0;
    // Answer: the recipient's incarnation and the position up to which the sender has received its changes.
    std::optional<std::pair<std::uint64_t, std::uint64_t>> acknowledged;
    // Hash of the names, incarnations and states of all members in the sender's view that are not gone.
    std::uint64_t viewHash = 0;
    // Requests the full state of the recipient.
    bool fullStateRequested = false;
    std::vector<MemberRecord> members;
    std::optional<UsageReport> usage;
    std::map<std::string, std::uint32_t> freeSlots; // by service
    // Members that the recipient is asked to probe for the sender, and members that answered such a probe.
    std::vector<std::string> probeTargets;
    std::vector<NodeId> reachedMembers;
    // Payloads of other components: allotment requests and loans, and configuration documents.
    std::optional<Json> allotments;
    std::optional<Json> documents;

    bool operator==(const PeerMessage&) const = default;
};

// Reason for dropping a received message.
enum class MessageFault {
    TooLarge,
    BadHash,
    Malformed,
    Replayed,
};
constexpr std::size_t messageFaultCount = 4;
std::string_view toText(MessageFault fault);

// Encodes messages, and decodes and authenticates received ones, with one shared secret.
class MessageCodec {
public:
    static constexpr std::size_t maxMessageBytes = 256 * 1024ULL;
    static constexpr std::size_t hashBytes = 16;
    // Number of senders whose replay window is kept; the least recently used window is evicted first.
    static constexpr std::size_t maxSenders = 4096;

    explicit MessageCodec(std::string_view secret);

    // Throws Error (Invalid) if the encoded message exceeds maxMessageBytes.
    std::string encode(const PeerMessage& message) const;
    // Returns nothing, and counts the fault, if the message has to be dropped.
    std::optional<PeerMessage> decode(std::string_view bytes);

    std::uint64_t faultCount(MessageFault fault) const { return this->faultCounts[static_cast<std::size_t>(fault)]; }

    // Returns the body with its keyed hash in front. Public for tests with invalid bodies of a peer that knows the
    // secret.
    std::string prependHash(std::string_view body) const;

private:
    // Sequence numbers already received: bit n of `seenBits` stands for `highestSequence` - n.
    struct ReplayWindow {
        std::uint64_t incarnation = 0;
        std::uint64_t highestSequence = 0;
        std::uint64_t seenBits = 0;
        std::uint64_t lastUsedAt = 0;
    };

    bool isReplayed(const PeerMessage& message);
    std::optional<PeerMessage> drop(MessageFault fault);
    std::array<unsigned char, hashBytes> hash(std::string_view body) const;

    std::array<unsigned char, 32> key {};
    std::map<std::string, ReplayWindow, std::less<>> replayWindows;
    std::uint64_t useCount = 0;
    std::array<std::uint64_t, messageFaultCount> faultCounts {};
};

} // namespace waxwinglug
