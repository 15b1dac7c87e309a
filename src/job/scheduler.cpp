// JobScheduler: configuration, jobs, and storing of progress.
#include "job/scheduler.h"
#include "job/bounded-transaction.h"
#include "job/leadership.h"

#include <algorithm>
#include <utility>

namespace waxwinglug {

using detail::JobRecord;
using detail::Server;
using detail::TaskPhase;

std::string_view orderStatusName(OrderStatus status)
{
    switch (status) {
    case OrderStatus::Accepted:
        return "accepted";
    case OrderStatus::FenceTooLow:
        return "fence-too-low";
    case OrderStatus::RunTooOld:
        return "run-too-old";
    case OrderStatus::TooLate:
        return "too-late";
    case OrderStatus::NoCapacity:
        return "no-room";
    case OrderStatus::TicketInvalid:
        return "ticket-invalid";
    case OrderStatus::OtherIncarnation:
        return "other-life";
    case OrderStatus::Unhealthy:
        return "unhealthy";
    case OrderStatus::Malformed:
        return "malformed";
    case OrderStatus::NotSent:
        return "not-sent";
    case OrderStatus::Unknown:
        return "unknown";
    }
    return "";
}

void JobSchedulerRules::assumeEarlierLeaderStopped()
{
    // Allowance for timer and network delays until the last lease renewal of the earlier leader has completed.
    constexpr Duration slack { 400 };
    this->earlierLeaderStartWindow = Duration(0);
    this->maxInheritedLease = this->lease * 1000 / detail::minClockRate + slack;
}

Duration JobSchedulerRules::maxStrayLease() const
{
    return this->maxOrderDelay + this->maxLease * 1000 / detail::minClockRate + Duration(detail::clockMarginMs);
}

Resources reservedResources(const StepSpec& step)
{
    auto need = step.taskResources;
    if (step.bestEffort)
        need.cpu = 0;
    return need;
}

namespace {

    // Size of the condition and the write of one job in an encoded transaction.
    std::size_t progressEncodedSize(const std::string& job, std::size_t textBytes)
    {
        const RowName name { "progress", Leadership::part, job };
        return encodedSize(name, 0) + encodedSize(name, textBytes);
    }

} // namespace

JobScheduler::JobScheduler(JobSchedulerRules schedulerRules, Clock source, JobSchedulerHooks schedulerHooks)
    : rules(schedulerRules)
    , clock(std::move(source))
    , hooks(std::move(schedulerHooks))
    , termStartedAt(clock.now())
    , latestOrderFence(rules.firstOrderFence())
    , config(std::make_shared<FleetConfig>())
{
}

JobScheduler::~JobScheduler() = default;

void JobScheduler::setConfig(std::shared_ptr<const FleetConfig> newConfig)
{
    this->config = std::move(newConfig);
    for (const auto& [id, job] : this->jobTable.all())
        this->applyQueueSettings(*job);
}

// Copies the settings of the job's queue. A job whose queue was removed keeps the last ones.
void JobScheduler::applyQueueSettings(JobRecord& job)
{
    const auto* queue = this->config->queue(job.spec.queue);
    if (!queue)
        return;
    if (!job.isOver() && job.service != queue->service) {
        this->activeJobs[job.service].erase(&job);
        this->activeJobs[queue->service].insert(&job);
    }
    job.service = queue->service;
    job.priority = queue->priority;
    job.maxFailedRuns = std::max(queue->maxFailedRuns, 1);
    job.stretchFactor = queue->stretchFactor;
    job.slack = queue->slack;
    job.needsAdvice = queue->needsAdvice;
}

void JobScheduler::addJob(JobSpec spec, bool inherited)
{
    const auto id = spec.id;
    if (!this->jobTable.add(std::move(spec)))
        return;
    auto& job = *this->jobTable.find(id);
    this->activeJobs[job.service].insert(&job);
    this->applyQueueSettings(job);
    // An earlier leader that has not noticed yet that it was replaced starts new jobs as well.
    if (inherited || this->clock.now() - this->termStartedAt < this->rules.earlierLeaderStartWindow)
        this->inheritedJobs.insert(&job);
    detail::JobTable::activateDueOccurrences(job, this->clock.wallNow());
    this->changedServices.insert(job.service);
    if (!inherited)
        this->recordArrival(job);
    if (!inherited)
        this->hooks.log("job received", { { "job", id }, { "queue", job.spec.queue }, { "team", job.spec.team } });
}

void JobScheduler::loadProgress(std::string_view id, std::string_view text, std::uint64_t rowVersion)
{
    auto* job = this->jobTable.find(id);
    if (!job)
        return;
    detail::JobTable::load(*job, text, rowVersion);
    detail::JobTable::activateDueOccurrences(*job, this->clock.wallNow());
    if (job->isOver()) {
        this->activeJobs[job->service].erase(job);
        job->endedAt = this->clock.now();
        this->endedJobs.push_back(job);
        this->storedEnds.emplace_back(id);
    }
}

void JobScheduler::addEndedJob(const std::string& id, JobStatus finalState, std::uint64_t rowVersion)
{
    JobSpec spec;
    spec.id = id;
    if (!this->jobTable.add(std::move(spec)))
        return;
    auto& job = *this->jobTable.find(id);
    job.state = finalState;
    job.rowVersion = rowVersion;
    job.endedAt = this->clock.now();
    this->endedJobs.push_back(&job);
}

void JobScheduler::cancelJob(std::string_view id)
{
    auto* job = this->jobTable.find(id);
    if (job && !job->isOver())
        this->finishJob(*job, JobStatus::Cancelled, "cancelled by the caller");
}

// Marks the job as changed. Returns a sequence number; the change is stored once that number is.
std::uint64_t JobScheduler::markUnsaved(JobRecord& job)
{
    if (job.changeSequence == 0) {
        job.changeSequence = ++this->lastChangeSequence;
        this->unsaved.emplace(job.changeSequence, &job);
    }
    return job.changeSequence;
}

std::vector<ProgressWrite> JobScheduler::takeUnsavedProgress(std::size_t maxCount, std::size_t maxBytes)
{
    std::vector<ProgressWrite> batch;
    std::size_t bytes = 0;
    while (batch.size() < maxCount && !this->unsaved.empty()) {
        const auto [sequence, job] = *this->unsaved.begin();
        auto text = this->encodeProgress(*job);
        bytes += progressEncodedSize(job->spec.id, text.size());
        if (bytes > maxBytes)
            break;
        this->unsaved.erase(this->unsaved.begin());
        job->changeSequence = 0;
        job->completionsInFlight = std::exchange(job->unsavedCompletions, 0);
        batch.push_back({ job->spec.id, std::move(text), job->rowVersion, sequence });
    }
    if (!batch.empty())
        this->inFlightSequence = batch.front().changeSequence;
    return batch;
}

// A job whose progress exceeds the largest row ends, because nothing that happens to its tasks could be stored any
// more, and the ends that its servers have listed could not be acknowledged.
std::string JobScheduler::encodeProgress(JobRecord& job)
{
    auto saved = detail::JobTable::save(job, this->rules.maxProgressBytes);
    if (saved.omittedCheckpoints > 0)
        this->hooks.log("checkpoints are not stored",
            { { "job", job.spec.id }, { "checkpoints", saved.omittedCheckpoints }, { "bytes", saved.text.size() } });
    if (saved.text.size() <= this->rules.maxProgressBytes || job.isOver())
        return std::move(saved.text);
    this->hooks.log("progress of a job exceeds the largest row",
        { { "job", job.spec.id }, { "bytes", saved.text.size() }, { "limit", this->rules.maxProgressBytes } });
    this->finishJob(job, JobStatus::Failed, "its progress exceeds the largest row");
    return detail::JobTable::save(job).text;
}

void JobScheduler::progressRefused(std::string_view id)
{
    auto* job = this->jobTable.find(id);
    if (job && !job->isOver())
        this->finishJob(*job, JobStatus::Failed, "the store refuses its progress");
}

void JobScheduler::progressSaved(std::span<const ProgressWrite> batch, std::uint64_t rowVersion)
{
    this->inFlightSequence = 0;
    for (const auto& write : batch) {
        auto* job = this->jobTable.find(write.job);
        if (!job)
            continue;
        job->rowVersion = rowVersion;
        job->completionsInFlight = 0;
        // A job that has changed again since the batch was taken is stored once more.
        if (job->isOver() && job->changeSequence == 0)
            this->storedEnds.push_back(write.job);
    }
    this->acknowledgeStoredEnds();
}

void JobScheduler::progressNotSaved(std::span<const ProgressWrite> batch)
{
    this->inFlightSequence = 0;
    for (const auto& write : batch) {
        auto* job = this->jobTable.find(write.job);
        if (!job)
            continue;
        job->unsavedCompletions += std::exchange(job->completionsInFlight, 0);
        // The job keeps the older sequence number, because ends that depend on it must not be acknowledged before this
        // batch is stored.
        if (job->changeSequence != 0)
            this->unsaved.erase(job->changeSequence);
        job->changeSequence = write.changeSequence;
        this->unsaved.emplace(write.changeSequence, job);
    }
}

void JobScheduler::setProgressVersion(std::string_view id, std::uint64_t rowVersion)
{
    if (auto* job = this->jobTable.find(id))
        job->rowVersion = rowVersion;
}

std::uint64_t JobScheduler::storedSequence() const
{
    auto storedThrough = this->lastChangeSequence;
    if (!this->unsaved.empty())
        storedThrough = std::min(storedThrough, this->unsaved.begin()->first - 1);
    if (this->inFlightSequence != 0)
        storedThrough = std::min(storedThrough, this->inFlightSequence - 1);
    return storedThrough;
}

void JobScheduler::acknowledgeStoredEnds(Server& server, std::uint64_t storedThrough)
{
    auto& waiting = server.unacknowledgedEnds;
    if (waiting.empty() || waiting.front().changeSequence > storedThrough)
        return;
    while (!waiting.empty() && waiting.front().changeSequence <= storedThrough) {
        server.lastStoredEnd = waiting.front().number;
        waiting.pop_front();
    }
    this->scheduleRenewal(server, this->clock.now());
}

void JobScheduler::acknowledgeStoredEnds()
{
    const auto storedThrough = this->storedSequence();
    std::erase_if(this->unstoredServers, [this, storedThrough](Server* server) {
        this->acknowledgeStoredEnds(*server, storedThrough);
        server->isInUnstoredList = !server->unacknowledgedEnds.empty();
        return !server->isInUnstoredList;
    });
}

// A task with a run on a server belongs to an active occurrence, so the servers need not be searched.
void JobScheduler::forEachRun(
    JobRecord& job, const std::function<void(Server&, std::map<TaskId, detail::Run>::iterator)>& visit)
{
    for (auto& [number, occurrence] : job.activeOccurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            auto& tasks = occurrence.steps[step].tasks;
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                auto* server = tasks[index].server;
                if (!server)
                    continue;
                const auto run
                    = server->runs.find({ job.spec.id, number, static_cast<int>(step), static_cast<int>(index) });
                if (run != server->runs.end())
                    visit(*server, run);
            }
        }
    }
}

bool JobScheduler::hasRuns(const JobRecord& job)
{
    return std::ranges::any_of(job.activeOccurrences, [](const auto& entry) {
        return std::ranges::any_of(entry.second.steps, [](const auto& step) {
            return std::ranges::any_of(step.tasks, [](const auto& task) { return task.server != nullptr; });
        });
    });
}

void JobScheduler::finishJob(JobRecord& job, JobStatus state, std::string_view reason)
{
    job.state = state;
    job.endedAt = this->clock.now();
    this->endedJobs.push_back(&job);
    this->activeJobs[job.service].erase(&job);
    this->markUnsaved(job);
    this->hooks.log("job ended", { { "job", job.spec.id }, { "state", jobStatusName(state) }, { "reason", reason } });
    forEachRun(job,
        [this](Server& server, auto run) { this->requestStop(server, run->first, run->second, "its job has ended"); });
}

void JobScheduler::activateDueOccurrences()
{
    const auto now = this->clock.wallNow();
    for (auto& [service, jobs] : this->activeJobs) {
        for (auto* job : jobs) {
            if (job->nextOccurrence < job->occurrenceCount())
                detail::JobTable::activateDueOccurrences(*job, now);
        }
    }
}

std::vector<JobScheduler::StoredEnd> JobScheduler::takeStoredEnds()
{
    std::vector<StoredEnd> ends;
    // Until then a task of a failed or cancelled job may run on a server of an earlier leader, and its team and size
    // must be known.
    const bool mayRunUnknown = this->clock.now() - this->termStartedAt <= this->rules.maxInheritedLease
        || this->unansweredInheritedServers() > 0;
    std::erase_if(this->storedEnds, [&](const std::string& id) {
        const auto* job = this->jobTable.find(id);
        if (!job)
            return true;
        if (hasRuns(*job) || (job->state != JobStatus::Completed && mayRunUnknown))
            return false;
        ends.push_back({ id, job->state });
        return true;
    });
    return ends;
}

std::vector<std::string> JobScheduler::takeExpiredJobs(std::size_t maxCount)
{
    std::vector<std::string> expired;
    const auto now = this->clock.now();
    // Jobs are listed in the order in which they ended.
    for (auto place = this->endedJobs.begin(); place != this->endedJobs.end() && expired.size() < maxCount;) {
        auto* job = *place;
        if (now - job->endedAt <= this->rules.endedJobRetention)
            break;
        if (job->changeSequence != 0 || this->inFlightSequence != 0 || hasRuns(*job)) {
            ++place;
            continue;
        }
        place = this->endedJobs.erase(place);
        expired.push_back(job->spec.id);
        this->inheritedJobs.erase(job);
        this->jobTable.remove(expired.back());
    }
    return expired;
}

std::map<std::string, int> JobScheduler::pendingJobsByQueue() const
{
    std::map<std::string, int> waiting;
    for (const auto& [service, jobs] : this->activeJobs) {
        for (const auto* job : jobs) {
            if (job->state == JobStatus::Pending)
                ++waiting[job->spec.queue];
        }
    }
    return waiting;
}

std::optional<JobStatus> JobScheduler::jobStatus(std::string_view id)
{
    const auto* job = this->jobTable.find(id);
    return job ? std::optional(job->state) : std::nullopt;
}

void JobScheduler::tick()
{
    this->activateDueOccurrences();
    this->expireArrivals();
    this->dropUnresponsiveServers();
    this->reviewSuspicions();
    for (const auto& [id, server] : this->serverMap) {
        if (server->record.draining && server->registered)
            this->evict(*server, "its server is draining");
    }
    this->evictFromEvacuatedDataCentres();
    this->resendStops();
    this->sendDueRenewals();
    this->dispatch(true);
}

void JobScheduler::dispatchChanges()
{
    this->sendDueRenewals();
    this->dispatch(false);
}

} // namespace waxwinglug
