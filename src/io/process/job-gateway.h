// Requests of callers about jobs: submit, state, cancel, and the length of a queue.
//
// Every entry VM answers from the store. A job or a cancellation is confirmed only when it is stored, and a job is
// refused only when it is certain that it is not stored and never will be.
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
    // The configuration in force; nullptr before the first one.
    std::function<std::shared_ptr<const FleetConfig>()> activeConfig;
    // Waiting jobs by queue on the VM that has the lead; nothing on others.
    std::function<std::optional<std::map<std::string, int>>()> pendingJobs;
    // False while the store is known not to answer. A job is then refused before anything is written, so that the
    // refusal is true and the caller can come back at once when the store does.
    std::function<bool()> isStoreAvailable;
    LogHook log;
};

class JobGateway {
public:
    JobGateway(boost::asio::io_context& context, const FleetPlatform& platform, Clock clock, Metrics& metrics,
        JobGatewayHooks hooks);

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
