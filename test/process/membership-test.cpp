// Tests of the membership with several nodes on a network that loses, duplicates, reorders and partitions. Guards
// against views that do not converge after the network has healed, that return to an older incarnation, or that count
// usage incorrectly.
#include <waxwinglug/membership.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <set>

namespace waxwinglug {
namespace {

    constexpr std::size_t nodeCount = 6;
    // Detecting a dead member takes suspectTimeout + goneTimeout = 15 rounds after the last contact; the rest allows
    // for seeds, which are contacted at random, and for spreading their information.
    constexpr int roundsToConverge = 45;

    std::string nameOf(std::size_t index) { return "n" + std::to_string(index); }

    struct Node {
        std::unique_ptr<Membership> member;
        std::uint64_t incarnation = 0;
        bool paused = false;
        MemberFacts facts;
        std::map<std::string, std::uint64_t> reportedUsage;
        std::map<NodeId, std::map<std::string, std::uint64_t>> receivedUsage;
        std::map<std::string, std::uint64_t> newestSeen;
    };

    struct TestCluster {
        explicit TestCluster(std::uint64_t seed)
            : random(seed)
        {
            for (std::size_t i = 0; i < nodeCount; ++i) {
                this->start(i);
            }
        }

        void start(std::size_t index)
        {
            Node& node = this->nodes.at(index);
            const std::uint64_t incarnation = node.incarnation + 1;
            node = Node {};
            node.incarnation = incarnation;
            MembershipSettings settings { { nameOf(index), incarnation }, index % 2 == 0 ? "east" : "west",
                { "127.0.0.1", static_cast<std::uint16_t>(index) }, { { "127.0.0.1", 0 }, { "127.0.0.1", 1 } } };
            MembershipHooks hooks;
            hooks.send = [this, index](
                             const Endpoint& to, const PeerMessage& message) { this->send(index, to.port, message); };
            hooks.onUsage = [&node](const NodeId& owner, std::string_view team, std::uint64_t growth) {
                node.receivedUsage[owner][std::string(team)] += growth;
            };
            node.member
                = std::make_unique<Membership>(settings, this->clock.clock(), Random(this->random()), std::move(hooks));
        }

        void send(std::size_t from, std::size_t to, const PeerMessage& message)
        {
            const bool isCut = this->partitioned && (from < nodeCount / 2) != (to < nodeCount / 2);
            if (isCut || this->random() % 100 < this->lossPercent) {
                return;
            }
            this->messagesInFlight.emplace_back(to, message);
            if (this->random() % 100 < this->lossPercent) {
                this->messagesInFlight.emplace_back(to, message);
            }
        }

        // Delivers in random order; while the network is faulty, some messages are delayed to a later round.
        void deliver()
        {
            std::vector<std::pair<std::size_t, PeerMessage>> delayed;
            // Each message causes at most one answer and a bounded number of probes. A paused node holds back up to
            // 1500 messages.
            for (std::size_t remaining = 500 + 3 * this->messagesInFlight.size();
                 remaining > 0 && !this->messagesInFlight.empty(); --remaining) {
                const std::size_t pick = this->random() % this->messagesInFlight.size();
                std::swap(this->messagesInFlight[pick], this->messagesInFlight.back());
                const auto [to, message] = std::move(this->messagesInFlight.back());
                this->messagesInFlight.pop_back();
                Node& node = this->nodes.at(to);
                if (this->lossPercent > 0 && this->random() % 4 == 0) {
                    delayed.emplace_back(to, message);
                } else if (node.paused) {
                    this->heldBack.emplace_back(to, message);
                } else if (node.member) {
                    node.member->onMessage(message);
                }
            }
            // Fails if messages trigger each other endlessly.
            RC_ASSERT(this->messagesInFlight.empty());
            this->messagesInFlight = std::move(delayed);
        }

        void round()
        {
            this->clock.advance(Duration(1000));
            for (Node& node : this->nodes) {
                if (node.member && !node.paused) {
                    node.member->tick();
                }
            }
            this->deliver();
            this->check();
        }

        void resume(Node& node)
        {
            node.paused = false;
            this->messagesInFlight.insert(this->messagesInFlight.end(), this->heldBack.begin(), this->heldBack.end());
            this->heldBack.clear();
        }

        void heal()
        {
            this->partitioned = false;
            this->lossPercent = 0;
            for (Node& node : this->nodes) {
                this->resume(node);
            }
            if (!this->nodes.front().member) {
                this->start(0); // without any seed, restarted nodes cannot find each other
            }
        }

        void check()
        {
            for (Node& node : this->nodes) {
                for (std::size_t i = 0; node.member && i < nodeCount; ++i) {
                    const std::uint64_t seen = node.member->newestIncarnation(nameOf(i)).value_or(0);
                    RC_ASSERT(seen >= node.newestSeen[nameOf(i)]);
                    RC_ASSERT(seen <= this->nodes.at(i).incarnation);
                    node.newestSeen[nameOf(i)] = seen;
                }
                for (const auto& [owner, teams] : node.receivedUsage) {
                    const Node& source = this->nodes.at(static_cast<std::size_t>(owner.name.at(1) - '0'));
                    for (const auto& [team, total] : teams) {
                        const auto found = source.reportedUsage.find(team);
                        RC_ASSERT(owner.incarnation < source.incarnation
                            || (found != source.reportedUsage.end() && total <= found->second));
                    }
                }
            }
        }

        void checkConverged() const
        {
            for (std::size_t i = 0; i < nodeCount; ++i) {
                const Node& node = this->nodes.at(i);
                for (std::size_t j = 0; node.member && j < nodeCount; ++j) {
                    if (i != j) {
                        this->checkView(node, this->nodes.at(j), nameOf(j));
                    }
                }
            }
        }

        void checkView(const Node& viewer, const Node& seen, const std::string& name) const
        {
            const auto found = viewer.member->find(name);
            if (!seen.member) {
                RC_ASSERT(!found || found->state == MemberState::Gone);
                return;
            }
            RC_ASSERT(found.has_value());
            RC_ASSERT(found->state == MemberState::Alive);
            RC_ASSERT(found->node.incarnation == seen.incarnation);
            RC_ASSERT(found->facts == seen.facts);
            const auto receivedUsage = viewer.receivedUsage.find({ name, seen.incarnation });
            RC_ASSERT((receivedUsage == viewer.receivedUsage.end() ? std::map<std::string, std::uint64_t> {}
                                                                   : receivedUsage->second)
                == seen.reportedUsage);
        }

        void step(int kind, std::size_t index)
        {
            Node& node = this->nodes.at(index);
            switch (kind) {
            case 0:
                this->start(index);
                break;
            case 1:
                node.member.reset();
                break;
            case 2:
                if (node.member) {
                    node.member->leave();
                    node.member.reset();
                }
                break;
            case 3:
                if (node.paused) {
                    this->resume(node);
                } else {
                    node.paused = true;
                }
                break;
            case 4:
                this->partitioned = !this->partitioned;
                break;
            case 5:
            case 6:
                this->change(node);
                break;
            case 7:
                this->lossPercent = this->lossPercent == 0 ? 30 : 0;
                break;
            default:
                this->clock.advance(Duration(0));
            }
        }

        void change(Node& node)
        {
            if (node.member) {
                ++node.facts.appliedJournalSequence;
                node.member->setFacts(node.facts);
                const std::string team = "team" + std::to_string(this->random() % 3);
                const std::uint64_t amount = 1 + this->random() % 100;
                node.reportedUsage[team] += amount;
                node.member->addUsage(team, amount);
            }
        }

        ManualClock clock;
        Random random;
        std::vector<Node> nodes = std::vector<Node>(nodeCount);
        std::vector<std::pair<std::size_t, PeerMessage>> messagesInFlight;
        std::vector<std::pair<std::size_t, PeerMessage>> heldBack;
        bool partitioned = false;
        std::uint64_t lossPercent = 0;
    };

    RC_GTEST_PROP(Membership, ConvergesAfterFaults, ())
    {
        TestCluster cluster(*rc::gen::arbitrary<std::uint32_t>());
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 200)));
        for (const auto& [kind, number] : steps) {
            cluster.step(kind, static_cast<std::size_t>(number) % nodeCount);
            // Up to 32 rounds between steps, so that some members become Gone and come back.
            for (int i = number / 6; i >= 0; --i) {
                cluster.round();
            }
        }
        cluster.heal();
        for (int i = 0; i < roundsToConverge; ++i) {
            cluster.round();
        }
        cluster.checkConverged();
    }

    // Guards against accepting messages addressed to a node that used the address before.
    TEST(Membership, DropsMessagesForAnotherName)
    {
        ManualClock clock;
        int sent = 0;
        MembershipHooks hooks;
        hooks.send = [&sent](const Endpoint&, const PeerMessage&) { ++sent; };
        Membership member({ { "a", 1 }, "east", { "127.0.0.1", 1 }, {} }, clock.clock(), Random(1), hooks);
        PeerMessage message;
        message.sender = { "b", 1 };
        message.recipient = "c";
        message.members.push_back(
            { { "b", 1 }, 1, MemberRecord::State::Alive, {}, "west", Endpoint { "127.0.0.1", 2 } });
        member.onMessage(message);
        EXPECT_EQ(member.misdirectedMessages(), 1U);
        EXPECT_FALSE(member.find("b"));
        EXPECT_EQ(sent, 0);
        message.recipient = "a";
        member.onMessage(message);
        EXPECT_EQ(member.liveMembers("west").size(), 1U);
        EXPECT_TRUE(member.liveMembers("east").empty());
        EXPECT_EQ(sent, 1);
    }

    // Guards against payloads of other components being lost or passed to the wrong hook.
    TEST(Membership, PassesPartsOfOtherComponents)
    {
        ManualClock clock;
        std::vector<PeerMessage> sent;
        std::vector<std::string> seen;
        MembershipHooks hooks;
        hooks.send = [&sent](const Endpoint&, const PeerMessage& message) { sent.push_back(message); };
        hooks.onAllotments = [&seen](const NodeId& from, const Json& part) { seen.push_back(from.name + part.dump()); };
        hooks.onDocuments = [&seen](const NodeId& from, const Json& part) { seen.push_back(part.dump() + from.name); };
        Membership member({ { "a", 1 }, "east", { "127.0.0.1", 1 }, {} }, clock.clock(), Random(1), hooks);
        EXPECT_FALSE(member.sendTo("b", Json(1), {}));
        PeerMessage message;
        message.sender = { "b", 1 };
        message.members.push_back(
            { { "b", 1 }, 1, MemberRecord::State::Alive, {}, "west", Endpoint { "127.0.0.1", 2 } });
        message.allotments = Json(7);
        message.documents = Json(8);
        member.onMessage(message);
        EXPECT_EQ(seen, (std::vector<std::string> { "b7", "8b" }));
        EXPECT_TRUE(member.sendTo("b", Json(1), Json(2)));
        EXPECT_EQ(sent.back().recipient, "b");
        EXPECT_EQ(sent.back().allotments, Json(1));
        EXPECT_EQ(sent.back().documents, Json(2));
    }

} // namespace
} // namespace waxwinglug
