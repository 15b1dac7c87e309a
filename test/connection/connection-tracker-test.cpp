// Tests of the reuse of pooled connections.
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

    // Two servers and the truth about each connection. Connections are closed at once or late.
    struct ConnectionWorld {
        static constexpr int stepKindCount = 9;
        static constexpr int nodeCount = 2; // servers
        static constexpr int limit = 4;
        struct Truth {
            int server = 0;
            std::uint64_t owner = 0; // use that waits for an answer; 0: none
            bool closing = false;
            bool open = true;
            TimePoint startedAt {};
            std::optional<TimePoint> answeredAt {};
        };
        ManualClock clock;
        std::map<ConnectionId, Truth> truth;
        std::vector<std::pair<ConnectionId, std::uint64_t>> uses; // all uses ever granted
        std::map<int, ConnectionId> retiredBelow;
        std::map<int, std::set<ConnectionId>> silent; // connections that went silent
        std::uint64_t lastUse = 0;
        ConnectionTracker tracker { {}, clock.clock(), [this](ConnectionId id) { this->truth.at(id).closing = true; } };

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
            auto& entry = this->truth[grant.id];
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

        // A newer connection that answered after a silent one's request was sent retires all that are older.
        void updateRetired(int server)
        {
            ConnectionId newest = 0;
            for (const auto gone : this->silent[server]) {
                for (const auto& [id, entry] : this->truth) {
                    if (entry.server == server && entry.open && id > gone && entry.answeredAt
                        && *entry.answeredAt >= this->truth[gone].startedAt)
                        newest = std::max(newest, id);
                }
            }
            if (newest == 0)
                return;
            this->retiredBelow[server] = std::max(this->retiredBelow[server], newest);
            // The silence is explained; without this, every new connection would retire all others for ever.
            std::erase_if(this->silent[server], [newest](ConnectionId gone) { return gone < newest; });
        }

        void answer(unsigned pick, bool keepAlive)
        {
            if (this->uses.empty())
                return;
            const auto [id, use]
                = this->uses[this->uses.size() - 1 - pick % std::min<std::size_t>(8, this->uses.size())];
            auto& entry = this->truth[id];
            const bool own = entry.owner == use && entry.open;
            RC_ASSERT(this->tracker.markAnswered(id, use, keepAlive) == own);
            if (!own)
                return;
            entry.owner = 0;
            entry.answeredAt = this->clock.now();
            this->updateRetired(entry.server);
        }

        void abandon(unsigned pick, bool isSilent)
        {
            if (this->uses.empty())
                return;
            const auto [id, use]
                = this->uses[this->uses.size() - 1 - pick % std::min<std::size_t>(8, this->uses.size())];
            auto& entry = this->truth[id];
            const bool own = entry.owner == use && entry.open;
            this->tracker.abandon(id, use, isSilent);
            if (!own)
                return;
            RC_ASSERT(entry.closing);
            entry.owner = 0;
            if (isSilent) {
                this->silent[entry.server].insert(id);
                this->updateRetired(entry.server);
            }
        }

        void close(unsigned pick, bool mustBeClosing)
        {
            if (this->truth.empty())
                return;
            auto at = this->truth.begin();
            std::advance(at, pick % this->truth.size());
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
                for (const auto& [id, entry] : this->truth)
                    open += entry.open && entry.server == static_cast<int>(server) ? 1 : 0;
                RC_ASSERT(open <= limit);
                RC_ASSERT(this->tracker.connections(server) == open);
            }
        }

        void finish() { }
    };

    // Guards against an answer for another request, a silent connection that is used again, a non-idempotent request on
    // an unproven connection, and connections over the limit.
    RC_GTEST_PROP(ConnectionTracker, connectionsAreUsedByTheRules, ()) { test::checkSteps<ConnectionWorld>(); }

    // Guards against idle connections that fill the limit and lock out non-idempotent requests.
    TEST(ConnectionTracker, idleConnectionMakesRoomForANewOne)
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
