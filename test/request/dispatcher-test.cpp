// Tests of the dispatcher: correct outcomes, no second run of non-idempotent requests, units within the limit.
#include <waxwinglug/dispatcher.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

namespace waxwinglug {
namespace {

    constexpr int unitLimit = 3;
    constexpr int backendCount = 4;

    // A dispatcher whose attempts stay pending until the test ends them.
    class DispatcherWorld {
    public:
        DispatcherWorld()
        {
            DispatcherHooks hooks;
            hooks.send = [this](const Attempt& attempt) { this->onSend(attempt); };
            hooks.onEnded
                = [this](WorkHandle work, Outcome outcome, std::optional<Refusal>) { this->onEnded(work, outcome); };
            hooks.hasFreeUnit = [this](std::string_view) { return this->units < unitLimit; };
            hooks.takeUnit = [this](std::string_view) { ++this->units; };
            hooks.releaseUnit = [this](std::string_view) { --this->units; };
            hooks.after = [this](Duration delay, std::function<void()> call) {
                this->delayed.emplace(this->time.now() + delay, std::move(call));
            };
            Service service;
            service.name = "quoting";
            this->dispatcher = std::make_shared<Dispatcher>(service, 8, this->time.clock(), 1, std::move(hooks));
            const TeamShare teams[] = { { "north", 50 } };
            this->dispatcher->setTeams(teams);
            std::vector<BackendSpec> specs;
            specs.reserve(backendCount);
            for (int i = 0; i < backendCount; ++i)
                specs.push_back({ "q" + std::to_string(i), "quoting", "r" + std::to_string(i), { "127.0.0.1", 1 } });
            this->dispatcher->backends().setBackends(specs);
        }

        void submit(bool idempotent)
        {
            const RequestId id { { "e1", 1 }, ++this->lastId, 0 };
            const auto result = this->dispatcher->submit(
                { id, "north", WorkClass::Interactive, idempotent, this->time.now() + std::chrono::seconds(5) });
            if (result.work != 0)
                this->requests[result.work].idempotent = idempotent;
        }

        // Sends the first byte of a pending attempt, unless it was withdrawn.
        void sendFirstByte(std::size_t index)
        {
            auto& attempt = this->attempts[index % this->attempts.size()];
            if (attempt.sent || !attempt.gate->markSent())
                return;
            attempt.sent = true;
            ++this->requests[attempt.work].sent;
        }

        void end(std::size_t index, AttemptReport report)
        {
            const auto at = this->attempts.begin() + static_cast<std::ptrdiff_t>(index % this->attempts.size());
            const auto attempt = std::move(*at);
            this->attempts.erase(at);
            // An attempt without a sent byte can only end as not sent.
            if (!attempt.sent)
                report = attempt.gate->withdraw() ? AttemptReport::ConnectFailed : AttemptReport::Withdrawn;
            else if (report <= AttemptReport::Withdrawn && report >= AttemptReport::ConnectionRefused)
                report = AttemptReport::Broken;
            auto& request = this->requests[attempt.work];
            if (report == AttemptReport::Draining)
                --request.sent; // the server reports that it did not run the request
            if (this->dispatcher->attemptEnded(attempt.work, attempt.number, report).deliver)
                ++request.answers;
        }

        void cancel(std::size_t index)
        {
            auto at = this->requests.begin();
            std::advance(at, index % this->requests.size());
            this->dispatcher->cancel(at->first, Refusal::NoCapacity);
        }

        void advance(Duration by)
        {
            this->time.advance(by);
            while (!this->delayed.empty() && this->delayed.begin()->first <= this->time.now()) {
                const auto call = std::move(this->delayed.begin()->second);
                this->delayed.erase(this->delayed.begin());
                call();
            }
            this->dispatcher->pump();
        }

        void check() const
        {
            RC_ASSERT(this->units >= 0);
            RC_ASSERT(this->units <= unitLimit);
            for (const auto& [work, request] : this->requests) {
                RC_ASSERT(request.answers + request.ends <= 1);
                if (!request.idempotent)
                    RC_ASSERT(request.sent <= 1);
                if (request.outcome == Outcome::NotRun)
                    RC_ASSERT(request.sent == 0);
            }
        }

        bool hasAttempts() const { return !this->attempts.empty(); }
        bool hasRequests() const { return !this->requests.empty(); }
        std::size_t activeCount() const { return this->dispatcher->activeCount(); }
        int unitsTaken() const { return this->units; }

    private:
        struct PendingAttempt {
            WorkHandle work = 0;
            int number = 0;
            std::shared_ptr<SendGate> gate;
            bool sent = false;
        };
        struct KnownRequest {
            bool idempotent = false;
            int sent = 0;
            int answers = 0;
            int ends = 0;
            std::optional<Outcome> outcome;
        };

        void onSend(const Attempt& attempt)
        {
            this->attempts.push_back({ attempt.work, attempt.number, attempt.gate });
        }

        void onEnded(WorkHandle work, Outcome outcome)
        {
            ++this->requests[work].ends;
            this->requests[work].outcome = outcome;
        }

        ManualClock time;
        std::shared_ptr<Dispatcher> dispatcher;
        std::deque<PendingAttempt> attempts;
        std::map<WorkHandle, KnownRequest> requests;
        std::multimap<TimePoint, std::function<void()>> delayed;
        std::uint64_t lastId = 0;
        int units = 0;
    };

    void step(DispatcherWorld& world, unsigned command, unsigned argument)
    {
        switch (command % 7) {
        case 0:
            world.submit(argument % 2 == 0);
            break;
        case 1:
        case 2:
            if (world.hasAttempts())
                world.sendFirstByte(argument);
            break;
        case 3:
        case 4:
            if (world.hasAttempts())
                world.end(argument, static_cast<AttemptReport>(argument / 7 % 8));
            break;
        case 5:
            if (world.hasRequests())
                world.cancel(argument);
            break;
        default:
            world.advance(Duration(argument % 2000));
        }
    }

    // Guards against "not run" for a request that was sent, a second run of a non-idempotent request, a second outcome,
    // and a team beyond its upper limit.
    RC_GTEST_PROP(Dispatcher, outcomesAreTrueInEveryOrderOfEvents, ())
    {
        DispatcherWorld world;
        const auto commands = *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
            rc::gen::pair(rc::gen::inRange(0U, 700U), rc::gen::inRange(0U, 100000U)));
        for (const auto& [command, argument] : commands) {
            step(world, command, argument);
            world.check();
        }
        // Guards against a slot or a unit that is never released.
        while (world.activeCount() > 0) {
            world.advance(std::chrono::seconds(1));
            if (world.hasAttempts())
                world.end(0, AttemptReport::Answered);
        }
        world.advance(std::chrono::minutes(1));
        RC_ASSERT(world.unitsTaken() == 0);
    }

    // Guards against "no capacity" for a request whose first server refuses the connection while others are free.
    TEST(Dispatcher, refusedConnectionIsRetriedOnAnotherServer)
    {
        DispatcherWorld world;
        world.submit(false);
        world.advance(Duration(1));
        ASSERT_TRUE(world.hasAttempts());
        world.end(0, AttemptReport::ConnectFailed);
        world.advance(std::chrono::seconds(1));
        EXPECT_TRUE(world.hasAttempts());
    }

} // namespace
} // namespace waxwinglug
