// Tests of encoding, keyed hash and replay window of peer messages.
#include <waxwinglug/message.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwinglug {
namespace {

    const std::string secret = "0123456789abcdef0123456789abcdef";

    rc::Gen<MemberRecord> anyRecord()
    {
        return rc::gen::exec([] {
            MemberRecord record;
            record.node = { "e" + std::to_string(*rc::gen::inRange(0, 99)), *rc::gen::arbitrary<std::uint64_t>() };
            record.version = *rc::gen::arbitrary<std::uint32_t>();
            record.state = static_cast<MemberRecord::State>(*rc::gen::inRange(0, 3));
            record.facts = { *rc::gen::arbitrary<std::uint64_t>(), 2, 3 };
            if (*rc::gen::arbitrary<bool>()) {
                record.dataCentre = "dc1";
                record.address = Endpoint { "127.0.0.1", *rc::gen::arbitrary<std::uint16_t>() };
            }
            return record;
        });
    }

    PeerMessage anyMessage()
    {
        PeerMessage message;
        message.kind = static_cast<PeerMessage::Kind>(*rc::gen::inRange(0, 2));
        message.sender = { "e1", *rc::gen::arbitrary<std::uint64_t>() };
        message.sequence = *rc::gen::arbitrary<std::uint64_t>();
        message.recipient = *rc::gen::element<std::string>("", "e2");
        message.position = *rc::gen::arbitrary<std::uint32_t>();
        message.viewHash = *rc::gen::arbitrary<std::uint64_t>();
        if (*rc::gen::arbitrary<bool>())
            message.acknowledged = { *rc::gen::arbitrary<std::uint64_t>(), 7 };
        message.fullStateRequested = *rc::gen::arbitrary<bool>();
        message.members = *rc::gen::container<std::vector<MemberRecord>>(anyRecord());
        if (*rc::gen::arbitrary<bool>())
            message.usage = UsageReport { 1, { "north", "south" }, { { 0, *rc::gen::arbitrary<std::uint64_t>() } } };
        if (*rc::gen::arbitrary<bool>())
            message.freeSlots = { { "quoting", 3 }, { "misc", 0 } };
        if (*rc::gen::arbitrary<bool>()) {
            message.probeTargets = { "e3" };
            message.reachedMembers = { { "e4", 9 }, { "e5", 10 } };
            message.allotments = Json { { "loan", { 1, 2 } } };
            message.documents = Json("text");
        }
        return message;
    }

    std::uint64_t totalFaults(const MessageCodec& codec)
    {
        std::uint64_t sum = 0;
        for (std::size_t i = 0; i < messageFaultCount; ++i)
            sum += codec.faultCount(static_cast<MessageFault>(i));
        return sum;
    }

    RC_GTEST_PROP(Message, decodedMessageEqualsTheEncodedOne, ())
    {
        MessageCodec codec(secret);
        const auto message = anyMessage();
        const auto decoded = codec.decode(codec.encode(message));
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(*decoded == message);
        RC_ASSERT(totalFaults(codec) == 0U);
    }

    RC_GTEST_PROP(Message, arbitraryBytesAreDroppedAndCounted, (const std::string& bytes))
    {
        MessageCodec codec(secret);
        RC_ASSERT(!codec.decode(bytes));
        RC_ASSERT(codec.faultCount(MessageFault::BadHash) == 1U);
    }

    // A cut or changed message, or one with another secret, never passes the hash.
    RC_GTEST_PROP(Message, changedMessagesAreDropped, ())
    {
        MessageCodec codec(secret);
        auto bytes = codec.encode(anyMessage());
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        const auto choice = *rc::gen::inRange(0, 3);
        if (choice == 0)
            bytes.resize(at);
        else if (choice == 1)
            bytes[at] = static_cast<char>(bytes[at] ^ (1 << *rc::gen::inRange(0, 8)));
        else
            bytes = MessageCodec(secret + "x").encode(anyMessage());
        RC_ASSERT(!codec.decode(bytes));
        RC_ASSERT(codec.faultCount(MessageFault::BadHash) == 1U);
    }

    // Guards against a crash caused by a faulty peer that knows the secret: the hash is valid, the body is not.
    RC_GTEST_PROP(Message, changedBodiesNeverCrash, ())
    {
        MessageCodec codec(secret);
        for (int i = 0; i < 10; ++i) {
            auto body = codec.encode(anyMessage()).substr(MessageCodec::hashBytes);
            const auto edits = *rc::gen::inRange(1, 4);
            for (int edit = 0; edit < edits && !body.empty(); ++edit) {
                const auto at = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::size_t>(0, body.size()));
                if (*rc::gen::arbitrary<bool>())
                    body[at] = *rc::gen::arbitrary<char>();
                else
                    body.resize(at);
            }
            const auto before = totalFaults(codec);
            const auto decoded = codec.decode(codec.prependHash(body));
            RC_ASSERT(decoded.has_value() == (totalFaults(codec) == before));
        }
    }

    RC_GTEST_PROP(Message, arbitraryBodiesNeverCrash, (const std::string& body))
    {
        MessageCodec codec(secret);
        codec.decode(codec.prependHash(body));
    }

    // Guards against a stack overflow on nested arrays or maps, and against allocating the announced length.
    TEST(Message, nestedAndHugeBodiesAreDropped)
    {
        MessageCodec codec(secret);
        const std::string bodies[] = { std::string(200'000, '\x81'), std::string(200'000, '\x9f'),
            std::string(200'000, '\xbf'), std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff", 9),
            std::string("\x7b\x00\xff\xff\xff\xff\xff\xff\xff", 9),
            std::string("\x5b\x7f\xff\xff\xff\xff\xff\xff\xff", 9) };
        for (const auto& body : bodies)
            EXPECT_FALSE(codec.decode(codec.prependHash(body)));
        EXPECT_EQ(codec.faultCount(MessageFault::Malformed), 6U);
        EXPECT_FALSE(codec.decode(codec.prependHash(std::string(MessageCodec::maxMessageBytes, 'x'))));
        EXPECT_EQ(codec.faultCount(MessageFault::TooLarge), 1U);
    }

    // Guards against a decoder without a depth limit: the body is well-formed except for its depth.
    TEST(Message, deepDocumentIsDropped)
    {
        MessageCodec codec(secret);
        for (const int depth : { 20, 100 }) {
            Json document = 1;
            for (int i = 0; i < depth; ++i)
                document = Json::array({ document });
            PeerMessage message;
            message.sender = { "e1", static_cast<std::uint64_t>(depth) };
            message.documents = document;
            EXPECT_EQ(codec.decode(codec.encode(message)).has_value(), depth == 20) << depth;
        }
    }

    TEST(Message, oversizedMessageIsNotSent)
    {
        PeerMessage message;
        message.sender = { "e1", 1 };
        message.documents = Json(std::string(300'000, 'x'));
        EXPECT_THROW(MessageCodec(secret).encode(message), Error);
    }

    // Each sequence number is accepted at most once, in any order, and an older incarnation never.
    RC_GTEST_PROP(Message, replayedMessagesAreDropped, ())
    {
        MessageCodec codec(secret);
        std::set<std::pair<std::uint64_t, std::uint64_t>> accepted;
        std::uint64_t newest = 0;
        const auto count = *rc::gen::inRange(1, 200);
        for (int i = 0; i < count; ++i) {
            PeerMessage message;
            message.sender = { "e1", *rc::gen::element<std::uint64_t>(1, 1, 1, 2) };
            message.sequence = *rc::gen::inRange<std::uint64_t>(0, 100);
            const bool taken = codec.decode(codec.encode(message)).has_value();
            const std::pair id { message.sender.incarnation, message.sequence };
            if (taken) {
                RC_ASSERT(accepted.insert(id).second);
                RC_ASSERT(message.sender.incarnation >= newest);
                newest = message.sender.incarnation;
            }
        }
    }

    // Guards against a replay window that drops messages that are merely out of order.
    TEST(Message, reorderedMessagesAreAccepted)
    {
        MessageCodec codec(secret);
        for (const std::uint64_t sequence : { 10, 5, 60, 7, 11 }) {
            PeerMessage message;
            message.sender = { "e1", 1 };
            message.sequence = sequence;
            EXPECT_TRUE(codec.decode(codec.encode(message)).has_value()) << sequence;
        }
    }

} // namespace
} // namespace waxwinglug
