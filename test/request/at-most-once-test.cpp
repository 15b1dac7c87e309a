// Tests of the request ledger and of Idempotency-Key claims, with several nodes over one table.
#include "support/fake-platform.h"
#include "support/steps.h"

#include <waxwinglug/at-most-once.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <map>
#include <memory>
#include <vector>

namespace waxwinglug {
namespace {

    using namespace std::chrono_literals;

    // Model of three nodes that claim four keys. The simulated time is too short for claims to expire.
    struct ClaimWorld {
        static constexpr int stepKindCount = 12;
        static constexpr int nodeCount = 3;
        static constexpr unsigned keys = 4;
        struct Granted {
            int node = 0;
            unsigned key = 0;
            RequestId request;
        };
        test::FakePlatform fake;
        ManualClock clock;
        std::uint64_t nonce = 0;
        std::uint64_t sequence = 0;
        std::array<std::unique_ptr<IdempotencyClaims>, nodeCount> claims;
        std::vector<Granted> granted;
        std::vector<std::pair<int, RequestId>> waiting;
        std::map<unsigned, int> runs;
        int notRunReports = 0;

        ClaimWorld()
        {
            for (int node = 0; node < nodeCount; ++node)
                this->start(node);
        }

        void start(int node)
        {
            this->claims[node] = std::make_unique<IdempotencyClaims>(
                this->fake.platform().table, this->clock.clock(), ClaimOptions {}, [this] { return ++this->nonce; });
            std::erase_if(this->granted, [node](const Granted& entry) { return entry.node == node; });
            std::erase_if(this->waiting, [node](const auto& entry) { return entry.first == node; });
        }

        void request(int node, unsigned key)
        {
            const RequestId id { { "e" + std::to_string(node), 1 }, ++this->sequence, 0 };
            this->waiting.emplace_back(node, id);
            this->claims[node]->claim(
                "north", "key" + std::to_string(key), id, ClaimsWhenDown::Refuse, [=, this](ClaimResult result) {
                    std::erase(this->waiting, std::pair(node, id));
                    if (result.kind == ClaimResult::Kind::Granted)
                        this->granted.push_back({ node, key, id });
                    else if (result.kind == ClaimResult::Kind::Refused)
                        this->reportNotRun(id);
                });
        }

        // Checks that the claim has been removed before "not run" is reported.
        void reportNotRun(const RequestId& id)
        {
            ++this->notRunReports;
            for (const auto& [key, row] : this->fake.rows)
                RC_ASSERT(row.value.find('"' + id.text() + '"') == std::string::npos);
        }

        void step(int kind, int node, unsigned pick)
        {
            switch (kind) {
            case 0:
            case 1:
                return this->request(node, pick % keys);
            case 2:
                if (!this->granted.empty()) {
                    const auto at = this->granted.begin() + pick % this->granted.size();
                    ++this->runs[at->key];
                    this->granted.erase(at);
                }
                return;
            case 3:
                if (!this->granted.empty() && pick % 2 == 0) {
                    const auto entry = this->granted[pick % this->granted.size()];
                    std::erase_if(this->granted, [&](const Granted& other) { return other.request == entry.request; });
                    this->claims[entry.node]->release(entry.request, [=, this] { this->reportNotRun(entry.request); });
                }
                return;
            case 4:
                if (!this->waiting.empty()) {
                    const auto [owner, id] = this->waiting[pick % this->waiting.size()];
                    std::erase(this->waiting, std::pair(owner, id));
                    this->claims[owner]->release(id, [this, id = id] { this->reportNotRun(id); });
                }
                return;
            case 5:
                this->fake.loseCommitAnswers = pick % 3 == 0;
                return;
            case 6:
                this->fake.isUnavailable = pick % 3 == 0;
                return;
            case 7:
                if (pick % 5 == 0)
                    this->start(node);
                return;
            case 8:
            case 9:
                this->clock.advance(20ms);
                return this->claims[node]->tick(nodeCount);
            default:
                this->fake.deliverOne(pick);
            }
        }

        void check() const
        {
            for (const auto& [key, count] : this->runs)
                RC_ASSERT(count <= 1);
            std::map<unsigned, int> grantsByKey;
            for (const auto& entry : this->granted)
                RC_ASSERT(++grantsByKey[entry.key] == 1);
        }

        void runUntilIdle()
        {
            this->fake.isUnavailable = false;
            this->fake.loseCommitAnswers = false;
            for (int round = 0; round < 20; ++round) {
                for (auto& node : this->claims) {
                    this->clock.advance(20ms);
                    node->tick(nodeCount);
                    this->fake.deliver();
                }
            }
        }

        void finish()
        {
            this->runUntilIdle();
            RC_ASSERT(this->waiting.empty());
            for (const auto& node : this->claims)
                RC_ASSERT(node->pendingWrites() == 0U);
            RC_CLASSIFY(!this->runs.empty(), "runs");
            RC_CLASSIFY(this->notRunReports > 0, "reported as not run");
        }
    };

    // Guards against a second run on another node, a "not run" report while the claim remains, and a claim that is
    // never resolved.
    RC_GTEST_PROP(IdempotencyClaims, keyRunsAtMostOnce, ()) { test::checkSteps<ClaimWorld>(); }

    struct OneNode {
        test::FakePlatform fake;
        ManualClock clock;
        std::uint64_t nonce = 0;
        IdempotencyClaims claims { this->fake.platform().table, this->clock.clock(), {},
            [this] { return ++this->nonce; } };
        std::vector<ClaimResult> results;

        void claim(const std::string& key, ClaimsWhenDown whenDown = ClaimsWhenDown::Refuse)
        {
            const RequestId id { { "e1", 1 }, this->nonce + 1, 0 };
            this->claims.claim("north", key, id, whenDown, [this](auto result) { this->results.push_back(result); });
        }

        void run(Duration step, int live)
        {
            this->clock.advance(step);
            this->claims.tick(live);
            this->fake.deliver();
        }
    };

    TEST(IdempotencyClaims, tableDownRefusesOrFallsBackToTheHomeNode)
    {
        OneNode node;
        node.fake.isUnavailable = true;
        node.claim("a");
        node.claim("b", ClaimsWhenDown::HomeOnly);
        node.run(10ms, 1);
        ASSERT_EQ(node.results.size(), 2U);
        EXPECT_EQ(node.results[0].kind, ClaimResult::Kind::Refused);
        EXPECT_EQ(node.results[1].kind, ClaimResult::Kind::HomeOnly);
        node.claim("b", ClaimsWhenDown::HomeOnly);
        EXPECT_EQ(node.results.back().kind, ClaimResult::Kind::AlreadyClaimed);
    }

    // Guards against claim rows that are never deleted, and against a key that stays claimed for ever.
    TEST(IdempotencyClaims, expiredClaimsAreRemoved)
    {
        OneNode node;
        node.claim("a");
        node.run(10ms, 1);
        EXPECT_EQ(node.fake.rows.size(), 1U);
        node.run(16min, 1);
        for (int i = 0; i < 4; ++i)
            node.run(10ms, 1);
        EXPECT_TRUE(node.fake.rows.empty());
        EXPECT_EQ(node.claims.claimCount(), 0U);
    }

    // Guards against a write rate that grows with the number of entry VMs.
    TEST(IdempotencyClaims, transactionRateIsSharedByAllNodes)
    {
        for (const int live : { 3, 9, 48 }) {
            OneNode node;
            for (int i = 0; i < 10000; ++i) {
                if (i % 10 == 0)
                    node.claim("k" + std::to_string(i));
                node.run(1ms, live);
            }
            EXPECT_LE(node.claims.transactions() * static_cast<std::uint64_t>(live), 10U * 200 + 48);
            EXPECT_GE(node.results.size(), 950U);
        }
    }

    // Model of requests with three home nodes that are repeated on any node, and of the runs they caused.
    struct LedgerWorld {
        static constexpr int stepKindCount = 7;
        static constexpr int nodeCount = 3;
        struct ExpectedRequest {
            std::string team;
            int runs = 0; // excluding those that ended as not run
            bool running = false;
            std::string answer;
        };
        ManualClock clock;
        std::array<std::unique_ptr<RequestLedger>, nodeCount> ledgers;
        std::array<std::uint64_t, nodeCount> incarnation {};
        std::map<RequestId, ExpectedRequest> expected;
        std::vector<RequestId> ids;

        LedgerWorld()
        {
            for (int node = 0; node < nodeCount; ++node)
                this->start(node);
        }

        void start(int node)
        {
            const NodeId self { "e" + std::to_string(node), ++this->incarnation[node] };
            this->ledgers[node] = std::make_unique<RequestLedger>(
                RequestIdSource(self, [] { return 7U; }), LedgerOptions { 30s, 40, 60s, 5 }, this->clock.clock());
        }

        int homeOf(const RequestId& id) const { return id.home.name.back() - '0'; }

        void begin(int node, unsigned pick)
        {
            const auto& id = this->ids[pick % this->ids.size()];
            auto& entry = this->expected[id];
            const auto team = pick % 7 == 0 ? std::string("other") : entry.team;
            const auto resolved = this->ledgers[node]->begin(id, team);
            using Resolution = RequestLedger::Resolution;
            RC_ASSERT((resolved.resolution == Resolution::Elsewhere) == (this->homeOf(id) != node));
            if (resolved.resolution == Resolution::Run) {
                RC_ASSERT(team == entry.team && !entry.running && entry.runs == 0);
                entry.running = true;
                entry.runs = 1;
            } else if (resolved.resolution == Resolution::Answered) {
                RC_ASSERT(team == entry.team && !entry.answer.empty());
                RC_ASSERT(resolved.answer->body == entry.answer);
            }
        }

        void step(int kind, int node, unsigned pick)
        {
            if (kind == 0 || this->ids.empty()) {
                const auto team = "t" + std::to_string(pick % 2);
                this->ids.push_back(this->ledgers[node]->issue(team));
                this->expected[this->ids.back()].team = team;
                return;
            }
            const auto& id = this->ids[pick % this->ids.size()];
            auto& entry = this->expected[id];
            auto& home = *this->ledgers[this->homeOf(id)];
            switch (kind) {
            case 1:
            case 2:
                return this->begin(pick % 2 == 0 ? this->homeOf(id) : node, pick);
            case 3:
            case 4: {
                if (!entry.running)
                    return;
                const auto outcome = pick % 4 == 0 ? Outcome::NotRun
                    : pick % 4 == 1                ? Outcome::Unknown
                                                   : Outcome::Answered;
                entry.running = false;
                if (outcome == Outcome::NotRun)
                    entry.runs = 0;
                if (outcome == Outcome::Answered)
                    entry.answer = id.text();
                home.finish(id, outcome, { 200, "text/plain", entry.answer });
                return;
            }
            case 5:
                if (pick % 5 == 0)
                    this->start(node);
                return;
            default:
                this->clock.advance(Duration(pick * 10));
                home.expire();
            }
        }

        void check() const
        {
            for (const auto& ledger : this->ledgers)
                RC_ASSERT(ledger->storedBytes() <= 40U);
        }

        void finish() { }
    };

    // Guards against a second run after a restart or after the expiry of the answer, an answer that reaches another
    // team, and unbounded storage of answers.
    RC_GTEST_PROP(RequestLedger, requestRunsAtMostOnce, ()) { test::checkSteps<LedgerWorld>(); }

} // namespace
} // namespace waxwinglug
