// Background jobs: stored before they are accepted, kept until their result is stored, taken over from nodes that are
// gone.
//
// A batch of jobs is one row, `jobs/<service>/<batch>`, and has one owner. Only the owner runs its jobs; every write is
// conditional on the row's version, so a former owner that was paused changes nothing.
#pragma once

#include <waxwinglug/base.h>
#include <waxwinglug/platform.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglug {

enum class JobState {
    Queued,
    Started, // non-idempotent jobs only: dispatched, or about to be
    Done,
    DeadLettered, // never runs again without an operator
};

struct Job {
    std::string id; // `<service>/<batch>/<number>`
    std::string team;
    bool idempotent = false;
    std::string payload;
    JobState state = JobState::Queued;
    std::string result; // of a done job
    std::string reason; // of a parked job
    int attempts = 0;
    std::set<std::string> failedOn; // backend servers
    WallTime endedAt; // of a done or parked job
};

enum class JobOutcome {
    Succeeded,
    Failed, // a whole answer that reports a failure
    NotRun, // connecting failed, or the backend server was draining
    Unknown, // it may have run
};

struct JobOptions {
    std::size_t jobsPerRow = 32;
    // Writes of one tick; the rest waits. Bounds a wave of cancellations.
    int writesPerTick = 8;
    // Servers that fail the job and succeed with others before it is parked.
    std::size_t failingServerLimit = 3;
    int maxAttempts = 20;
    Duration initialRetryDelay { std::chrono::seconds(1) };
    Duration maxRetryDelay { std::chrono::minutes(5) };
    // Results and parked jobs are kept for this time.
    Duration retentionTime { std::chrono::hours(24) };
};

struct JobHooks {
    // The job may be dispatched now. Exactly one finished() follows.
    std::function<void(const Job&)> run;
    // start() led to nothing: the slot is free again.
    std::function<void(const std::string& id)> startAborted;
    // The caller of a running job cancelled it.
    std::function<void(const std::string& id)> cancelRunning;
};

/// The background jobs of one entry VM.
class JobStore {
public:
    /// True: the job is stored. False: it is not, and never will be.
    using AcceptHandler = std::function<void(bool isStored)>;

    JobStore(NodeId self, Table table, Clock clock, JobOptions options, JobHooks hooks);
    ~JobStore();
    JobStore(const JobStore&) = delete;
    JobStore& operator=(const JobStore&) = delete;

    /// Stores a job with the next tick. Returns its id, which is valid once the handler got true.
    std::string accept(
        std::string_view service, std::string_view team, bool idempotent, std::string payload, AcceptHandler handler);
    /// Takes the next job of the service that is due. Empty: there is none. Otherwise run or notStarted follows, run at
    /// once for an idempotent job, and after its mark is stored for others.
    std::string startNext(std::string_view service);
    void finished(const std::string& id, JobOutcome end, std::string_view server, std::string_view resultOrReason);
    /// Cancels jobs of this node: queued ones are removed, one write per row; for running ones, the hook is called.
    void cancel(const std::vector<std::string>& ids);
    /// Drops a done job whose result the caller has, or a parked one. False: its end is not stored yet; try again.
    bool remove(const std::string& id);
    /// Writes what has changed.
    void tick();
    /// Looks for batches without a living owner and claims them. `vms` is the platform's list; `peers` are processes
    /// known to run, whose earlier incarnations are therefore gone.
    void takeOver(const std::vector<VmStatus>& vms, const std::vector<NodeId>& peers);
    /// Gives the batches without running jobs to other nodes, for a shutdown.
    void releaseOwnership();

    const Job* find(const std::string& id) const;
    std::size_t batchCount() const { return this->ownedBatches.size(); }
    bool isIdle() const;

private:
    enum class Phase {
        Waiting, // in the row's state; queued jobs may start
        Marking, // the mark is being stored
        Running,
    };
    struct Entry {
        Job job;
        Phase phase = Phase::Waiting;
        TimePoint notBefore;
        std::uint64_t endSequence = 0; // the end is stored once the batch's storedNonce is greater
    };
    struct Batch {
        std::string key;
        std::map<std::string, Entry> jobs;
        std::uint64_t version = 0;
        std::uint64_t nonce = 0; // of the last write that was sent
        std::uint64_t storedNonce = 0;
        bool isOwnershipStored = false; // its row is stored by this node and its jobs may start
        bool releasesOwnership = false;
        bool sentRelease = false; // the last write gave up the ownership
        bool isDirty = false;
        bool isWriting = false;
        bool needsReadBack = false; // the last write had no answer and must be read back
        std::vector<AcceptHandler> acceptors;
        std::set<std::string> pendingMarks; // jobs whose mark the write under way carries
    };
    using BatchPointer = std::shared_ptr<Batch>;

    BatchPointer batchOf(const std::string& id) const;
    Entry* entryOf(const std::string& id);
    void write(const BatchPointer& batch);
    void onCommit(const BatchPointer& batch, const CommitResult& result);
    void readBack(const BatchPointer& batch);
    void onStored(const BatchPointer& batch, std::uint64_t version);
    void onNotStored(const BatchPointer& batch);
    void onOwnershipLost(const BatchPointer& batch);
    void revertMarks(Batch& batch);
    void endJob(Entry& entry, JobState state, std::string_view text);
    void scheduleRetry(Entry& entry, bool countsAsAttempt);
    bool shouldDeadLetter(const Job& job) const;
    void enqueue(const Entry& entry);
    void claim(const Row& row, const std::vector<VmStatus>& vms, const std::vector<NodeId>& peers);
    std::string nonceText(const Batch& batch) const;
    void dropExpired(Batch& batch);

    NodeId self;
    Table table;
    Clock clock;
    JobOptions options;
    JobHooks hooks;
    std::map<std::string, BatchPointer> ownedBatches; // by row key
    std::map<std::string, BatchPointer, std::less<>> acceptingBatches; // by service: the batch that takes new jobs
    std::map<std::string, std::deque<std::string>, std::less<>> readyQueues; // by service
    std::set<std::string> succeededServers;
    // Where the next tick begins, so that a limited number of writes reaches every batch.
    std::string cursor;
    std::uint64_t lastSequence = 0;
    std::shared_ptr<bool> alive;
};

} // namespace waxwinglug
