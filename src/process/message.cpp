// Encoding of peer messages: a keyed BLAKE2b hash, then the parts as one CBOR array.
#include <waxwinglug/message.h>

#include <sodium.h>

#include <algorithm>
#include <cstring>
#include <limits>

namespace waxwinglug {
namespace {

    // Enough for any document; deeper nesting would use up the stack, because the CBOR reader is recursive.
    constexpr int mostDepth = 32;

    // Stops the reader at a depth limit and otherwise builds nothing.
    class DepthCheck : public nlohmann::json_sax<Json> {
    public:
        bool null() override { return true; }
        bool boolean(bool) override { return true; }
        bool number_integer(number_integer_t) override { return true; } // NOLINT(readability-identifier-naming)
        bool number_unsigned(number_unsigned_t) override { return true; } // NOLINT(readability-identifier-naming)
        bool number_float(number_float_t, const string_t&) override { return true; } // NOLINT
        bool string(string_t&) override { return true; }
        bool binary(binary_t&) override { return true; }
        bool start_object(std::size_t) override { return ++this->depth <= mostDepth; } // NOLINT
        bool end_object() override { return --this->depth >= 0; } // NOLINT
        bool start_array(std::size_t) override { return ++this->depth <= mostDepth; } // NOLINT
        bool end_array() override { return --this->depth >= 0; } // NOLINT
        bool key(string_t&) override { return true; }
        bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override // NOLINT
        {
            return false;
        }

    private:
        int depth = 0;
    };

    // Names of optional parts on the wire; one letter each, because every message repeats them.
    constexpr const char* acknowledgedPart = "a";
    constexpr const char* fullPart = "f";
    constexpr const char* membersPart = "m";
    constexpr const char* usagePart = "u";
    constexpr const char* sparePart = "s";
    constexpr const char* probePart = "p";
    constexpr const char* reachedPart = "r";
    constexpr const char* allotmentsPart = "l";
    constexpr const char* documentsPart = "d";

    Json encodeMember(const MemberRecord& record)
    {
        Json json = { record.node.name, record.node.incarnation, record.version, static_cast<int>(record.state),
            record.facts.configInForce, record.facts.configHeld, record.facts.journalApplied };
        if (record.address) {
            json.push_back(record.dataCentre);
            json.push_back(record.address->host);
            json.push_back(record.address->port);
        }
        return json;
    }

    // The functions below throw Json::exception or Error on wrong content; decode() turns both into Malformed.
    void require(bool condition)
    {
        if (!condition)
            throw Error(ErrorKind::Invalid, "malformed message", "check that all nodes run the same version");
    }

    // Json::get would accept negative numbers and fractions for an unsigned type.
    std::uint64_t number(const Json& json, std::uint64_t most = std::numeric_limits<std::uint64_t>::max())
    {
        require(json.is_number_unsigned());
        const auto value = json.get<std::uint64_t>();
        require(value <= most);
        return value;
    }

    std::string name(const Json& json)
    {
        const auto& text = json.get_ref<const std::string&>();
        require(text.size() <= 255);
        return text;
    }

    // Elements of an array of any length; the message limit bounds it.
    const Json::array_t& elements(const Json& json) { return json.get_ref<const Json::array_t&>(); }

    void requireArray(const Json& json, std::size_t least, std::size_t most)
    {
        require(json.is_array() && json.size() >= least && json.size() <= most);
    }

    MemberRecord decodeMember(const Json& json)
    {
        requireArray(json, 7, 10);
        require(json.size() == 7 || json.size() == 10);
        MemberRecord record;
        record.node = { name(json[0]), number(json[1]) };
        require(!record.node.name.empty());
        record.version = number(json[2]);
        record.state = static_cast<MemberRecord::State>(number(json[3], 2));
        record.facts = { number(json[4]), number(json[5]), number(json[6]) };
        if (json.size() == 10) {
            record.dataCentre = name(json[7]);
            record.address = Endpoint { name(json[8]), static_cast<std::uint16_t>(number(json[9], 65535)) };
        }
        return record;
    }

    UsageReport decodeUsage(const Json& json)
    {
        requireArray(json, 3, 3);
        UsageReport usage;
        usage.firstName = number(json[0]);
        for (const auto& each : elements(json[1]))
            usage.names.push_back(name(each));
        const auto& totals = elements(json[2]);
        require(totals.size() % 2 == 0);
        for (std::size_t i = 0; i < totals.size(); i += 2)
            usage.totals.emplace_back(number(totals[i]), number(totals[i + 1]));
        return usage;
    }

    Json encodeParts(const PeerMessage& message)
    {
        Json parts = Json::object();
        if (message.acknowledged)
            parts[acknowledgedPart] = { message.acknowledged->first, message.acknowledged->second };
        if (message.fullStateWanted)
            parts[fullPart] = true;
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
        if (!message.spareSlots.empty())
            parts[sparePart] = message.spareSlots;
        if (!message.probe.empty())
            parts[probePart] = message.probe;
        for (const auto& node : message.reached)
            parts[reachedPart].push_back(Json { node.name, node.incarnation });
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
            message.acknowledged = { number(json[0]), number(json[1]) };
        } else if (part == fullPart) {
            message.fullStateWanted = json.get<bool>();
        } else if (part == membersPart) {
            for (const auto& each : elements(json))
                message.members.push_back(decodeMember(each));
        } else if (part == usagePart) {
            message.usage = decodeUsage(json);
        } else if (part == sparePart) {
            require(json.is_object());
            for (const auto& [service, slots] : json.items())
                message.spareSlots[service]
                    = static_cast<std::uint32_t>(number(slots, std::numeric_limits<std::uint32_t>::max()));
        } else if (part == probePart) {
            for (const auto& each : elements(json))
                message.probe.push_back(name(each));
        } else if (part == reachedPart) {
            for (const auto& each : elements(json)) {
                requireArray(each, 2, 2);
                message.reached.push_back({ name(each[0]), number(each[1]) });
            }
        } else if (part == allotmentsPart) {
            message.allotments = json;
        } else if (part == documentsPart) {
            message.documents = json;
        }
        // A part that a later version adds is passed over.
    }

    PeerMessage decodeBody(std::string_view body)
    {
        DepthCheck check;
        require(Json::sax_parse(body, &check, Json::input_format_t::cbor));
        const auto json = Json::from_cbor(body);
        requireArray(json, 9, 9);
        PeerMessage message;
        message.kind = static_cast<PeerMessage::Kind>(number(json[0], 1));
        message.sender = { name(json[1]), number(json[2]) };
        require(!message.sender.name.empty());
        message.sequence = number(json[3]);
        message.recipient = name(json[4]);
        message.position = number(json[5]);
        message.base = number(json[6]);
        message.viewHash = number(json[7]);
        require(json[8].is_object());
        for (const auto& [part, content] : json[8].items())
            decodePart(message, part, content);
        return message;
    }

} // namespace

std::string_view toText(MessageFault fault)
{
    static constexpr std::array<std::string_view, messageFaults> names { "too_large", "bad_hash", "malformed",
        "replayed" };
    return names[static_cast<std::size_t>(fault)];
}

MessageCodec::MessageCodec(std::string_view secret)
{
    if (sodium_init() < 0)
        throw Error(ErrorKind::Unavailable, "libsodium cannot start", "check that the system has a random source");
    // The secret may have any length; the key of the hash may not.
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

std::string MessageCodec::seal(std::string_view body) const
{
    const auto sum = this->hash(body);
    std::string bytes(reinterpret_cast<const char*>(sum.data()), sum.size());
    return bytes.append(body);
}

std::string MessageCodec::encode(const PeerMessage& message) const
{
    const Json json = { static_cast<int>(message.kind), message.sender.name, message.sender.incarnation,
        message.sequence, message.recipient, message.position, message.base, message.viewHash, encodeParts(message) };
    std::string body;
    Json::to_cbor(json, body);
    if (body.size() + hashBytes > mostBytes)
        throw Error(
            ErrorKind::Invalid, "message is larger than a peer accepts", "send the content in several messages");
    return this->seal(body);
}

std::optional<PeerMessage> MessageCodec::drop(MessageFault fault)
{
    ++this->counts[static_cast<std::size_t>(fault)];
    return std::nullopt;
}

std::optional<PeerMessage> MessageCodec::decode(std::string_view bytes)
{
    if (bytes.size() > mostBytes)
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
    if (this->isRepeated(*message))
        return this->drop(MessageFault::Replayed);
    return message;
}

bool MessageCodec::isRepeated(const PeerMessage& message)
{
    auto found = this->windows.find(message.sender.name);
    if (found == this->windows.end()) {
        if (this->windows.size() >= mostSenders) {
            this->windows.erase(
                std::ranges::min_element(this->windows, {}, [](const auto& each) { return each.second.lastUse; }));
        }
        found = this->windows.emplace(message.sender.name, Window {}).first;
    }
    auto& window = found->second;
    window.lastUse = ++this->uses;
    if (message.sender.incarnation < window.incarnation)
        return true;
    if (message.sender.incarnation > window.incarnation) {
        window.incarnation = message.sender.incarnation;
        window.highest = message.sequence;
        window.seen = 1;
        return false;
    }
    if (message.sequence > window.highest) {
        const auto shift = message.sequence - window.highest;
        window.seen = shift < 64 ? (window.seen << shift) | 1 : 1;
        window.highest = message.sequence;
        return false;
    }
    const auto age = window.highest - message.sequence;
    if (age >= 64 || (window.seen >> age & 1) != 0)
        return true;
    window.seen |= std::uint64_t { 1 } << age;
    return false;
}

} // namespace waxwinglug
