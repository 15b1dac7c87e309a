// Tests of roll-outs with several followers and two coordinators: a state-machine test under outages, lost answers,
// lost and delayed peer messages, restarts and isolation, and single scenarios. Time is simulated by ManualClock.
#include "support/rollout-world.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace waxwinglug {
namespace {

    using namespace std::chrono_literals;
    using test::documentFor;
    using test::RolloutWorld;

    struct Step {
        int kind = 0;
        unsigned value = 0;
        unsigned milliseconds = 0;
    };

    void perform(RolloutWorld& world, const Step& step)
    {
        const auto index = step.value % world.nodes.size();
        auto& node = *world.nodes[index];
        switch (step.kind) {
        case 0:
        case 1:
            world.propose(step.value % 2, step.value / 2);
            break;
        case 2:
            world.abandon(step.value % 2);
            break;
        case 3:
            node.isPlatformUnreachable = !node.isPlatformUnreachable;
            break;
        case 4:
            node.arePeersUnreachable = !node.arePeersUnreachable;
            break;
        case 5:
            node.losesCommitAnswers = !node.losesCommitAnswers;
            break;
        case 6:
            world.fake.isUnavailable = !world.fake.isUnavailable;
            break;
        case 7:
            world.fake.loseCommitAnswers = !world.fake.loseCommitAnswers;
            break;
        case 8:
            world.startNode(index);
            break;
        case 9:
            world.killNode(index);
            break;
        case 10:
            world.removeNode(index);
            break;
        case 11:
            world.delayMessages = !world.delayMessages;
            break;
        case 12:
            node.isPaused = !node.isPaused;
            break;
        case 13:
            // An operator's tool is terminated in the middle of an operation and restarted.
            world.coordinators[step.value % 2]
                = std::make_unique<RolloutCoordinator>(world.fake.platform(), world.clock.clock(), world.random);
            break;
        default:
            break;
        }
        world.advance(Duration(step.milliseconds));
    }

    rc::Gen<std::vector<Step>> steps(std::size_t count)
    {
        const auto step = rc::gen::map(
            rc::gen::tuple(rc::gen::inRange(0, 18), rc::gen::inRange(0U, 128U), rc::gen::inRange(50U, 1500U)),
            [](const std::tuple<int, unsigned, unsigned>& values) {
                return Step { std::get<0>(values), std::get<1>(values), std::get<2>(values) };
            });
        return rc::gen::container<std::vector<Step>>(count, step);
    }

    // Guards, under any sequence of failures, against a node that still accepts a revoked key or exceeds a lowered
    // limit, and against a version that reverts; and against a roll-out that does not finish once the failures are
    // over.
    RC_GTEST_PROP(Rollout, rightsNeverExceedTheAcceptedVersion, ())
    {
        const auto stop = *rc::gen::inRange(0, 4);
        std::vector<Isolation> isolations(4, Isolation::Serve);
        std::fill_n(isolations.begin(), std::max(0, stop - 1), Isolation::Stop);
        RolloutWorld world(isolations);
        RC_ASSERT(world.currentVersion() == 1U);
        const auto count = *rc::gen::inRange<std::size_t>(1, 60);
        for (const auto& step : *steps(count))
            perform(world, step);
        world.fake.isUnavailable = false;
        world.fake.loseCommitAnswers = false;
        world.delayMessages = false;
        for (std::size_t i = 0; i < world.nodes.size(); ++i) {
            auto& node = *world.nodes[i];
            node.isPlatformUnreachable = node.arePeersUnreachable = node.losesCommitAnswers = node.isPaused = false;
            if (!node.follower)
                world.startNode(i);
        }
        world.runUntilSettled();
        const auto proposal = Json::parse(world.fake.row("config/proposal").value);
        RC_ASSERT(proposal.at("state") != static_cast<int>(ProposalState::Open));
        for (const auto& node : world.nodes) {
            RC_ASSERT(node->follower->versions().active == world.currentVersion());
            RC_ASSERT(*node->follower->granted()->at(world.clock.now()) == *node->follower->granted()->fresh);
        }
    }

    // Guards against a node without access to the platform that never learns a version that its peers know.
    TEST(Rollout, versionPropagatesThroughPeers)
    {
        RolloutWorld world(std::vector<Isolation>(3, Isolation::Serve));
        world.propose(0, 7);
        world.advance(200ms);
        // Runs until the last node has acknowledged the proposal.
        for (int i = 0; i < 20 && world.nodes[2]->follower->versions().prepared != 2; ++i)
            world.advance(100ms);
        world.nodes[2]->isPlatformUnreachable = true;
        world.runUntilSettled();
        EXPECT_EQ(world.currentVersion(), 2U);
        EXPECT_EQ(world.nodes[2]->follower->versions().active, 2U);
    }

    // Guards against a restarted node without a row that keeps granting rights: its previous process may have
    // acknowledged a version that has been accepted since.
    TEST(Rollout, nodeStartedFromPeersGrantsOnlyWhileTheyConfirm)
    {
        RolloutWorld world(std::vector<Isolation>(3, Isolation::Serve));
        const auto keys = [&world] {
            const auto granted = world.nodes[2]->follower->granted()->at(world.clock.now());
            return granted->teams.empty() ? 0 : granted->teams.at("n").keys.size();
        };
        world.fake.isUnavailable = true;
        world.startNode(2);
        EXPECT_EQ(keys(), 0U);
        world.runUntilSettled();
        EXPECT_EQ(keys(), 4U);
        world.nodes[2]->arePeersUnreachable = true;
        world.runUntilSettled();
        EXPECT_EQ(keys(), 0U);
    }

    // Guards against acceptance without the acknowledgement of an unreachable node, and against a status that omits the
    // node.
    TEST(Rollout, acceptanceWaitsForUnreachableNodeAndStatusNamesIt)
    {
        RolloutWorld world(std::vector<Isolation>(3, Isolation::Serve));
        world.nodes[1]->isPlatformUnreachable = true;
        world.nodes[1]->arePeersUnreachable = true;
        world.propose(0, 7);
        world.runUntilSettled();
        EXPECT_EQ(world.currentVersion(), 1U);
        std::vector<std::string> waiting;
        world.coordinators[1]->status([&waiting](const auto& status) { waiting = status.value().pendingNodes; });
        world.fake.deliver();
        EXPECT_EQ(waiting, std::vector<std::string> { "e1" });
        EXPECT_EQ(world.nodes[1]->follower->granted()->at(world.clock.now())->teams.at("n").keys.size(), 4U);
        world.removeNode(1);
        world.runUntilSettled();
        EXPECT_EQ(world.currentVersion(), 2U);
    }

    // Guards against a delta that does not match its base and terminates the process or produces a wrong document.
    TEST(Rollout, mismatchedDeltaIsReplacedByTheDocument)
    {
        for (const std::string section : { "team n", "team other" }) {
            RolloutWorld world(std::vector<Isolation>(2, Isolation::Serve));
            world.propose(0, 7);
            world.fake.deliver();
            auto delta = Json::parse(world.fake.row("config/delta/2").value);
            delta.at("changes").at(0) = Json { 1, section, "services", "t", "" };
            world.fake.set("config/delta/2", delta.dump());
            world.runUntilSettled();
            for (const auto& node : world.nodes) {
                EXPECT_EQ(node->follower->versions().active, 2U);
                EXPECT_EQ(node->follower->granted()->fresh->teams.at("n").limit, 3);
            }
        }
    }

    // Guards against lost updates when two operators propose concurrently.
    TEST(Rollout, concurrentProposalGetsConflictNamingTheVersion)
    {
        RolloutWorld world(std::vector<Isolation>(2, Isolation::Serve));
        std::vector<std::string> errors;
        const auto record = [&errors](const std::optional<Error>& error, std::uint64_t) {
            errors.emplace_back(error ? error->what() : "");
        };
        world.coordinators[0]->propose(documentFor(3), 1, {}, record);
        world.coordinators[1]->propose(documentFor(5), 1, {}, record);
        world.fake.deliver();
        std::sort(errors.begin(), errors.end());
        ASSERT_EQ(errors.size(), 2U);
        EXPECT_EQ(errors[0], "");
        EXPECT_NE(errors[1].find("version 2"), std::string::npos) << errors[1];
        world.runUntilSettled();
        errors.clear();
        world.coordinators[1]->propose(documentFor(5), 1, {}, record);
        world.fake.deliver();
        ASSERT_EQ(errors.size(), 1U);
        EXPECT_NE(errors[0].find("version 2 is newer than version 1"), std::string::npos) << errors[0];
    }

    // Guards against an isolated node with Isolation::Stop that blocks acceptance or keeps granting rights.
    TEST(Rollout, acceptanceDoesNotWaitForSelfStoppingNode)
    {
        RolloutWorld world({ Isolation::Stop, Isolation::Serve });
        world.nodes[0]->isPlatformUnreachable = true;
        world.nodes[0]->arePeersUnreachable = true;
        world.propose(0, 0);
        world.runUntilSettled();
        EXPECT_EQ(world.currentVersion(), 2U);
        EXPECT_TRUE(world.nodes[0]->follower->granted()->at(world.clock.now())->teams.at("n").keys.empty());
    }

} // namespace
} // namespace waxwinglug
