// The jobs that the lead scheduler knows: what has been done of each, what can start, and the text that is stored of
// it.
#pragma once

#include <waxwinglug/work.h>

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace waxwinglug::detail {

struct Server;

enum class TaskPhase {
    Waiting,
    Starting, // a start is on its way
    Unconfirmed, // a start was not answered and may still be carried out
    Running,
    Stopping, // a stop is on its way or being carried out
    Done,
    Failed,
};

struct Task {
    TaskPhase phase = TaskPhase::Waiting;
    // Number of the latest start. Rises with each start, across changes of the lead scheduler.
    int run = 0;
    // Numbers of the runs that ended as failed. Each counts once, whichever lead or report shows it.
    std::vector<int> failedRuns;
    // Empty: none.
    std::string checkpoint;
    // Set from Starting to Stopping, nullptr otherwise.
    Server* server = nullptr;
    TimePoint startedAt;
    // When the backend server confirmed the start; reports that were asked for earlier may not show the run.
    TimePoint confirmedAt;
    // The server has said that the start was carried out.
    bool startConfirmed = false;
    TimePoint stopSentAt;
    // The latest stop was confirmed.
    bool stopConfirmed = false;
    // Not started before this moment.
    TimePoint notBefore;
    int progressPercent = 0;
    TimePoint progressChangedAt;
    // Share of full speed that a filling task is held at.
    int speedPercent = 100;
    // The server where the last run failed or stood still; avoided while another one has room.
    std::string avoidedServer;
};

struct StepProgress {
    std::vector<Task> tasks;
    int done = 0;
    int waiting = 0; // tasks in phase Waiting
    bool isComplete() const { return this->done == static_cast<int>(this->tasks.size()); }
};

struct Occurrence {
    int number = 0;
    WallTime dueAt {};
    std::vector<StepProgress> steps;
    bool isComplete() const;
    // All steps that this one waits for are complete.
    bool isReady(const JobSpec& spec, std::size_t step) const;
    // Declared time of the longest chain of tasks that are not done.
    Duration remainingCriticalPath(const JobSpec& spec) const;
};

struct JobRecord {
    JobSpec spec;
    JobStatus state = JobStatus::Pending;
    // Occurrences that are due and not complete. Every number below nextOccurrence that is not here is complete.
    std::map<int, Occurrence> activeOccurrences;
    int nextOccurrence = 0;
    // Version of the stored progress row; 0: none is stored.
    std::uint64_t rowVersion = 0;
    // Position in the order of changes that are not stored yet; 0: all is stored.
    std::uint64_t changeSequence = 0;
    // The queue's rules as last configured; they outlive a queue that was removed.
    std::string service;
    int priority = 0;
    int maxFailedRuns = 1;
    double stretchFactor = 1;
    Duration slack { 0 };
    bool needsAdvice = false;
    // When the job reached a final state; rows are removed some time later.
    TimePoint endedAt;

    bool isLongRunning() const;
    bool isOver() const { return isFinal(this->state); }
    Task* find(const TaskId& id);
    int occurrenceCount() const { return this->spec.occurrences > 0 ? this->spec.occurrences : 1; }
    WallTime dueAt(int occurrence) const;
    // The moment until which an occurrence earns its full worth.
    WallTime softDeadline(const Occurrence& occurrence) const;
    // Declared time of the longest chain of all steps.
    Duration criticalPath() const;
};

class JobTable {
public:
    // False when the job is known already.
    bool add(JobSpec spec);
    JobRecord* find(std::string_view id);
    void remove(std::string_view id);
    // Takes over what was stored of a job. Throws Error (Invalid) when the text has another form.
    static void load(JobRecord& job, std::string_view text, std::uint64_t rowVersion);
    static std::string save(const JobRecord& job);

    // Makes the occurrences that are due available. Returns true when there is a new one.
    static bool activateDueOccurrences(JobRecord& job, WallTime now);

    const std::unordered_map<std::string, std::unique_ptr<JobRecord>>& all() const { return this->jobs; }

private:
    std::unordered_map<std::string, std::unique_ptr<JobRecord>> jobs;
};

// Remaining declared work of an occurrence, in thousandths of a core times milliseconds.
std::int64_t remainingWork(const JobSpec& spec, const Occurrence& occurrence);

// Changes the phase and keeps the counts of the step.
void setPhase(StepProgress& step, Task& task, TaskPhase phase);

} // namespace waxwinglug::detail
