// Several followers and two coordinators on one in-memory platform, with the failures that a node can see: cut off from
// the platform or from peers, answers lost, paused, ended, gone. The invariant is checked after each step.
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

// A document whose rights depend on the seed: keys a to d, the limit, the services of the team, and whether the
// second service is open.
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

template <typename T> bool subset(const std::vector<T>& part, const std::vector<T>& whole)
{
    return std::all_of(part.begin(), part.end(),
        [&whole](const T& item) { return std::find(whole.begin(), whole.end(), item) != whole.end(); });
}

inline bool exceeds(const Config& granted, const Config& allowed)
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
        if (other == allowed.teams.end() || !subset(team.keys, other->second.keys)
            || !subset(team.services, other->second.services) || team.limit > other->second.limit)
            return true;
    }
    return false;
}

struct Message {
    bool question = true;
    std::size_t from = 0;
    std::size_t to = 0;
    std::string text;
};

class World {
public:
    explicit World(std::vector<Isolation> isolations)
    {
        for (std::size_t i = 0; i < isolations.size(); ++i) {
            auto node = std::make_unique<Node>();
            node->name = fmt::format("e{}", i);
            node->isolation = isolations[i];
            this->fake.vms.push_back({ node->name, VmState::Live, 1 });
            this->nodes.push_back(std::move(node));
            this->start(i);
        }
        for (auto& coordinator : this->coordinators)
            coordinator
                = std::make_unique<RolloutCoordinator>(this->fake.platform(), this->clock.clock(), this->random);
        this->propose(0, 15);
        this->settle();
    }

    // Runs until nothing is pending and every node had time to follow.
    void settle()
    {
        for (int i = 0; i < 100; ++i)
            this->advance(200ms);
    }

    void advance(Duration by)
    {
        this->clock.advance(by);
        for (auto& node : this->nodes) {
            if (node->follower && !node->paused)
                node->follower->tick();
        }
        for (auto& coordinator : this->coordinators)
            coordinator->tick();
        this->fake.deliver();
        this->deliverMessages();
        this->check();
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

    void start(std::size_t index)
    {
        auto& node = *this->nodes[index];
        node.paused = false;
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

    void kill(std::size_t index) { this->nodes[index]->follower.reset(); }

    // A node whose VM the list reports as gone.
    void remove(std::size_t index)
    {
        this->kill(index);
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
        bool paused = false;
        bool cutFromPlatform = false;
        bool cutFromPeers = false;
        bool losesAnswers = false;
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

    // The hooks of the platform as one node sees them.
    Platform platformOf(const Node& node)
    {
        auto hooks = this->fake.platform();
        const auto read = hooks.table.read;
        hooks.table.read = [&node, read](std::vector<std::string> keys, RowsHandler handler) {
            const bool cut = node.cutFromPlatform;
            read(std::move(keys), [cut, handler](auto rows) { handler(cut ? std::nullopt : rows); });
        };
        const auto commit = hooks.table.commit;
        hooks.table.commit = [&node, commit](std::vector<RowWrite> writes, CommitHandler handler) {
            // The write takes effect, but no answer arrives.
            const bool lost = node.losesAnswers;
            if (node.cutFromPlatform)
                commit({ { "never", "", 99 } }, [handler](const CommitResult&) { handler({}); });
            else
                commit(std::move(writes), [lost, handler](const CommitResult& result) {
                    handler(lost ? CommitResult { CommitStatus::Unknown, {} } : result);
                });
        };
        const auto get = hooks.objects.get;
        hooks.objects.get = [&node, get](std::string name, auto handler) {
            const bool cut = node.cutFromPlatform;
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
            if (message.from == message.to || !to.follower || from.cutFromPeers || to.cutFromPeers || to.paused)
                continue;
            if (!message.question) {
                to.follower->onAnswer(message.text);
            } else if (auto answer = to.follower->answer(message.text); !answer.empty()) {
                this->messages.push_back({ false, message.to, message.from, answer });
            }
        }
    }

    void check()
    {
        const auto now = this->clock.now();
        const auto version = this->currentVersion();
        // An accepted version never reverts.
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

    // Rights must be those of a version that was current at some time within the last `staleTimeout`.
    void checkRights(const Config& granted, TimePoint now)
    {
        bool allowed = !exceeds(granted, Config {});
        for (std::size_t i = 0; i < this->history.size(); ++i) {
            const bool recent = i + 1 == this->history.size() || now - this->history[i + 1].since <= staleTimeout;
            allowed = allowed || (recent && !exceeds(granted, this->history[i].config));
        }
        RC_ASSERT(allowed);
    }

    struct Accepted {
        std::uint64_t version = 0;
        TimePoint since;
        Config config;
    };
    std::vector<Accepted> history;
};

} // namespace waxwinglug::test
