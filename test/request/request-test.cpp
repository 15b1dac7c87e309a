// Tests of request states, caller headers and the retry policy.
#include "support/steps.h"

#include <waxwinglug/json.h>
#include <waxwinglug/request.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <set>
#include <vector>

namespace waxwinglug {
namespace {

    using namespace std::chrono_literals;

    const TimePoint start { 1h };

    Request queued(bool idempotent) { return { { { "e1", 7 }, 3, 9 }, idempotent, start + 2s }; }

    // Guards against a text form that names the wrong home node.
    RC_GTEST_PROP(
        RequestIds, textFormRoundTrips, (std::uint64_t incarnation, std::uint64_t sequence, std::uint64_t tag))
    {
        const RequestId id { { "dc1.e-1", incarnation }, sequence, tag };
        RC_ASSERT(parseRequestId(id.text()) == id);
    }

    TEST(RequestIds, malformedTextIsRejected)
    {
        for (const auto* text : { "", "e1", "e1.1.1", ".1.1.0000000000000001", "e1.1.x.0000000000000001", "e1.1.1.1" })
            EXPECT_FALSE(parseRequestId(text)) << text;
    }

    std::optional<Refusal> refusalOf(std::string_view target, std::vector<HeaderField> headers)
    {
        try {
            parseCallerRequest("POST", target, headers);
        } catch (const RefusalError& error) {
            return error.refusal();
        }
        return std::nullopt;
    }

    TEST(CallerHeaders, validHeadersAreParsed)
    {
        const std::vector<HeaderField> headers { { "waxwing-team", "north" }, { "Waxwing-Key", "k1" },
            { "Waxwing-Deadline-Ms", "250" }, { "Idempotency-Key", "order-7" }, { "Accept", "a" }, { "Accept", "b" } };
        const auto request = parseCallerRequest("POST", "/q/quoting/a/b?c=1", headers);
        EXPECT_EQ(request.service, "quoting");
        EXPECT_EQ(request.backendPath, "/a/b?c=1");
        EXPECT_EQ(request.team, "north");
        EXPECT_EQ(request.deadline, Duration(250));
        EXPECT_EQ(request.idempotencyKey, "order-7");
        EXPECT_FALSE(request.idempotent);
        EXPECT_TRUE(parseCallerRequest("PUT", "/q/quoting", {}).idempotent);
        EXPECT_EQ(parseCallerRequest("PUT", "/q/quoting?x", {}).backendPath, "/?x");
    }

    // Guards against headers that this program and a proxy on the way interpret differently.
    TEST(CallerHeaders, malformedOrRepeatedHeadersAreRefused)
    {
        EXPECT_EQ(refusalOf("/x", {}), Refusal::UnknownQueue);
        EXPECT_EQ(refusalOf("/q//x", {}), Refusal::UnknownQueue);
        const std::vector<std::vector<HeaderField>> bad { { { "Waxwing-Team", "a" }, { "waxwing-TEAM", "a" } },
            { { "Waxwing-Team", "a" } }, { { "Waxwing-Key", "a" } }, { { "Waxwing-Deadline-Ms", "-5" } },
            { { "Waxwing-Deadline-Ms", "0" } }, { { "Waxwing-Deadline-Ms", "9999999999999999999999" } },
            { { "Waxwing-Idempotent", "maybe" } }, { { "Idempotency-Key", "" } }, { { "Waxwing-Request-Id", "1" } } };
        for (const auto& headers : bad)
            EXPECT_EQ(refusalOf("/q/a", headers), Refusal::BadHeader) << headers.front().value;
    }

    // Guards against a crash or an exception other than RefusalError on arbitrary input.
    RC_GTEST_PROP(CallerHeaders, anyTextIsParsedOrRefused, (const std::string& target, const std::string& value))
    {
        for (const auto* name : { "Waxwing-Team", "Waxwing-Deadline-Ms", "Idempotency-Key", "Waxwing-Request-Id" }) {
            refusalOf("/q/" + target, { { name, value } });
            refusalOf(target, { { name, value } });
        }
    }

    TEST(ErrorAnswers, containOutcomeRemedyAndId)
    {
        const auto refused = refusalAnswer(Refusal::QueueFull, "e1.1.1.0000000000000001", "\xff");
        EXPECT_EQ(refused.httpStatus, 429);
        const auto body = Json::parse(refused.body);
        EXPECT_EQ(body["error"], "queue-full");
        EXPECT_EQ(body["outcome"], "not-run");
        EXPECT_EQ(body["requestId"], "e1.1.1.0000000000000001");
        EXPECT_FALSE(body["remedy"].get<std::string>().empty());
        EXPECT_EQ(Json::parse(outcomeUnknownAnswer("x").body)["outcome"], "unknown");
    }

    TEST(Requests, drainingAnswerCountsAsNotRun)
    {
        auto request = queued(false);
        const int attempt = request.dispatch(4);
        ASSERT_TRUE(request.markSent(attempt));
        ASSERT_TRUE(request.markFailed(attempt, AttemptEnd::Draining));
        EXPECT_TRUE(request.isRepeatable());
        ASSERT_TRUE(request.finish(Refusal::NoCapacity));
        EXPECT_EQ(request.outcome(), Outcome::NotRun);
    }

    // A request and a separate model of what happened on the backend servers.
    struct RequestWorld {
        static constexpr int stepKindCount = 9;
        static constexpr int nodeCount = 4; // backend servers
        bool idempotent = *rc::gen::arbitrary<bool>();
        Request request = queued(idempotent);
        RequestState before = RequestState::Queued;
        std::set<int> mayRun; // attempts that sent a byte and were not answered "draining"
        int attempt = 0;
        ManualClock clock;
        Random random { 1 };
        RetryBudget budget;
        RetryPolicy policy;

        void step(int kind, int node, unsigned pick)
        {
            this->before = this->request.state();
            // Usually the current attempt, sometimes a late event of an earlier one.
            const int which = pick % 4 == 0 ? this->attempt - 1 : this->attempt;
            const bool open = this->before == RequestState::Dispatching && this->request.isAttemptRunning();
            switch (kind) {
            case 0:
            case 1:
                if (const int started = this->request.dispatch(static_cast<ServerIndex>(node))) {
                    RC_ASSERT(this->idempotent || this->mayRun.empty());
                    this->attempt = started;
                }
                break;
            case 2:
            case 3:
                if (this->request.markSent(which))
                    this->mayRun.insert(which);
                break;
            case 4:
                if (this->request.markAnswered(which))
                    RC_ASSERT(open && which == this->attempt);
                break;
            case 5:
                this->request.markFailed(which, AttemptEnd::ConnectFailed);
                break;
            case 6:
                if (this->request.markFailed(which, AttemptEnd::Draining))
                    this->mayRun.erase(which);
                break;
            case 7:
                this->request.markFailed(which, pick % 2 == 0 ? AttemptEnd::Broken : AttemptEnd::Overdue);
                break;
            default:
                if (pick % 3 == 0)
                    this->request.finish(Refusal::DeadlinePassed);
                else
                    this->decide();
            }
        }

        void decide()
        {
            const auto decision = this->policy.decide(this->request, this->clock.now(), this->budget, this->random);
            if (decision.kind != RetryDecision::Kind::Retry)
                return;
            RC_ASSERT(this->idempotent || this->mayRun.empty());
            RC_ASSERT(this->clock.now() + decision.delay < this->request.deadline());
            this->clock.advance(decision.delay);
        }

        void check() const
        {
            const auto now = this->request.state();
            if (this->before != RequestState::Queued && this->before != RequestState::Dispatching)
                RC_ASSERT(now == this->before);
            if (now != this->before && now == RequestState::Answered)
                RC_ASSERT(this->before == RequestState::Dispatching);
            RC_ASSERT(now != RequestState::Refused || this->mayRun.empty());
            RC_ASSERT(now != RequestState::OutcomeUnknown || !this->mayRun.empty());
        }

        void finish() { }
    };

    // Guards against a wrong "not run", a second run of a non-idempotent request, and a transition out of a final
    // state.
    RC_GTEST_PROP(Requests, statesAndOutcomesMatchTheModel, ()) { test::checkSteps<RequestWorld>(); }

    // Guards against retries that multiply the load while the whole fleet fails.
    TEST(Retries, budgetIsAFractionOfRecentSuccesses)
    {
        RetryBudget budget({ 0.1, 5 });
        for (int i = 0; i < 200; ++i)
            budget.recordSuccess(start);
        int granted = 0;
        while (budget.withdraw(start + 1s))
            ++granted;
        EXPECT_EQ(granted, 25);
        EXPECT_FALSE(budget.withdraw(start + 9s));
        // After the window of ten seconds, neither the successes nor the retries count.
        granted = 0;
        while (budget.withdraw(start + 20s))
            ++granted;
        EXPECT_EQ(granted, 5);
    }

    // Guards against synchronised retries and against unbounded delays.
    TEST(Retries, delaysGrowWithJitterUpToTheLimit)
    {
        Random random(5);
        RetryBudget budget({ 0, 1000 });
        const RetryPolicy policy({ 8, 10ms, 100ms, 0.5 });
        Request request({ { "e1", 1 }, 1, 1 }, true, start + 1h);
        for (const int full : { 10, 20, 40, 80, 100, 100, 100 }) {
            const int attempt = request.dispatch(0);
            ASSERT_TRUE(request.markFailed(attempt, AttemptEnd::ConnectFailed));
            std::set<int> seen;
            for (int i = 0; i < 50; ++i) {
                const auto decision = policy.decide(request, start, budget, random);
                ASSERT_EQ(decision.kind, RetryDecision::Kind::Retry);
                EXPECT_EQ(decision.avoidRackOf, ServerIndex(0));
                seen.insert(static_cast<int>(decision.delay.count()));
            }
            EXPECT_GE(*seen.begin(), full / 2);
            EXPECT_LE(*seen.rbegin(), full);
            EXPECT_GT(seen.size(), 2U);
        }
        const int last = request.dispatch(0);
        ASSERT_TRUE(request.markFailed(last, AttemptEnd::ConnectFailed));
        EXPECT_EQ(policy.decide(request, start, budget, random).kind, RetryDecision::Kind::AttemptsExhausted);
    }

    // Guards against a retry that would start after the deadline.
    TEST(Retries, noRetryAfterTheDeadline)
    {
        Random random(5);
        RetryBudget budget;
        auto request = queued(true);
        const int attempt = request.dispatch(0);
        ASSERT_TRUE(request.markSent(attempt));
        ASSERT_TRUE(request.markFailed(attempt, AttemptEnd::Broken));
        EXPECT_EQ(
            RetryPolicy().decide(request, start + 2s, budget, random).kind, RetryDecision::Kind::DeadlineTooClose);
    }

} // namespace
} // namespace waxwinglug
