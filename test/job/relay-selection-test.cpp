// Choice of relays. Load: 1,100 backend servers in five data centres, 147 entry VMs of which 15 are large.
#include "job/relay-selection.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <set>

namespace waxwinglug {
namespace {

    constexpr int largeMillicores = 500;
    constexpr int smallMillicores = 120;
    constexpr std::size_t largeFleet = 1100;

    struct RelaySelectionTest : testing::Test {
        ManualClock clock;
        RelaySelection selection { {}, "dc-0-large-0", largeMillicores };

        RelaySelectionTest()
        {
            for (int dataCentre = 0; dataCentre < 5; ++dataCentre) {
                for (int number = 0; number < 3; ++number)
                    this->add(dataCentre, fmt::format("dc-{}-large-{}", dataCentre, number), largeMillicores);
                for (int number = 0; number < 26; ++number)
                    this->add(dataCentre, fmt::format("dc-{}-small-{}", dataCentre, number), smallMillicores);
            }
        }

        void add(int dataCentre, const std::string& name, int millicores)
        {
            this->selection.setVm({ name, fmt::format("dc-{}", dataCentre), { "10.0.0.1", 8345 }, millicores });
        }

        void answerAll()
        {
            for (const auto& relay : this->selection.selected())
                this->selection.answered(relay.name);
        }

        std::string relayName(const std::string& server, const std::string& dataCentre) const
        {
            const auto* relay = this->selection.relayFor(server, dataCentre);
            return relay ? relay->name : "";
        }
    };

} // namespace

// A small fleet is served without the additional hop and its load on other VMs.
TEST_F(RelaySelectionTest, smallFleetHasNoRelays)
{
    this->selection.select(350);
    EXPECT_TRUE(this->selection.selected().empty());
    EXPECT_EQ(this->relayName("server", "dc-1"), "");
}

// Guards against load on VMs that only have enough processor to answer callers, and on the leader itself.
TEST_F(RelaySelectionTest, relaysAreLargeVmsOfAllDataCentres)
{
    this->selection.select(largeFleet);
    std::map<std::string, int> perDataCentre;
    std::int64_t millicores = 0;
    for (const auto& relay : this->selection.selected()) {
        EXPECT_EQ(relay.processorMillicores, largeMillicores);
        EXPECT_NE(relay.name, "dc-0-large-0");
        ++perDataCentre[relay.dataCentre];
        millicores += relay.processorMillicores;
    }
    EXPECT_EQ(perDataCentre.size(), 5U);
    EXPECT_GE(millicores * RelayRules {}.relayedServersPerCore, static_cast<std::int64_t>(largeFleet) * 1000);
}

// The loss of a data centre must leave the relays of the others alone.
TEST_F(RelaySelectionTest, serversAreRelayedInTheirDataCentre)
{
    this->selection.select(largeFleet);
    this->answerAll();
    std::map<std::string, int> servers;
    for (int server = 0; server < 1100; ++server) {
        const auto dataCentre = fmt::format("dc-{}", server % 5);
        const auto* relay = this->selection.relayFor(fmt::format("i-{:08x}", server * 2654435761U), dataCentre);
        ASSERT_NE(relay, nullptr);
        EXPECT_EQ(relay->dataCentre, dataCentre);
        ++servers[relay->name];
    }
    for (const auto& [relay, count] : servers)
        EXPECT_LE(count, 220) << relay;
}

TEST_F(RelaySelectionTest, relayIsUsedOnceItHasAnswered)
{
    this->selection.select(largeFleet);
    EXPECT_EQ(this->relayName("server", "dc-1"), "");
    const auto first = this->selection.selected().front().name;
    this->selection.answered(first);
    EXPECT_EQ(this->relayName("server", "dc-1"), first);
}

// Guards against orders to a VM that is gone, and against moving the servers of other relays with it.
TEST_F(RelaySelectionTest, failedRelayLosesOnlyItsOwnServers)
{
    this->selection.select(largeFleet);
    this->answerAll();
    std::map<std::string, std::string> before;
    for (int server = 0; server < 200; ++server)
        before[fmt::format("i-{:08x}", server * 2654435761U)] = "";
    for (auto& [server, relay] : before)
        relay = this->relayName(server, "dc-1");
    const auto lost = before.begin()->second;
    this->selection.failed(lost, this->clock.now());
    for (const auto& [server, relay] : before) {
        const auto now = this->relayName(server, "dc-1");
        EXPECT_NE(now, lost);
        EXPECT_NE(now, "");
        if (relay != lost) {
            EXPECT_EQ(now, relay);
        }
    }
    EXPECT_FALSE(this->selection.mayCall(lost, this->clock.now()));
    this->clock.advance(RelayRules {}.minFailurePause);
    EXPECT_TRUE(this->selection.mayCall(lost, this->clock.now()));
    this->selection.answered(lost);
    EXPECT_EQ(this->relayName(before.begin()->first, "dc-1"), lost);
}

// Guards against a relay that stays unused for long after a short cut, because each of its open calls counted as a
// failure of its own.
TEST_F(RelaySelectionTest, failuresOfOneMomentCountOnce)
{
    this->selection.select(largeFleet);
    this->answerAll();
    const auto lost = this->selection.selected().front().name;
    EXPECT_TRUE(this->selection.failed(lost, this->clock.now()));
    for (int call = 0; call < 10; ++call)
        EXPECT_FALSE(this->selection.failed(lost, this->clock.now()));
    this->clock.advance(RelayRules {}.minFailurePause);
    EXPECT_TRUE(this->selection.mayCall(lost, this->clock.now()));
}

// A VM at another address is another process, which may not know this leader.
TEST_F(RelaySelectionTest, replacedVmHasToAnswerFirst)
{
    this->selection.select(largeFleet);
    this->answerAll();
    const auto relay = this->selection.selected().front();
    auto replaced = relay;
    replaced.peers.host = "10.0.0.2";
    this->selection.setVm(replaced);
    std::set<std::string> used;
    for (int server = 0; server < 200; ++server)
        used.insert(this->relayName(fmt::format("i-{:08x}", server * 2654435761U), relay.dataCentre));
    EXPECT_FALSE(used.contains(relay.name));
}

} // namespace waxwinglug
