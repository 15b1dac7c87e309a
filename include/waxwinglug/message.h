// Messages between entry VMs: typed optional parts in a compact encoding, a keyed hash over every message, and a
// window per sender that drops repeated messages.
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

// What a member says about itself and others relay. All numbers only grow within one incarnation.
struct MemberFacts {
    std::uint64_t activeConfigVersion = 0;
    std::uint64_t preparedConfigVersion = 0;
    std::uint64_t appliedJournalSequence = 0; // sequence of the VM journal of its data centre

    bool operator==(const MemberFacts&) const = default;
};

// One member as a message describes it.
struct MemberRecord {
    enum class State : std::uint8_t {
        Alive,
        Suspect, // did not answer; the member itself may contradict with a higher version
        Left, // ended in an orderly way
    };

    NodeId node;
    // Raised by the member itself with each change of its facts and to contradict a suspicion.
    std::uint64_t version = 0;
    State state = State::Alive;
    MemberFacts facts;
    // Only in records that introduce an incarnation; empty in records of a change.
    std::string dataCentre;
    std::optional<Endpoint> address; // for messages of peers

    bool operator==(const MemberRecord&) const = default;
};

// Use of slots by teams since the sender's start. Cumulative, so that loss and duplication do not matter. Teams are
// numbered by the sender in the order of first use.
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
    // Grows with every message of the sender's incarnation.
    std::uint64_t sequence = 0;
    // Empty when only the address is known.
    std::string recipient;
    // Heartbeat: position of the sender's state that this message reaches, and the position that it starts from.
    std::uint64_t position = 0;
    std::uint64_t basePosition = 0;
    // Answer: the recipient's incarnation and the position that the sender has received up to.
    std::optional<std::pair<std::uint64_t, std::uint64_t>> acknowledged;
    // Hash of the names, incarnations and states that the sender knows.
    std::uint64_t viewHash = 0;
    // The recipient shall send all it knows.
    bool fullStateRequested = false;
    std::vector<MemberRecord> members;
    std::optional<UsageReport> usage;
    std::map<std::string, std::uint32_t> spareSlots; // by service
    // Members that the recipient shall contact for the sender, and members that answered such a contact.
    std::vector<std::string> probeTargets;
    std::vector<NodeId> reachedMembers;
    // Content of other components: allotment requests and loans, and configuration documents.
    std::optional<Json> allotments;
    std::optional<Json> documents;

    bool operator==(const PeerMessage&) const = default;
};

// Why a received message was dropped.
enum class MessageFault {
    TooLarge,
    BadHash,
    Malformed,
    Replayed,
};
constexpr std::size_t messageFaultCount = 4;
std::string_view toText(MessageFault fault);

// Encodes and checks messages with one shared secret.
class MessageCodec {
public:
    static constexpr std::size_t maxMessageBytes = 256 * 1024ULL;
    static constexpr std::size_t hashBytes = 16;
    // Senders whose sequence numbers are remembered; the one heard from longest ago is forgotten first.
    static constexpr std::size_t maxSenders = 4096;

    explicit MessageCodec(std::string_view secret);

    // Throws Error (Invalid) when the message exceeds mostBytes.
    std::string encode(const PeerMessage& message) const;
    // Returns nothing, and counts the fault, when the message must be dropped.
    std::optional<PeerMessage> decode(std::string_view bytes);

    std::uint64_t faultCount(MessageFault fault) const { return this->faultCounts[static_cast<std::size_t>(fault)]; }

    // Puts the keyed hash before a body; for tests of bodies that a peer with the secret could send.
    std::string prependHash(std::string_view body) const;

private:
    // Numbers up to `highest` that were seen, as a bit for each of the last 64.
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
