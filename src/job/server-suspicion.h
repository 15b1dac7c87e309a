// Suspicion that a backend server fails what it starts, as far as the ends of its own runs show it.
//
// A failed run says something about its job or about its server, and a single one does not tell which. Failures of
// different jobs in a row, without a run between them that ended well, count against the server. Whether its service
// can do without it is decided by the scheduler, which compares the servers of a service.
#pragma once

#include <waxwinglug/base.h>
#include <waxwinglug/server-orders.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglug::detail {

class ServerSuspicion {
public:
    // Records that a run of `job` has failed or stalled, or that its start was refused. Returns true if the server
    // should be ejected. Failures of runs that are older than an ejection are no evidence about the time after it.
    bool recordFailure(std::string_view job, TimePoint startedAt, TimePoint now);
    // Records that a run has ended well. Returns true if the server is no longer suspect because of it.
    bool recordSuccess(TimePoint startedAt);
    // Makes the server suspect, or extends the suspicion. Each ejection lasts longer than the one before.
    void eject(TimePoint now);
    // The server gets tasks like any other, but its failures are not forgotten.
    void endSuspicion();
    // Ends the suspicion and forgets the failures. The next ejection is still longer than the last one.
    void acquit();

    // Ejected, or not cleared since by a run that started after the ejection.
    bool isSuspect() const { return this->suspect; }
    // Suspect, or its latest runs, of more than one job, have failed.
    bool isFailing() const { return this->suspect || this->failedJobs.size() > 1; }
    TimePoint ejectionStart() const { return this->ejectedAt; }
    Duration ejectionTime() const { return this->ejection; }

    // A server that is not suspect may get any task. After an ejection, one task at a time probes the server, whatever
    // else has been running on it since before.
    bool mayGetTask(TimePoint now) const
    {
        return !this->suspect || (now >= this->ejectedUntil && !this->probe.has_value());
    }
    // A job with nothing running need not wait for the end of an ejection, which no bound of its waiting time limits.
    // Returns true if no task has started on the server for a while.
    bool mayGetTaskEarly(TimePoint now) const;
    void taskStarted(const TaskId& task, TimePoint now);
    void taskReleased(const TaskId& task);
    // The run that probes the server, if there is one.
    const TaskId* probeTask() const { return this->probe ? &*this->probe : nullptr; }
    // The probe has run for longer than the runs that failed. A probe that takes minutes, or never ends, would
    // otherwise keep all other tasks away.
    bool hasProbeOutlivedFailures(TimePoint now) const;

private:
    bool suspect = false;
    std::vector<std::string> failedJobs; // different jobs that have failed in a row
    Duration longestFailure { 0 }; // longest run time of a failed run of that row
    TimePoint ejectedAt;
    TimePoint ejectedUntil;
    Duration ejection { 0 };
    std::optional<TaskId> probe;
    TimePoint probeStartedAt;
};

} // namespace waxwinglug::detail
