// Fleet of nodes with allotments that share a platform and a network, both with injected faults.
#pragma once

#include <waxwinglug/allotments.h>

#include "support/fake-platform.h"

#include <rapidcheck.h>

#include <deque>

namespace waxwinglug::test {

using namespace std::chrono_literals;

inline const std::string team = "team/north";
inline const std::string rowName = "allotment/team/north";

enum class CommitFault {
    None,
    LostAnswer, // the write is applied
    LostWrite, // the write is not applied; answer Unknown
    LateWrite, // answer Unknown; the write is applied later if the version still matches
};

struct Node {
    NodeId id;
    std::unique_ptr<Allotments> allotments;
    // Answers and messages in flight.
    std::deque<std::pair<bool, std::function<void()>>> inbox; // first: whether it is a peer message
    bool paused = false;
};

class Fleet {
public:
    explicit Fleet(int size, double requestThreshold = 0.75)
        : hooks(this->platform.platform())
    {
        this->settings.maxRunTime = 3s;
        this->settings.requestThreshold = requestThreshold;
        for (int i = 0; i < size; ++i) {
            this->nodes.push_back(std::make_unique<Node>());
            this->nodes.back()->id = { "e" + std::to_string(i), 0 };
            this->start(*this->nodes.back());
        }
    }

    void start(Node& node)
    {
        node.id.incarnation = ++this->incarnation;
        node.paused = false;
        Table table;
        table.read = [this, &node, id = node.id](std::vector<std::string> keys, RowsHandler handler) {
            this->hooks.table.read(std::move(keys),
                [this, &node, id, handler](auto rows) { this->answer(node, id, [handler, rows] { handler(rows); }); });
        };
        table.commit = [this, &node, id = node.id](std::vector<RowWrite> writes, CommitHandler handler) {
            this->commit(node, id, std::move(writes), std::move(handler));
        };
        AllotmentHooks peerHooks;
        peerHooks.isGone = [this](const NodeId& id) { return this->listedGone.contains(id); };
        peerHooks.sendRequest = [this](const NodeId& to, const UnitRequest& request) {
            this->send(to,
                [text = toJson(request)](Allotments& receiver) { receiver.onRequest(fromJson<UnitRequest>(text)); });
        };
        peerHooks.sendLoan = [this](const NodeId& to, const UnitLoan& loan) {
            this->send(to, [text = toJson(loan)](Allotments& receiver) { receiver.onLoan(fromJson<UnitLoan>(text)); });
        };
        node.allotments = std::make_unique<Allotments>(node.id, this->settings, this->clock.clock(), table, peerHooks);
        node.allotments->setLimit(team, this->limit, this->limitVersion);
    }

    // Work that the node started may continue on the backend servers.
    void kill(Node& node)
    {
        this->orphans.emplace_back(this->clock.now() + this->settings.maxRunTime, node.allotments->runningCount(team));
        this->dead.insert(node.id);
        node.allotments.reset();
        node.inbox.clear();
    }

    void deliver(Node& node, int index)
    {
        if (node.inbox.empty() || node.paused)
            return;
        const auto at = node.inbox.begin() + index % static_cast<int>(node.inbox.size());
        const auto handler = std::move(at->second);
        node.inbox.erase(at);
        handler();
    }

    void lose(Node& node, bool twice)
    {
        if (node.inbox.empty() || !node.inbox.front().first)
            return;
        const auto first = node.inbox.front();
        if (twice)
            node.inbox.push_back(first);
        else
            node.inbox.pop_front();
    }

    void applyLate()
    {
        for (auto& writes : std::exchange(this->late, {}))
            this->hooks.table.commit(std::move(writes), [](const CommitResult&) {});
    }

    void changeLimit(Node& node, int newLimit)
    {
        this->limit = newLimit;
        this->highestLimit = std::max(this->highestLimit, newLimit);
        node.allotments->setLimit(team, newLimit, ++this->limitVersion);
    }

    // Ends all faults, updates the VM list and restarts killed nodes.
    void heal()
    {
        this->platform.isUnavailable = false;
        this->fault = CommitFault::None;
        this->applyLate();
        this->listedGone.insert(this->dead.begin(), this->dead.end());
        for (auto& node : this->nodes) {
            node->paused = false;
            if (!node->allotments)
                this->start(*node);
            node->allotments->setLimit(team, this->limit, this->limitVersion);
        }
    }

    void run(int rounds)
    {
        for (int i = 0; i < rounds; ++i) {
            this->clock.advance(200ms);
            for (auto& node : this->nodes)
                node->allotments->tick();
            bool busy = true;
            while (busy) {
                busy = this->platform.deliverOne();
                for (auto& node : this->nodes) {
                    busy = busy || !node->inbox.empty();
                    this->deliver(*node, 0);
                }
            }
        }
    }

    int runningCount() const
    {
        int sum = 0;
        for (const auto& node : this->nodes)
            sum += node->allotments ? node->allotments->runningCount(team) : 0;
        for (const auto& [end, count] : this->orphans)
            sum += this->clock.now() < end ? count : 0;
        return sum;
    }

    int heldUnits() const
    {
        int sum = 0;
        for (const auto& node : this->nodes)
            sum += node->allotments ? node->allotments->heldUnits(team) : 0;
        return sum;
    }

    AllotmentRow row() const
    {
        const auto found = this->platform.row(rowName);
        return found.version == 0 ? AllotmentRow {} : fromJson<AllotmentRow>(found.value);
    }

    void check()
    {
        const auto current = this->row();
        int mayRun = 0;
        for (const auto& node : this->nodes) {
            if (!node->allotments)
                continue;
            RC_ASSERT(node->allotments->runningCount(team) <= node->allotments->heldUnits(team));
            mayRun += node->allotments->heldUnits(team);
        }
        for (const auto& [end, count] : this->orphans)
            mayRun += this->clock.now() < end ? count : 0;
        RC_ASSERT(mayRun <= current.totalUnits());
        RC_ASSERT(current.totalUnits() <= std::max(current.limit, this->lastSum));
        RC_ASSERT(this->runningCount() <= this->highestLimit);
        for (const auto& holder : current.holders)
            RC_ASSERT(holder.units >= 0);
        this->lastSum = current.totalUnits();
    }

    FakePlatform platform;
    ManualClock clock;
    std::vector<std::unique_ptr<Node>> nodes;
    std::set<NodeId> dead;
    std::set<NodeId> listedGone;
    CommitFault fault = CommitFault::None;
    int limit = 12;

private:
    void answer(Node& node, const NodeId& id, std::function<void()> handler)
    {
        if (node.id == id)
            node.inbox.emplace_back(false, std::move(handler));
    }

    // Messages are addressed by name, so a restarted node receives those meant for its former incarnation.
    void send(const NodeId& to, std::function<void(Allotments&)> message)
    {
        for (auto& node : this->nodes) {
            if (node->id.name == to.name && node->allotments)
                node->inbox.emplace_back(true, [&target = *node, message] { message(*target.allotments); });
        }
    }

    void commit(Node& node, const NodeId& id, std::vector<RowWrite> writes, CommitHandler handler)
    {
        const auto unknown = [this, &node, id, handler] {
            this->answer(node, id, [handler] { handler({ CommitStatus::Unknown, {} }); });
        };
        switch (this->fault) {
        case CommitFault::LostWrite:
            unknown();
            return;
        case CommitFault::LateWrite:
            this->late.push_back(std::move(writes));
            unknown();
            return;
        case CommitFault::LostAnswer:
        case CommitFault::None:
            break;
        }
        this->platform.loseCommitAnswers = this->fault == CommitFault::LostAnswer;
        this->hooks.table.commit(std::move(writes), [this, &node, id, handler](const CommitResult& result) {
            this->answer(node, id, [handler, result] { handler(result); });
        });
    }

    Platform hooks;
    AllotmentSettings settings;
    std::uint64_t incarnation = 0;
    std::uint64_t limitVersion = 1;
    int highestLimit = 12;
    int lastSum = 0;
    std::vector<std::pair<TimePoint, int>> orphans;
    std::vector<std::vector<RowWrite>> late;
};

} // namespace waxwinglug::test
