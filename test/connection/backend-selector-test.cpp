// Tests of the selection of backend servers.
#include "support/allocations.h"
#include "support/steps.h"

#include <waxwinglug/connection.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <vector>

namespace waxwinglug {
namespace {

    using namespace std::chrono_literals;

    std::vector<BackendSpec> specs(int count, int slots = 2, int pools = 2)
    {
        std::vector<BackendSpec> result;
        result.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            result.push_back({ "v" + std::to_string(i), "p" + std::to_string(i % pools), "r" + std::to_string(i / 4),
                { "127.0.0.1", 9000 }, slots, 64 });
        return result;
    }

    // Model of eight servers in two pools: incarnations, and the evidence that must keep new work away from a server.
    struct SelectorWorld {
        static constexpr int stepKindCount = 13;
        static constexpr int nodeCount = 8; // servers
        static constexpr int slots = 2;
        ManualClock clock;
        Random random { 3 };
        BackendSelector selector { {}, clock.clock() };
        std::vector<BackendSpec> configured = specs(nodeCount, slots);
        std::array<std::uint64_t, nodeCount> incarnation {};
        std::array<std::optional<TimePoint>, nodeCount>
            evidence {}; // last evidence that the server is leaving; no work until a probe succeeds or it restarts
        std::array<bool, nodeCount> listedUnavailable {};
        std::array<bool, nodeCount> cordoned {};
        std::vector<ServerIndex> running;
        std::vector<ServerIndex> due;

        SelectorWorld()
        {
            this->selector.setBackends(this->configured);
            for (int i = 0; i < nodeCount; ++i) {
                this->incarnation[i] = 1;
                this->list(i, VmState::Live, 1);
            }
        }

        void list(int node, VmState state, std::uint64_t listed)
        {
            const VmStatus status { "v" + std::to_string(node), state, listed };
            const bool took = this->selector.takesWork(static_cast<ServerIndex>(node));
            this->selector.applyVmList({ &status, 1 });
            if (listed < this->incarnation[node]) {
                RC_ASSERT(this->selector.takesWork(static_cast<ServerIndex>(node)) == took);
                return;
            }
            const bool restarted = listed > this->incarnation[node];
            this->incarnation[node] = listed;
            if (state != VmState::Live) {
                this->listedUnavailable[node] = true;
                this->evidence[node].reset();
            } else if (restarted) {
                this->listedUnavailable[node] = false;
                this->evidence[node].reset();
            } else if (this->listedUnavailable[node] && !this->evidence[node]) {
                this->listedUnavailable[node] = false;
            }
        }

        void select(unsigned pick)
        {
            const std::array<ServerIndex, 2> exclude { pick % nodeCount, (pick / nodeCount) % nodeCount };
            const SelectRequest request { { exclude.data(), pick % 3 }, std::nullopt };
            const auto server = this->selector.select(request, this->random);
            if (!server) {
                for (ServerIndex i = 0; i < nodeCount; ++i) {
                    const bool excluded = (pick % 3 > 0 && exclude[0] == i) || (pick % 3 > 1 && exclude[1] == i);
                    const bool full = this->selector.state(i) == BackendState::SlowStart
                        ? this->selector.activeRequests(i) > 0
                        : this->selector.activeRequests(i) >= slots;
                    RC_ASSERT(!this->selector.takesWork(i) || excluded || full);
                }
                return;
            }
            for (unsigned i = 0; i < pick % 3; ++i)
                RC_ASSERT(exclude[i] != *server);
            RC_ASSERT(!this->evidence[*server] && !this->listedUnavailable[*server] && !this->cordoned[*server]);
            this->running.push_back(*server);
        }

        void release(unsigned pick, AttemptResult result)
        {
            if (this->running.empty())
                return;
            const auto at = this->running.begin() + pick % this->running.size();
            this->selector.release(*at, result);
            this->running.erase(at);
        }

        void probe(unsigned pick)
        {
            this->selector.collectDueProbes(this->due);
            for (const auto server : this->due) {
                const bool answers = pick % 2 == 0;
                if (this->evidence[server]) {
                    RC_ASSERT(this->clock.now() - *this->evidence[server] >= 30s);
                    if (answers)
                        this->evidence[server].reset();
                }
                this->selector.recordProbe(server, answers);
                // A second result of the same probe is ignored.
                const auto state = this->selector.state(server);
                this->selector.recordProbe(server, !answers);
                RC_ASSERT(this->selector.state(server) == state);
            }
        }

        void reconfigure(int node, unsigned pick)
        {
            auto next = this->configured;
            if (pick % 3 == 0)
                std::erase_if(next, [node](const BackendSpec& spec) { return spec.vm == "v" + std::to_string(node); });
            else
                next[node].pool = "p" + std::to_string(pick % 2);
            this->selector.setBackends(next);
            if (pick % 3 != 0)
                this->configured = next;
        }

        void step(int kind, int node, unsigned pick)
        {
            const auto server = static_cast<ServerIndex>(node);
            switch (kind) {
            case 0:
            case 1:
                return this->select(pick);
            case 2:
                return this->release(pick, AttemptResult::Answered);
            case 3:
                return this->release(pick, AttemptResult::Failed);
            case 4:
            case 5:
                for (int i = 0; i < 4; ++i)
                    this->selector.recordSuccessElsewhere({ &server, 1 }, (server + 1) % nodeCount);
                return;
            case 6:
                this->selector.markLeaving("v" + std::to_string(node), pick % 4 == 0 ? this->incarnation[node] - 1 : 0);
                // An incarnation of 0 means the current one.
                if ((pick % 4 != 0 || this->incarnation[node] == 1) && !this->listedUnavailable[node])
                    this->evidence[node] = this->clock.now();
                return;
            case 7:
                return this->list(node, VmState::Live, this->incarnation[node] + pick % 3 / 2 - pick % 7 / 6);
            case 8:
                return this->list(node, pick % 2 == 0 ? VmState::Leaving : VmState::Gone,
                    this->incarnation[node] - (pick % 3 == 0 ? 1 : 0));
            case 9:
                this->cordoned[node] = !this->cordoned[node];
                return this->selector.setCordoned("v" + std::to_string(node), this->cordoned[node]);
            case 10:
                return this->reconfigure(node, pick);
            case 11:
                this->clock.advance(Duration(pick * 20));
                return this->selector.tick();
            default:
                return this->probe(pick);
            }
        }

        void check() const
        {
            std::map<std::string, std::pair<int, int>> pools; // members, ejected
            std::map<ServerIndex, int> runningOn;
            for (const auto server : this->running)
                ++runningOn[server];
            for (ServerIndex server = 0; server < nodeCount; ++server) {
                const auto state = this->selector.state(server);
                RC_ASSERT(this->selector.activeRequests(server) == runningOn[server]);
                RC_ASSERT(runningOn[server] <= slots);
                if (this->cordoned[server] || state == BackendState::Draining || state == BackendState::Gone) {
                    RC_ASSERT(!this->selector.takesWork(server));
                    continue;
                }
                auto& [members, ejected] = pools[this->selector.spec(server).pool];
                ++members;
                ejected += state == BackendState::Ejected ? 1 : 0;
            }
            for (const auto& [name, counts] : pools)
                RC_ASSERT(counts.second <= std::floor(0.3 * counts.first));
        }

        void finish() { }
    };

    // Guards against work for a leaving server, more ejections than the maximum fraction, slots that leak or are
    // exceeded, and a refusal while a server has a free slot.
    RC_GTEST_PROP(BackendSelector, leavingServersGetNoWorkAndSlotsAreBounded, ()) { test::checkSteps<SelectorWorld>(); }

    // Guards against a fast-failing server that has few active requests and therefore attracts the work.
    TEST(BackendSelector, serverThatFailsEverythingIsEjectedAndProbedAtGrowingIntervals)
    {
        ManualClock clock;
        Random random(1);
        BackendSelector selector({}, clock.clock());
        selector.setBackends(specs(10, 8, 1));
        int failures = 0;
        std::deque<ServerIndex> running;
        for (int i = 0; i < 500; ++i) {
            const auto server = selector.select({}, random);
            ASSERT_TRUE(server);
            if (*server == 4) {
                ++failures;
                selector.release(*server, AttemptResult::Failed);
                continue;
            }
            running.push_back(*server);
            if (running.size() > 40) {
                selector.release(running.front(), AttemptResult::Answered);
                running.pop_front();
            }
        }
        EXPECT_EQ(selector.state(4), BackendState::Ejected);
        EXPECT_LE(failures, 10);
        std::vector<ServerIndex> due;
        std::vector<int> seconds;
        for (int second = 0; second < 200; ++second) {
            clock.advance(1s);
            selector.collectDueProbes(due);
            if (due.empty())
                continue;
            seconds.push_back(second);
            selector.recordProbe(due.front(), false);
        }
        EXPECT_EQ(seconds, (std::vector<int> { 0, 2, 6, 14, 30, 62, 122, 182 }));
    }

    // Guards against the ejection of healthy servers because rare failures add up.
    TEST(BackendSelector, rareFailuresDoNotEject)
    {
        ManualClock clock;
        Random random(1);
        BackendSelector selector({}, clock.clock());
        selector.setBackends(specs(10, 8, 1));
        for (int i = 0; i < 5000; ++i) {
            const auto server = *selector.select({}, random);
            selector.release(server, AttemptResult::Answered);
            if (i % 50 == 0)
                selector.recordSuccessElsewhere({ &server, 1 }, (server + 1) % 10);
        }
        for (ServerIndex server = 0; server < 10; ++server)
            EXPECT_EQ(selector.state(server), BackendState::Serving);
    }

    // Guards against overload of a server that has just restarted.
    TEST(BackendSelector, slowStartLimitsTheSlots)
    {
        ManualClock clock;
        BackendSelector selector({}, clock.clock());
        selector.setBackends(specs(1, 10));
        const VmStatus first { "v0", VmState::Live, 1 };
        const VmStatus restarted { "v0", VmState::Live, 2 };
        selector.applyVmList({ &first, 1 });
        EXPECT_EQ(selector.freeSlots(), 10);
        selector.applyVmList({ &restarted, 1 });
        EXPECT_EQ(selector.freeSlots(), 1);
        clock.advance(5s);
        EXPECT_EQ(selector.freeSlots(), 5);
        clock.advance(5s);
        selector.tick();
        EXPECT_EQ(selector.state(0), BackendState::Serving);
        EXPECT_EQ(selector.freeSlots(), 10);
    }

    TEST(BackendSelector, repeatGoesToAnotherRackWhileOneHasASlot)
    {
        ManualClock clock;
        Random random(1);
        BackendSelector selector({}, clock.clock());
        selector.setBackends(specs(6, 1));
        const ServerIndex tried = 0;
        const SelectRequest request { { &tried, 1 }, tried };
        std::vector<ServerIndex> order;
        while (const auto server = selector.select(request, random))
            order.push_back(*server);
        ASSERT_EQ(order.size(), 5U);
        // Servers 4 and 5 are in the second rack.
        EXPECT_EQ(order[0] + order[1], 9U);
    }

    // Guards against allocations on the request path.
    TEST(BackendSelector, selectionAllocatesNothing)
    {
        ManualClock clock;
        Random random(1);
        BackendSelector selector({}, clock.clock());
        selector.setBackends(specs(850, 8, 4));
        const std::array<ServerIndex, 2> tried { 5, 6 };
        const auto before = test::allocationCount();
        int selected = 0;
        // More selections than slots, so that select() also falls back to the scan.
        for (int i = 0; i < 8000; ++i) {
            const auto server = selector.select({ tried, 5 }, random);
            selected += server ? 1 : 0;
            if (server && i % 50 == 0)
                selector.release(*server, AttemptResult::Answered);
        }
        EXPECT_EQ(test::allocationCount(), before);
        EXPECT_GT(selected, 6000);
    }

} // namespace
} // namespace waxwinglug
