// Configuration lookups, validation of jobs, and serialization of jobs and server records.
#include <waxwinglug/work.h>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace waxwinglug {
namespace {

    // Limits on one job, so that a single request cannot exhaust the memory of an entry VM (160 MB).
    constexpr int maxTasksPerStep = 2000;
    constexpr std::size_t maxSteps = 100;
    constexpr int maxOccurrences = 100'000;
    // Longest time of a job and latest due time after 1970; sums and multiples of it stay in the range of Duration.
    constexpr Duration maxTimeSpan { std::chrono::years(100) };

    template <typename List> auto findByName(const List& list, std::string_view name)
    {
        const auto found = std::ranges::find(list, name, [](const auto& each) { return std::string_view(each.name); });
        return found == list.end() ? nullptr : &*found;
    }

    constexpr std::array<std::pair<JobStatus, std::string_view>, 5> jobStatusNames { {
        { JobStatus::Pending, "pending" },
        { JobStatus::Running, "running" },
        { JobStatus::Completed, "completed" },
        { JobStatus::Failed, "failed" },
        { JobStatus::Cancelled, "cancelled" },
    } };

    Error invalidJob(std::string_view problem, std::string_view remedy)
    {
        return { ErrorKind::Invalid, problem, remedy };
    }

    void checkStep(const StepSpec& step, int number)
    {
        if (step.count < 1 || step.count > maxTasksPerStep)
            throw invalidJob(fmt::format("step {} has {} tasks", number, step.count),
                fmt::format("use 1 to {} tasks", maxTasksPerStep));
        if (step.taskResources.cpu < 0 || step.taskResources.memory < 0 || step.taskResources.accelerators < 0)
            throw invalidJob(fmt::format("step {} needs a negative amount", number), "use 0 or more");
        if (step.estimatedDuration < Duration(0) || step.estimatedDuration > maxTimeSpan)
            throw invalidJob(fmt::format("the estimate of step {} is {} ms", number, step.estimatedDuration.count()),
                fmt::format("use 0 to {} ms", maxTimeSpan.count()));
        for (const int earlier : step.dependencies) {
            if (earlier < 0 || earlier >= number)
                throw invalidJob(fmt::format("step {} waits for step {}", number, earlier), "name only earlier steps");
        }
    }

    Json stepToJson(const StepSpec& step)
    {
        return Json { { "count", step.count }, { "cpu", step.taskResources.cpu },
            { "memory", step.taskResources.memory }, { "accelerators", step.taskResources.accelerators },
            { "estimate", step.estimatedDuration.count() }, { "waitsFor", step.dependencies }, { "gang", step.gang },
            { "oneRack", step.prefersSameRack }, { "checkpoints", step.supportsCheckpoints },
            { "copies", step.speculative }, { "lasting", step.longRunning }, { "fills", step.bestEffort },
            { "label", step.requiredLabel }, { "rack", step.dataRack }, { "image", step.image },
            { "perServer", step.maxTasksPerServer }, { "mayMiss", step.maxUnavailable },
            { "latencyTarget", step.latencyTarget.count() } };
    }

    StepSpec stepFromJson(const Json& json)
    {
        StepSpec step;
        step.count = json.at("count").get<int>();
        step.taskResources = { json.at("cpu").get<std::int64_t>(), json.at("memory").get<std::int64_t>(),
            json.at("accelerators").get<std::int64_t>() };
        step.estimatedDuration = Duration(json.at("estimate").get<std::int64_t>());
        step.dependencies = json.at("waitsFor").get<std::vector<int>>();
        step.gang = json.at("gang").get<bool>();
        step.prefersSameRack = json.at("oneRack").get<bool>();
        step.supportsCheckpoints = json.at("checkpoints").get<bool>();
        step.speculative = json.at("copies").get<bool>();
        step.longRunning = json.at("lasting").get<bool>();
        step.bestEffort = json.at("fills").get<bool>();
        step.requiredLabel = json.at("label").get<std::string>();
        step.dataRack = json.at("rack").get<std::string>();
        step.image = json.at("image").get<std::string>();
        step.maxTasksPerServer = json.at("perServer").get<int>();
        step.maxUnavailable = json.at("mayMiss").get<int>();
        step.latencyTarget = Duration(json.at("latencyTarget").get<std::int64_t>());
        return step;
    }

} // namespace

const QueueSpec* FleetConfig::findQueue(std::string_view host, std::string_view path) const
{
    const QueueSpec* best = nullptr;
    for (const auto& queue : this->queues) {
        const bool matches = queue.host == host && path.starts_with(queue.pathPrefix);
        if (matches && (!best || queue.pathPrefix.size() > best->pathPrefix.size()))
            best = &queue;
    }
    return best;
}

const QueueSpec* FleetConfig::queue(std::string_view name) const { return findByName(this->queues, name); }

const ServiceSpec* FleetConfig::service(std::string_view name) const { return findByName(this->services, name); }

const TeamSpec* FleetConfig::team(std::string_view name) const { return findByName(this->teams, name); }

const TeamSpec* FleetConfig::teamOfKey(std::string_view key) const
{
    if (key.empty())
        return nullptr;
    const auto found = std::ranges::find_if(
        this->teams, [key](const TeamSpec& team) { return std::ranges::find(team.keys, key) != team.keys.end(); });
    return found == this->teams.end() ? nullptr : &*found;
}

int taskCount(const JobSpec& spec)
{
    int count = 0;
    for (const auto& step : spec.steps)
        count += step.count;
    return count;
}

void validateJob(const JobSpec& spec)
{
    if (spec.steps.empty() || spec.steps.size() > maxSteps)
        throw invalidJob(fmt::format("the job has {} steps", spec.steps.size()), "use 1 to 100 steps");
    for (std::size_t number = 0; number < spec.steps.size(); ++number)
        checkStep(spec.steps[number], static_cast<int>(number));
    if (taskCount(spec) > maxTasksPerJob)
        throw invalidJob(fmt::format("the steps of the job have {} tasks", taskCount(spec)),
            fmt::format("use at most {} tasks in all", maxTasksPerJob));
    if (spec.occurrences < 0 || spec.occurrences > maxOccurrences)
        throw invalidJob(fmt::format("the job runs {} times", spec.occurrences), "use 0 to 100000");
    if (spec.occurrences > 1 && spec.interval <= Duration(0))
        throw invalidJob("the interval between two runs is not positive", "use 1 ms or more");
    const auto firstDue = spec.firstDue.time_since_epoch();
    if (spec.interval > maxTimeSpan || firstDue > maxTimeSpan * 2 || firstDue < -maxTimeSpan)
        throw invalidJob("a due time is out of range", "use times within 100 years");
}

void to_json(Json& json, const JobSpec& spec)
{
    Json steps = Json::array();
    for (const auto& step : spec.steps)
        steps.push_back(stepToJson(step));
    json = Json { { "id", spec.id }, { "queue", spec.queue }, { "team", spec.team }, { "command", spec.command },
        { "steps", std::move(steps) }, { "occurrences", spec.occurrences },
        { "first", spec.firstDue.time_since_epoch().count() }, { "interval", spec.interval.count() },
        { "acceptedAt", spec.acceptedAt.time_since_epoch().count() }, { "service", spec.service },
        { "maxFailedRuns", spec.maxFailedRuns } };
}

void from_json(const Json& json, JobSpec& spec)
{
    spec.id = json.at("id").get<std::string>();
    spec.queue = json.at("queue").get<std::string>();
    spec.team = json.at("team").get<std::string>();
    spec.command = json.at("command").get<std::string>();
    spec.steps.clear();
    for (const auto& step : json.at("steps"))
        spec.steps.push_back(stepFromJson(step));
    spec.occurrences = json.at("occurrences").get<int>();
    spec.firstDue = WallTime(Duration(json.at("first").get<std::int64_t>()));
    spec.interval = Duration(json.at("interval").get<std::int64_t>());
    spec.acceptedAt = WallTime(Duration(json.at("acceptedAt").get<std::int64_t>()));
    spec.service = json.value("service", std::string());
    spec.maxFailedRuns = json.value("maxFailedRuns", 1);
    validateJob(spec);
}

void to_json(Json& json, const ServerRecord& server)
{
    json = Json { { "id", server.id }, { "service", server.service }, { "host", server.address.host },
        { "port", server.address.port }, { "dataCentre", server.dataCentre }, { "rack", server.rack },
        { "labels", server.labels }, { "cpu", server.capacity.cpu }, { "memory", server.capacity.memory },
        { "accelerators", server.capacity.accelerators }, { "machine", server.machine },
        { "startedAt", server.startedAt.time_since_epoch().count() } };
}

void from_json(const Json& json, ServerRecord& server)
{
    server.id = json.at("id").get<std::string>();
    server.service = json.at("service").get<std::string>();
    server.address = { json.at("host").get<std::string>(), json.at("port").get<std::uint16_t>() };
    server.dataCentre = json.at("dataCentre").get<std::string>();
    server.rack = json.at("rack").get<std::string>();
    server.labels = json.at("labels").get<std::vector<std::string>>();
    server.capacity = { json.at("cpu").get<std::int64_t>(), json.at("memory").get<std::int64_t>(),
        json.at("accelerators").get<std::int64_t>() };
    server.machine = json.at("machine").get<std::string>();
    server.startedAt = WallTime(Duration(json.at("startedAt").get<std::int64_t>()));
}

std::string_view jobStatusName(JobStatus state) { return jobStatusNames[static_cast<std::size_t>(state)].second; }

std::optional<JobStatus> parseJobStatus(std::string_view name)
{
    const auto found = std::ranges::find(jobStatusNames, name, [](const auto& each) { return each.second; });
    return found == jobStatusNames.end() ? std::nullopt : std::optional(found->first);
}

std::string_view runEndName(RunEnd end)
{
    switch (end) {
    case RunEnd::Done:
        return "done";
    case RunEnd::Failed:
        return "failed";
    case RunEnd::Stopped:
        return "stopped";
    case RunEnd::LeaseExpired:
        return "lease-expired";
    case RunEnd::GangBroken:
        return "gang-broken";
    case RunEnd::GangIncomplete:
        return "gang-incomplete";
    }
    return "";
}

} // namespace waxwinglug
