// Compares rules for shares and for limits in virtual time, with the demand of section 1.1 of the design page: each
// queue peaks in turn at five times its mean and falls to a twentieth in between. Prints two tables; every run prints
// the same figures.
#include <waxwinglug/admission.h>
#include <waxwinglug/allotments.h>

#include "support/fake-platform.h"

#include <fmt/format.h>

#include <cmath>
#include <deque>
#include <numeric>

namespace {

using namespace waxwinglug;

constexpr int teamCount = 6; // client accounts, a few of them large
constexpr double shares[teamCount] = { 35, 25, 20, 10, 6, 4 };
constexpr int totalSlots = 80; // ten executors with 8 slots
constexpr std::int64_t runMs = 100;
constexpr std::int64_t peakMs = 6000;

// Part of the mean demand at this time; `whose` peaks in turn among `all`.
double demandFactor(std::int64_t now, int whose, int all) { return now / peakMs % all == whose ? 5.0 : 0.05; }

enum class ShareRule {
    Fifo,
    NoExchange,
    Chosen,
};

struct ShareNode {
    std::unique_ptr<RequestScheduler> scheduler;
    std::map<Ticket, int> team;
    std::multimap<TimePoint, Ticket> ends;
};

// What each team is due when `wanted` slot time competes for `capacity`: by weight, with what a team does not want
// divided among the others.
std::vector<double> dueByShare(const std::vector<double>& wanted, double capacity)
{
    std::vector<double> due(teamCount);
    for (int round = 0; round < teamCount; ++round) {
        double weights = 0;
        for (std::size_t team = 0; team < teamCount; ++team)
            weights += due[team] < wanted[team] ? shares[team] : 0;
        const auto left = capacity - std::accumulate(due.begin(), due.end(), 0.0);
        for (std::size_t team = 0; team < teamCount && weights > 0; ++team) {
            if (due[team] < wanted[team])
                due[team] = std::min(wanted[team], due[team] + left * shares[team] / weights);
        }
    }
    return due;
}

struct ShareResult {
    double error = 0; // mean over peaks of the slot time that went to other teams than it was due to, in percent
    double refused = 0; // percent of the requests
};

// Each team's callers peak in turn at one node after the other, so its usage differs between nodes.
class ShareRun {
public:
    ShareRun(ShareRule shareRule, int count)
        : rule(shareRule)
        , nodes(static_cast<std::size_t>(count))
    {
        this->teams.reserve(teamCount);
        for (int i = 0; i < teamCount; ++i)
            this->teams.push_back({ "t" + std::to_string(i), shares[i] });
        // With one team only, the scheduler is a FIFO queue.
        const std::vector<TeamShare> single { { "t0", 100 } };
        for (auto& node : this->nodes) {
            RequestSchedulerSettings settings;
            settings.slots = totalSlots / count;
            settings.fleetSlots = totalSlots;
            node.scheduler = std::make_unique<RequestScheduler>(settings, [](std::string_view) { return true; });
            node.scheduler->setTeams(this->rule == ShareRule::Fifo ? single : this->teams);
        }
    }

    ShareResult run()
    {
        ShareResult result;
        int periods = 0;
        for (std::int64_t ms = 0; ms < 72'000; ++ms, this->now += Duration { 1 }) {
            for (std::size_t n = 0; n < this->nodes.size(); ++n)
                this->step(this->nodes[n], n, ms);
            if (ms % 1000 == 999 && this->rule == ShareRule::Chosen)
                this->exchange();
            if (ms % peakMs != peakMs - 1)
                continue;
            result.error += this->error();
            ++periods;
        }
        result.error /= periods;
        result.refused = 100 * this->refused / this->submitted;
        return result;
    }

private:
    void step(ShareNode& node, std::size_t n, std::int64_t ms)
    {
        auto& scheduler = *node.scheduler;
        while (!node.ends.empty() && node.ends.begin()->first <= this->now) {
            scheduler.markFinished(node.ends.begin()->second, this->now);
            node.team.erase(node.ends.begin()->second);
            node.ends.erase(node.ends.begin());
        }
        scheduler.expire(this->now, [&](Ticket ticket) {
            ++this->refused;
            node.team.erase(ticket);
        });
        for (int team = 0; team < teamCount; ++team) {
            // Equal demand of all teams, 1.5 times what the slots hold together.
            const auto count = static_cast<double>(this->nodes.size());
            const auto moves = count == 1 ? 1 : demandFactor(ms, (team + static_cast<int>(n)) % 6, 6);
            const auto rate = 1.5 * totalSlots / runMs / teamCount / count * moves;
            if (static_cast<double>(this->random() % 1'000'000) < rate * 1e6)
                this->submit(node, team);
        }
        while (const auto ticket = scheduler.grantNext(this->now)) {
            scheduler.markStarted(ticket, this->now);
            node.ends.emplace(this->now + Duration { runMs }, ticket);
            this->used[static_cast<std::size_t>(node.team.at(ticket))] += runMs;
        }
    }

    void submit(ShareNode& node, int team)
    {
        ++this->submitted;
        this->wanted[static_cast<std::size_t>(team)] += runMs;
        // Declared run times are off by up to a factor of ten in both directions.
        const Duration declared { static_cast<std::int64_t>(runMs * std::pow(10, team % 3 - 1)) };
        const auto& name = this->teams[static_cast<std::size_t>(this->rule == ShareRule::Fifo ? 0 : team)].name;
        const auto admission = node.scheduler->submit(
            { name, WorkClass::Interactive, this->now + Duration { 2000 }, declared }, this->now);
        if (admission.ticket != 0)
            node.team[admission.ticket] = team;
        else
            ++this->refused;
    }

    void exchange()
    {
        for (std::size_t from = 0; from < this->nodes.size(); ++from) {
            std::vector<TeamUsage> usage;
            this->nodes[from].scheduler->appendUsage(this->now, usage);
            for (std::size_t to = 0; to < this->nodes.size(); ++to) {
                if (to != from)
                    this->nodes[to].scheduler->applyPeerUsage({ std::to_string(from), 1 }, usage);
            }
        }
    }

    // Compared with what was served, so that slots of nodes without demand are not counted as an error.
    double error()
    {
        const auto all = std::accumulate(this->used.begin(), this->used.end(), 0.0);
        const auto due = dueByShare(this->wanted, all);
        double sum = 0;
        for (std::size_t team = 0; team < teamCount; ++team)
            sum += std::abs(this->used[team] - due[team]) / 2 / all * 100;
        std::fill(this->used.begin(), this->used.end(), 0.0);
        std::fill(this->wanted.begin(), this->wanted.end(), 0.0);
        return sum;
    }

    ShareRule rule;
    std::vector<ShareNode> nodes;
    std::vector<TeamShare> teams;
    Random random { 20261204 };
    TimePoint now { std::chrono::hours(1) };
    std::vector<double> used = std::vector<double>(teamCount);
    std::vector<double> wanted = std::vector<double>(teamCount);
    double submitted = 0;
    double refused = 0;
};

struct LimitResult {
    double idle = 0; // units idle while some node refuses, mean over that time
    double follow = 0; // ms from the start of a peak until its node holds what it can use, mean
    double refusing = 0; // percent of the time
    std::uint64_t commits = 0; // row writes in 180 s
};

// One team with a limit of 48; the peak moves between the nodes.
LimitResult compareLimits(double requestThreshold, bool fixed, int nodeCount)
{
    constexpr int limit = 48;
    test::FakePlatform platform;
    ManualClock clock;
    std::vector<std::unique_ptr<Allotments>> nodes;
    std::deque<std::function<void()>> messages;
    AllotmentSettings settings;
    settings.requestThreshold = requestThreshold;
    const auto to = [&](const NodeId& id) -> Allotments& { return *nodes[id.incarnation - 1]; };
    AllotmentHooks hooks;
    hooks.isGone = [](const NodeId&) { return false; };
    hooks.sendRequest = [&](const NodeId& id, const UnitRequest& request) {
        messages.emplace_back([&to, id, request] { to(id).onRequest(request); });
    };
    hooks.sendLoan = [&](const NodeId& id, const UnitLoan& loan) {
        messages.emplace_back([&to, id, loan] { to(id).onLoan(loan); });
    };
    for (int i = 0; i < nodeCount; ++i) {
        nodes.push_back(std::make_unique<Allotments>(NodeId { "e", static_cast<std::uint64_t>(i) + 1 }, settings,
            clock.clock(), platform.platform().table, hooks));
        nodes.back()->setLimit("r", limit, 1);
    }
    LimitResult result;
    int refusing = 0;
    int followed = 0;
    std::int64_t peakStart = -1;
    const int mean = limit / 5;
    for (std::int64_t ms = 0; ms < 180'000; ms += 10, clock.advance(Duration { 10 })) {
        int idle = 0;
        bool refuses = false;
        if (ms % peakMs == 0)
            peakStart = ms;
        for (int i = 0; i < nodeCount; ++i) {
            auto& node = *nodes[static_cast<std::size_t>(i)];
            // Demand rises over the first second of a peak.
            const auto factor = demandFactor(ms, i, nodeCount);
            const auto ramp = std::min(1.0, static_cast<double>(ms % peakMs + 10) / 1000);
            const auto demand = static_cast<int>(factor > 1 ? mean * factor * 0.9 * ramp : mean * factor);
            const auto heldUnits = fixed ? limit / nodeCount : node.heldUnits("r");
            while (!fixed && node.runningCount("r") > demand)
                node.release("r");
            while (!fixed && node.runningCount("r") < demand && node.acquire("r")) { }
            node.setWaiting("r", std::max(0, demand - node.runningCount("r")));
            idle += std::max(0, heldUnits - demand);
            refuses = refuses || demand > heldUnits;
            if (factor > 1 && ramp >= 1 && peakStart >= 0 && heldUnits >= demand) {
                result.follow += static_cast<double>(ms - peakStart - 990);
                ++followed;
                peakStart = -1;
            }
            if (ms % 50 == 0)
                node.tick();
        }
        // A message takes a step, an answer of the table two.
        for (auto count = messages.size(); count > 0; --count) {
            const auto message = messages.front();
            messages.pop_front();
            message();
        }
        if (ms % 20 == 0)
            platform.deliver();
        if (refuses) {
            ++refusing;
            result.idle += idle;
        }
    }
    result.idle /= std::max(refusing, 1);
    result.follow = followed == 0 ? -1 : result.follow / followed;
    result.refusing = refusing / 180.0;
    for (const auto& node : nodes)
        result.commits += fixed ? 0 : node->commits();
    return result;
}

} // namespace

int main()
{
    fmt::print("| entry nodes | rule | share error, % | refused, % |\n|---|---|---|---|\n");
    for (const int nodes : { 1, 3, 9 }) {
        const char* names[] = { "FIFO", "fair, no exchange", "fair, exchange (chosen)" };
        for (const auto rule : { ShareRule::Fifo, ShareRule::NoExchange, ShareRule::Chosen }) {
            const auto result = ShareRun(rule, nodes).run();
            fmt::print(
                "| {} | {} | {:.1f} | {:.1f} |\n", nodes, names[static_cast<int>(rule)], result.error, result.refused);
        }
    }
    fmt::print("\n| entry nodes | rule | idle units while refusing | time refusing, % | ms to follow | row writes "
               "|\n|---|---|---|---|---|---|\n");
    for (const int nodes : { 1, 3, 9 }) {
        const auto line = [nodes](const char* name, const LimitResult& result) {
            fmt::print("| {} | {} | {:.1f} | {:.1f} | {} | {} |\n", nodes, name, result.idle, result.refusing,
                result.follow < 0 ? "never" : fmt::format("{:.0f}", result.follow), result.commits);
        };
        line("equal split", compareLimits(1, true, nodes));
        line("on demand (100%)", compareLimits(1, false, nodes));
        line("early (75%)", compareLimits(0.75, false, nodes));
    }
    return 0;
}
