// Jobs of steps and tasks, the backend servers that run them, and what an operator declares about queues and teams.
//
// These types carry no wire format. A platform adapter decodes what it receives into them.
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

// What a task needs, what a backend server has, or what a team may use.
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
    bool fitsIn(const Resources& room) const
    {
        return this->cpu <= room.cpu && this->memory <= room.memory && this->accelerators <= room.accelerators;
    }
    bool operator==(const Resources&) const = default;
};

// Tasks of one step are alike and can run side by side.
struct StepSpec {
    int count = 1;
    Resources taskResources; // of one task
    // Declared run time of one task; off by a factor of two is usual.
    Duration estimatedDuration { 0 };
    // Numbers of earlier steps whose tasks must all be done first.
    std::vector<int> dependencies;
    // The tasks work only while all of them run, and end together.
    bool gang = false;
    // A gang or step that is slower when spread over several racks.
    bool prefersSameRack = false;
    bool supportsCheckpoints = false;
    // Several copies of a task may run; the first to finish counts.
    bool speculative = false;
    // The tasks run until the job is cancelled and are restarted however they end.
    bool longRunning = false;
    // The tasks use only processor time that others leave unused.
    bool bestEffort = false;
    // Empty: any backend server.
    std::string requiredLabel;
    // Empty: the data is everywhere.
    std::string dataRack;
    // Tasks of one image behave alike.
    std::string image;
    // Most tasks of the step on one backend server; 0: no limit.
    int maxTasksPerServer = 0;
    // Most tasks of a lasting step that maintenance may interrupt at the same time.
    int maxUnavailable = 0;
    // Bound on the tail latency of a lasting task that serves users of its own; 0: it serves none.
    Duration latencyTarget { 0 };
};

struct JobSpec {
    std::string id; // chosen by the caller; unique in the fleet
    std::string queue;
    std::string team;
    // Passed on to the backend server unread.
    std::string command;
    std::vector<StepSpec> steps;
    // 0: the steps run once, at once. Otherwise occurrence K is due at first + K * interval.
    int occurrences = 0;
    WallTime firstDue {};
    Duration interval { 0 };
    WallTime acceptedAt {};
};

enum class JobStatus {
    Pending, // no task has started
    Running,
    Completed,
    Failed,
    Cancelled,
};

constexpr bool isFinal(JobStatus state) { return state != JobStatus::Pending && state != JobStatus::Running; }

// Names one task of one occurrence of a job; all numbers count from 0.
struct TaskId {
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    auto operator<=>(const TaskId&) const = default;
};

// How one run of a task ended.
enum class RunEnd {
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    GangBroken, // another member ended
    GangIncomplete, // the other members did not start in time
};

// One life of a backend server, as the platform lists it.
struct ServerRecord {
    std::string id;
    std::string service;
    Endpoint address;
    std::string dataCentre;
    std::string rack;
    std::vector<std::string> labels;
    Resources capacity;
    bool draining = false;
    // The machine under the server; it keeps its name across restarts. Empty: not known.
    std::string machine;
    // Start of this life; a server can restart under the same id.
    WallTime startedAt {};

    bool operator==(const ServerRecord&) const = default;
};

struct QueueSpec {
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string service;
    int priority = 0; // 0 comes first
    int maxFailedRuns = 1; // failed runs of a task after which its job has failed
    double stretchFactor = 1; // allowed duration of a job as a multiple of its longest chain of tasks
    Duration slack { 0 }; // added to the allowed duration
    bool allowsAnonymous = false; // no key needed
    // Only servers that the platform's advice service names may run a step of this queue.
    bool needsAdvice = false;
};

struct ServiceSpec {
    std::string name;
    // Its backend servers reject what does not fit; others start whatever they are told to.
    bool enforcesCapacity = false;
    // Its machines are switched off.
    bool standby = false;
};

struct TeamSpec {
    std::string name;
    std::vector<std::string> keys;
    double weight = 1;
    // Upper limit on what runs at once; a value of 0 means no limit.
    Resources limit;
};

// One version of what the operator declares. Never changes once it is built.
struct FleetConfig {
    std::uint64_t version = 0;
    std::vector<QueueSpec> queues;
    std::vector<ServiceSpec> services;
    std::vector<TeamSpec> teams;
    std::uint64_t maxBodyBytes = 0; // bytes of a request body; 0: not given

    // The queue with the longest path prefix of this host and path; nullptr when there is none.
    const QueueSpec* findQueue(std::string_view host, std::string_view path) const;
    const QueueSpec* queue(std::string_view name) const;
    const ServiceSpec* service(std::string_view name) const;
    const TeamSpec* team(std::string_view name) const;
    // The team that holds this key; nullptr when no team does.
    const TeamSpec* teamOfKey(std::string_view key) const;
};

// A maintenance wave: each machine is to be taken down once, at most `atOnce` at a time.
struct MachineWave {
    int number = 0;
    std::vector<std::string> machines;
    Duration timeLimit { 0 }; // from the moment it was declared
    int maxMachinesDown = 1;
};

// Throws Error (Invalid) for a job that can never be run: no steps, a step that names a later one, numbers out of
// range.
void validateJob(const JobSpec& spec);

void to_json(Json& json, const JobSpec& spec); // NOLINT(readability-identifier-naming)
void from_json(const Json& json, JobSpec& spec); // NOLINT(readability-identifier-naming)
void to_json(Json& json, const ServerRecord& server); // NOLINT(readability-identifier-naming)
void from_json(const Json& json, ServerRecord& server); // NOLINT(readability-identifier-naming)

std::string_view jobStatusName(JobStatus state);
// Nothing for a text that names no state.
std::optional<JobStatus> parseJobStatus(std::string_view name);
std::string_view runEndName(RunEnd end);

} // namespace waxwinglug
