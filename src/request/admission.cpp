// The scheduler of one service in one data centre.
#include <waxwinglug/admission.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace waxwinglug {
namespace {

    constexpr std::int64_t wheelStepMs = 16;
    // The ring spans 16 s; later deadlines stay in their step for another turn.
    constexpr std::size_t wheelSize = 1024;
    // Entries are added in blocks. Queues of 100 still grew after 100,000 requests over 342 services: 1,012 allocations
    // in the next 50,000 with single entries, 874 with blocks of 64, none with 256. 342 blocks take about 12 MB.
    constexpr std::size_t entryBlock = 256;
    // Weight of a new run time in the mean. An eighth follows a change within about ten runs.
    constexpr double meanGain = 0.125;
    // Assumed while neither a run time nor a declared time is known.
    constexpr Duration defaultRun { 100 };

    void learn(double& mean, double run) { mean = mean == 0 ? run : mean + (run - mean) * meanGain; }

    FairQueueSettings queueSettings(const RequestSchedulerSettings& settings)
    {
        const auto slots = settings.fleetSlots > 0 ? settings.fleetSlots : settings.slots;
        FairQueueSettings result;
        // Weights are percentages, so the virtual time of a full service advances by slots / 100 each millisecond.
        result.maxLead = static_cast<double>(settings.memory.count()) * std::max(slots, 1) / 100;
        result.maxBoost = result.maxLead / 2;
        result.riseTime = settings.riseTime;
        return result;
    }

} // namespace

RequestSchedulerSettings requestSchedulerSettings(const Service& service)
{
    RequestSchedulerSettings result;
    result.queueLimit = service.queueLimit;
    result.longestRun = service.maxRunTime;
    if (service.workClass == WorkClass::Background)
        result.backgroundCeiling = 1;
    return result;
}

RequestScheduler::RequestScheduler(const RequestSchedulerSettings& schedulerSettings, UnitHook unitHook)
    : settings(schedulerSettings)
    , holdsFreeUnit(std::move(unitHook))
    , mayStart([this](TeamIndex team) { return this->holdsFreeUnit(this->teams[team].name); })
    , queues { FairQueue(queueSettings(schedulerSettings)), FairQueue(queueSettings(schedulerSettings)) }
    , mostEntries(static_cast<std::size_t>(schedulerSettings.queueLimit) * 4 + 4096)
    , wheel(wheelSize)
    , slotCount(schedulerSettings.slots)
{
    this->addEntries();
}

RequestScheduler::~RequestScheduler()
{
    // Unlinks all entries before the pool is destroyed.
    for (auto& item : this->entries) {
        if (item.state != State::Waiting)
            continue;
        this->queue(item.workClass).remove(item);
    }
    for (auto& step : this->wheel)
        step.clear();
}

void RequestScheduler::setTeams(std::span<const TeamShare> shares)
{
    for (auto& team : this->teams)
        team.known = false;
    this->weightSum = 0;
    for (const auto& share : shares) {
        const auto [found, added]
            = this->teamByName.try_emplace(share.name, static_cast<TeamIndex>(this->teams.size()));
        if (added)
            this->teams.push_back({ share.name, true, {} });
        this->teams[found->second].known = true;
        for (auto& classQueue : this->queues)
            classQueue.setTeam(found->second, share.share);
        this->weightSum += std::max(share.share, FairQueue::minWeight);
    }
    for (TeamIndex index = 0; index < this->teams.size(); ++index) {
        for (auto& classQueue : this->queues) {
            if (!this->teams[index].known)
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

RequestScheduler::TeamClass& RequestScheduler::counts(const Entry& entry)
{
    return this->teams[entry.team].classes[static_cast<std::size_t>(entry.workClass)];
}

Duration RequestScheduler::estimate(TeamIndex team, WorkClass workClass, Duration declared) const
{
    const auto kind = static_cast<std::size_t>(workClass);
    const auto own = this->teams[team].classes[kind].meanRun;
    if (own > 0)
        return Duration { std::llround(std::ceil(own)) };
    if (declared > Duration { 0 })
        return std::min(declared, this->settings.longestRun);
    if (this->meanRun[kind] > 0)
        return Duration { std::llround(std::ceil(this->meanRun[kind])) };
    return defaultRun;
}

bool RequestScheduler::queueFull(TeamIndex team, WorkClass workClass) const
{
    const auto& classQueue = this->queue(workClass);
    const auto limit = static_cast<std::size_t>(this->settings.queueLimit);
    if (classQueue.waiting() < limit)
        return false;
    // A team below its part of the queue is admitted, so that another team's flood does not shut it out.
    const auto part = this->settings.queueLimit * classQueue.weight(team) / this->weightSum;
    return classQueue.waiting() >= 2 * limit || static_cast<double>(classQueue.waiting(team)) >= part;
}

void RequestScheduler::addEntries()
{
    const auto added = std::min(entryBlock, this->mostEntries - this->entries.size());
    // So that an entry that becomes free never allocates.
    this->freeEntries.reserve(this->entries.size() + added);
    for (std::size_t i = 0; i < added; ++i) {
        const auto index = static_cast<std::uint32_t>(this->entries.size());
        this->entries.emplace_back().index = index;
        this->freeEntries.push_back(index);
    }
}

RequestScheduler::Entry& RequestScheduler::takeEntry()
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
    if (!team || !this->teams[*team].known)
        return { AdmissionRefusal::UnknownTeam, 0, Duration { 0 } };
    const auto workClass = submission.workClass;
    const auto estimated = this->estimate(*team, workClass, submission.declared);
    const auto wait = this->predict(*team, workClass, estimated, now);
    if (this->isFull() || this->queueFull(*team, workClass))
        return { AdmissionRefusal::QueueFull, 0, wait };
    const bool interactive = workClass == WorkClass::Interactive;
    if (interactive && submission.deadline <= now)
        return { AdmissionRefusal::DeadlinePassed, 0, wait };
    if (interactive && submission.deadline - now < wait)
        return { AdmissionRefusal::DeadlineUnreachable, 0, wait };

    auto& added = this->takeEntry();
    added.state = State::Waiting;
    added.workClass = workClass;
    added.cancelled = false;
    added.team = *team;
    added.sequence = ++this->sequence;
    added.estimate = estimated;
    added.deadline = submission.deadline;
    // Interactive requests of a team run in order of arrival; another order would make the predicted wait wrong.
    added.due = interactive ? TimePoint::max() : submission.deadline;
    this->queue(workClass).push(added);
    if (interactive && added.deadline != TimePoint::max()) {
        const auto step = static_cast<std::size_t>(added.deadline.time_since_epoch().count() / wheelStepMs);
        this->wheel[step % wheelSize].push_back(added);
    }
    return { AdmissionRefusal::None, this->ticket(added), wait };
}

void RequestScheduler::release(Entry& entry)
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
    this->release(*found);
    return CancelResult::NotRun;
}

double RequestScheduler::backgroundPart(TimePoint now) const
{
    const auto& background = this->queue(WorkClass::Background);
    if (background.empty())
        return 0;
    const auto least = this->settings.backgroundFraction;
    const auto most = std::max(least, this->settings.backgroundFractionAtDue);
    const auto due = background.earliestDue();
    if (due == TimePoint::max())
        return least;
    if (due <= now)
        return most;
    const auto left = static_cast<double>((due - now).count());
    const auto ramp = least + (most - least) * (1 - left / static_cast<double>(this->settings.riseTime.count()));
    // Work that needs more than its fraction to end in time gets it before the ramp begins.
    const auto needed = static_cast<double>(background.waitingWork().count()) / (left * std::max(this->slotCount, 1));
    return std::clamp(std::max(ramp, needed), least, most);
}

void RequestScheduler::addDebt(double slotMilliseconds)
{
    const auto bound = static_cast<double>(this->settings.memory.count()) * std::max(this->slotCount, 1);
    this->backgroundDebt = std::clamp(this->backgroundDebt + slotMilliseconds, -bound, bound);
}

void RequestScheduler::chargeDebt(Entry& entry, double part, bool contended)
{
    entry.debtFactor = 0;
    if (entry.workClass == WorkClass::Background) {
        // Slots that no interactive request wanted are free of charge.
        entry.debtFactor = contended ? -1 : 0;
    } else if (contended) {
        entry.debtFactor = part / (1 - part);
    } else {
        // Background work that got ahead of its fraction is paid back, but none builds up a claim by staying away.
        const auto least = this->settings.backgroundFraction;
        const auto repaid = static_cast<double>(entry.estimate.count()) * least / (1 - least);
        this->backgroundDebt = std::min(0.0, this->backgroundDebt + repaid);
    }
    this->addDebt(entry.debtFactor * static_cast<double>(entry.estimate.count()));
}

RequestScheduler::Entry* RequestScheduler::pick(WorkClass workClass, TimePoint now)
{
    if (workClass == WorkClass::Background) {
        const auto ceiling = static_cast<int>(this->slotCount * this->settings.backgroundCeiling);
        if (this->backgroundOccupied >= std::max(ceiling, 1))
            return nullptr;
    }
    return static_cast<Entry*>(this->queue(workClass).pick(now, this->mayStart));
}

Ticket RequestScheduler::grantNext(TimePoint now)
{
    if (this->freeSlots() <= 0)
        return 0;
    const bool interactiveWaits = !this->queue(WorkClass::Interactive).empty();
    const bool backgroundWaits = !this->queue(WorkClass::Background).empty();
    const auto part = this->backgroundPart(now);
    const bool backgroundFirst = backgroundWaits && this->backgroundDebt > 0;
    const auto first = backgroundFirst ? WorkClass::Background : WorkClass::Interactive;
    const auto second = backgroundFirst ? WorkClass::Interactive : WorkClass::Background;
    auto* picked = this->pick(first, now);
    if (!picked)
        picked = this->pick(second, now);
    if (!picked)
        return 0;
    this->chargeDebt(*picked, part, interactiveWaits && backgroundWaits);
    picked->DeadlineHook::unlink();
    picked->state = State::Granted;
    ++this->occupied;
    ++this->counts(*picked).occupied;
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
    auto& count = this->counts(*found);
    ++count.running;
    count.startSum += now.time_since_epoch().count();
}

void RequestScheduler::markFinished(Ticket ticket, TimePoint now)
{
    auto* found = this->entry(ticket);
    if (!found || found->state == State::Waiting)
        return;
    auto& count = this->counts(*found);
    Duration actual { 0 };
    if (found->state == State::Running) {
        actual = std::max(now - found->start, Duration { 0 });
        --count.running;
        count.startSum -= found->start.time_since_epoch().count();
        count.used += static_cast<std::uint64_t>(actual.count());
        // A cancelled run says nothing about how long a whole one takes.
        if (!found->cancelled) {
            const auto run = std::max(static_cast<double>(actual.count()), 1.0);
            learn(count.meanRun, run);
            learn(this->meanRun[static_cast<std::size_t>(found->workClass)], run);
        }
    }
    this->queue(found->workClass).correct(*found, actual);
    this->addDebt(found->debtFactor * static_cast<double>((actual - found->estimate).count()));
    --this->occupied;
    --count.occupied;
    if (found->workClass == WorkClass::Background)
        --this->backgroundOccupied;
    this->release(*found);
}

void RequestScheduler::expire(TimePoint now, const ExpiredHook& refused)
{
    const auto current = now.time_since_epoch().count() / wheelStepMs;
    const auto first = std::max(this->wheelStep, current - static_cast<std::int64_t>(wheelSize) + 1);
    for (auto step = first; step <= current; ++step) {
        auto& bucket = this->wheel[static_cast<std::size_t>(step) % wheelSize];
        for (auto at = bucket.begin(); at != bucket.end();) {
            auto& waiting = *at++;
            if (waiting.deadline > now)
                continue;
            const auto expired = this->ticket(waiting);
            this->queue(waiting.workClass).remove(waiting);
            this->release(waiting);
            refused(expired);
        }
    }
    this->wheelStep = current;
}

std::size_t RequestScheduler::waitingCount() const { return this->queues[0].waiting() + this->queues[1].waiting(); }

std::size_t RequestScheduler::waitingCount(std::string_view team) const
{
    const auto found = this->find(team);
    return found ? this->queues[0].waiting(*found) + this->queues[1].waiting(*found) : 0;
}

std::uint64_t RequestScheduler::stepCount() const { return this->queues[0].steps() + this->queues[1].steps(); }

} // namespace waxwinglug
