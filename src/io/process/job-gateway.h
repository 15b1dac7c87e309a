// Serves callers' requests about jobs: submission, status, cancellation, and the number of pending jobs of a queue.
//
// Every entry VM answers from the store. A job or a cancellation is confirmed only after it is stored, and a job is
// rejected only when it is certain that it is not stored and never will be. A number of pending jobs is told only while
// its age is known and within the bound.
#pragma once

#include "io/connection/caller-server.h"
#include "job/pending-summary.h"

#include <waxwinglug/fleet-platform.h>
#include <waxwinglug/log-field.h>
#include <waxwinglug/metrics.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace waxwinglug::io {

struct JobGatewayHooks {
    // The active configuration; nullptr before the first one.
    std::function<std::shared_ptr<const FleetConfig>()> activeConfig;
    // Age of this VM's copy of the configuration.
    std::function<Duration()> configAge;
    // The leader's own counts; nothing on other VMs, and on a leader that does not know all jobs of a recent moment.
    std::function<std::optional<PendingCounts>()> pendingJobs;
    // False while the store does not answer. A job is then rejected before anything is written, so that it is certainly
    // not stored and the caller can retry as soon as the store answers again.
    std::function<bool()> isStoreAvailable;
    // A version that the store has reached; an answer with an older one is stale.
    std::function<std::uint64_t()> knownStoreVersion;
    // Runs the function after the delay, on the event loop.
    std::function<void(Duration delay, std::function<void()>)> runLater;
    LogHook log;
};

class JobGateway {
public:
    JobGateway(const FleetPlatform& platform, Clock clock, Metrics& metrics, JobGatewayHooks hooks);

    // Answers a request, at once or later. Its time limit is the deadline header in milliseconds, 3 s without one.
    void handle(HttpRequest request, Respond respond);

private:
    struct Exchange;
    using ExchangePtr = std::shared_ptr<Exchange>;

    // Calls `use` with the rows of a range, or repeats `step` later if the store gives no answer or a stale one.
    void read(const ExchangePtr& exchange, const RowName& from, std::string end,
        void (JobGateway::*step)(const ExchangePtr&), std::function<void(const RowPage&)> use);
    void submit(const ExchangePtr& exchange);
    void commitJob(const ExchangePtr& exchange);
    void readJobBack(const ExchangePtr& exchange);
    void sendStatus(const ExchangePtr& exchange);
    void sendUnrecordedStatus(const ExchangePtr& exchange);
    void cancel(const ExchangePtr& exchange);
    void commitCancellation(const ExchangePtr& exchange, std::uint64_t jobVersion);
    void sendPendingCount(const ExchangePtr& exchange);
    void sendStoredPendingCount(const ExchangePtr& exchange, const RowPage& page, TimePoint requestedAt);
    void answerPendingCount(const ExchangePtr& exchange, const PendingCounts& counts, std::string_view source);
    void retryLater(const ExchangePtr& exchange, void (JobGateway::*step)(const ExchangePtr&));
    void answer(const ExchangePtr& exchange, int status, std::string body, std::string_view reason);
    Duration timeLeft(const Exchange& exchange) const;

    const FleetPlatform& platform;
    const Clock clock;
    Metrics& metrics;
    const JobGatewayHooks hooks;
};

} // namespace waxwinglug::io
