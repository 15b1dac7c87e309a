// Dispatches the requests of one service in one data centre, from admission to outcome: queueing, units of the team's
// upper limit, selection of backend servers, attempts and retries.
//
// Runs on the control thread and does no I/O: attempts are sent through a hook, and their results are reported with
// attemptEnded().
#pragma once

#include <waxwinglug/admission.h>
#include <waxwinglug/base.h>
#include <waxwinglug/config.h>
#include <waxwinglug/connection.h>
#include <waxwinglug/request.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace waxwinglug {

// Atomic decision between the traffic thread, which is about to send an attempt, and the control thread, which
// withdraws it. Exactly one of the two calls succeeds, so a successful withdrawal proves that the attempt did not run.
class SendGate {
public:
    // Called just before the first byte is sent. Returns false if the attempt was withdrawn.
    bool markSent() { return this->move(State::Sent); }
    // Withdraws the attempt. Returns false if it may have been sent.
    bool withdraw() { return this->move(State::Withdrawn); }

private:
    enum class State {
        Pending,
        Sent,
        Withdrawn,
    };
    bool move(State next)
    {
        auto expected = State::Pending;
        return this->state.compare_exchange_strong(expected, next);
    }

    std::atomic<State> state = State::Pending;
};

struct Work {
    RequestId id;
    std::string team;
    WorkClass workClass = WorkClass::Interactive;
    bool idempotent = false;
    // No attempt starts at or after this time.
    TimePoint deadline;
};

// Identifies accepted work; handles are not reused.
using WorkHandle = std::uint64_t;

// One attempt, to be sent by the I/O layer.
struct Attempt {
    WorkHandle work = 0;
    int number = 0;
    const BackendSpec* server = nullptr; // valid during the call
    bool idempotent = false;
    Duration answerTimeout { 0 };
    std::shared_ptr<SendGate> gate;
};

enum class AttemptReport {
    Answered, // complete answer with a status below 500
    ServerError, // complete answer with a status of 500 or more
    Draining, // complete answer: the server is shutting down and did not run the request
    ConnectionRefused, // the server refused the connection
    ConnectFailed, // the connection could not be opened for another reason; nothing was sent
    Withdrawn, // not sent, for a reason unrelated to the server
    Broken,
    Overdue,
};

// What the I/O layer does with the answer of an ended attempt.
struct AttemptVerdict {
    // The answer goes to the caller, and DispatcherHooks::onEnded is not called for this work.
    bool deliver = false;
    // Set with `deliver`: time from submission to the grant of a slot, and duration of the last attempt.
    Duration wait { 0 };
    Duration run { 0 };
};

struct DispatcherHooks {
    // Sends the attempt. Its result is reported with Dispatcher::attemptEnded().
    std::function<void(const Attempt&)> send;
    // Called when the work ends without an answer to deliver. The refusal is set if the outcome is Outcome::NotRun.
    std::function<void(WorkHandle, Outcome, std::optional<Refusal>)> onEnded;
    // Check, acquire and release a unit of the team's upper limit on this node.
    std::function<bool(std::string_view team)> hasFreeUnit;
    std::function<void(std::string_view team)> takeUnit;
    std::function<void(std::string_view team)> releaseUnit;
    // Runs the function on the control thread after the delay.
    std::function<void(Duration, std::function<void()>)> after;
};

class Dispatcher : public std::enable_shared_from_this<Dispatcher> {
public:
    // Must be created with std::make_shared, because delayed calls hold a weak reference.
    Dispatcher(const Service& service, int slots, Clock clock, std::uint64_t seed, DispatcherHooks hooks);

    // Applies a new configuration.
    void setService(const Service& service);
    void setTeams(std::span<const TeamShare> teams) { this->requestScheduler.setTeams(teams); }
    void setSlots(int slots);
    BackendSelector& backends() { return this->selector; }
    RequestScheduler& scheduler() { return this->requestScheduler; }

    struct SubmitResult {
        WorkHandle work = 0; // 0: refused
        std::optional<Refusal> refusal;
    };
    SubmitResult submit(const Work& work);
    // Ends the work because its caller disconnected or the process shuts down. Work that was not sent ends as not run
    // with this reason. A running attempt keeps its slot until it ends.
    void cancel(WorkHandle handle, Refusal reason);
    AttemptVerdict attemptEnded(WorkHandle handle, int attempt, AttemptReport report);
    // Refuses waiting work whose deadline has passed and starts the work that gets a slot. Must be called after every
    // event and at least every 100 ms.
    void pump();

    std::size_t activeCount() const { return this->active.size(); }

private:
    struct ActiveWork {
        Work work;
        Request request;
        Ticket ticket = 0;
        TimePoint submittedAt;
        TimePoint grantedAt;
        // Start of the current attempt.
        TimePoint attemptStartedAt;
        std::shared_ptr<SendGate> gate;
        std::optional<ServerIndex> avoidRackOf;
        // Occupies a slot of the scheduler.
        bool hasSlot = false;
        // The outcome has been reported to the caller; the entry remains until its attempt ends.
        bool outcomeReported = false;
    };

    ActiveWork* find(WorkHandle handle);
    void startGranted(WorkHandle handle);
    // Starts an attempt, or schedules another try if no server or no unit is free.
    void tryAttempt(WorkHandle handle);
    void retryLater(WorkHandle handle, Duration delay);
    void scheduleUnitRelease(const ActiveWork& active, AttemptReport report);
    // Records the result of the attempt for its backend server.
    void recordServerResult(const ActiveWork& active, AttemptReport report);
    // Records the result of the attempt for the request, and schedules a retry if the retry policy allows one.
    enum class Next {
        Answered,
        Retry,
        GiveUp,
    };
    Next recordRequestResult(WorkHandle handle, ActiveWork& active, int attempt, AttemptReport report);
    bool planRetry(WorkHandle handle, ActiveWork& active);
    // Ends the work without an answer.
    void finish(WorkHandle handle, ActiveWork& active, Refusal reason);
    void erase(WorkHandle handle);

    Service service;
    Clock clock;
    Random random;
    DispatcherHooks hooks;
    RequestScheduler requestScheduler;
    BackendSelector selector;
    RetryPolicy retryPolicy;
    RetryBudget retryBudget;
    std::unordered_map<WorkHandle, ActiveWork> active;
    std::unordered_map<Ticket, WorkHandle> handleByTicket;
    WorkHandle lastHandle = 0;
};

} // namespace waxwinglug
