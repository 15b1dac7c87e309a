// Compares scheduling rules for team shares and for limits in virtual time, with the demand of section 1.1 of the
// design page: each queue peaks in turn at five times its mean and falls to a twentieth in between. Prints two tables;
// the output is deterministic.
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
constexpr double teamShares[teamCount] = { 35, 25, 20, 10, 6, 4 };
constexpr int totalSlots = 80; // ten backend servers with 8 slots each
constexpr std::int64_t runDurationMs = 100;
constexpr std::int64_t peakDurationMs = 6000;

// Demand at this time as a multiple of its mean; each of `total` queues peaks in turn.
double demandFactor(std::int64_t now, int peakIndex, int total)
{
    return now / peakDurationMs % total == peakIndex ? 5.0 : 0.05;
}

enum class ShareRule {
    Fifo,
    NoExchange,
    WithExchange,
};

struct ShareNode {
    std::unique_ptr<RequestScheduler> scheduler;
    std::map<Ticket, int> team;
    std::multimap<TimePoint, Ticket> ends;
};

// Fair slot time of each team when the demands compete for `capacity`: by weight, with the time that a team does not
// need divided among the others.
std::vector<double> fairSlotTimes(const std::vector<double>& demandMs, double capacity)
{
    std::vector<double> fairTime(teamCount);
    for (int round = 0; round < teamCount; ++round) {
        double weights = 0;
        for (std::size_t team = 0; team < teamCount; ++team)
            weights += fairTime[team] < demandMs[team] ? teamShares[team] : 0;
        const auto remaining = capacity - std::accumulate(fairTime.begin(), fairTime.end(), 0.0);
        for (std::size_t team = 0; team < teamCount && weights > 0; ++team) {
            if (fairTime[team] < demandMs[team])
                fairTime[team] = std::min(demandMs[team], fairTime[team] + remaining * teamShares[team] / weights);
        }
    }
    return fairTime;
}

struct ShareResult {
    double shareErrorPercent = 0; // percent of the slot time served to other teams than entitled, mean over peaks
    double refusedPercent = 0; // of the requests
};

// The callers of each team peak at one node after the other, so its usage differs between nodes.
class ShareRun {
public:
    ShareRun(ShareRule shareRule, int count)
        : rule(shareRule)
        , nodes(static_cast<std::size_t>(count))
    {
        this->teams.reserve(teamCount);
        for (int i = 0; i < teamCount; ++i)
            this->teams.push_back({ "t" + std::to_string(i), teamShares[i] });
        // With a single team the scheduler acts as a FIFO queue.
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
            if (ms % 1000 == 999 && this->rule == ShareRule::WithExchange)
                this->exchange();
            if (ms % peakDurationMs != peakDurationMs - 1)
                continue;
            result.shareErrorPercent += this->shareErrorPercent();
            ++periods;
        }
        result.shareErrorPercent /= periods;
        result.refusedPercent = 100 * this->refusedCount / this->submittedCount;
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
            ++this->refusedCount;
            node.team.erase(ticket);
        });
        for (int team = 0; team < teamCount; ++team) {
            // All teams have equal demand, in total 1.5 times the slot capacity.
            const auto count = static_cast<double>(this->nodes.size());
            const auto factor = count == 1 ? 1 : demandFactor(ms, (team + static_cast<int>(n)) % 6, 6);
            const auto rate = 1.5 * totalSlots / runDurationMs / teamCount / count * factor;
            if (static_cast<double>(this->random() % 1'000'000) < rate * 1e6)
                this->submit(node, team);
        }
        while (const auto ticket = scheduler.grantNext(this->now)) {
            scheduler.markStarted(ticket, this->now);
            node.ends.emplace(this->now + Duration { runDurationMs }, ticket);
            this->servedTimeMs[static_cast<std::size_t>(node.team.at(ticket))] += runDurationMs;
        }
    }

    void submit(ShareNode& node, int team)
    {
        ++this->submittedCount;
        this->demandMs[static_cast<std::size_t>(team)] += runDurationMs;
        // Declared run times deviate by up to a factor of ten in both directions.
        const Duration declared { static_cast<std::int64_t>(runDurationMs * std::pow(10, team % 3 - 1)) };
        const auto& name = this->teams[static_cast<std::size_t>(this->rule == ShareRule::Fifo ? 0 : team)].name;
        const auto admission = node.scheduler->submit(
            { name, WorkClass::Interactive, this->now + Duration { 2000 }, declared }, this->now);
        if (admission.ticket != 0)
            node.team[admission.ticket] = team;
        else
            ++this->refusedCount;
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

    // Compares with the slot time served, so that idle slots of nodes without demand are not counted as an error.
    double shareErrorPercent()
    {
        const auto total = std::accumulate(this->servedTimeMs.begin(), this->servedTimeMs.end(), 0.0);
        const auto fairTime = fairSlotTimes(this->demandMs, total);
        double sum = 0;
        for (std::size_t team = 0; team < teamCount; ++team)
            sum += std::abs(this->servedTimeMs[team] - fairTime[team]) / 2 / total * 100;
        std::fill(this->servedTimeMs.begin(), this->servedTimeMs.end(), 0.0);
        std::fill(this->demandMs.begin(), this->demandMs.end(), 0.0);
        return sum;
    }

    ShareRule rule;
    std::vector<ShareNode> nodes;
    std::vector<TeamShare> teams;
    Random random { 20261204 };
    TimePoint now { std::chrono::hours(1) };
    std::vector<double> servedTimeMs = std::vector<double>(teamCount);
    std::vector<double> demandMs = std::vector<double>(teamCount);
    double submittedCount = 0;
    double refusedCount = 0;
};

struct LimitResult {
    double idleUnits = 0; // mean number of idle units while some node refuses
    double catchUpMs = 0; // mean time from the start of a peak until its node holds enough units
    double refusingPercent = 0; // of the time
    std::uint64_t commits = 0; // row writes in 180 s
};

// Simulates one team with a limit of 48 units, whose peak moves between the nodes.
LimitResult compareLimits(double requestThreshold, bool isFixed, int nodeCount)
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
    int refusingSteps = 0;
    int catchUpCount = 0;
    std::int64_t peakStart = -1;
    const int mean = limit / 5;
    for (std::int64_t ms = 0; ms < 180'000; ms += 10, clock.advance(Duration { 10 })) {
        int idleUnits = 0;
        bool isRefusing = false;
        if (ms % peakDurationMs == 0)
            peakStart = ms;
        for (int i = 0; i < nodeCount; ++i) {
            auto& node = *nodes[static_cast<std::size_t>(i)];
            // Demand rises over the first second of a peak.
            const auto factor = demandFactor(ms, i, nodeCount);
            const auto ramp = std::min(1.0, static_cast<double>(ms % peakDurationMs + 10) / 1000);
            const auto demand = static_cast<int>(factor > 1 ? mean * factor * 0.9 * ramp : mean * factor);
            const auto heldUnits = isFixed ? limit / nodeCount : node.heldUnits("r");
            while (!isFixed && node.runningCount("r") > demand)
                node.release("r");
            while (!isFixed && node.runningCount("r") < demand && node.acquire("r")) { }
            node.setWaiting("r", std::max(0, demand - node.runningCount("r")));
            idleUnits += std::max(0, heldUnits - demand);
            isRefusing = isRefusing || demand > heldUnits;
            if (factor > 1 && ramp >= 1 && peakStart >= 0 && heldUnits >= demand) {
                result.catchUpMs += static_cast<double>(ms - peakStart - 990);
                ++catchUpCount;
                peakStart = -1;
            }
            if (ms % 50 == 0)
                node.tick();
        }
        // A message takes one step of 10 ms, an answer of the table two.
        for (auto count = messages.size(); count > 0; --count) {
            const auto message = messages.front();
            messages.pop_front();
            message();
        }
        if (ms % 20 == 0)
            platform.deliver();
        if (isRefusing) {
            ++refusingSteps;
            result.idleUnits += idleUnits;
        }
    }
    result.idleUnits /= std::max(refusingSteps, 1);
    result.catchUpMs = catchUpCount == 0 ? -1 : result.catchUpMs / catchUpCount;
    result.refusingPercent = refusingSteps / 180.0;
    for (const auto& node : nodes)
        result.commits += isFixed ? 0 : node->commits();
    return result;
}

} // namespace

int main()
{
    fmt::print("| entry nodes | rule | share error, % | refused, % |\n|---|---|---|---|\n");
    for (const int nodes : { 1, 3, 9 }) {
        const char* names[] = { "FIFO", "fair, no exchange", "fair, exchange (in use)" };
        for (const auto rule : { ShareRule::Fifo, ShareRule::NoExchange, ShareRule::WithExchange }) {
            const auto result = ShareRun(rule, nodes).run();
            fmt::print("| {} | {} | {:.1f} | {:.1f} |\n", nodes, names[static_cast<int>(rule)],
                result.shareErrorPercent, result.refusedPercent);
        }
    }
    fmt::print("\n| entry nodes | rule | idle units while refusing | time refusing, % | ms to follow | row writes "
               "|\n|---|---|---|---|---|---|\n");
    for (const int nodes : { 1, 3, 9 }) {
        const auto line = [nodes](const char* name, const LimitResult& result) {
            fmt::print("| {} | {} | {:.1f} | {:.1f} | {} | {} |\n", nodes, name, result.idleUnits,
                result.refusingPercent, result.catchUpMs < 0 ? "never" : fmt::format("{:.0f}", result.catchUpMs),
                result.commits);
        };
        line("equal split", compareLimits(1, true, nodes));
        line("on demand (100%)", compareLimits(1, false, nodes));
        line("early (75%)", compareLimits(0.75, false, nodes));
    }
    return 0;
}
