// The scheduler's jobs: their progress, the tasks that can start, and the serialized form of the progress.
#pragma once

#include <waxwinglug/work.h>

#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace waxwinglug::detail {

struct Server;

enum class TaskPhase {
    Waiting,
    Starting, // a start order was sent
    Unconfirmed, // a start order was not answered and may still be carried out
    Running,
    Stopping, // a stop order was sent or is being carried out
    Done,
    Failed,
};

// What is known of the incarnation of a server that has a run.
enum class RunEvidence {
    None, // the start was not answered
    Answer, // the start was answered; the answer does not name the incarnation
    Report, // the present incarnation of the server has listed the run
};

struct Task {
    TaskPhase phase = TaskPhase::Waiting;
    // Number of the latest run. Increases with each start, also across leader changes.
    int run = 0;
    // Numbers of the runs that failed. Each run counts once, regardless of which leader or report shows its end.
    std::vector<int> failedRuns;
    // Empty: no checkpoint.
    std::string checkpoint;
    // The server of the run in the phases from Starting to Stopping, otherwise nullptr.
    Server* server = nullptr;
    TimePoint startedAt;
    // When the latest order was confirmed or became unconfirmed. A report that was requested earlier may not reflect
    // the order yet.
    TimePoint confirmedAt;
    RunEvidence evidence = RunEvidence::None;
    TimePoint stopSentAt;
    // The server has confirmed the latest stop order.
    bool stopConfirmed = false;
    // Earliest time of the next start.
    TimePoint notBefore;
    int progressPercent = 0;
    TimePoint progressChangedAt;
    // Current throttle of a best-effort task, in percent of full speed.
    int speedPercent = 100;
    // Id of the server on which the last run failed or stalled. Another server with enough free capacity is preferred.
    std::string avoidedServer;
};

struct StepProgress {
    std::vector<Task> tasks;
    int done = 0;
    int waiting = 0; // tasks in phase Waiting
    int doneChanges = 0; // number of changes of `done`
    // Since when only suspect servers have had room for a task, without a start in between.
    std::optional<TimePoint> unplacedSince;
    bool isComplete() const { return this->done == static_cast<int>(this->tasks.size()); }
};

// What is left to do of an occurrence, by the declared durations.
struct RemainingWork {
    Duration criticalPath { 0 }; // longest chain of dependent steps that are not complete
    std::int64_t work = 0; // thousandths of a core times milliseconds
};

struct Occurrence {
    int number = 0;
    WallTime dueAt {};
    std::vector<StepProgress> steps;
    bool isComplete() const;
    // Returns true if all dependencies of the step are complete.
    bool isReady(const JobSpec& spec, std::size_t step) const;
    // Computed again only after a task has been done: each dispatch asks for all active occurrences of a service.
    const RemainingWork& remaining(const JobSpec& spec) const;

private:
    RemainingWork computeRemaining(const JobSpec& spec) const;

    mutable RemainingWork cachedRemaining;
    mutable int cachedDoneChanges = -1; // sum over the steps when the cached value was computed; negative: none is
};

struct JobRecord {
    explicit JobRecord(JobSpec spec);

    const JobSpec spec;
    // Declared run time of the longest chain of dependent steps.
    const Duration criticalPath;
    const bool isLongRunning; // a step is long-running
    JobStatus state = JobStatus::Pending;
    // Occurrences that are due and not complete. Every lower number than nextOccurrence that is missing here is
    // complete.
    std::map<int, Occurrence> activeOccurrences;
    int nextOccurrence = 0;
    // Occurrences that are complete and that the store shows as open, or does not show at all: the changes are in no
    // batch yet, or in the one that is being stored.
    int unsavedCompletions = 0;
    int completionsInFlight = 0;
    // Version of the stored progress row; 0: no row is stored.
    std::uint64_t rowVersion = 0;
    // Sequence number of the first change that is not stored yet; 0: all changes are stored.
    std::uint64_t changeSequence = 0;
    // Settings of the job's queue. They are kept after the queue was removed from the configuration; a new leader then
    // knows those with which the job was accepted.
    std::string service;
    int priority = 0;
    int maxFailedRuns = 1;
    double stretchFactor = 1;
    Duration slack { 0 };
    bool needsAdvice = false;
    // When the job reached a final state. Its rows are removed after a retention time.
    TimePoint endedAt;

    bool isOver() const { return isFinal(this->state); }
    Task* find(const TaskId& id);
    // Returns true if the job has such a task in one of its occurrences, active or not.
    bool hasTask(const TaskId& id) const;
    int occurrenceCount() const { return this->spec.occurrences > 0 ? this->spec.occurrences : 1; }
    WallTime dueAt(int occurrence) const;
    // The soft deadline: an occurrence that completes until then has its full value, a later one less.
    WallTime softDeadline(const Occurrence& occurrence) const;
};

// Allows lookups by std::string_view without a copy.
struct StringHash {
    using is_transparent = void; // NOLINT(readability-identifier-naming): name required by the standard library
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view> {}(text); }
};

// The stored form of a job's progress.
struct SavedProgress {
    std::string text;
    std::size_t omittedCheckpoints = 0;
};

using JobMap = std::unordered_map<std::string, std::unique_ptr<JobRecord>, StringHash, std::equal_to<>>;

class JobTable {
public:
    // Returns false if the job already exists.
    bool add(JobSpec spec);
    JobRecord* find(std::string_view id);
    void remove(std::string_view id);
    // Restores a job from its stored progress. Throws Error (Invalid) if the text is malformed.
    static void load(JobRecord& job, std::string_view text, std::uint64_t rowVersion);
    // Encodes the progress in at most `maxBytes`. Checkpoints that do not fit are left out, because the servers report
    // them again and a task can also start without one. The result is larger if the rest does not fit.
    static SavedProgress save(const JobRecord& job, std::size_t maxBytes = std::numeric_limits<std::size_t>::max());
    // Returns true if the stored progress is that of a completed job. Throws Error (Invalid) if it is malformed.
    static bool isCompleted(std::string_view text);

    // Activates the occurrences that are due, up to a limit of active ones. A leader that loads the stored progress has
    // room for all that were activated since: those that are complete count until that is stored.
    static bool activateDueOccurrences(JobRecord& job, WallTime now);
    // Activates all occurrences up to `number`, because an earlier leader has: its clock may have been ahead, and its
    // limit another one. Returns false if the progress could not be stored in `maxBytes` then.
    static bool activateThrough(JobRecord& job, int number, std::size_t maxBytes);

    const JobMap& all() const { return this->jobs; }

private:
    JobMap jobs;
};

// Changes the phase of a task and updates the counts of its step.
void setPhase(StepProgress& step, Task& task, TaskPhase phase);

} // namespace waxwinglug::detail
