// Handles caller requests on the traffic threads of the entry daemon: checks them against the configuration, passes
// them to the control thread and builds error answers.
#pragma once

#include "io/request/exchange.h"

#include <waxwinglug/metrics.h>

#include <atomic>
#include <functional>
#include <memory>

namespace waxwinglug::io {

struct GatewayHooks {
    // Passes a checked request to the control thread. Called on a traffic thread.
    std::function<void(std::shared_ptr<Exchange>)> accept;
    // Cancels a request whose caller has disconnected. Called on a traffic thread.
    std::function<void(std::shared_ptr<Exchange>)> cancel;
};

class Gateway {
public:
    // `bodyLimitBytes` is the limit of this entry VM; a service may have a lower one.
    Gateway(Clock clock, std::uint64_t bodyLimitBytes, Metrics& metrics, GatewayHooks hooks);

    // Sets the configuration for all requests that arrive from now on. Thread-safe.
    void publish(std::shared_ptr<const RightsSnapshot> snapshot) { this->currentSnapshot.store(std::move(snapshot)); }
    // Sets team, class and deadline of a request from the current rights. Throws RefusalError when they do not grant
    // it. Thread-safe.
    void authorize(Exchange& exchange) const;
    // Returns true if the current rights are those that have granted the request. Thread-safe.
    bool isAuthorized(const Exchange& exchange) const { return exchange.rights == this->currentRights(); }

    // Hooks for the CallerServer that receives the requests.
    CallerHooks callerHooks();

private:
    std::shared_ptr<const Rights> currentRights() const
    {
        return this->currentSnapshot.load()->rightsAt(this->clock.now());
    }
    std::function<void()> handle(HttpRequest request, const Respond& respond);
    // Parses and authorizes a request. Throws RefusalError.
    std::shared_ptr<Exchange> createExchange(HttpRequest request);
    HttpResponse refuse(const RefusalError& error);
    HttpResponse reject(int status, std::string_view problem);
    std::uint64_t bodyLimitFor(std::string_view target) const;

    Clock clock;
    const std::uint64_t bodyLimitBytes;
    Metrics& metrics;
    GatewayHooks hooks;
    std::atomic<std::shared_ptr<const RightsSnapshot>> currentSnapshot = std::make_shared<const RightsSnapshot>();
};

// Builds the response to a request without an answer of a backend server (docs/design.md, 3.4). The request id may be
// empty.
HttpResponse toResponse(const ErrorAnswer& answer, std::string_view requestId);
// Sets the Waxwing- headers of an answer of a backend server (docs/design.md, 3.4).
void setAnsweredHeaders(HttpResponse& response, std::string_view requestId);

} // namespace waxwinglug::io
