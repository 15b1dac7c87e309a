// Dispatcher: combines request scheduler, backend selector, request states and retry policy.
#include <waxwinglug/dispatcher.h>

#include <algorithm>

namespace waxwinglug {
namespace {

    // Delay before granted work tries again when no server or unit is free.
    constexpr Duration recheckInterval { 20 };

    Refusal toRefusal(AdmissionRefusal refusal)
    {
        switch (refusal) {
        case AdmissionRefusal::DeadlinePassed:
            return Refusal::DeadlinePassed;
        case AdmissionRefusal::DeadlineUnreachable:
            return Refusal::NoCapacity;
        case AdmissionRefusal::UnknownTeam:
            return Refusal::BadKey;
        default:
            return Refusal::QueueFull;
        }
    }

    std::optional<AttemptEnd> toAttemptEnd(AttemptReport report)
    {
        switch (report) {
        case AttemptReport::ConnectionRefused:
        case AttemptReport::ConnectFailed:
        case AttemptReport::Withdrawn:
            return AttemptEnd::ConnectFailed;
        case AttemptReport::Draining:
            return AttemptEnd::Draining;
        case AttemptReport::Broken:
        case AttemptReport::ServerError:
            return AttemptEnd::Broken;
        case AttemptReport::Overdue:
            return AttemptEnd::Overdue;
        case AttemptReport::Answered:
            break;
        }
        return std::nullopt;
    }

    AttemptResult toAttemptResult(AttemptReport report)
    {
        if (report == AttemptReport::Answered)
            return AttemptResult::Answered;
        if (report == AttemptReport::Draining || report == AttemptReport::ConnectionRefused
            || report == AttemptReport::Withdrawn)
            return AttemptResult::Neutral;
        return AttemptResult::Failed;
    }

    bool wasSent(AttemptReport report) { return toAttemptEnd(report) != AttemptEnd::ConnectFailed; }

} // namespace

Dispatcher::Dispatcher(
    const Service& serviceSettings, int slots, Clock systemClock, std::uint64_t seed, DispatcherHooks dispatcherHooks)
    : service(serviceSettings)
    , clock(std::move(systemClock))
    , random(seed)
    , hooks(std::move(dispatcherHooks))
    , requestScheduler(
          [&] {
              auto settings = requestSchedulerSettings(serviceSettings);
              settings.slots = slots;
              return settings;
          }(),
          [this](std::string_view team) { return this->hooks.hasFreeUnit(team); })
    , selector({}, this->clock)
{
}

void Dispatcher::setService(const Service& changed) { this->service = changed; }

void Dispatcher::setSlots(int slots) { this->requestScheduler.setSlots(slots); }

Dispatcher::ActiveWork* Dispatcher::find(WorkHandle handle)
{
    const auto found = this->active.find(handle);
    return found == this->active.end() ? nullptr : &found->second;
}

Dispatcher::SubmitResult Dispatcher::submit(const Work& work)
{
    const auto now = this->clock.now();
    const auto admission = this->requestScheduler.submit({ work.team, work.workClass, work.deadline, {} }, now);
    if (admission.refusal != AdmissionRefusal::None)
        return { 0, toRefusal(admission.refusal) };
    const auto handle = ++this->lastHandle;
    ActiveWork entry { work, Request(work.id, work.idempotent, work.deadline), admission.ticket, now, now, now, nullptr,
        std::nullopt };
    this->active.emplace(handle, std::move(entry));
    this->handleByTicket.emplace(admission.ticket, handle);
    return { handle, std::nullopt };
}

void Dispatcher::pump()
{
    const auto now = this->clock.now();
    this->requestScheduler.expire(now, [this](Ticket ticket) {
        const auto handle = this->handleByTicket.at(ticket);
        this->finish(handle, *this->find(handle), Refusal::DeadlinePassed);
    });
    while (const auto ticket = this->requestScheduler.grantNext(now))
        this->startGranted(this->handleByTicket.at(ticket));
}

void Dispatcher::startGranted(WorkHandle handle)
{
    auto* entry = this->find(handle);
    entry->hasSlot = true;
    entry->grantedAt = this->clock.now();
    this->tryAttempt(handle);
}

void Dispatcher::tryAttempt(WorkHandle handle)
{
    auto* entry = this->find(handle);
    if (!entry || entry->outcomeReported || entry->request.isAttemptRunning())
        return;
    const auto now = this->clock.now();
    if (now >= entry->work.deadline) {
        this->finish(handle, *entry, Refusal::DeadlinePassed);
        return;
    }
    std::optional<ServerIndex> server;
    if (this->hooks.hasFreeUnit(entry->work.team))
        server = this->selector.select({ entry->request.triedServers(), entry->avoidRackOf }, this->random);
    if (!server) {
        this->retryLater(handle, recheckInterval);
        return;
    }
    const int number = entry->request.dispatch(*server);
    if (number == 0) {
        this->selector.release(*server, AttemptResult::Neutral);
        this->finish(handle, *entry, Refusal::NoCapacity);
        return;
    }
    this->hooks.takeUnit(entry->work.team);
    entry->attemptStartedAt = now;
    entry->gate = std::make_shared<SendGate>();
    this->requestScheduler.markStarted(entry->ticket, now);
    this->hooks.send({ handle, number, &this->selector.spec(*server), entry->work.idempotent, this->service.maxRunTime,
        entry->gate });
}

void Dispatcher::retryLater(WorkHandle handle, Duration delay)
{
    this->hooks.after(delay, [weak = this->weak_from_this(), handle] {
        if (const auto self = weak.lock())
            self->tryAttempt(handle);
    });
}

AttemptVerdict Dispatcher::attemptEnded(WorkHandle handle, int attempt, AttemptReport report)
{
    auto* entry = this->find(handle);
    if (!entry || entry->request.attemptCount() != attempt)
        return {};
    this->scheduleUnitRelease(*entry, report);
    this->recordServerResult(*entry, report);
    if (entry->outcomeReported) {
        this->erase(handle);
        return {};
    }
    switch (this->recordRequestResult(handle, *entry, attempt, report)) {
    case Next::Answered: {
        const AttemptVerdict verdict { true, entry->grantedAt - entry->submittedAt,
            this->clock.now() - entry->attemptStartedAt };
        this->erase(handle);
        return verdict;
    }
    case Next::GiveUp:
        this->finish(handle, *entry, Refusal::NoCapacity);
        break;
    case Next::Retry:
        break;
    }
    return {};
}

void Dispatcher::scheduleUnitRelease(const ActiveWork& entry, AttemptReport report)
{
    // A server whose connection broke may still be running the request, so the unit is released only after the maximum
    // run time. Otherwise the team could exceed its upper limit.
    const auto now = this->clock.now();
    const auto end = entry.attemptStartedAt + this->service.maxRunTime;
    if (report != AttemptReport::Broken || now >= end) {
        this->hooks.releaseUnit(entry.work.team);
        return;
    }
    this->hooks.after(end - now, [weak = this->weak_from_this(), team = entry.work.team] {
        if (const auto self = weak.lock())
            self->hooks.releaseUnit(team);
    });
}

void Dispatcher::recordServerResult(const ActiveWork& entry, AttemptReport report)
{
    const auto tried = entry.request.triedServers();
    const auto server = tried.back();
    this->selector.release(server, toAttemptResult(report));
    if (report == AttemptReport::Draining || report == AttemptReport::ConnectionRefused)
        this->selector.markLeaving(this->selector.spec(server).vm, 0);
    if (report == AttemptReport::Answered && tried.size() > 1)
        this->selector.recordSuccessElsewhere(tried.first(tried.size() - 1), server);
}

Dispatcher::Next Dispatcher::recordRequestResult(
    WorkHandle handle, ActiveWork& entry, int attempt, AttemptReport report)
{
    auto& request = entry.request;
    if (wasSent(report))
        request.markSent(attempt);
    if (report == AttemptReport::Answered) {
        this->retryBudget.recordSuccess(this->clock.now());
        request.markAnswered(attempt);
        return Next::Answered;
    }
    const auto before = request;
    request.markFailed(attempt, *toAttemptEnd(report));
    if (this->planRetry(handle, entry))
        return Next::Retry;
    if (report != AttemptReport::ServerError)
        return Next::GiveUp;
    // The answer is complete and there is no further retry, so it is delivered.
    request = before;
    request.markAnswered(attempt);
    return Next::Answered;
}

bool Dispatcher::planRetry(WorkHandle handle, ActiveWork& entry)
{
    const auto decision = this->retryPolicy.decide(entry.request, this->clock.now(), this->retryBudget, this->random);
    if (decision.kind != RetryDecision::Kind::Retry)
        return false;
    entry.avoidRackOf = decision.avoidRackOf;
    this->retryLater(handle, decision.delay);
    return true;
}

void Dispatcher::cancel(WorkHandle handle, Refusal reason)
{
    auto* entry = this->find(handle);
    if (!entry || entry->outcomeReported)
        return;
    if (!entry->hasSlot)
        this->requestScheduler.cancel(entry->ticket, this->clock.now());
    this->finish(handle, *entry, reason);
}

void Dispatcher::finish(WorkHandle handle, ActiveWork& entry, Refusal reason)
{
    auto& request = entry.request;
    const bool running = request.isAttemptRunning();
    if (running && !entry.gate->withdraw())
        request.markSent(request.attemptCount());
    request.finish(reason);
    entry.outcomeReported = true;
    const auto outcome = *request.outcome();
    const auto refusal = request.refusal();
    if (!running)
        this->erase(handle);
    this->hooks.onEnded(handle, outcome, refusal);
}

void Dispatcher::erase(WorkHandle handle)
{
    const auto found = this->active.find(handle);
    const auto ticket = found->second.ticket;
    if (found->second.hasSlot)
        this->requestScheduler.markFinished(ticket, this->clock.now());
    this->handleByTicket.erase(ticket);
    this->active.erase(found);
}

} // namespace waxwinglug
