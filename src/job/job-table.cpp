// Progress of jobs: activation of occurrences, critical paths, serialization.
#include "job/job-table.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace waxwinglug::detail {
namespace {

    // Maximum number of active occurrences of one job. Later ones wait until one of them is complete.
    constexpr std::size_t maxActiveOccurrences = 50;
    // Upper bounds of the encoded size of one occurrence, of one step and of one failed run, and of the rest of the
    // row.
    constexpr std::size_t occurrenceBytes = 64;
    constexpr std::size_t stepBytes = 4;
    constexpr std::size_t failedRunBytes = 32;
    constexpr std::size_t rowBytes = 64;

    // Bound of the work of an occurrence, in thousandths of a core times milliseconds. Sums over all jobs stay in
    // range.
    constexpr std::int64_t maxWork = 1'000'000'000'000'000;

    // Multiplies two numbers that are not negative.
    std::int64_t saturatedProduct(std::int64_t left, std::int64_t right)
    {
        return left > 0 && right > maxWork / left ? maxWork : left * right;
    }

    // The stored progress and the memory of a job grow with the tasks of its active occurrences.
    std::size_t activeOccurrenceLimit(const JobSpec& spec)
    {
        const auto tasks = static_cast<std::size_t>(std::max(taskCount(spec), 1));
        return std::clamp<std::size_t>(maxTasksPerJob / tasks, 1, maxActiveOccurrences);
    }

    // Returns an upper bound of the encoded size without checkpoints.
    std::size_t maxEncodedSize(const Occurrence& occurrence)
    {
        auto size = occurrenceBytes;
        for (const auto& step : occurrence.steps) {
            size += stepBytes + step.tasks.size();
            for (const auto& task : step.tasks)
                size += task.failedRuns.size() * failedRunBytes;
        }
        return size;
    }

    // Declared run time of the longest chain of dependent steps.
    Duration longestPath(const JobSpec& spec)
    {
        std::vector<Duration> ends;
        Duration longest { 0 };
        for (const auto& step : spec.steps) {
            Duration start { 0 };
            for (const int earlier : step.dependencies)
                start = std::max(start, ends[static_cast<std::size_t>(earlier)]);
            ends.push_back(start + step.estimatedDuration);
            longest = std::max(longest, ends.back());
        }
        return longest;
    }

    Occurrence makeOccurrence(const JobRecord& job, int number)
    {
        Occurrence occurrence;
        occurrence.number = number;
        occurrence.dueAt = job.dueAt(number);
        for (const auto& step : job.spec.steps) {
            StepProgress progress;
            progress.tasks.resize(static_cast<std::size_t>(step.count));
            progress.waiting = step.count;
            occurrence.steps.push_back(std::move(progress));
        }
        return occurrence;
    }

    void activateNext(JobRecord& job)
    {
        const int number = job.nextOccurrence++;
        job.activeOccurrences.emplace(number, makeOccurrence(job, number));
    }

    std::string taskKey(std::size_t step, std::size_t index) { return fmt::format("{}.{}", step, index); }

    // Adds the checkpoint of a task while the bytes that are left suffice.
    void addCheckpoint(Json& checkpoints, std::string key, const std::string& checkpoint, std::size_t& bytesLeft,
        std::size_t& omittedCheckpoints)
    {
        constexpr std::size_t separatorBytes = 4;
        Json value = checkpoint;
        // Escaping makes a text longer, so the encoded form counts.
        const auto size = key.size() + value.dump().size() + separatorBytes;
        if (size > bytesLeft) {
            ++omittedCheckpoints;
            return;
        }
        bytesLeft -= size;
        checkpoints[std::move(key)] = std::move(value);
    }

    Json saveOccurrence(const Occurrence& occurrence, std::size_t& bytesLeft, std::size_t& omittedCheckpoints)
    {
        Json done = Json::array();
        Json failures = Json::object();
        Json checkpoints = Json::object();
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            std::string bits;
            const auto& tasks = occurrence.steps[step].tasks;
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                const auto& task = tasks[index];
                bits += task.phase == TaskPhase::Done ? '1' : '0';
                if (!task.failedRuns.empty())
                    failures[taskKey(step, index)] = task.failedRuns;
                if (!task.checkpoint.empty() && task.phase != TaskPhase::Done)
                    addCheckpoint(checkpoints, taskKey(step, index), task.checkpoint, bytesLeft, omittedCheckpoints);
            }
            done.push_back(std::move(bits));
        }
        Json json { { "number", occurrence.number }, { "done", std::move(done) } };
        if (!failures.empty())
            json["failures"] = std::move(failures);
        if (!checkpoints.empty())
            json["checkpoints"] = std::move(checkpoints);
        return json;
    }

    Task* findTask(Occurrence& occurrence, std::string_view key)
    {
        const auto dot = key.find('.');
        if (dot == std::string_view::npos)
            return nullptr;
        const auto number = [](std::string_view digits) {
            std::size_t value = 0;
            std::from_chars(digits.begin(), digits.end(), value);
            return value;
        };
        const auto step = number(key.substr(0, dot));
        const auto index = number(key.substr(dot + 1));
        if (step >= occurrence.steps.size() || index >= occurrence.steps[step].tasks.size())
            return nullptr;
        return &occurrence.steps[step].tasks[index];
    }

    void loadOccurrence(Occurrence& occurrence, const Json& json)
    {
        const auto& done = json.at("done");
        for (std::size_t step = 0; step < occurrence.steps.size() && step < done.size(); ++step) {
            const auto bits = done[step].get<std::string>();
            auto& progress = occurrence.steps[step];
            for (std::size_t index = 0; index < progress.tasks.size() && index < bits.size(); ++index) {
                if (bits[index] == '1')
                    setPhase(progress, progress.tasks[index], TaskPhase::Done);
            }
        }
        if (json.contains("failures")) {
            for (const auto& [key, runs] : json["failures"].items()) {
                auto* task = findTask(occurrence, key);
                if (!task)
                    continue;
                task->failedRuns = runs.get<std::vector<int>>();
                for (const int run : task->failedRuns)
                    task->run = std::max(task->run, run);
            }
        }
        if (json.contains("checkpoints")) {
            for (const auto& [key, text] : json["checkpoints"].items()) {
                if (auto* task = findTask(occurrence, key))
                    task->checkpoint = text.get<std::string>();
            }
        }
    }

    void loadProgress(JobRecord& job, const Json& json)
    {
        const auto state = parseJobStatus(json.at("state").get<std::string>());
        if (!state)
            throw Error(ErrorKind::Invalid, "unknown job state", "check that all nodes run the same version");
        job.state = *state;
        job.nextOccurrence = json.at("next").get<int>();
        job.activeOccurrences.clear();
        for (const auto& each : json.at("open")) {
            const int number = each.at("number").get<int>();
            auto occurrence = makeOccurrence(job, number);
            loadOccurrence(occurrence, each);
            job.activeOccurrences.emplace(number, std::move(occurrence));
        }
    }

} // namespace

bool Occurrence::isComplete() const
{
    return std::ranges::all_of(this->steps, [](const auto& step) { return step.isComplete(); });
}

bool Occurrence::isReady(const JobSpec& spec, std::size_t step) const
{
    return std::ranges::all_of(spec.steps[step].dependencies,
        [this](int earlier) { return this->steps[static_cast<std::size_t>(earlier)].isComplete(); });
}

const RemainingWork& Occurrence::remaining(const JobSpec& spec) const
{
    int changes = 0;
    for (const auto& step : this->steps)
        changes += step.doneChanges;
    if (changes != this->cachedDoneChanges) {
        this->cachedRemaining = this->computeRemaining(spec);
        this->cachedDoneChanges = changes;
    }
    return this->cachedRemaining;
}

RemainingWork Occurrence::computeRemaining(const JobSpec& spec) const
{
    RemainingWork remaining;
    // Steps depend only on earlier ones, so a single pass in order is a topological order.
    std::vector<Duration> ends(spec.steps.size());
    for (std::size_t step = 0; step < spec.steps.size(); ++step) {
        const auto& declared = spec.steps[step];
        const auto left = static_cast<std::int64_t>(this->steps[step].tasks.size()) - this->steps[step].done;
        remaining.work = std::min(maxWork,
            remaining.work
                + saturatedProduct(
                    saturatedProduct(left, declared.taskResources.cpu), declared.estimatedDuration.count()));
        Duration start { 0 };
        for (const int earlier : declared.dependencies)
            start = std::max(start, ends[static_cast<std::size_t>(earlier)]);
        ends[step] = start + (this->steps[step].isComplete() ? Duration(0) : declared.estimatedDuration);
        remaining.criticalPath = std::max(remaining.criticalPath, ends[step]);
    }
    return remaining;
}

Task* JobRecord::find(const TaskId& id)
{
    const auto occurrence = this->activeOccurrences.find(id.occurrence);
    if (occurrence == this->activeOccurrences.end() || id.step < 0 || id.index < 0)
        return nullptr;
    const auto step = static_cast<std::size_t>(id.step);
    const auto index = static_cast<std::size_t>(id.index);
    if (step >= occurrence->second.steps.size() || index >= occurrence->second.steps[step].tasks.size())
        return nullptr;
    return &occurrence->second.steps[step].tasks[index];
}

bool JobRecord::hasTask(const TaskId& id) const
{
    return id.occurrence >= 0 && id.occurrence < this->occurrenceCount() && id.step >= 0
        && id.step < static_cast<int>(this->spec.steps.size()) && id.index >= 0
        && id.index < this->spec.steps[static_cast<std::size_t>(id.step)].count;
}

WallTime JobRecord::dueAt(int occurrence) const
{
    if (this->spec.occurrences == 0)
        return this->spec.acceptedAt;
    return this->spec.firstDue + this->spec.interval * occurrence;
}

JobRecord::JobRecord(JobSpec jobSpec)
    : spec(std::move(jobSpec))
    , criticalPath(longestPath(spec))
    , isLongRunning(std::ranges::any_of(spec.steps, &StepSpec::longRunning))
    , service(spec.service)
    , maxFailedRuns(std::max(spec.maxFailedRuns, 1))
{
}

WallTime JobRecord::softDeadline(const Occurrence& occurrence) const
{
    const auto allowed = this->stretchFactor * static_cast<double>(this->criticalPath.count());
    return occurrence.dueAt + Duration(static_cast<std::int64_t>(allowed)) + this->slack;
}

bool JobTable::add(JobSpec spec)
{
    const auto id = spec.id;
    const auto [place, added] = this->jobs.try_emplace(id);
    if (added) {
        place->second = std::make_unique<JobRecord>(std::move(spec));
    }
    return added;
}

JobRecord* JobTable::find(std::string_view id)
{
    const auto job = this->jobs.find(id);
    return job == this->jobs.end() ? nullptr : job->second.get();
}

void JobTable::remove(std::string_view id) { this->jobs.erase(std::string(id)); }

void JobTable::load(JobRecord& job, std::string_view text, std::uint64_t rowVersion)
{
    try {
        loadProgress(job, Json::parse(text));
    } catch (const Json::exception& error) {
        throw Error(ErrorKind::Invalid, error.what(), "check that all nodes run the same version");
    }
    job.rowVersion = rowVersion;
}

SavedProgress JobTable::save(const JobRecord& job, std::size_t maxBytes)
{
    SavedProgress saved;
    Json active = Json::array();
    if (!job.isOver()) {
        auto size = rowBytes;
        for (const auto& [number, occurrence] : job.activeOccurrences)
            size += maxEncodedSize(occurrence);
        auto bytesLeft = maxBytes - std::min(maxBytes, size);
        for (const auto& [number, occurrence] : job.activeOccurrences)
            active.push_back(saveOccurrence(occurrence, bytesLeft, saved.omittedCheckpoints));
    }
    saved.text = Json {
        { "state", jobStatusName(job.state) }, { "next", job.nextOccurrence }, { "open", std::move(active) }
    }.dump();
    return saved;
}

bool JobTable::isCompleted(std::string_view text)
{
    try {
        return parseJobStatus(Json::parse(text).at("state").get<std::string>()) == JobStatus::Completed;
    } catch (const Json::exception& error) {
        throw Error(ErrorKind::Invalid, error.what(), "check that all nodes run the same version");
    }
}

bool JobTable::activateDueOccurrences(JobRecord& job, WallTime now)
{
    bool activated = false;
    const auto openCount = [&job] {
        return job.activeOccurrences.size()
            + static_cast<std::size_t>(job.unsavedCompletions + job.completionsInFlight);
    };
    while (!job.isOver() && job.nextOccurrence < job.occurrenceCount() && openCount() < activeOccurrenceLimit(job.spec)
        && job.dueAt(job.nextOccurrence) <= now) {
        activateNext(job);
        activated = true;
    }
    return activated;
}

bool JobTable::activateThrough(JobRecord& job, int number, std::size_t maxBytes)
{
    auto bytes = rowBytes;
    for (const auto& [active, occurrence] : job.activeOccurrences)
        bytes += maxEncodedSize(occurrence);
    const auto added = static_cast<std::size_t>(number) - static_cast<std::size_t>(job.nextOccurrence) + 1;
    if (bytes > maxBytes || added > (maxBytes - bytes) / maxEncodedSize(makeOccurrence(job, number)))
        return false;
    while (job.nextOccurrence <= number)
        activateNext(job);
    return true;
}

void setPhase(StepProgress& step, Task& task, TaskPhase phase)
{
    if (task.phase == phase)
        return;
    step.waiting += (phase == TaskPhase::Waiting ? 1 : 0) - (task.phase == TaskPhase::Waiting ? 1 : 0);
    if (phase == TaskPhase::Done || task.phase == TaskPhase::Done) {
        step.done += phase == TaskPhase::Done ? 1 : -1;
        ++step.doneChanges;
    }
    task.phase = phase;
}

} // namespace waxwinglug::detail
