// What the lead scheduler knows of each backend server: its room, its lease, what runs there and which ends are stored.
#pragma once

#include "job/job-table.h"

#include <waxwinglug/server-orders.h>

#include <deque>
#include <map>
#include <memory>
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
    // What the run takes of the server's room; filling tasks take no processor.
    Resources reserved;
    // Latest tail latency of a serving task, in milliseconds.
    std::int64_t latencyMs = 0;

    const StepSpec& spec() const { return this->job->spec.steps[static_cast<std::size_t>(this->step)]; }
    StepProgress& progress() const
    {
        return this->job->activeOccurrences.at(this->occurrence).steps[static_cast<std::size_t>(this->step)];
    }
};

// A task in log lines, which name its job beside it.
std::string taskText(const TaskId& id);

// A run on a server that nobody needs, with what it counts for its team.
struct OrphanedRun {
    int run = 0;
    std::string team;
    Resources resources;
};

// An end that is not yet acknowledged, because what it changed is not stored.
struct UnacknowledgedEnd {
    std::uint64_t number = 0;
    // The end may be acknowledged once every change up to this ticket is stored.
    std::uint64_t changeSequence = 0;
};

struct Server {
    ServerRecord record;
    // Its row is in the store.
    bool registered = true;
    TimePoint unregisteredAt; // when its row was removed
    // Nothing lives under this id any more.
    bool removed = false;
    // An earlier lead used it, and it has not answered this one: it may run tasks that are not known here.
    bool inherited = false;
    // The store knows that the lead uses it; nothing is started there before, so that the next lead asks it as well.
    bool useRecorded = false;
    // It has answered with this lead's fence, so it refuses every earlier lead.
    bool fenceConfirmed = false;
    bool renewing = false; // a hold call is under way
    int missedRenewals = 0; // since the last answer
    TimePoint unresponsiveSince; // of the first of them; for an inherited server, when the lead began
    TimePoint nextRenewalAt;
    TimePoint incarnationSeenAt; // when this lead saw that the life began, if it saw it
    TimePoint lastReportAt; // when the last report arrived
    ServerClock reportClock = 0;
    // No lease ends later than this, on the server's clock.
    ServerClock leaseUntil = 0;
    std::uint64_t lastProcessedEnd = 0;
    std::uint64_t lastStoredEnd = 0;
    std::deque<UnacknowledgedEnd> unacknowledgedEnds;
    Resources allocated;
    std::map<TaskId, Run> runs;
    // Runs that nobody needs. They are being stopped, and take room and count for their team until they are no longer
    // listed.
    std::map<TaskId, OrphanedRun> orphans;
    // Gets no new tasks, because maintenance wants the machine.
    bool cordoned = false;
    // Maintenance will want the machine soon; lasting tasks are better placed elsewhere.
    bool maintenancePending = false;
    // Failed or stalled runs of different jobs in a row.
    int consecutiveFailures = 0;
    std::string lastFailedJob;
    TimePoint ejectedUntil;
    Duration ejection { 0 };
    // After an ejection one task at a time is tried until one is done.
    bool probing = false;
    TimePoint backoffUntil;

    bool isReachable() const { return this->fenceConfirmed && this->missedRenewals == 0; }
    // Best estimate of the server's clock.
    ServerClock clockAt(TimePoint now) const { return this->reportClock + (now - this->lastReportAt).count(); }
    // The clock has passed this value even if it runs slow.
    ServerClock minClockAt(TimePoint now) const;
    bool isLeaseExpired(TimePoint now) const;
    Resources freeCapacity() const { return this->record.capacity - this->allocated; }
};

// Slowest rate of a backend server's clock against ours, in thousandths, as the platform's contract gives it (2% slow).
constexpr std::int64_t minClockRate = 980;
// Delay of timers and of answers that the estimate of a server's clock does not see.
constexpr ServerClock clockMarginMs = 150; // ms

inline ServerClock Server::minClockAt(TimePoint now) const
{
    return this->reportClock + (now - this->lastReportAt).count() * minClockRate / 1000;
}

inline bool Server::isLeaseExpired(TimePoint now) const
{
    return this->fenceConfirmed && this->minClockAt(now) > this->leaseUntil + clockMarginMs;
}

using ServerMap = std::map<std::string, std::unique_ptr<Server>, std::less<>>;

} // namespace waxwinglug::detail
