// Tests of the rules for reusing pooled connections.
#include "support/steps.h"

#include <waxwinglug/connection.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <vector>

namespace waxwinglug {
namespace {

    using namespace std::chrono_literals;
    using Kind = ConnectionGrant::Kind;

    // Model of the connections to two servers. Connections are closed immediately or after a delay.
    struct ConnectionWorld {
        static constexpr int stepKindCount = 9;
        static constexpr int nodeCount = 2; // servers
        static constexpr int limit = 4;
        struct ExpectedConnection {
            int server = 0;
            std::uint64_t owner = 0; // use that is waiting for an answer; 0: none
            bool closing = false;
            bool open = true;
            TimePoint startedAt {};
            std::optional<TimePoint> answeredAt {};
        };
        ManualClock clock;
        std::map<ConnectionId, ExpectedConnection> expected;
        std::vector<std::pair<ConnectionId, std::uint64_t>> uses; // all uses ever granted
        std::map<int, ConnectionId> retiredBelow;
        std::map<int, std::set<ConnectionId>> timedOut; // connections whose answer timed out
        std::uint64_t lastUse = 0;
        ConnectionTracker tracker { {}, clock.clock(),
            [this](ConnectionId id) { this->expected.at(id).closing = true; } };

        ConnectionWorld()
        {
            for (ServerIndex server = 0; server < nodeCount; ++server)
                this->tracker.setLimit(server, limit);
        }

        void acquire(int server, bool idempotent)
        {
            const auto use = ++this->lastUse;
            const auto grant = this->tracker.acquire(static_cast<ServerIndex>(server), idempotent, use);
            if (grant.kind == Kind::Limit)
                return;
            const auto now = this->clock.now();
            auto& entry = this->expected[grant.id];
            if (grant.kind == Kind::Reuse) {
                RC_ASSERT(entry.open && !entry.closing && entry.owner == 0U);
                RC_ASSERT(entry.server == server);
                RC_ASSERT(idempotent || now - *entry.answeredAt <= 3s);
                RC_ASSERT(grant.id >= this->retiredBelow[server]);
            }
            entry.server = server;
            entry.owner = use;
            entry.startedAt = now;
            this->uses.emplace_back(grant.id, use);
        }

        // A connection that answered after the request on an older connection that timed out was sent retires all
        // connections older than itself.
        void updateRetired(int server)
        {
            ConnectionId newest = 0;
            for (const auto timedOutId : this->timedOut[server]) {
                for (const auto& [id, entry] : this->expected) {
                    if (entry.server == server && entry.open && id > timedOutId && entry.answeredAt
                        && *entry.answeredAt >= this->expected[timedOutId].startedAt)
                        newest = std::max(newest, id);
                }
            }
            if (newest == 0)
                return;
            this->retiredBelow[server] = std::max(this->retiredBelow[server], newest);
            // These timeouts are accounted for. Otherwise every new connection would retire all older ones.
            std::erase_if(this->timedOut[server], [newest](ConnectionId timedOutId) { return timedOutId < newest; });
        }

        void answer(unsigned pick, bool keepAlive)
        {
            if (this->uses.empty())
                return;
            const auto [id, use]
                = this->uses[this->uses.size() - 1 - pick % std::min<std::size_t>(8, this->uses.size())];
            auto& entry = this->expected[id];
            const bool isCurrent = entry.owner == use && entry.open;
            RC_ASSERT(this->tracker.markAnswered(id, use, keepAlive) == isCurrent);
            if (!isCurrent)
                return;
            entry.owner = 0;
            entry.answeredAt = this->clock.now();
            this->updateRetired(entry.server);
        }

        void abandon(unsigned pick, bool hasTimedOut)
        {
            if (this->uses.empty())
                return;
            const auto [id, use]
                = this->uses[this->uses.size() - 1 - pick % std::min<std::size_t>(8, this->uses.size())];
            auto& entry = this->expected[id];
            const bool isCurrent = entry.owner == use && entry.open;
            this->tracker.abandon(id, use, hasTimedOut);
            if (!isCurrent)
                return;
            RC_ASSERT(entry.closing);
            entry.owner = 0;
            if (hasTimedOut) {
                this->timedOut[entry.server].insert(id);
                this->updateRetired(entry.server);
            }
        }

        void close(unsigned pick, bool mustBeClosing)
        {
            if (this->expected.empty())
                return;
            auto at = this->expected.begin();
            std::advance(at, pick % this->expected.size());
            if (mustBeClosing && !at->second.closing)
                return;
            at->second.open = false;
            at->second.owner = 0;
            this->tracker.markClosed(at->first);
        }

        void step(int kind, int node, unsigned pick)
        {
            switch (kind) {
            case 0:
            case 1:
                this->acquire(node, pick % 2 == 0);
                break;
            case 2:
            case 3:
                this->answer(pick, pick % 5 != 0);
                break;
            case 4:
                this->abandon(pick, pick % 3 != 0);
                break;
            case 5:
                this->close(pick, true);
                break;
            case 6:
                this->close(pick, pick % 4 != 0);
                break;
            case 7:
                this->clock.advance(Duration(pick * 5));
                break;
            default:
                this->tracker.closeIdle();
            }
        }

        void check() const
        {
            for (ServerIndex server = 0; server < nodeCount; ++server) {
                int open = 0;
                for (const auto& [id, entry] : this->expected)
                    open += entry.open && entry.server == static_cast<int>(server) ? 1 : 0;
                RC_ASSERT(open <= limit);
                RC_ASSERT(this->tracker.connections(server) == open);
            }
        }

        void finish() { }
    };

    // Guards against an answer that reaches another request, reuse of a connection that timed out, a non-idempotent
    // request on a connection without a recent answer, and connections beyond the limit.
    RC_GTEST_PROP(ConnectionTracker, connectionsAreReusedOnlyWhenAllowed, ()) { test::checkSteps<ConnectionWorld>(); }

    // Guards against idle connections that use up the limit and block non-idempotent requests.
    TEST(ConnectionTracker, idleConnectionIsClosedForANewOneAtTheLimit)
    {
        ManualClock clock;
        ConnectionTracker* self = nullptr;
        ConnectionTracker tracker({}, clock.clock(), [&self](ConnectionId id) { self->markClosed(id); });
        self = &tracker;
        tracker.setLimit(0, 1);
        const auto first = tracker.acquire(0, false, 1);
        ASSERT_TRUE(tracker.markAnswered(first.id, 1, true));
        clock.advance(4s);
        const auto second = tracker.acquire(0, false, 2);
        EXPECT_EQ(second.kind, Kind::Open);
        EXPECT_EQ(tracker.connections(0), 1);
    }

} // namespace
} // namespace waxwinglug
