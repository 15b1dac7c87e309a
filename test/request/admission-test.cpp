// Tests of RequestScheduler: refusals, team shares, priority of the work classes, and slots that are freed only on
// confirmation.
#include <waxwinglug/admission.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace waxwinglug {
namespace {

    using namespace std::chrono_literals;

    constexpr TimePoint origin { 1h };

    const std::vector<TeamShare> teams { { "north", 60 }, { "south", 30 }, { "west", 10 } };

    bool always(std::string_view) { return true; }

    // Simulates a scheduler with its slots: each granted request runs for the simulated time that `runTime` returns.
    struct SchedulerSimulation {
        explicit SchedulerSimulation(const RequestSchedulerSettings& settings)
            : scheduler(settings, always)
        {
            this->scheduler.setTeams(teams);
        }

        Admission submit(std::string_view team, WorkClass workClass, Duration deadline, Duration declared = 0ms)
        {
            const auto due = deadline == Duration::max() ? TimePoint::max() : this->now + deadline;
            const auto result = this->scheduler.submit({ team, workClass, due, declared }, this->now);
            if (result.ticket != 0)
                this->owner[result.ticket] = { std::string(team), workClass };
            return result;
        }

        void step(const std::function<Duration(const std::string& team, WorkClass)>& runTime)
        {
            this->now += 1ms;
            while (!this->ends.empty() && this->ends.begin()->first <= this->now) {
                this->scheduler.markFinished(this->ends.begin()->second, this->now);
                this->ends.erase(this->ends.begin());
            }
            this->scheduler.expire(this->now, [](Ticket) {});
            while (const auto ticket = this->scheduler.grantNext(this->now)) {
                const auto& [team, workClass] = this->owner.at(ticket);
                this->scheduler.markStarted(ticket, this->now);
                const auto run = runTime(team, workClass);
                this->ends.emplace(this->now + run, ticket);
                this->used[team] += run;
                this->usedByClass[workClass] += run;
            }
        }

        TimePoint now = origin;
        RequestScheduler scheduler;
        std::map<Ticket, std::pair<std::string, WorkClass>> owner;
        std::multimap<TimePoint, Ticket> ends;
        std::map<std::string, Duration> used;
        std::map<WorkClass, Duration> usedByClass;
    };

    double part(Duration some, Duration all)
    {
        return static_cast<double>(some.count()) / static_cast<double>(all.count());
    }

    // Guards against shares that follow the number of requests or the declared run times instead of the slot time used.
    TEST(RequestScheduler, sharesHoldWhenDeclaredTimesAreWrong)
    {
        RequestSchedulerSettings settings;
        settings.slots = 4;
        SchedulerSimulation simulation(settings);
        const std::map<std::string, Duration> run { { "north", 20ms }, { "south", 200ms }, { "west", 50ms } };
        for (int i = 0; i < 20'000; ++i) {
            for (const auto& team : teams) {
                if (simulation.scheduler.waitingCount(team.name) < 5)
                    simulation.submit(
                        team.name, WorkClass::Interactive, Duration::max(), team.name == "south" ? 1ms : 10s);
            }
            simulation.step([&](const std::string& team, WorkClass) { return run.at(team); });
        }
        const auto all = simulation.used["north"] + simulation.used["south"] + simulation.used["west"];
        EXPECT_NEAR(part(simulation.used["north"], all), 0.6, 0.03);
        EXPECT_NEAR(part(simulation.used["south"], all), 0.3, 0.03);
        EXPECT_NEAR(part(simulation.used["west"], all), 0.1, 0.03);
    }

    // Guards against a team that uses its share on another node and gets it again on this node.
    TEST(RequestScheduler, usageOnOtherNodesCounts)
    {
        RequestSchedulerSettings settings;
        settings.slots = 4;
        settings.fleetSlots = 8;
        SchedulerSimulation simulation(settings);
        std::uint64_t elsewhere = 1;
        for (int i = 0; i < 20'000; ++i) {
            for (const auto& team : teams) {
                if (simulation.scheduler.waitingCount(team.name) < 5)
                    simulation.submit(team.name, WorkClass::Interactive, Duration::max());
            }
            if (i % 1000 == 0) {
                // The other node has four slots; north uses two of them, and no team that waits here uses the other
                // two.
                const std::vector<TeamUsage> report { { "north", elsewhere += 2000, 0 } };
                simulation.scheduler.applyPeerUsage({ "other", 1 }, report);
                simulation.scheduler.applyPeerUsage({ "other", 1 }, report); // duplicate report
            }
            simulation.step([](const std::string&, WorkClass) { return 20ms; });
        }
        // 80 s of slot time here plus 40 s that north used on the other node: 60% of the sum is 72 s, of which 32 s
        // remain.
        EXPECT_NEAR(part(simulation.used["north"], 80s), (72.0 - 40.0) / 80.0, 0.05);
    }

    // Guards against starvation of background work, and against background work that gets more than its fraction.
    TEST(RequestScheduler, backgroundGetsItsFractionAndNoMore)
    {
        RequestSchedulerSettings settings;
        settings.slots = 4;
        SchedulerSimulation simulation(settings);
        for (int i = 0; i < 60'000; ++i) {
            if (simulation.scheduler.waitingCount("north") < 5)
                simulation.submit("north", WorkClass::Interactive, Duration::max());
            if (simulation.scheduler.waitingCount("south") < 5)
                simulation.submit("south", WorkClass::Background, Duration::max());
            simulation.step([](const std::string&, WorkClass workClass) {
                return workClass == WorkClass::Background ? 400ms : 20ms;
            });
        }
        const auto background = simulation.usedByClass[WorkClass::Background];
        EXPECT_NEAR(part(background, background + simulation.usedByClass[WorkClass::Interactive]), 0.1, 0.02);
    }

    // Guards against background work that misses its due time although slots were available for it.
    TEST(RequestScheduler, backgroundRisesAsItsDueTimeNears)
    {
        RequestSchedulerSettings settings;
        settings.slots = 4;
        settings.rampTime = 60s;
        SchedulerSimulation simulation(settings);
        const auto due = simulation.now + 60s;
        std::vector<Duration> usedByThird(3);
        for (int i = 0; i < 60'000; ++i) {
            if (simulation.scheduler.waitingCount("north") < 5)
                simulation.submit("north", WorkClass::Interactive, Duration::max());
            if (simulation.scheduler.waitingCount("south") < 5)
                simulation.submit("south", WorkClass::Background, due - simulation.now);
            simulation.step([](const std::string&, WorkClass) { return 20ms; });
            usedByThird[static_cast<std::size_t>(i / 20'000)] = simulation.usedByClass[WorkClass::Background];
        }
        const auto first = usedByThird[0];
        const auto last = usedByThird[2] - usedByThird[1];
        EXPECT_GT(last, first * 2);
        EXPECT_LT(part(last, 80s), 0.5);
    }

    // Guards against accepting a request whose deadline will pass while it waits.
    TEST(RequestScheduler, unreachableDeadlineIsRefusedEarly)
    {
        RequestSchedulerSettings settings;
        settings.slots = 1;
        SchedulerSimulation simulation(settings);
        const auto run = [](const std::string&, WorkClass) { return 100ms; };
        simulation.submit("north", WorkClass::Interactive, 1s);
        for (int i = 0; i < 150; ++i)
            simulation.step(run);
        int admitted = 0;
        while (simulation.submit("north", WorkClass::Interactive, 1s).refusal == AdmissionRefusal::None)
            ++admitted;
        EXPECT_NEAR(admitted, 10, 1);
        EXPECT_EQ(
            simulation.submit("north", WorkClass::Interactive, 1s).refusal, AdmissionRefusal::DeadlineUnreachable);
        EXPECT_EQ(simulation.submit("north", WorkClass::Interactive, 0s).refusal, AdmissionRefusal::DeadlinePassed);
        EXPECT_EQ(simulation.submit("east", WorkClass::Interactive, 1s).refusal, AdmissionRefusal::UnknownTeam);
        // Another team has its own share of the slots and is still admitted.
        EXPECT_EQ(simulation.submit("south", WorkClass::Interactive, 1s).refusal, AdmissionRefusal::None);
    }

    // Guards against a burst of one team that locks out the others.
    TEST(RequestScheduler, fullQueueStillAdmitsOtherTeams)
    {
        RequestSchedulerSettings settings;
        settings.slots = 1;
        settings.queueLimit = 20;
        SchedulerSimulation simulation(settings);
        while (simulation.submit("north", WorkClass::Interactive, Duration::max()).refusal == AdmissionRefusal::None) {
        }
        EXPECT_EQ(
            simulation.submit("north", WorkClass::Interactive, Duration::max()).refusal, AdmissionRefusal::QueueFull);
        EXPECT_EQ(simulation.submit("west", WorkClass::Interactive, Duration::max()).refusal, AdmissionRefusal::None);
        while (simulation.submit("south", WorkClass::Interactive, Duration::max()).refusal == AdmissionRefusal::None) {
        }
        EXPECT_LE(simulation.scheduler.waitingCount(), 40U);
    }

    // Guards against granting a slot again while the cancelled request may still be running.
    TEST(RequestScheduler, cancelledRunningWorkKeepsItsSlot)
    {
        RequestSchedulerSettings settings;
        settings.slots = 1;
        RequestScheduler scheduler(settings, always);
        scheduler.setTeams(teams);
        const auto running = scheduler.submit({ .team = "north" }, origin).ticket;
        const auto waiting = scheduler.submit({ .team = "north" }, origin).ticket;
        EXPECT_EQ(scheduler.grantNext(origin), running);
        scheduler.markStarted(running, origin);
        EXPECT_EQ(scheduler.cancel(running, origin), CancelResult::Running);
        EXPECT_EQ(scheduler.grantNext(origin), 0U);
        scheduler.markFinished(running, origin + 1s);
        scheduler.markFinished(running, origin + 1s); // repeated
        EXPECT_EQ(scheduler.cancel(running, origin), CancelResult::Unknown);
        EXPECT_EQ(scheduler.grantNext(origin + 1s), waiting);
        EXPECT_EQ(scheduler.freeSlots(), 0);
    }

    // Guards against more running requests than slots, starts of a team without a free unit, tickets that are both run
    // and refused, and requests that never end. Random submissions, cancellations, ends, expiries and changes of the
    // slot count.
    RC_GTEST_PROP(RequestScheduler, everyRequestEndsExactlyOnce, ())
    {
        RequestSchedulerSettings settings;
        settings.slots = 2;
        settings.queueLimit = 8;
        std::map<std::string, int, std::less<>> units { { "north", 2 }, { "south", 1 }, { "west", 2 } };
        std::map<std::string, int, std::less<>> running;
        RequestScheduler scheduler(
            settings, [&](std::string_view team) { return running[std::string(team)] < units.find(team)->second; });
        scheduler.setTeams(teams);
        std::map<Ticket, std::string> waiting;
        std::map<Ticket, std::string> granted;
        std::map<Ticket, TimePoint> deadlines; // of the waiting interactive requests
        std::set<Ticket> ended;
        int slots = settings.slots;
        auto now = origin;
        const auto end = [&](Ticket ticket) { RC_ASSERT(ended.insert(ticket).second); };
        const auto ops = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange(0, 1000)));
        for (const auto& [kind, value] : ops) {
            now += Duration { value % 40 };
            const auto& team = teams[static_cast<std::size_t>(value) % 3].name;
            if (kind < 4) {
                const auto workClass = value % 5 == 0 ? WorkClass::Background : WorkClass::Interactive;
                const auto result = scheduler.submit({ team, workClass, now + Duration { value }, 20ms }, now);
                RC_ASSERT((result.ticket == 0) == (result.refusal != AdmissionRefusal::None));
                if (result.ticket != 0)
                    RC_ASSERT(waiting.emplace(result.ticket, team).second);
                if (result.ticket != 0 && workClass == WorkClass::Interactive)
                    deadlines[result.ticket] = now + Duration { value };
            } else if (kind == 4) {
                slots = value % 4;
                scheduler.setSlots(slots);
            } else if (kind == 5 && !waiting.empty()) {
                const auto chosen = std::next(waiting.begin(), value % static_cast<int>(waiting.size()));
                RC_ASSERT(scheduler.cancel(chosen->first, now) == CancelResult::NotRun);
                end(chosen->first);
                deadlines.erase(chosen->first);
                waiting.erase(chosen);
            } else if (kind == 6 && !granted.empty()) {
                const auto chosen = std::next(granted.begin(), value % static_cast<int>(granted.size()));
                if (value % 3 != 0)
                    scheduler.markStarted(chosen->first, now - 5ms);
                if (value % 2 == 0)
                    RC_ASSERT(scheduler.cancel(chosen->first, now) == CancelResult::Running);
                scheduler.markFinished(chosen->first, now);
                --running[chosen->second];
                end(chosen->first);
                granted.erase(chosen);
            } else {
                scheduler.expire(now, [&](Ticket ticket) {
                    RC_ASSERT(waiting.erase(ticket) == 1U);
                    RC_ASSERT(deadlines.at(ticket) <= now);
                    deadlines.erase(ticket);
                    end(ticket);
                });
                for (const auto& [ticket, deadline] : deadlines)
                    RC_ASSERT(deadline > now);
                while (const auto ticket = scheduler.grantNext(now)) {
                    const auto found = waiting.find(ticket);
                    RC_ASSERT(found != waiting.end());
                    RC_ASSERT(++running[found->second] <= units[found->second]);
                    granted.insert(*found);
                    deadlines.erase(ticket);
                    waiting.erase(found);
                    RC_ASSERT(static_cast<int>(granted.size()) <= slots);
                }
            }
            RC_ASSERT(scheduler.waitingCount() == waiting.size());
            RC_ASSERT(scheduler.occupiedSlots() == static_cast<int>(granted.size()));
        }
        // After every sequence of events, each waiting request can still start or expire.
        scheduler.setSlots(4);
        now += 10s;
        scheduler.expire(now, [&](Ticket ticket) { waiting.erase(ticket); });
        for (const auto& [ticket, team] : granted) {
            scheduler.markFinished(ticket, now);
            --running[team];
        }
        while (const auto ticket = scheduler.grantNext(now)) {
            waiting.erase(ticket);
            scheduler.markFinished(ticket, now);
        }
        RC_ASSERT(waiting.empty());
    }

} // namespace
} // namespace waxwinglug
