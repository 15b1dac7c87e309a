// Simulation of several followers and two coordinators on one in-memory platform. Nodes can lose the platform, their
// peers or answers, be paused, terminate, or be removed from the VM list. Invariants are checked after each step.
#pragma once

#include "support/fake-platform.h"

#include <waxwinglug/json.h>
#include <waxwinglug/rollout.h>

#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>

namespace waxwinglug::test {

using namespace std::chrono_literals;

// Returns a document whose rights depend on the bits of the seed: keys a to d, the limit, the services of the team, and
// whether the second service allows anonymous access.
inline std::string documentFor(unsigned seed)
{
    std::string text = fmt::format("[document]\nname = d\n[service s]\n[service t]\nopen = {}\n[team n]\nlimit = {}\n"
                                   "services = {}\n",
        (seed & 16) != 0 ? "yes" : "no", 1 + seed % 5, (seed & 32) != 0 ? "s, t" : "s");
    for (unsigned bit = 0; bit < 4; ++bit) {
        const auto letter = static_cast<char>('a' + bit);
        if ((seed & (1U << bit)) != 0)
            text += fmt::format("key = {}:{}\n", letter, std::string(64, letter));
    }
    return text;
}

template <typename T> bool isSubset(const std::vector<T>& part, const std::vector<T>& whole)
{
    return std::all_of(part.begin(), part.end(),
        [&whole](const T& item) { return std::find(whole.begin(), whole.end(), item) != whole.end(); });
}

// Whether `granted` contains a key, service, limit or anonymous access that `allowed` does not grant.
inline bool exceedsRights(const Config& granted, const Config& allowed)
{
    for (const auto& [name, service] : granted.services) {
        const auto other = allowed.services.find(name);
        if (service.allowsAnonymous && (other == allowed.services.end() || !other->second.allowsAnonymous))
            return true;
    }
    for (const auto& [name, team] : granted.teams) {
        if (team.keys.empty())
            continue;
        const auto other = allowed.teams.find(name);
        if (other == allowed.teams.end() || !isSubset(team.keys, other->second.keys)
            || !isSubset(team.services, other->second.services) || team.limit > other->second.limit)
            return true;
    }
    return false;
}

struct Message {
    bool isQuestion = true;
    std::size_t from = 0;
    std::size_t to = 0;
    std::string text;
};

class RolloutWorld {
public:
    explicit RolloutWorld(std::vector<Isolation> isolations)
    {
        for (std::size_t i = 0; i < isolations.size(); ++i) {
            auto node = std::make_unique<Node>();
            node->name = fmt::format("e{}", i);
            node->isolation = isolations[i];
            this->fake.vms.push_back({ node->name, VmState::Live, 1 });
            this->nodes.push_back(std::move(node));
            this->startNode(i);
        }
        for (auto& coordinator : this->coordinators)
            coordinator
                = std::make_unique<RolloutCoordinator>(this->fake.platform(), this->clock.clock(), this->random);
        this->propose(0, 15);
        this->runUntilSettled();
    }

    // Runs for 20 simulated seconds, enough for every node to activate the current version when there are no failures.
    void runUntilSettled()
    {
        for (int i = 0; i < 100; ++i)
            this->advance(200ms);
    }

    void advance(Duration by)
    {
        this->clock.advance(by);
        for (auto& node : this->nodes) {
            if (node->follower && !node->isPaused)
                node->follower->tick();
        }
        for (auto& coordinator : this->coordinators)
            coordinator->tick();
        this->fake.deliver();
        this->deliverMessages();
        this->checkInvariants();
    }

    void propose(std::size_t which, unsigned seed)
    {
        const auto current = this->currentVersion();
        this->coordinators[which]->propose(documentFor(seed), current, {}, [](const auto&, std::uint64_t) {});
    }

    void abandon(std::size_t which)
    {
        const auto row = this->fake.row("config/proposal");
        if (row.version != 0)
            this->coordinators[which]->abandon(Json::parse(row.value).at("version"), [](const auto&, std::uint64_t) {});
    }

    void startNode(std::size_t index)
    {
        auto& node = *this->nodes[index];
        node.isPaused = false;
        ++node.incarnation;
        node.lastVersion = 0;
        const auto ask = [this, index](const std::string& question) {
            const auto to = std::uniform_int_distribution<std::size_t>(0, this->nodes.size() - 1)(this->random);
            this->messages.push_back({ true, index, to, question });
        };
        node.follower = std::make_unique<ConfigFollower>(
            FollowerSettings { { node.name, node.incarnation }, "dc1", node.isolation }, this->platformOf(node),
            this->clock.clock(), this->random, ConfigFollower::Hooks { nullptr, ask });
        this->setVm(node.name, VmState::Live);
    }

    void killNode(std::size_t index) { this->nodes[index]->follower.reset(); }

    // Terminates a node and reports its VM as gone in the VM list.
    void removeNode(std::size_t index)
    {
        this->killNode(index);
        this->setVm(this->nodes[index]->name, VmState::Gone);
    }

    std::uint64_t currentVersion() const
    {
        const auto row = this->fake.row("config/current");
        return row.version == 0 ? 0 : Json::parse(row.value).at("version").get<std::uint64_t>();
    }

    struct Node {
        std::string name;
        std::uint64_t incarnation = 0;
        Isolation isolation = Isolation::Serve;
        std::unique_ptr<ConfigFollower> follower;
        std::uint64_t lastVersion = 0;
        bool isPaused = false;
        bool isPlatformUnreachable = false;
        bool arePeersUnreachable = false;
        bool losesCommitAnswers = false;
    };

    ManualClock clock;
    FakePlatform fake;
    Random random { 1 };
    std::vector<std::unique_ptr<Node>> nodes;
    std::unique_ptr<RolloutCoordinator> coordinators[2];
    std::deque<Message> messages;
    bool delayMessages = false;

private:
    void setVm(const std::string& name, VmState state)
    {
        for (auto& vm : this->fake.vms) {
            if (vm.name == name)
                vm.state = state;
        }
    }

    // Returns the hooks of the platform with the failures of one node.
    Platform platformOf(const Node& node)
    {
        auto hooks = this->fake.platform();
        const auto read = hooks.table.read;
        hooks.table.read = [&node, read](std::vector<std::string> keys, RowsHandler handler) {
            const bool cut = node.isPlatformUnreachable;
            read(std::move(keys), [cut, handler](auto rows) { handler(cut ? std::nullopt : rows); });
        };
        const auto commit = hooks.table.commit;
        hooks.table.commit = [&node, commit](std::vector<RowWrite> writes, CommitHandler handler) {
            // The write takes effect, but its answer is lost.
            const bool lost = node.losesCommitAnswers;
            if (node.isPlatformUnreachable)
                commit({ { "never", "", 99 } }, [handler](const CommitResult&) { handler({}); });
            else
                commit(std::move(writes), [lost, handler](const CommitResult& result) {
                    handler(lost ? CommitResult { CommitStatus::Unknown, {} } : result);
                });
        };
        const auto get = hooks.objects.get;
        hooks.objects.get = [&node, get](std::string name, auto handler) {
            const bool cut = node.isPlatformUnreachable;
            get(std::move(name), [cut, handler](auto content) { handler(cut ? std::nullopt : content); });
        };
        return hooks;
    }

    void deliverMessages()
    {
        // Answers are added while questions are delivered. Delayed messages stay for a later call.
        for (auto count = this->delayMessages ? 0 : this->messages.size() * 2; count > 0 && !this->messages.empty();
             --count) {
            const auto message = this->messages.front();
            this->messages.pop_front();
            auto& from = *this->nodes[message.from];
            auto& to = *this->nodes[message.to];
            if (message.from == message.to || !to.follower || from.arePeersUnreachable || to.arePeersUnreachable
                || to.isPaused)
                continue;
            if (!message.isQuestion) {
                to.follower->onAnswer(message.text);
            } else if (auto answer = to.follower->answer(message.text); !answer.empty()) {
                this->messages.push_back({ false, message.to, message.from, answer });
            }
        }
    }

    void checkInvariants()
    {
        const auto now = this->clock.now();
        const auto version = this->currentVersion();
        // The accepted version must never revert.
        const bool reverted = !this->history.empty() && version < this->history.back().version;
        RC_ASSERT(!reverted);
        if (version != 0 && (this->history.empty() || version > this->history.back().version)) {
            this->history.push_back(
                { version, now, parseConfig(this->fake.objects.at(fmt::format("config/{}", version)), "d") });
        }
        for (auto& node : this->nodes) {
            if (!node->follower)
                continue;
            RC_ASSERT(node->follower->versions().active >= node->lastVersion);
            RC_ASSERT(node->follower->versions().active <= version);
            node->lastVersion = node->follower->versions().active;
            this->checkRights(*node->follower->granted()->at(now), now);
        }
    }

    // The granted rights must not exceed those of a version that was current within the last `staleTimeout`.
    void checkRights(const Config& granted, TimePoint now)
    {
        bool allowed = !exceedsRights(granted, Config {});
        for (std::size_t i = 0; i < this->history.size(); ++i) {
            const bool recent = i + 1 == this->history.size() || now - this->history[i + 1].since <= staleTimeout;
            allowed = allowed || (recent && !exceedsRights(granted, this->history[i].config));
        }
        RC_ASSERT(allowed);
    }

    struct AcceptedVersion {
        std::uint64_t version = 0;
        TimePoint since;
        Config config;
    };
    std::vector<AcceptedVersion> history;
};

} // namespace waxwinglug::test
