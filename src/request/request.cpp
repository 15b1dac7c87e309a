// Request states, outcomes, refusals and the retry policy.
#include <waxwinglug/request.h>

#include <waxwinglug/json.h>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace waxwinglug {
namespace {

    // Indexed by Refusal.
    constexpr std::array<RefusalInfo, refusalKindCount> refusals { {
        { 401, "bad-key", "the key is unknown or withdrawn", "send Waxwing-Team and a key that is in force" },
        { 404, "unknown-queue", "there is no such queue", "use /q/<service>/ with a service of the document" },
        { 413, "body-too-large", "the body is over the limit of the service", "send a smaller body" },
        { 431, "header-too-large", "the header is over the limit", "send fewer or shorter header fields" },
        { 400, "bad-framing", "the framing of the request is malformed or ambiguous",
            "send one Content-Length or one Transfer-Encoding: chunked" },
        { 400, "bad-header", "a header of the request is malformed", "correct the header" },
        { 400, "short-body", "the body is shorter than announced", "send the whole body" },
        { 504, "deadline-passed", "the deadline passed before the request could run",
            "send it again with a later deadline" },
        { 429, "over-limit", "the team runs as much as its upper limit allows", "send it again later" },
        { 429, "queue-full", "the queue is full", "send it again later" },
        { 503, "no-capacity", "no backend server can take the request", "send it again later" },
        { 503, "store-unavailable", "the platform's store does not answer", "send it again later" },
        { 503, "shutting-down", "the entry VM is shutting down", "send it again; another entry VM takes it" },
    } };

    bool parseNumber(std::string_view text, int base, std::uint64_t& number)
    {
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
        return error == std::errc {} && end == text.data() + text.size();
    }

    // Removes the part after the last dot from the text. Returns false if there is no dot.
    bool takeLastPart(std::string_view& text, std::string_view& part)
    {
        const auto dot = text.rfind('.');
        if (dot == std::string_view::npos)
            return false;
        part = text.substr(dot + 1);
        text = text.substr(0, dot);
        return true;
    }

    ErrorAnswer errorAnswer(int status, std::string_view error, Outcome outcome, std::string_view remedy,
        std::string_view requestId, std::string_view detail)
    {
        Json body;
        body["error"] = error;
        body["detail"] = detail;
        body["outcome"] = outcomeText(outcome);
        body["remedy"] = remedy;
        body["requestId"] = requestId;
        // The detail can quote caller input that is not valid UTF-8.
        return { status, outcome, body.dump(-1, ' ', false, Json::error_handler_t::replace) };
    }

} // namespace

std::string RequestId::text() const
{
    return fmt::format("{}.{}.{}.{:016x}", this->home.name, this->home.incarnation, this->sequence, this->tag);
}

std::optional<RequestId> parseRequestId(std::string_view text)
{
    std::string_view tag;
    std::string_view sequence;
    std::string_view incarnation;
    if (!takeLastPart(text, tag) || !takeLastPart(text, sequence) || !takeLastPart(text, incarnation) || text.empty())
        return std::nullopt;
    RequestId id;
    if (tag.size() != 16 || !parseNumber(tag, 16, id.tag) || !parseNumber(sequence, 10, id.sequence)
        || !parseNumber(incarnation, 10, id.home.incarnation))
        return std::nullopt;
    id.home.name = text;
    return id;
}

RequestIdSource::RequestIdSource(NodeId self, std::function<std::uint64_t()> tagSource)
    : home(std::move(self))
    , tags(std::move(tagSource))
{
}

RequestId RequestIdSource::next() { return { this->home, ++this->lastSequence, this->tags() }; }

std::string_view outcomeText(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

const RefusalInfo& refusalInfo(Refusal refusal) { return refusals.at(static_cast<std::size_t>(refusal)); }

RefusalError::RefusalError(Refusal refusal, std::string_view problem)
    : Error(ErrorKind::Refused, problem, refusalInfo(refusal).remedy)
    , kindOfRefusal(refusal)
{
}

ErrorAnswer refusalAnswer(Refusal refusal, std::string_view requestId, std::string_view detail)
{
    const auto& info = refusalInfo(refusal);
    return errorAnswer(
        info.httpStatus, info.name, Outcome::NotRun, info.remedy, requestId, detail.empty() ? info.text : detail);
}

ErrorAnswer outcomeUnknownAnswer(std::string_view requestId)
{
    return errorAnswer(502, "outcome-unknown", Outcome::Unknown,
        "check whether it took effect before sending it again under another id", requestId,
        "the request may have run; no whole answer arrived");
}

Request::Request(RequestId id, bool idempotentRequest, TimePoint deadline)
    : requestId(std::move(id))
    , idempotent(idempotentRequest)
    , requestDeadline(deadline)
{
}

int Request::dispatch(ServerIndex server)
{
    const bool first = this->currentState == RequestState::Queued;
    const bool again = this->currentState == RequestState::Dispatching && !this->attemptRunning && this->isRepeatable();
    if ((!first && !again) || this->attemptsMade >= maxAttempts)
        return 0;
    this->currentState = RequestState::Dispatching;
    this->attemptRunning = true;
    this->servers[static_cast<std::size_t>(this->attemptsMade)] = server;
    return ++this->attemptsMade;
}

bool Request::isCurrent(int attempt) const
{
    return this->currentState == RequestState::Dispatching && this->attemptRunning && attempt == this->attemptsMade;
}

bool Request::markSent(int attempt)
{
    if (!this->isCurrent(attempt))
        return false;
    this->currentAttemptSent = true;
    return true;
}

bool Request::markAnswered(int attempt)
{
    if (!this->isCurrent(attempt) || !this->currentAttemptSent)
        return false;
    this->attemptRunning = false;
    this->currentState = RequestState::Answered;
    return true;
}

bool Request::markFailed(int attempt, AttemptEnd end)
{
    // A connect failure after the first byte is a contradiction. It is rejected, because recording it as possibly run
    // would hide the error in the calling code.
    if (!this->isCurrent(attempt) || (end == AttemptEnd::ConnectFailed && this->currentAttemptSent))
        return false;
    this->attemptRunning = false;
    if (this->currentAttemptSent && end != AttemptEnd::Draining)
        this->earlierAttemptSent = true;
    this->currentAttemptSent = false;
    return true;
}

bool Request::finish(Refusal refusal)
{
    if (this->currentState != RequestState::Queued && this->currentState != RequestState::Dispatching)
        return false;
    this->attemptRunning = false;
    if (this->mayHaveRun()) {
        this->currentState = RequestState::OutcomeUnknown;
    } else {
        this->currentState = RequestState::Refused;
        this->refusalReason = refusal;
    }
    return true;
}

std::optional<Outcome> Request::outcome() const
{
    switch (this->currentState) {
    case RequestState::Answered:
        return Outcome::Answered;
    case RequestState::OutcomeUnknown:
        return Outcome::Unknown;
    case RequestState::Refused:
        return Outcome::NotRun;
    case RequestState::Queued:
    case RequestState::Dispatching:
        break;
    }
    return std::nullopt;
}

RetryBudget::RetryBudget(RetryBudgetOptions budgetOptions)
    : options(budgetOptions)
{
}

RetryBudget::Second& RetryBudget::secondAt(TimePoint now)
{
    const auto number = std::chrono::floor<std::chrono::seconds>(now).time_since_epoch().count();
    auto& second = this->seconds[static_cast<std::size_t>(number) % this->seconds.size()];
    if (second.number != number)
        second = { number, 0, 0 };
    return second;
}

void RetryBudget::recordSuccess(TimePoint now) { ++this->secondAt(now).successes; }

bool RetryBudget::withdraw(TimePoint now)
{
    auto& current = this->secondAt(now);
    std::uint64_t successes = 0;
    std::uint64_t retries = 0;
    for (const auto& second : this->seconds) {
        if (second.number <= current.number - static_cast<std::int64_t>(this->seconds.size()))
            continue;
        successes += second.successes;
        retries += second.retries;
    }
    if (static_cast<double>(retries)
        >= this->options.minRetries + this->options.fraction * static_cast<double>(successes))
        return false;
    ++current.retries;
    return true;
}

RetryPolicy::RetryPolicy(RetryOptions retryOptions)
    : options(retryOptions)
{
    this->options.maxAttempts = std::clamp(this->options.maxAttempts, 1, Request::maxAttempts);
}

RetryDecision RetryPolicy::decide(const Request& request, TimePoint now, RetryBudget& budget, Random& random) const
{
    using Kind = RetryDecision::Kind;
    if (request.state() != RequestState::Dispatching || request.isAttemptRunning() || !request.isRepeatable())
        return { Kind::NotRepeatable, Duration(0), {} };
    if (request.attemptCount() >= this->options.maxAttempts)
        return { Kind::AttemptsExhausted, Duration(0), {} };
    const auto full
        = std::min(this->options.initialDelay * (1 << (request.attemptCount() - 1)), this->options.maxDelay);
    const auto fixed = static_cast<double>(full.count()) * (1 - this->options.jitter);
    std::uniform_real_distribution<double> spread(fixed, static_cast<double>(full.count()));
    const Duration delay(static_cast<Duration::rep>(spread(random)));
    if (now + delay >= request.deadline())
        return { Kind::DeadlineTooClose, Duration(0), {} };
    if (!budget.withdraw(now))
        return { Kind::BudgetExhausted, Duration(0), {} };
    return { Kind::Retry, delay, request.triedServers().back() };
}

} // namespace waxwinglug
