// Joins scheduler, backend selector, request states and retry policy.
#include <waxwinglug/dispatcher.h>

#include <algorithm>

namespace waxwinglug {
namespace {

    // While no server or unit is free, granted work asks again after this time.
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

Dispatcher::Active* Dispatcher::find(WorkHandle handle)
{
    const auto found = this->active.find(handle);
    return found == this->active.end() ? nullptr : &found->second;
}

Dispatcher::Submitted Dispatcher::submit(const Work& work)
{
    const auto now = this->clock.now();
    const auto admission = this->requestScheduler.submit({ work.team, work.workClass, work.deadline, {} }, now);
    if (admission.refusal != AdmissionRefusal::None)
        return { 0, toRefusal(admission.refusal) };
    const auto handle = ++this->lastHandle;
    Active entry { work, Request(work.id, work.idempotent, work.deadline), admission.ticket, now, now, now, nullptr,
        std::nullopt };
    this->active.emplace(handle, std::move(entry));
    this->byTicket.emplace(admission.ticket, handle);
    return { handle, std::nullopt };
}

void Dispatcher::pump()
{
    const auto now = this->clock.now();
    this->requestScheduler.expire(now, [this](Ticket ticket) {
        const auto handle = this->byTicket.at(ticket);
        this->finish(handle, *this->find(handle), Refusal::DeadlinePassed);
    });
    while (const auto ticket = this->requestScheduler.grantNext(now))
        this->start(this->byTicket.at(ticket));
}

void Dispatcher::start(WorkHandle handle)
{
    auto* entry = this->find(handle);
    entry->granted = true;
    entry->grantedAt = this->clock.now();
    this->tryAttempt(handle);
}

void Dispatcher::tryAttempt(WorkHandle handle)
{
    auto* entry = this->find(handle);
    if (!entry || entry->closed || entry->request.attemptRunning())
        return;
    const auto now = this->clock.now();
    if (now >= entry->work.deadline) {
        this->finish(handle, *entry, Refusal::DeadlinePassed);
        return;
    }
    std::optional<ServerIndex> server;
    if (this->hooks.hasFreeUnit(entry->work.team))
        server = this->selector.select({ entry->request.tried(), entry->avoidRackOf }, this->random);
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
    entry->attemptAt = now;
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
    if (!entry || entry->request.attempts() != attempt)
        return {};
    this->returnUnit(*entry, report);
    this->recordServer(*entry, report);
    if (entry->closed) {
        this->erase(handle);
        return {};
    }
    switch (this->recordRequest(handle, *entry, attempt, report)) {
    case Next::Answered: {
        const AttemptVerdict verdict { true, entry->grantedAt - entry->submittedAt,
            this->clock.now() - entry->attemptAt };
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

void Dispatcher::returnUnit(const Active& entry, AttemptReport report)
{
    // A server that broke the connection may still be running the request, so the unit stays taken until the longest
    // run time has passed. The team's upper limit would not hold otherwise.
    const auto now = this->clock.now();
    const auto end = entry.attemptAt + this->service.maxRunTime;
    if (report != AttemptReport::Broken || now >= end) {
        this->hooks.releaseUnit(entry.work.team);
        return;
    }
    this->hooks.after(end - now, [weak = this->weak_from_this(), team = entry.work.team] {
        if (const auto self = weak.lock())
            self->hooks.releaseUnit(team);
    });
}

void Dispatcher::recordServer(const Active& entry, AttemptReport report)
{
    const auto tried = entry.request.tried();
    const auto server = tried.back();
    this->selector.release(server, toAttemptResult(report));
    if (report == AttemptReport::Draining || report == AttemptReport::ConnectionRefused)
        this->selector.markLeaving(this->selector.spec(server).vm, 0);
    if (report == AttemptReport::Answered && tried.size() > 1)
        this->selector.succeededElsewhere(tried.first(tried.size() - 1), server);
}

Dispatcher::Next Dispatcher::recordRequest(WorkHandle handle, Active& entry, int attempt, AttemptReport report)
{
    auto& request = entry.request;
    if (wasSent(report))
        request.sent(attempt);
    if (report == AttemptReport::Answered) {
        this->retryBudget.succeeded(this->clock.now());
        request.answered(attempt);
        return Next::Answered;
    }
    const auto before = request;
    request.failed(attempt, *toAttemptEnd(report));
    if (this->planRetry(handle, entry))
        return Next::Retry;
    if (report != AttemptReport::ServerError)
        return Next::GiveUp;
    // The answer is whole, and no better one can be had.
    request = before;
    request.answered(attempt);
    return Next::Answered;
}

bool Dispatcher::planRetry(WorkHandle handle, Active& entry)
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
    if (!entry || entry->closed)
        return;
    if (!entry->granted)
        this->requestScheduler.cancel(entry->ticket, this->clock.now());
    this->finish(handle, *entry, reason);
}

void Dispatcher::finish(WorkHandle handle, Active& entry, Refusal reason)
{
    auto& request = entry.request;
    const bool running = request.attemptRunning();
    if (running && !entry.gate->withdraw())
        request.sent(request.attempts());
    request.finish(reason);
    entry.closed = true;
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
    if (found->second.granted)
        this->requestScheduler.markFinished(ticket, this->clock.now());
    this->byTicket.erase(ticket);
    this->active.erase(found);
}

} // namespace waxwinglug
