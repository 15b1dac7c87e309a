// Background jobs: stored before they are accepted, kept until their result is stored, and taken over from nodes that
// are gone.
//
// A batch of jobs is one row, `jobs/<service>/<batch>`, with one owner. Only the owner runs its jobs. Every write is
// conditional on the row version, so a former owner that resumes after a pause cannot change the row.
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
    Started, // non-idempotent jobs only: dispatched or about to be dispatched
    Done,
    DeadLettered, // not retried unless an operator intervenes
};

struct Job {
    std::string id; // `<service>/<batch>/<number>`
    std::string team;
    bool idempotent = false;
    std::string payload;
    JobState state = JobState::Queued;
    std::string result; // of a done job
    std::string reason; // of a dead-lettered job
    int attempts = 0;
    std::set<std::string> failedOn; // backend servers
    WallTime endedAt; // of a done or dead-lettered job
};

enum class JobOutcome {
    Succeeded,
    Failed, // a complete answer that reports a failure
    NotRun, // the connection failed, or the backend server was draining
    Unknown, // the job may have run
};

struct JobOptions {
    std::size_t jobsPerRow = 32;
    // Table calls per tick; the rest waits for later ticks. Bounds the load of a bulk cancellation.
    int writesPerTick = 8;
    // A job is dead-lettered once this many backend servers have failed it and succeeded with other jobs.
    std::size_t failingServerLimit = 3;
    int maxAttempts = 20;
    Duration initialRetryDelay { std::chrono::seconds(1) };
    Duration maxRetryDelay { std::chrono::minutes(5) };
    // How long results and dead-lettered jobs are kept.
    Duration retentionTime { std::chrono::hours(24) };
};

struct JobHooks {
    // Dispatches the job. Exactly one call of finished() must follow.
    std::function<void(const Job&)> run;
    // The job that startNext() returned does not start: its slot is free again.
    std::function<void(const std::string& id)> startAborted;
    // Cancels a running job on behalf of its caller.
    std::function<void(const std::string& id)> cancelRunning;
};

/// The background jobs of one entry VM.
class JobStore {
public:
    /// Receives true if the job is stored, false if it is not and never will be.
    using AcceptHandler = std::function<void(bool isStored)>;

    JobStore(NodeId self, Table table, Clock clock, JobOptions options, JobHooks hooks);
    ~JobStore();
    JobStore(const JobStore&) = delete;
    JobStore& operator=(const JobStore&) = delete;

    /// Stores a job with the next tick. Returns its id, which is valid once the handler has received true.
    std::string accept(
        std::string_view service, std::string_view team, bool idempotent, std::string payload, AcceptHandler handler);
    /// Takes the next job of the service whose retry delay has passed and returns its id, or an empty text if there is
    /// none. For an idempotent job, `run` is called before this returns; for others, `run` or `startAborted` follows
    /// once the table has answered whether the started state is stored.
    std::string startNext(std::string_view service);
    /// Records the outcome of a running job on `server`: ends it, dead-letters it or schedules a retry.
    void finished(const std::string& id, JobOutcome end, std::string_view server, std::string_view resultOrReason);
    /// Cancels jobs of this node: queued ones are dead-lettered, with one write per row; for running ones,
    /// `cancelRunning` is called.
    void cancel(const std::vector<std::string>& ids);
    /// Removes a done job whose result the caller has received, or a dead-lettered one. Returns false if the job has
    /// not ended or its end is not stored yet; the latter may be tried again.
    bool remove(const std::string& id);
    /// Writes changed batches, and reads back those whose last write is unconfirmed.
    void tick();
    /// Scans for batches whose owner is gone and claims them. `vms` is the platform's list; `peers` are processes known
    /// to run, so that earlier incarnations of them are gone.
    void takeOver(const std::vector<VmStatus>& vms, const std::vector<NodeId>& peers);
    /// Gives up the ownership of batches without running jobs, so that other nodes take them over. For a shutdown.
    void releaseOwnership();

    /// Returns nullptr unless this node owns the job. Valid until the next non-const call.
    const Job* find(const std::string& id) const;
    std::size_t batchCount() const { return this->ownedBatches.size(); }
    /// Whether no batch has unwritten changes, a pending write or an unconfirmed one.
    bool isIdle() const;

private:
    enum class Phase {
        Waiting, // as stored in the row; queued jobs may start
        StoringStart, // the started state is being stored
        Running,
    };
    struct Entry {
        Job job;
        Phase phase = Phase::Waiting;
        TimePoint notBefore;
        std::uint64_t endSequence = 0; // the end is stored once storedNonce of the batch is greater
    };
    struct Batch {
        std::string key;
        std::map<std::string, Entry> jobs;
        std::uint64_t version = 0;
        std::uint64_t nonce = 0; // of the last write that was sent
        std::uint64_t storedNonce = 0;
        bool isOwnershipStored = false; // this node has stored the row as its owner, so its jobs may start
        bool releasesOwnership = false;
        bool sentRelease = false; // the last write gives up the ownership
        bool isDirty = false;
        bool isWriting = false;
        bool needsReadBack = false; // the outcome of the last write must be read back
        std::vector<AcceptHandler> acceptors;
        std::set<std::string> pendingStarts; // jobs whose started state the pending write carries
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
    void revertPendingStarts(Batch& batch);
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
    std::map<std::string, BatchPointer, std::less<>> acceptingBatches; // by service: the batch that accepts new jobs
    std::map<std::string, std::deque<std::string>, std::less<>> readyQueues; // by service
    std::set<std::string> succeededServers;
    // Row key at which the next tick starts, so that the limited writes per tick reach every batch in turn.
    std::string cursor;
    std::uint64_t lastSequence = 0;
    std::shared_ptr<bool> alive;
};

} // namespace waxwinglug
