// Encoding of peer messages: a keyed BLAKE2b hash followed by one CBOR array.
#include <waxwinglug/message.h>

#include <sodium.h>

#include <algorithm>
#include <cstring>
#include <limits>

namespace waxwinglug {
namespace {

    // Enough for any document. The CBOR reader is recursive, so deeper nesting could overflow the stack.
    constexpr int maxDepth = 32;

    // SAX handler that only enforces the depth limit.
    class DepthCheck : public nlohmann::json_sax<Json> {
    public:
        bool null() override { return true; }
        bool boolean(bool) override { return true; }
        bool number_integer(number_integer_t) override { return true; } // NOLINT(readability-identifier-naming)
        bool number_unsigned(number_unsigned_t) override { return true; } // NOLINT(readability-identifier-naming)
        bool number_float(number_float_t, const string_t&) override { return true; } // NOLINT
        bool string(string_t&) override { return true; }
        bool binary(binary_t&) override { return true; }
        bool start_object(std::size_t) override { return ++this->depth <= maxDepth; } // NOLINT
        bool end_object() override { return --this->depth >= 0; } // NOLINT
        bool start_array(std::size_t) override { return ++this->depth <= maxDepth; } // NOLINT
        bool end_array() override { return --this->depth >= 0; } // NOLINT
        bool key(string_t&) override { return true; }
        bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override // NOLINT
        {
            return false;
        }

    private:
        int depth = 0;
    };

    // Keys of the optional parts on the wire; one letter each, because every message repeats them.
    constexpr const char* acknowledgedPart = "a";
    constexpr const char* fullStatePart = "f";
    constexpr const char* membersPart = "m";
    constexpr const char* usagePart = "u";
    constexpr const char* freeSlotsPart = "s";
    constexpr const char* probeTargetsPart = "p";
    constexpr const char* reachedMembersPart = "r";
    constexpr const char* allotmentsPart = "l";
    constexpr const char* documentsPart = "d";

    Json encodeMember(const MemberRecord& record)
    {
        Json json = { record.node.name, record.node.incarnation, record.version, static_cast<int>(record.state),
            record.facts.activeConfigVersion, record.facts.preparedConfigVersion, record.facts.appliedJournalSequence };
        if (record.address) {
            json.push_back(record.dataCentre);
            json.push_back(record.address->host);
            json.push_back(record.address->port);
        }
        return json;
    }

    // The functions below throw Json::exception or Error on invalid content; MessageCodec::decode() maps both to
    // Malformed.
    void require(bool condition)
    {
        if (!condition)
            throw Error(ErrorKind::Invalid, "malformed message", "check that all nodes run the same version");
    }

    // Json::get would accept negative numbers and fractions for an unsigned type.
    std::uint64_t decodeUnsigned(const Json& json, std::uint64_t maxValue = std::numeric_limits<std::uint64_t>::max())
    {
        require(json.is_number_unsigned());
        const auto value = json.get<std::uint64_t>();
        require(value <= maxValue);
        return value;
    }

    std::string decodeName(const Json& json)
    {
        const auto& text = json.get_ref<const std::string&>();
        require(text.size() <= 255);
        return text;
    }

    // Returns the elements of an array. Its length is bounded only by the message size limit.
    const Json::array_t& arrayElements(const Json& json) { return json.get_ref<const Json::array_t&>(); }

    void requireArray(const Json& json, std::size_t minSize, std::size_t maxSize)
    {
        require(json.is_array() && json.size() >= minSize && json.size() <= maxSize);
    }

    MemberRecord decodeMember(const Json& json)
    {
        requireArray(json, 7, 10);
        require(json.size() == 7 || json.size() == 10);
        MemberRecord record;
        record.node = { decodeName(json[0]), decodeUnsigned(json[1]) };
        require(!record.node.name.empty());
        record.version = decodeUnsigned(json[2]);
        record.state = static_cast<MemberRecord::State>(decodeUnsigned(json[3], 2));
        record.facts = { decodeUnsigned(json[4]), decodeUnsigned(json[5]), decodeUnsigned(json[6]) };
        if (json.size() == 10) {
            record.dataCentre = decodeName(json[7]);
            record.address
                = Endpoint { decodeName(json[8]), static_cast<std::uint16_t>(decodeUnsigned(json[9], 65535)) };
        }
        return record;
    }

    UsageReport decodeUsage(const Json& json)
    {
        requireArray(json, 3, 3);
        UsageReport usage;
        usage.firstName = decodeUnsigned(json[0]);
        for (const auto& each : arrayElements(json[1]))
            usage.names.push_back(decodeName(each));
        const auto& totals = arrayElements(json[2]);
        require(totals.size() % 2 == 0);
        for (std::size_t i = 0; i < totals.size(); i += 2)
            usage.totals.emplace_back(decodeUnsigned(totals[i]), decodeUnsigned(totals[i + 1]));
        return usage;
    }

    Json encodeParts(const PeerMessage& message)
    {
        Json parts = Json::object();
        if (message.acknowledged)
            parts[acknowledgedPart] = { message.acknowledged->first, message.acknowledged->second };
        if (message.fullStateRequested)
            parts[fullStatePart] = true;
        for (const auto& record : message.members)
            parts[membersPart].push_back(encodeMember(record));
        if (message.usage) {
            Json totals = Json::array();
            for (const auto& [team, total] : message.usage->totals) {
                totals.push_back(team);
                totals.push_back(total);
            }
            parts[usagePart] = { message.usage->firstName, message.usage->names, std::move(totals) };
        }
        if (!message.freeSlots.empty())
            parts[freeSlotsPart] = message.freeSlots;
        if (!message.probeTargets.empty())
            parts[probeTargetsPart] = message.probeTargets;
        for (const auto& node : message.reachedMembers)
            parts[reachedMembersPart].push_back(Json { node.name, node.incarnation });
        if (message.allotments)
            parts[allotmentsPart] = *message.allotments;
        if (message.documents)
            parts[documentsPart] = *message.documents;
        return parts;
    }

    void decodePart(PeerMessage& message, const std::string& part, const Json& json)
    {
        if (part == acknowledgedPart) {
            requireArray(json, 2, 2);
            message.acknowledged = { decodeUnsigned(json[0]), decodeUnsigned(json[1]) };
        } else if (part == fullStatePart) {
            message.fullStateRequested = json.get<bool>();
        } else if (part == membersPart) {
            for (const auto& each : arrayElements(json))
                message.members.push_back(decodeMember(each));
        } else if (part == usagePart) {
            message.usage = decodeUsage(json);
        } else if (part == freeSlotsPart) {
            require(json.is_object());
            for (const auto& [service, slots] : json.items())
                message.freeSlots[service]
                    = static_cast<std::uint32_t>(decodeUnsigned(slots, std::numeric_limits<std::uint32_t>::max()));
        } else if (part == probeTargetsPart) {
            for (const auto& each : arrayElements(json))
                message.probeTargets.push_back(decodeName(each));
        } else if (part == reachedMembersPart) {
            for (const auto& each : arrayElements(json)) {
                requireArray(each, 2, 2);
                message.reachedMembers.push_back({ decodeName(each[0]), decodeUnsigned(each[1]) });
            }
        } else if (part == allotmentsPart) {
            message.allotments = json;
        } else if (part == documentsPart) {
            message.documents = json;
        }
        // Unknown parts, added by later versions, are ignored.
    }

    PeerMessage decodeBody(std::string_view body)
    {
        DepthCheck check;
        require(Json::sax_parse(body, &check, Json::input_format_t::cbor));
        const auto json = Json::from_cbor(body);
        requireArray(json, 9, 9);
        PeerMessage message;
        message.kind = static_cast<PeerMessage::Kind>(decodeUnsigned(json[0], 1));
        message.sender = { decodeName(json[1]), decodeUnsigned(json[2]) };
        require(!message.sender.name.empty());
        message.sequence = decodeUnsigned(json[3]);
        message.recipient = decodeName(json[4]);
        message.position = decodeUnsigned(json[5]);
        message.basePosition = decodeUnsigned(json[6]);
        message.viewHash = decodeUnsigned(json[7]);
        require(json[8].is_object());
        for (const auto& [part, content] : json[8].items())
            decodePart(message, part, content);
        return message;
    }

} // namespace

std::string_view toText(MessageFault fault)
{
    static constexpr std::array<std::string_view, messageFaultCount> names { "too_large", "bad_hash", "malformed",
        "replayed" };
    return names[static_cast<std::size_t>(fault)];
}

MessageCodec::MessageCodec(std::string_view secret)
{
    if (sodium_init() < 0)
        throw Error(
            ErrorKind::Unavailable, "libsodium initialization failed", "check that the system has a random source");
    // The secret may have any length, but the hash needs a key of fixed size.
    crypto_generichash(this->key.data(), this->key.size(), reinterpret_cast<const unsigned char*>(secret.data()),
        secret.size(), nullptr, 0);
}

std::array<unsigned char, MessageCodec::hashBytes> MessageCodec::hash(std::string_view body) const
{
    std::array<unsigned char, hashBytes> result {};
    crypto_generichash(result.data(), result.size(), reinterpret_cast<const unsigned char*>(body.data()), body.size(),
        this->key.data(), this->key.size());
    return result;
}

std::string MessageCodec::prependHash(std::string_view body) const
{
    const auto sum = this->hash(body);
    std::string bytes(reinterpret_cast<const char*>(sum.data()), sum.size());
    return bytes.append(body);
}

std::string MessageCodec::encode(const PeerMessage& message) const
{
    const Json json
        = { static_cast<int>(message.kind), message.sender.name, message.sender.incarnation, message.sequence,
              message.recipient, message.position, message.basePosition, message.viewHash, encodeParts(message) };
    std::string body;
    Json::to_cbor(json, body);
    if (body.size() + hashBytes > maxMessageBytes)
        throw Error(
            ErrorKind::Invalid, "message exceeds the size limit of peers", "send the content in several messages");
    return this->prependHash(body);
}

std::optional<PeerMessage> MessageCodec::drop(MessageFault fault)
{
    ++this->faultCounts[static_cast<std::size_t>(fault)];
    return std::nullopt;
}

std::optional<PeerMessage> MessageCodec::decode(std::string_view bytes)
{
    if (bytes.size() > maxMessageBytes)
        return this->drop(MessageFault::TooLarge);
    if (bytes.size() < hashBytes)
        return this->drop(MessageFault::BadHash);
    const auto body = bytes.substr(hashBytes);
    const auto expected = this->hash(body);
    if (sodium_memcmp(expected.data(), bytes.data(), hashBytes) != 0)
        return this->drop(MessageFault::BadHash);
    std::optional<PeerMessage> message;
    try {
        message = decodeBody(body);
    } catch (const Json::exception&) {
        return this->drop(MessageFault::Malformed);
    } catch (const Error&) {
        return this->drop(MessageFault::Malformed);
    }
    if (this->isReplayed(*message))
        return this->drop(MessageFault::Replayed);
    return message;
}

bool MessageCodec::isReplayed(const PeerMessage& message)
{
    auto found = this->replayWindows.find(message.sender.name);
    if (found == this->replayWindows.end()) {
        if (this->replayWindows.size() >= maxSenders) {
            this->replayWindows.erase(std::ranges::min_element(
                this->replayWindows, {}, [](const auto& each) { return each.second.lastUsedAt; }));
        }
        found = this->replayWindows.emplace(message.sender.name, ReplayWindow {}).first;
    }
    auto& window = found->second;
    window.lastUsedAt = ++this->useCount;
    if (message.sender.incarnation < window.incarnation)
        return true;
    if (message.sender.incarnation > window.incarnation) {
        window.incarnation = message.sender.incarnation;
        window.highestSequence = message.sequence;
        window.seenBits = 1;
        return false;
    }
    if (message.sequence > window.highestSequence) {
        const auto shift = message.sequence - window.highestSequence;
        window.seenBits = shift < 64 ? (window.seenBits << shift) | 1 : 1;
        window.highestSequence = message.sequence;
        return false;
    }
    const auto age = window.highestSequence - message.sequence;
    if (age >= 64 || (window.seenBits >> age & 1) != 0)
        return true;
    window.seenBits |= std::uint64_t { 1 } << age;
    return false;
}

} // namespace waxwinglug
