// Jobs, their steps and tasks, the backend servers that run them, and the operator's configuration of queues and teams.
//
// These types define no wire format. A platform adapter decodes received messages into them.
#pragma once

#include <waxwinglug/base.h>
#include <waxwinglug/ini.h>
#include <waxwinglug/json.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglug {

// Resources that a task requires, a backend server offers, or a team may use.
struct Resources {
    std::int64_t cpu = 0; // thousandths of a core
    std::int64_t memory = 0; // MiB
    std::int64_t accelerators = 0;

    Resources& operator+=(const Resources& other)
    {
        this->cpu += other.cpu;
        this->memory += other.memory;
        this->accelerators += other.accelerators;
        return *this;
    }
    Resources& operator-=(const Resources& other)
    {
        this->cpu -= other.cpu;
        this->memory -= other.memory;
        this->accelerators -= other.accelerators;
        return *this;
    }
    friend Resources operator+(Resources left, const Resources& right) { return left += right; }
    friend Resources operator-(Resources left, const Resources& right) { return left -= right; }
    bool fitsIn(const Resources& available) const
    {
        return this->cpu <= available.cpu && this->memory <= available.memory
            && this->accelerators <= available.accelerators;
    }
    bool operator==(const Resources&) const = default;
};

// A set of identical tasks that can run in parallel.
struct StepSpec {
    int count = 1;
    Resources taskResources; // required by each task
    // Declared run time of one task. Actual run times commonly differ from it by a factor of two.
    Duration estimatedDuration { 0 };
    // Indices of earlier steps that must be complete before this one starts.
    std::vector<int> dependencies;
    // All tasks must run at the same time, and they end together.
    bool gang = false;
    // The step is slower when its tasks are spread over several racks.
    bool prefersSameRack = false;
    bool supportsCheckpoints = false;
    // Several copies of a task may run at the same time; the first to finish counts.
    bool speculative = false;
    // The tasks run until the job is cancelled and are restarted whenever they end.
    bool longRunning = false;
    // The tasks use only processor time that other tasks leave idle.
    bool bestEffort = false;
    // Label that a backend server must have; empty: no requirement.
    std::string requiredLabel;
    // Rack that holds the input data; empty: no preference.
    std::string dataRack;
    // Program image. Tasks of the same image have similar run times and loads.
    std::string image;
    // Maximum number of the step's tasks on one backend server; 0: no limit.
    int maxTasksPerServer = 0;
    // Maximum number of the step's long-running tasks that maintenance may interrupt at the same time.
    int maxUnavailable = 0;
    // Target for the tail latency of a task that serves user requests; 0: it serves none.
    Duration latencyTarget { 0 };
};

struct JobSpec {
    std::string id; // chosen by the caller; unique in the fleet
    std::string queue;
    std::string team;
    // Passed to the backend server without interpretation.
    std::string command;
    std::vector<StepSpec> steps;
    // 0: the steps run once, immediately. Otherwise occurrence K is due at firstDue + K * interval.
    int occurrences = 0;
    WallTime firstDue {};
    Duration interval { 0 };
    WallTime acceptedAt {};
    // Settings of the queue when the job was accepted. They count while the configuration does not name the queue: it
    // was removed, or the leader has not received it yet. An empty service: stored by an earlier version.
    std::string service {};
    int maxFailedRuns = 1;
};

enum class JobStatus {
    Pending, // no task has started
    Running,
    Completed,
    Failed,
    Cancelled,
};

constexpr bool isFinal(JobStatus state) { return state != JobStatus::Pending && state != JobStatus::Running; }

// Largest number of tasks of one occurrence of a job. The progress of a job is stored in one row, which holds a mark
// for each task and the numbers of failed runs.
constexpr int maxTasksPerJob = 20'000;

// Number of tasks of one occurrence.
int taskCount(const JobSpec& spec);

// Identifies one task of one occurrence of a job. All numbers start at 0.
struct TaskId {
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    auto operator<=>(const TaskId&) const = default;
};

// Outcome of one run of a task.
enum class RunEnd {
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    GangBroken, // another member of the gang ended
    GangIncomplete, // the other members of the gang did not start in time
};

// One incarnation of a backend server, as registered with the platform.
struct ServerRecord {
    std::string id;
    std::string service;
    Endpoint address;
    std::string dataCentre;
    std::string rack;
    std::vector<std::string> labels;
    Resources capacity;
    bool draining = false;
    // Machine that the server runs on. The machine keeps its name when the server restarts. Empty: unknown.
    std::string machine;
    // Start of this incarnation. A server can restart under the same id.
    WallTime startedAt {};

    bool operator==(const ServerRecord&) const = default;
};

struct QueueSpec {
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string service;
    int priority = 0; // 0 is the highest
    int maxFailedRuns = 1; // number of failed runs of one task that fails the job
    double stretchFactor = 1; // allowed duration of a job as a multiple of its critical path
    Duration slack { 0 }; // added to the allowed duration
    bool allowsAnonymous = false; // requests need no key
    // The steps of this queue may run only on servers that the platform's advice service names.
    bool needsAdvice = false;
};

struct ServiceSpec {
    std::string name;
    // Its backend servers reject tasks that exceed their capacity. Servers of other services start every task they are
    // sent.
    bool enforcesCapacity = false;
    // Its machines are powered off.
    bool standby = false;
};

struct TeamSpec {
    std::string name;
    std::vector<std::string> keys;
    double weight = 1;
    // Maximum resources of the team's running tasks; 0 in a field: no limit.
    Resources limit;
};

// One version of the operator's configuration. Immutable once it is built.
struct FleetConfig {
    std::uint64_t version = 0;
    std::vector<QueueSpec> queues;
    std::vector<ServiceSpec> services;
    std::vector<TeamSpec> teams;
    std::uint64_t maxBodyBytes = 0; // maximum size of a request body; 0: not configured

    // Returns the queue with the longest matching path prefix for this host and path, or nullptr when none matches.
    const QueueSpec* findQueue(std::string_view host, std::string_view path) const;
    const QueueSpec* queue(std::string_view name) const;
    const ServiceSpec* service(std::string_view name) const;
    const TeamSpec* team(std::string_view name) const;
    // Returns the team that owns this key, or nullptr when no team does.
    const TeamSpec* teamOfKey(std::string_view key) const;
};

// A maintenance wave: each machine is taken down once, at most `maxMachinesDown` at the same time.
struct MachineWave {
    int number = 0;
    std::vector<std::string> machines;
    Duration timeLimit { 0 }; // from the declaration of the wave
    int maxMachinesDown = 1;
};

// Throws Error (Invalid) if the job can never run: it has no steps, a step depends on itself or a later step, or a
// number is out of range.
void validateJob(const JobSpec& spec);

void to_json(Json& json, const JobSpec& spec); // NOLINT(readability-identifier-naming)
void from_json(const Json& json, JobSpec& spec); // NOLINT(readability-identifier-naming)
void to_json(Json& json, const ServerRecord& server); // NOLINT(readability-identifier-naming)
void from_json(const Json& json, ServerRecord& server); // NOLINT(readability-identifier-naming)

std::string_view jobStatusName(JobStatus state);
// Returns nothing if the text names no state.
std::optional<JobStatus> parseJobStatus(std::string_view name);
std::string_view runEndName(RunEnd end);

} // namespace waxwinglug
