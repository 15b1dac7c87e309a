// Tests of key generation, the key ring and the editing of team keys.
#include <waxwinglug/keys.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace waxwinglug {
namespace {

    Config configWith(const std::string& team, const std::vector<TeamKey>& keys)
    {
        Config config;
        config.services["quoting"].name = "quoting";
        config.services["ledger"].name = "ledger";
        config.services["misc"] = { .name = "misc", .allowsAnonymous = true };
        config.teams[team] = { team, 10, 5, { "quoting" }, keys };
        return config;
    }

    // Guards against an outage while a key is replaced, and against a revoked key that is still accepted.
    TEST(KeyRing, eachKeyOfATeamWorksUntilItIsRevoked)
    {
        const auto first = generateKey();
        const auto second = generateKey();
        const KeyRing both(configWith("north", { { "a", first.hash }, { "b", second.hash } }));
        EXPECT_TRUE(both.authenticate("north", first.key));
        EXPECT_TRUE(both.authenticate("north", second.key));
        const KeyRing one(configWith("north", { { "b", second.hash } }));
        EXPECT_FALSE(one.authenticate("north", first.key));
        EXPECT_TRUE(one.authenticate("north", second.key));
    }

    // Guards against accepting a key for another team, and a hash in place of a key.
    TEST(KeyRing, onlyTheTeamsOwnKeyIsAccepted)
    {
        const auto key = generateKey();
        auto config = configWith("north", { { "a", key.hash } });
        config.teams["south"] = { "south", 10, 5, { "quoting" }, {} };
        const KeyRing ring(config);
        EXPECT_FALSE(ring.authenticate("south", key.key));
        EXPECT_FALSE(ring.authenticate("nobody", key.key));
        EXPECT_FALSE(ring.authenticate("north", key.hash));
        EXPECT_FALSE(ring.authenticate("north", ""));
        EXPECT_FALSE(KeyRing().authenticate("north", key.key));
    }

    TEST(KeyRing, servicesWithAnonymousAccessNeedNoKey)
    {
        const auto key = generateKey();
        const KeyRing ring(configWith("north", { { "a", key.hash } }));
        EXPECT_EQ(ring.check("north", key.key, "quoting"), KeyCheckResult::Granted);
        EXPECT_EQ(ring.check("north", key.key, "ledger"), KeyCheckResult::ServiceNotGranted);
        EXPECT_EQ(ring.check("north", key.key, "tailoring"), KeyCheckResult::UnknownService);
        EXPECT_EQ(ring.check("north", "x", "quoting"), KeyCheckResult::WrongKey);
        EXPECT_EQ(ring.check("nobody", "", "misc"), KeyCheckResult::Granted);
        EXPECT_TRUE(ring.allowsAnonymous("misc"));
        EXPECT_FALSE(ring.allowsAnonymous("quoting"));
        EXPECT_FALSE(ring.allowsAnonymous("tailoring"));
    }

    TEST(KeyRing, generatedKeysDiffer)
    {
        std::set<std::string> keys;
        for (int i = 0; i < 100; ++i)
            keys.insert(generateKey().key);
        EXPECT_EQ(keys.size(), 100U);
    }

    // Guards against edits that change another team, drop comments or remove the wrong key.
    TEST(TeamKeys, addingAndRevokingEditOnlyTheTeam)
    {
        const std::string before = "# note\n[team a]\nkey = k1:aa\n[team b]\n# kept\nkey = k1:bb\nlimit = 3\n";
        const auto added = addTeamKey(before, "b", "k2", "cc");
        EXPECT_EQ(added, "# note\n[team a]\nkey = k1:aa\n[team b]\nkey = k2:cc\n# kept\nkey = k1:bb\nlimit = 3\n");
        EXPECT_EQ(revokeTeamKey(added, "b", "k2"), before);
        EXPECT_EQ(revokeTeamKey(before, "b", "k1"), "# note\n[team a]\nkey = k1:aa\n[team b]\n# kept\nlimit = 3\n");
        EXPECT_THROW(addTeamKey(before, "b", "k1", "cc"), Error);
        EXPECT_THROW(addTeamKey(before, "c", "k1", "cc"), Error);
        EXPECT_THROW(revokeTeamKey(before, "b", "k"), Error);
    }

    // Guards against a check that stops at the first of several keys or ignores part of the hash.
    RC_GTEST_PROP(KeyRing, alteredKeyIsRejected, (std::size_t position, char character))
    {
        const auto key = generateKey();
        auto altered = key.key;
        altered[position % altered.size()] = character;
        const KeyRing ring(configWith("north", { { "a", generateKey().hash }, { "b", key.hash } }));
        RC_ASSERT(ring.authenticate("north", altered) == (altered == key.key));
    }

} // namespace
} // namespace waxwinglug
