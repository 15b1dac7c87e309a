// Queues, slots and admission of RequestScheduler.
#include <waxwinglug/admission.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace waxwinglug {
namespace {

    constexpr std::int64_t wheelStepMs = 16;
    // The wheel spans 16 s; entries with later deadlines stay in their bucket for another turn.
    constexpr std::size_t wheelSize = 1024;
    // Entries are allocated in blocks, so that the request path stops allocating after warm-up. With 342 services and
    // queues of 100, requests 100,001 to 150,000 caused 1,012 allocations with single entries, 874 with blocks of 64
    // and none with blocks of 256. 342 blocks take about 12 MB.
    constexpr std::size_t entryBlock = 256;
    // Weight of a new run time in the moving average, which follows a change within about ten runs.
    constexpr double meanGain = 0.125;
    // Estimate while neither an observed nor a declared run time is known.
    constexpr Duration defaultRun { 100 };

    void updateMean(double& mean, double run) { mean = mean == 0 ? run : mean + (run - mean) * meanGain; }

    FairQueueSettings queueSettings(const RequestSchedulerSettings& settings)
    {
        const auto slots = settings.fleetSlots > 0 ? settings.fleetSlots : settings.slots;
        FairQueueSettings result;
        // Weights are percentages, so the virtual time of a fully used service advances by slots / 100 per millisecond.
        result.maxAheadMs = static_cast<double>(settings.usageHorizon.count()) * std::max(slots, 1) / 100;
        result.maxBoostMs = result.maxAheadMs / 2;
        result.rampTime = settings.rampTime;
        return result;
    }

} // namespace

RequestSchedulerSettings requestSchedulerSettings(const Service& service)
{
    RequestSchedulerSettings result;
    result.queueLimit = service.queueLimit;
    result.maxRunTime = service.maxRunTime;
    if (service.workClass == WorkClass::Background)
        result.maxBackgroundSlotFraction = 1;
    return result;
}

RequestScheduler::RequestScheduler(const RequestSchedulerSettings& schedulerSettings, UnitHook unitHook)
    : settings(schedulerSettings)
    , hasFreeUnit(std::move(unitHook))
    , mayStart([this](TeamIndex team) { return this->hasFreeUnit(this->teams[team].name); })
    , queues { FairQueue(queueSettings(schedulerSettings)), FairQueue(queueSettings(schedulerSettings)) }
    , maxEntries(static_cast<std::size_t>(schedulerSettings.queueLimit) * 4 + 4096)
    , deadlineWheel(wheelSize)
    , slotCount(schedulerSettings.slots)
{
    this->addEntries();
}

RequestScheduler::~RequestScheduler()
{
    // Unlinks all entries from the queues and the timing wheel before the object pool is destroyed.
    for (auto& item : this->entries) {
        if (item.state != State::Waiting)
            continue;
        this->queue(item.workClass).remove(item);
    }
    for (auto& step : this->deadlineWheel)
        step.clear();
}

void RequestScheduler::setTeams(std::span<const TeamShare> shares)
{
    for (auto& team : this->teams)
        team.isConfigured = false;
    this->weightSum = 0;
    for (const auto& share : shares) {
        const auto [found, added]
            = this->teamByName.try_emplace(share.name, static_cast<TeamIndex>(this->teams.size()));
        if (added)
            this->teams.push_back({ share.name, true, {} });
        this->teams[found->second].isConfigured = true;
        for (auto& classQueue : this->queues)
            classQueue.setTeam(found->second, share.share);
        this->weightSum += std::max(share.share, FairQueue::minWeight);
    }
    for (TeamIndex index = 0; index < this->teams.size(); ++index) {
        for (auto& classQueue : this->queues) {
            if (!this->teams[index].isConfigured)
                classQueue.setTeam(index, 0);
        }
    }
    for (auto& [name, peer] : this->peers)
        peer.teams.resize(this->teams.size());
}

void RequestScheduler::setSlots(int slots) { this->slotCount = slots; }

std::optional<TeamIndex> RequestScheduler::find(std::string_view team) const
{
    const auto found = this->teamByName.find(team);
    if (found == this->teamByName.end())
        return std::nullopt;
    return found->second;
}

RequestScheduler::Entry* RequestScheduler::entry(Ticket ticket)
{
    const auto index = static_cast<std::uint32_t>(ticket);
    if (index >= this->entries.size())
        return nullptr;
    auto& found = this->entries[index];
    return found.generation == ticket >> 32 && found.state != State::Free ? &found : nullptr;
}

Ticket RequestScheduler::ticket(const Entry& entry) const { return Ticket { entry.generation } << 32 | entry.index; }

RequestScheduler::TeamClass& RequestScheduler::teamCounts(const Entry& entry)
{
    return this->teams[entry.team].classes[static_cast<std::size_t>(entry.workClass)];
}

Duration RequestScheduler::estimate(TeamIndex team, WorkClass workClass, Duration declaredRunTime) const
{
    const auto classIndex = static_cast<std::size_t>(workClass);
    const auto teamMeanMs = this->teams[team].classes[classIndex].meanRunMs;
    if (teamMeanMs > 0)
        return Duration { std::llround(std::ceil(teamMeanMs)) };
    if (declaredRunTime > Duration { 0 })
        return std::min(declaredRunTime, this->settings.maxRunTime);
    if (this->meanRunMs[classIndex] > 0)
        return Duration { std::llround(std::ceil(this->meanRunMs[classIndex])) };
    return defaultRun;
}

bool RequestScheduler::queueFull(TeamIndex team, WorkClass workClass) const
{
    const auto& classQueue = this->queue(workClass);
    const auto limit = static_cast<std::size_t>(this->settings.queueLimit);
    if (classQueue.waitingCount() < limit)
        return false;
    // A team below its share of the queue is admitted, so that a burst of another team cannot lock it out.
    const auto teamQuota = this->settings.queueLimit * classQueue.weight(team) / this->weightSum;
    return classQueue.waitingCount() >= 2 * limit || static_cast<double>(classQueue.waitingCount(team)) >= teamQuota;
}

void RequestScheduler::addEntries()
{
    const auto added = std::min(entryBlock, this->maxEntries - this->entries.size());
    // Reserves space so that freeing an entry does not allocate.
    this->freeEntries.reserve(this->entries.size() + added);
    for (std::size_t i = 0; i < added; ++i) {
        const auto index = static_cast<std::uint32_t>(this->entries.size());
        this->entries.emplace_back().index = index;
        this->freeEntries.push_back(index);
    }
}

RequestScheduler::Entry& RequestScheduler::allocateEntry()
{
    if (this->freeEntries.empty())
        this->addEntries();
    auto& taken = this->entries[this->freeEntries.back()];
    this->freeEntries.pop_back();
    return taken;
}

Admission RequestScheduler::submit(const Submission& submission, TimePoint now)
{
    const auto team = this->find(submission.team);
    if (!team || !this->teams[*team].isConfigured)
        return { AdmissionRefusal::UnknownTeam, 0, Duration { 0 } };
    const auto workClass = submission.workClass;
    const auto estimated = this->estimate(*team, workClass, submission.declaredRunTime);
    const auto wait = this->predictWait(*team, workClass, estimated, now);
    if (this->isEntryPoolFull() || this->queueFull(*team, workClass))
        return { AdmissionRefusal::QueueFull, 0, wait };
    const bool interactive = workClass == WorkClass::Interactive;
    if (interactive && submission.deadline <= now)
        return { AdmissionRefusal::DeadlinePassed, 0, wait };
    if (interactive && submission.deadline - now < wait)
        return { AdmissionRefusal::DeadlineUnreachable, 0, wait };

    auto& added = this->allocateEntry();
    added.state = State::Waiting;
    added.workClass = workClass;
    added.cancelled = false;
    added.team = *team;
    added.sequence = ++this->sequence;
    added.estimate = estimated;
    added.deadline = submission.deadline;
    // Interactive requests of a team run in order of arrival, which predictWait() relies on.
    added.due = interactive ? TimePoint::max() : submission.deadline;
    this->queue(workClass).push(added);
    if (interactive && added.deadline != TimePoint::max()) {
        const auto step = static_cast<std::size_t>(added.deadline.time_since_epoch().count() / wheelStepMs);
        this->deadlineWheel[step % wheelSize].push_back(added);
    }
    return { AdmissionRefusal::None, this->ticket(added), wait };
}

void RequestScheduler::freeEntry(Entry& entry)
{
    entry.DeadlineHook::unlink();
    entry.state = State::Free;
    ++entry.generation;
    this->freeEntries.push_back(entry.index);
}

CancelResult RequestScheduler::cancel(Ticket ticket, TimePoint)
{
    auto* found = this->entry(ticket);
    if (!found)
        return CancelResult::Unknown;
    if (found->state != State::Waiting) {
        found->cancelled = true;
        return CancelResult::Running;
    }
    this->queue(found->workClass).remove(*found);
    this->freeEntry(*found);
    return CancelResult::NotRun;
}

double RequestScheduler::currentBackgroundFraction(TimePoint now) const
{
    const auto& background = this->queue(WorkClass::Background);
    if (background.empty())
        return 0;
    const auto minFraction = this->settings.backgroundFraction;
    const auto maxFraction = std::max(minFraction, this->settings.maxBackgroundFraction);
    const auto due = background.earliestDue();
    if (due == TimePoint::max())
        return minFraction;
    if (due <= now)
        return maxFraction;
    const auto remainingMs = static_cast<double>((due - now).count());
    const auto ramp = minFraction
        + (maxFraction - minFraction) * (1 - remainingMs / static_cast<double>(this->settings.rampTime.count()));
    // A backlog that needs a larger fraction to complete in time gets it before the ramp begins.
    const auto needed
        = static_cast<double>(background.waitingRunTime().count()) / (remainingMs * std::max(this->slotCount, 1));
    return std::clamp(std::max(ramp, needed), minFraction, maxFraction);
}

void RequestScheduler::addBackgroundDebt(double slotMilliseconds)
{
    const auto bound = static_cast<double>(this->settings.usageHorizon.count()) * std::max(this->slotCount, 1);
    this->backgroundDebt = std::clamp(this->backgroundDebt + slotMilliseconds, -bound, bound);
}

void RequestScheduler::chargeBackgroundDebt(Entry& entry, double backgroundFraction, bool contended)
{
    entry.debtFactor = 0;
    if (entry.workClass == WorkClass::Background) {
        // Slots that no interactive request waits for are not charged.
        entry.debtFactor = contended ? -1 : 0;
    } else if (contended) {
        entry.debtFactor = backgroundFraction / (1 - backgroundFraction);
    } else {
        // Reduces what background work used beyond its fraction, but builds up no claim for background work that does
        // not wait.
        const auto minFraction = this->settings.backgroundFraction;
        const auto repaid = static_cast<double>(entry.estimate.count()) * minFraction / (1 - minFraction);
        this->backgroundDebt = std::min(0.0, this->backgroundDebt + repaid);
    }
    this->addBackgroundDebt(entry.debtFactor * static_cast<double>(entry.estimate.count()));
}

RequestScheduler::Entry* RequestScheduler::pickEntry(WorkClass workClass, TimePoint now)
{
    if (workClass == WorkClass::Background) {
        const auto ceiling = static_cast<int>(this->slotCount * this->settings.maxBackgroundSlotFraction);
        if (this->backgroundOccupied >= std::max(ceiling, 1))
            return nullptr;
    }
    return static_cast<Entry*>(this->queue(workClass).popNext(now, this->mayStart));
}

Ticket RequestScheduler::grantNext(TimePoint now)
{
    if (this->freeSlots() <= 0)
        return 0;
    const bool interactiveWaits = !this->queue(WorkClass::Interactive).empty();
    const bool backgroundWaits = !this->queue(WorkClass::Background).empty();
    const auto backgroundFraction = this->currentBackgroundFraction(now);
    const bool backgroundFirst = backgroundWaits && this->backgroundDebt > 0;
    const auto first = backgroundFirst ? WorkClass::Background : WorkClass::Interactive;
    const auto second = backgroundFirst ? WorkClass::Interactive : WorkClass::Background;
    auto* picked = this->pickEntry(first, now);
    if (!picked)
        picked = this->pickEntry(second, now);
    if (!picked)
        return 0;
    this->chargeBackgroundDebt(*picked, backgroundFraction, interactiveWaits && backgroundWaits);
    picked->DeadlineHook::unlink();
    picked->state = State::Granted;
    ++this->occupiedCount;
    ++this->teamCounts(*picked).occupiedSlots;
    if (picked->workClass == WorkClass::Background)
        ++this->backgroundOccupied;
    return this->ticket(*picked);
}

void RequestScheduler::markStarted(Ticket ticket, TimePoint now)
{
    auto* found = this->entry(ticket);
    if (!found || found->state != State::Granted)
        return;
    found->state = State::Running;
    found->start = now;
    auto& count = this->teamCounts(*found);
    ++count.runningCount;
    count.startTimeSumMs += now.time_since_epoch().count();
}

void RequestScheduler::markFinished(Ticket ticket, TimePoint now)
{
    auto* found = this->entry(ticket);
    if (!found || found->state == State::Waiting)
        return;
    auto& count = this->teamCounts(*found);
    Duration actual { 0 };
    if (found->state == State::Running) {
        actual = std::max(now - found->start, Duration { 0 });
        --count.runningCount;
        count.startTimeSumMs -= found->start.time_since_epoch().count();
        count.finishedSlotMs += static_cast<std::uint64_t>(actual.count());
        // The run time of a cancelled request does not represent a complete run.
        if (!found->cancelled) {
            const auto run = std::max(static_cast<double>(actual.count()), 1.0);
            updateMean(count.meanRunMs, run);
            updateMean(this->meanRunMs[static_cast<std::size_t>(found->workClass)], run);
        }
    }
    this->queue(found->workClass).correctCharge(*found, actual);
    this->addBackgroundDebt(found->debtFactor * static_cast<double>((actual - found->estimate).count()));
    --this->occupiedCount;
    --count.occupiedSlots;
    if (found->workClass == WorkClass::Background)
        --this->backgroundOccupied;
    this->freeEntry(*found);
}

void RequestScheduler::expire(TimePoint now, const ExpiredHook& refused)
{
    const auto current = now.time_since_epoch().count() / wheelStepMs;
    const auto first = std::max(this->lastWheelStep, current - static_cast<std::int64_t>(wheelSize) + 1);
    for (auto step = first; step <= current; ++step) {
        auto& bucket = this->deadlineWheel[static_cast<std::size_t>(step) % wheelSize];
        for (auto at = bucket.begin(); at != bucket.end();) {
            auto& waiting = *at++;
            if (waiting.deadline > now)
                continue;
            const auto expired = this->ticket(waiting);
            this->queue(waiting.workClass).remove(waiting);
            this->freeEntry(waiting);
            refused(expired);
        }
    }
    this->lastWheelStep = current;
}

std::size_t RequestScheduler::waitingCount() const
{
    return this->queues[0].waitingCount() + this->queues[1].waitingCount();
}

std::size_t RequestScheduler::waitingCount(std::string_view team) const
{
    const auto found = this->find(team);
    return found ? this->queues[0].waitingCount(*found) + this->queues[1].waitingCount(*found) : 0;
}

std::uint64_t RequestScheduler::stepCount() const { return this->queues[0].stepCount() + this->queues[1].stepCount(); }

} // namespace waxwinglug
