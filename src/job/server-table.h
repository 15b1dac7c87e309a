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
    Job* job = nullptr;
    int occurrence = 0;
    int step = 0;
    Task* task = nullptr;
    int number = 0;
    // What the run takes of the server's room; filling tasks take no processor.
    Resources room;
    // Latest tail latency of a serving task, in milliseconds.
    std::int64_t latency = 0;

    const StepSpec& spec() const { return this->job->spec.steps[static_cast<std::size_t>(this->step)]; }
    StepProgress& progress() const
    {
        return this->job->open.at(this->occurrence).steps[static_cast<std::size_t>(this->step)];
    }
};

// A task in log lines, which name its job beside it.
std::string taskText(const TaskId& id);

// A run on a server that nobody needs, with what it counts for its team.
struct Stray {
    int run = 0;
    std::string team;
    Resources need;
};

// An end that is not yet acknowledged, because what it changed is not stored.
struct UnstoredEnd {
    std::uint64_t number = 0;
    // The end may be acknowledged once every change up to this ticket is stored.
    std::uint64_t ticket = 0;
};

struct Server {
    ServerRecord record;
    // Its row is in the store.
    bool listed = true;
    TimePoint unlistedAt; // when its row was removed
    // Nothing lives under this id any more.
    bool gone = false;
    // An earlier lead used it, and it has not answered this one: it may run tasks that are not known here.
    bool inherited = false;
    // The store knows that the lead uses it; nothing is started there before, so that the next lead asks it as well.
    bool enrolled = false;
    // It has answered with this lead's fence, so it refuses every earlier lead.
    bool answered = false;
    bool holding = false; // a hold call is under way
    int missedHolds = 0; // since the last answer
    TimePoint silentSince; // of the first of them; for an inherited server, when the lead began
    TimePoint nextHoldAt;
    TimePoint lifeBegunAt; // when this lead saw that the life began, if it saw it
    TimePoint reportAt; // when the last report arrived
    ServerClock reportClock = 0;
    // No lease ends later than this, on the server's clock.
    ServerClock leaseUntil = 0;
    std::uint64_t processedEnds = 0;
    std::uint64_t storedEnds = 0;
    std::deque<UnstoredEnd> unstoredEnds;
    Resources used;
    std::map<TaskId, Run> runs;
    // Runs that nobody needs. They are being stopped, and take room and count for their team until they are no longer
    // listed.
    std::map<TaskId, Stray> strays;
    // Gets no new tasks, because maintenance wants the machine.
    bool closing = false;
    // Maintenance will want the machine soon; lasting tasks are better placed elsewhere.
    bool due = false;
    // Failed or stalled runs of different jobs in a row.
    int troubles = 0;
    std::string lastTroubleJob;
    TimePoint ejectedUntil;
    Duration ejection { 0 };
    // After an ejection one task at a time is tried until one is done.
    bool probing = false;
    TimePoint refusesUntil;

    bool reachable() const { return this->answered && this->missedHolds == 0; }
    // Best estimate of the server's clock.
    ServerClock clockAt(TimePoint now) const { return this->reportClock + (now - this->reportAt).count(); }
    // The clock has passed this value even if it runs slow.
    ServerClock leastClockAt(TimePoint now) const;
    bool leaseSurelyOver(TimePoint now) const;
    Resources free() const { return this->record.capacity - this->used; }
};

// Slowest rate of a backend server's clock against ours, in thousandths, as the platform's contract gives it (2% slow).
constexpr std::int64_t slowestClock = 980;
// Delay of timers and of answers that the estimate of a server's clock does not see.
constexpr ServerClock clockMargin = 150; // ms

inline ServerClock Server::leastClockAt(TimePoint now) const
{
    return this->reportClock + (now - this->reportAt).count() * slowestClock / 1000;
}

inline bool Server::leaseSurelyOver(TimePoint now) const
{
    return this->answered && this->leastClockAt(now) > this->leaseUntil + clockMargin;
}

using ServerMap = std::map<std::string, std::unique_ptr<Server>, std::less<>>;

} // namespace waxwinglug::detail
