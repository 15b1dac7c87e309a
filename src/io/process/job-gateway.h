// Serves callers' requests about jobs: submission, status, cancellation, and the number of pending jobs of a queue.
//
// Every entry VM answers from the store. A job or a cancellation is confirmed only after it is stored, and a job is
// rejected only when it is certain that it is not stored and never will be.
#pragma once

#include "io/connection/caller-server.h"

#include <waxwinglug/fleet-platform.h>
#include <waxwinglug/log-field.h>
#include <waxwinglug/metrics.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace boost::asio {
class io_context;
}

namespace waxwinglug::io {

struct JobGatewayHooks {
    // The active configuration; nullptr before the first one.
    std::function<std::shared_ptr<const FleetConfig>()> activeConfig;
    // Number of pending jobs by queue, known to the leader; nothing on other VMs.
    std::function<std::optional<std::map<std::string, int>>()> pendingJobs;
    // False while the store does not answer. A job is then rejected before anything is written, so that it is certainly
    // not stored and the caller can retry as soon as the store answers again.
    std::function<bool()> isStoreAvailable;
    LogHook log;
};

class JobGateway {
public:
    JobGateway(boost::asio::io_context& context, const FleetPlatform& platform, Clock clock, Metrics& metrics,
        JobGatewayHooks hooks);

    // Answers a request on the event loop. Its time limit is the deadline header in milliseconds, 3 s without one.
    void handle(HttpRequest request, Respond respond);

private:
    struct Exchange;
    using ExchangePtr = std::shared_ptr<Exchange>;

    void submit(const ExchangePtr& exchange);
    void commitJob(const ExchangePtr& exchange);
    void readJobBack(const ExchangePtr& exchange);
    void sendStatus(const ExchangePtr& exchange);
    void sendUnrecordedStatus(const ExchangePtr& exchange);
    void cancel(const ExchangePtr& exchange);
    void commitCancellation(const ExchangePtr& exchange, std::uint64_t jobVersion);
    void sendPendingCount(const ExchangePtr& exchange);
    void retryLater(const ExchangePtr& exchange, void (JobGateway::*step)(const ExchangePtr&));
    void answer(const ExchangePtr& exchange, int status, std::string body, std::string_view reason);
    Duration timeLeft(const Exchange& exchange) const;

    boost::asio::io_context& context;
    const FleetPlatform& platform;
    const Clock clock;
    Metrics& metrics;
    const JobGatewayHooks hooks;
};

} // namespace waxwinglug::io
