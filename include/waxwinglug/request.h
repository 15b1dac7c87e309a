// Requests of callers: their states, the truth about their outcome, refusals, caller headers and retries.
//
// A request runs as a series of attempts on backend servers. Every event of an attempt carries the attempt's number, so
// that an event that arrives late is recognised and ignored.
#pragma once

#include <waxwinglug/base.h>
#include <waxwinglug/error.h>

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace waxwinglug {

/// Index of a backend server in the BackendSelector. An index is never given to another VM.
using ServerIndex = std::uint32_t;

/// Identity of a request: the entry VM process that issued it (its home node) and a number there.
/// Text form: `<name>.<incarnation>.<sequence>.<tag>`, the tag in hexadecimal.
struct RequestId {
    NodeId home;
    std::uint64_t sequence = 0;
    // Random, so that callers of an open queue cannot guess the ids of others.
    std::uint64_t tag = 0;

    auto operator<=>(const RequestId&) const = default;
    std::string text() const;
};

/// Nothing when the text is no request id.
std::optional<RequestId> parseRequestId(std::string_view text);

/// Issues the request ids of one entry VM process.
class RequestIdSource {
public:
    /// `tags` returns a random number; in the running system one that cannot be predicted.
    RequestIdSource(NodeId self, std::function<std::uint64_t()> tags);

    RequestId next();
    const NodeId& self() const { return this->home; }
    /// Number of ids issued; every id of this process has a sequence from 1 to this number.
    std::uint64_t issuedCount() const { return this->lastSequence; }

private:
    NodeId home;
    std::function<std::uint64_t()> tags;
    std::uint64_t lastSequence = 0;
};

/// What is known about a finished request; the value of `Waxwing-Outcome`.
enum class Outcome {
    Answered,
    NotRun,
    Unknown,
};
std::string_view outcomeText(Outcome outcome);

/// Why a request was not run.
enum class Refusal {
    BadKey,
    UnknownQueue,
    BodyTooLarge,
    HeaderTooLarge,
    BadFraming,
    BadHeader,
    ShortBody,
    DeadlinePassed,
    OverLimit,
    QueueFull,
    NoCapacity,
    StoreUnavailable,
    ShuttingDown,
};
inline constexpr std::size_t refusalKindCount = 13;

struct RefusalInfo {
    int httpStatus = 503;
    std::string_view name; // value of "error" in the answer, and label of the counter
    std::string_view text;
    std::string_view remedy;
};
const RefusalInfo& refusalInfo(Refusal refusal);

/// A refusal as an exception: the request was not run.
class RefusalError : public Error {
public:
    RefusalError(Refusal refusal, std::string_view problem);

    Refusal refusal() const { return this->kindOfRefusal; }

private:
    Refusal kindOfRefusal;
};

/// An answer that the entry VM gives itself.
struct ErrorAnswer {
    int httpStatus = 503;
    Outcome outcome = Outcome::NotRun;
    std::string body; // JSON: error, outcome, remedy, requestId
};
/// `detail` replaces the general text of the refusal when it is not empty. `requestId` may be empty.
ErrorAnswer refusalAnswer(Refusal refusal, std::string_view requestId, std::string_view detail = {});
/// For a request that may have run and has no answer.
ErrorAnswer outcomeUnknownAnswer(std::string_view requestId);

/// GET, HEAD, PUT, DELETE and OPTIONS.
bool isIdempotentMethod(std::string_view method);

struct HeaderField {
    std::string_view name;
    std::string_view value;
};

/// The path and the `Waxwing-*` headers of a caller's request.
struct CallerRequest {
    std::string service;
    std::string backendPath; // path on the backend server, starting with '/', with the query
    std::string team;
    std::string key;
    std::optional<Duration> deadline; // relative; the service's default applies when it is missing
    bool idempotent = false;
    std::string idempotencyKey; // empty: none
    std::optional<RequestId> requestId;
    std::string forwarded; // value of Waxwing-Forwarded, not verified here
};

/// Throws RefusalError (UnknownQueue for another path, BadHeader for malformed or repeated headers).
CallerRequest parseCallerRequest(
    std::string_view method, std::string_view target, std::span<const HeaderField> headers);

enum class RequestState {
    Queued,
    Dispatching,
    Answered,
    OutcomeUnknown,
    Refused,
};

/// How an attempt ended without an answer for the caller.
enum class AttemptEnd {
    ConnectFailed, // no byte was sent
    Draining, // the backend server said that it did not run the request
    Broken, // closed, reset, or an incomplete answer, after the first byte was sent
    Overdue, // no whole answer in time
};

/// One request from arrival to its outcome. Functions that return bool return false, and change nothing, when the event
/// is not allowed in the current state or belongs to an earlier attempt.
class Request {
public:
    // Attempts per request, the first included. Servers that were tried are kept in an array of this size.
    static constexpr int maxAttempts = 8;

    Request(RequestId id, bool idempotent, TimePoint deadline);

    /// Starts an attempt: the first from Queued, another one after failed() while the rules allow a repeat. Returns the
    /// number of the attempt, or 0.
    [[nodiscard]] int dispatch(ServerIndex server);
    /// The first byte of the attempt is about to be sent. Called before the write, so that a crash in between leaves
    /// the pessimistic state.
    bool markSent(int attempt);
    /// A whole answer arrived.
    bool markAnswered(int attempt);
    /// The attempt ended without an answer. The request stays in Dispatching until dispatch() or finish().
    bool markFailed(int attempt, AttemptEnd end);
    /// Ends the request without an answer: Refused when nothing can have run, otherwise OutcomeUnknown. Also ends a
    /// running attempt (deadline, caller gone).
    bool finish(Refusal reason);

    RequestState state() const { return this->currentState; }
    /// Nothing while the request is queued or dispatching.
    std::optional<Outcome> outcome() const;
    /// Set in state Refused.
    std::optional<Refusal> refusal() const { return this->refusalReason; }
    /// An attempt may have run on a backend server.
    bool mayHaveRun() const { return this->earlierAttemptSent || this->currentAttemptSent; }
    /// Another attempt does no harm: the request is idempotent, or nothing can have run.
    bool isRepeatable() const { return this->idempotent || !this->mayHaveRun(); }
    bool isAttemptRunning() const { return this->attemptRunning; }
    int attemptCount() const { return this->attemptsMade; }
    /// The servers of all attempts so far.
    std::span<const ServerIndex> triedServers() const
    {
        return { this->servers.data(), std::size_t(this->attemptsMade) };
    }
    TimePoint deadline() const { return this->requestDeadline; }
    const RequestId& id() const { return this->requestId; }

private:
    bool isCurrent(int attempt) const;

    RequestId requestId;
    bool idempotent;
    TimePoint requestDeadline;
    RequestState currentState = RequestState::Queued;
    std::optional<Refusal> refusalReason;
    // An earlier attempt sent bytes and its outcome is unknown. Never cleared.
    bool earlierAttemptSent = false;
    bool currentAttemptSent = false;
    bool attemptRunning = false;
    int attemptsMade = 0;
    std::array<ServerIndex, maxAttempts> servers {};
};

struct RetryBudgetOptions {
    // Retries allowed per recent success.
    double fraction = 0.1;
    // Retries per window that are always allowed, so that a service with little traffic can retry at all.
    int minRetries = 10;
};

/// Limits retries to a fraction of the successes in the last ten seconds, so that a fault of the whole fleet does not
/// multiply the load.
class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetOptions options = {});

    void recordSuccess(TimePoint now);
    /// Takes one retry from the budget; false when it is used up.
    bool withdraw(TimePoint now);

private:
    struct Second {
        std::int64_t number = -1;
        std::uint32_t successes = 0;
        std::uint32_t retries = 0;
    };
    Second& secondAt(TimePoint now);

    RetryBudgetOptions options;
    std::array<Second, 10> seconds;
};

struct RetryOptions {
    int maxAttempts = 4; // the first included; at most Request::mostAttempts
    Duration initialDelay { 10 };
    Duration maxDelay { 500 };
    // Part of the delay that is random. Without it, requests that failed together are repeated together.
    double jitter = 0.5;
};

struct RetryDecision {
    enum class Kind {
        Retry,
        NotRepeatable, // not idempotent, and it may have run
        AttemptsExhausted,
        DeadlineTooClose,
        BudgetExhausted,
    };
    Kind kind = Kind::NotRepeatable;
    Duration delay { 0 };
    // The next server should be in another rack than this one.
    std::optional<ServerIndex> avoidRackOf;
};

/// Decides after a failed attempt whether another one is made.
class RetryPolicy {
public:
    explicit RetryPolicy(RetryOptions options = {});

    RetryDecision decide(const Request& request, TimePoint now, RetryBudget& budget, Random& random) const;

private:
    RetryOptions options;
};

} // namespace waxwinglug
