// The scheduler's state for each backend server: capacity, lease, runs, and ends that are not stored yet.
#pragma once

#include "job/job-table.h"
#include "job/server-suspicion.h"

#include <waxwinglug/server-orders.h>

#include <algorithm>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace waxwinglug::detail {

// One run of a task on a server, from its start order to its end.
struct Run {
    JobRecord* job = nullptr;
    int occurrence = 0;
    int step = 0;
    Task* task = nullptr;
    int number = 0;
    // Resources reserved on the server; best-effort tasks reserve no processor time.
    Resources reserved;
    // Latest reported tail latency of a task that serves users.
    std::int64_t latencyMs = 0;

    bool isLatencySensitive() const { return this->spec().latencyTarget > Duration(0); }
    bool isBestEffort() const { return this->spec().bestEffort; }
    const StepSpec& spec() const { return this->job->spec.steps[static_cast<std::size_t>(this->step)]; }
    StepProgress& progress() const
    {
        return this->job->activeOccurrences.at(this->occurrence).steps[static_cast<std::size_t>(this->step)];
    }
};

// Formats a task for log lines that name its job in a separate field.
std::string taskText(const TaskId& id);

// A run on a server that no job needs, and the resources that it counts against its team's limit.
struct OrphanedRun {
    int run = 0;
    TimePoint listedAt; // for the first time
    std::string team;
    Resources resources;
};

// An end that is not acknowledged to the server yet, because the resulting changes are not stored.
struct UnacknowledgedEnd {
    std::uint64_t number = 0;
    // The end may be acknowledged once all changes up to this sequence number are stored.
    std::uint64_t changeSequence = 0;
};

// Change sequence of an end that is kept unacknowledged until it can be applied.
constexpr auto neverStored = std::numeric_limits<std::uint64_t>::max();

// What the store's record of a server in use says of the end of its leases.
enum class LeaseEndRecord {
    None, // nothing: leases may be granted
    Unconfirmed, // the record may name an end, or one that the next leader does not believe
    Stored, // the record names an end
};

struct Server {
    ServerRecord record;
    // Services that its earlier rows and its use record have named: what it runs may belong to them.
    std::set<std::string, std::less<>> formerServices;
    // The server's row is in the store.
    bool registered = true;
    TimePoint unregisteredAt; // when its row was removed
    // No server exists under this id any more.
    bool removed = false;
    // An earlier leader used the server, and it has not answered this leader yet, so it may run tasks that are unknown
    // here.
    bool inherited = false;
    // The store records that the leader uses this server. No task is started on it before that, so that the next leader
    // knows that it must contact the server.
    bool useRecorded = false;
    // While the store may name an end of the leases, none is granted beyond it: the next leader does not wait longer.
    LeaseEndRecord leaseEndRecord = LeaseEndRecord::None;
    // End of the leases of an inherited server as an earlier leader has stored it. Nothing: only the general bound
    // holds.
    std::optional<TimePoint> inheritedLeaseEnd;
    // Leases of stray orders on this incarnation end before. Nothing: no stray order can reach it.
    std::optional<TimePoint> strayLeaseEnd;
    // The record of its use is stored with another `strayLeaseEnd`, or without a start that got no answer.
    bool isUseRecordOutdated = false;
    // Its machine was listed as down, and the server has not answered since.
    bool isDown = false;
    // The server has accepted this leader's fence, so it refuses orders of every earlier leader.
    bool fenceConfirmed = false;
    // Fence of the next orders. An incarnation that has received one refuses all orders with lower fences, so it is
    // raised when orders may be on their way that a later incarnation must not carry out.
    std::uint64_t orderFence = 0;
    TimePoint fenceRaisedAt = TimePoint::min(); // orders sent until then had lower fences
    // Start of the incarnation that answered last. Nothing: the server has not answered this leader yet.
    std::optional<WallTime> answeredIncarnation;
    // Where that incarnation answered.
    Endpoint answeredAddress;
    bool renewing = false; // a lease renewal is in flight
    TimePoint renewalSentAt; // when the latest renewal was sent; answers to earlier ones are ignored
    int missedRenewals = 0; // consecutive, since the last answer
    // A start that was sent after the last answered renewal got no answer.
    bool hasUnansweredStart = false;
    TimePoint missedRenewalSentAt; // when the latest unanswered renewal was sent
    TimePoint unresponsiveSince; // time of the first unanswered call; for an inherited server, the start of the term
    TimePoint nextRenewalAt;
    // Order in which servers became known; breaks ties between renewals that are due at the same time.
    std::uint64_t serial = 0;
    bool isInUnstoredList = false; // listed as a server with unacknowledged ends
    // When this leader noticed that another incarnation may have started, or that the last one has ended.
    TimePoint incarnationSeenAt;
    TimePoint lastReportAt; // when the last report arrived
    ServerClock reportClock = 0;
    // Latest possible end of any lease, on the server's clock.
    ServerClock leaseUntil = 0;
    std::uint64_t lastProcessedEnd = 0;
    std::uint64_t lastStoredEnd = 0;
    // Ends up to this number are acknowledged: the server has answered a renewal that said so.
    std::uint64_t lastAcknowledgedEnd = 0;
    std::uint64_t sentAcknowledgement = 0; // of the renewal in flight
    std::deque<UnacknowledgedEnd> unacknowledgedEnds;
    // When ends that cannot be applied yet were first listed, by their number. The server lists them again.
    std::map<std::uint64_t, TimePoint> keptEnds;
    Resources allocated;
    // Changed only by addRun() and removeRun(), which keep the counts below.
    std::map<TaskId, Run> runs;
    int unansweredStarts = 0; // runs without evidence; addEvidence() changes it too
    int latencySensitiveRuns = 0;
    int bestEffortRuns = 0;
    // Orphaned runs, which are being stopped. No task is placed on the server, and they count against their team's
    // limit, until a report no longer lists them.
    std::map<TaskId, OrphanedRun> orphans;
    // Gets no new tasks, because its machine is about to go down for maintenance.
    bool cordoned = false;
    // Maintenance of the machine is pending, so long-running tasks are preferably placed elsewhere.
    bool maintenancePending = false;
    ServerSuspicion suspicion;
    TimePoint backoffUntil;

    bool mayRunTasksOf(std::string_view service) const
    {
        return this->record.service == service || this->formerServices.contains(service);
    }
    bool isReachable() const { return this->fenceConfirmed && this->missedRenewals == 0 && !this->hasUnansweredStart; }
    // Best estimate of the current time on the server's clock.
    ServerClock clockAt(TimePoint now) const { return this->reportClock + (now - this->lastReportAt).count(); }
    // Lower bound of the current time on the server's clock, even if that clock runs slow.
    ServerClock minClockAt(TimePoint now) const;
    // Returns true if the incarnation that reported last cannot have answered a call that was sent at `sentAt` at this
    // time on its clock. The server must have answered this leader.
    bool isClockOfLaterIncarnation(ServerClock time, TimePoint sentAt) const;
    bool isLeaseExpired(TimePoint now) const;
    // When isLeaseExpired() becomes true unless the server answers before. The server must have answered this leader.
    TimePoint leaseExpiry() const;
    Resources freeCapacity() const { return this->record.capacity - this->allocated; }
    // Adds a run of a task that has none on this server, and reserves its resources.
    void addRun(const TaskId& id, const Run& run);
    void removeRun(std::map<TaskId, Run>::iterator run);
    // Records what shows that a run of this server was started. The strongest evidence counts.
    void addEvidence(Run& run, RunEvidence evidence);
};

// Minimum rate of a backend server's clock relative to ours, in thousandths. The platform's contract allows a clock
// that is 2% slow.
constexpr std::int64_t minClockRate = 980;
// Allowance for timer and network delays that the estimate of a server's clock does not cover.
constexpr ServerClock clockMarginMs = 150; // milliseconds

inline ServerClock Server::minClockAt(TimePoint now) const
{
    return this->reportClock + (now - this->lastReportAt).count() * minClockRate / 1000;
}

inline bool Server::isClockOfLaterIncarnation(ServerClock time, TimePoint sentAt) const
{
    // The server's clock may run slow, never fast.
    const auto earliest = sentAt < this->lastReportAt ? this->reportClock + (sentAt - this->lastReportAt).count()
                                                      : this->minClockAt(sentAt);
    return time + clockMarginMs < earliest;
}

inline bool Server::isLeaseExpired(TimePoint now) const
{
    return this->fenceConfirmed && this->minClockAt(now) > this->leaseUntil + clockMarginMs;
}

inline TimePoint Server::leaseExpiry() const
{
    const auto left = std::max<ServerClock>(0, this->leaseUntil + clockMarginMs - this->reportClock);
    return this->lastReportAt + Duration(left * 1000 / minClockRate + 1);
}

inline void Server::addRun(const TaskId& id, const Run& run)
{
    this->allocated += run.reserved;
    this->unansweredStarts += run.task->evidence == RunEvidence::None;
    this->latencySensitiveRuns += run.isLatencySensitive();
    this->bestEffortRuns += run.isBestEffort();
    this->runs.emplace(id, run);
}

inline void Server::removeRun(std::map<TaskId, Run>::iterator run)
{
    this->allocated -= run->second.reserved;
    this->unansweredStarts -= run->second.task->evidence == RunEvidence::None;
    this->latencySensitiveRuns -= run->second.isLatencySensitive();
    this->bestEffortRuns -= run->second.isBestEffort();
    this->runs.erase(run);
}

inline void Server::addEvidence(Run& run, RunEvidence evidence)
{
    auto& known = run.task->evidence;
    this->unansweredStarts -= known == RunEvidence::None && evidence != RunEvidence::None;
    known = std::max(known, evidence);
}

using ServerMap = std::map<std::string, std::unique_ptr<Server>, std::less<>>;

} // namespace waxwinglug::detail
