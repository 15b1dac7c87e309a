// Takes requests of one service in one data centre from admission to their outcome: queue, unit of the team's upper
// limit, backend server, attempts, retries.
//
// Belongs to the control thread and does no I/O: attempts are started through a hook, and their ends are reported back.
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

// Decides between the traffic thread that is about to send and the control thread that gives up: exactly one of them
// wins, so "not run" is true whenever the control thread does.
class SendGate {
public:
    // Called just before the first byte is sent. False: the attempt was withdrawn.
    bool markSent() { return this->move(State::Sent); }
    // Withdraws the attempt. False: it may have been sent.
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
    // Attempts start before this time.
    TimePoint deadline;
};

// Names accepted work; never used again.
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
    Answered, // a whole answer with a status below 500
    ServerError, // a whole answer with a status of 500 or more
    Draining, // a whole answer which says that the server leaves and did not run the request
    ConnectionRefused, // the server refused the connection
    ConnectFailed, // the connection could not be opened for another reason
    Withdrawn, // not sent, for a reason that says nothing about the server
    Broken,
    Overdue,
};

// What becomes of the answer that came with an attempt's end.
struct AttemptVerdict {
    // The answer goes to the caller, and ended() is not called for this work.
    bool deliver = false;
    // With `deliver`: time from submission to the grant of a slot, and of the attempt.
    Duration wait { 0 };
    Duration run { 0 };
};

struct DispatcherHooks {
    // Sends the attempt; its end is reported with Dispatcher::attemptEnded().
    std::function<void(const Attempt&)> send;
    // The work ended without an answer to deliver. The refusal is set with Outcome::NotRun.
    std::function<void(WorkHandle, Outcome, std::optional<Refusal>)> onEnded;
    // Units of the team's upper limit held by this node.
    std::function<bool(std::string_view team)> hasFreeUnit;
    std::function<void(std::string_view team)> takeUnit;
    std::function<void(std::string_view team)> releaseUnit;
    // Calls back on the control thread after a delay.
    std::function<void(Duration, std::function<void()>)> after;
};

class Dispatcher : public std::enable_shared_from_this<Dispatcher> {
public:
    // Create with std::make_shared; delayed calls hold a weak reference.
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
    // Ends the work, because its caller has gone or the process shuts down. Work that was not sent ends as "not run"
    // for this reason; a running attempt keeps its slot until it ends.
    void cancel(WorkHandle handle, Refusal reason);
    AttemptVerdict attemptEnded(WorkHandle handle, int attempt, AttemptReport report);
    // Expires waiting work and starts what may start. Called after every event and at least every 100 ms.
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
        // Holds a slot of the scheduler.
        bool hasSlot = false;
        // The caller has its outcome; the entry stays until its attempt ends.
        bool outcomeReported = false;
    };

    ActiveWork* find(WorkHandle handle);
    void startGranted(WorkHandle handle);
    // Starts an attempt, or tries again a little later while no server or no unit is free.
    void tryAttempt(WorkHandle handle);
    void retryLater(WorkHandle handle, Duration delay);
    void scheduleUnitRelease(const ActiveWork& active, AttemptReport report);
    // Records the end of the attempt with the server that had it.
    void recordServerResult(const ActiveWork& active, AttemptReport report);
    // Records it with the request, and plans a retry where the rules allow one.
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
