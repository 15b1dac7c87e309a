// The traffic side of the entry daemon: checks a caller's request against the configuration and writes its answers.
#pragma once

#include "io/request/exchange.h"

#include <waxwinglug/metrics.h>

#include <atomic>
#include <functional>
#include <memory>

namespace waxwinglug::io {

struct GatewayHooks {
    // Takes a checked request on the control thread. Called on a traffic thread.
    std::function<void(std::shared_ptr<Exchange>)> accept;
    // The caller has gone. Called on a traffic thread.
    std::function<void(std::shared_ptr<Exchange>)> cancel;
};

class Gateway {
public:
    Gateway(Clock clock, std::uint64_t bodyLimit, Metrics& metrics, GatewayHooks hooks);

    // Replaces the configuration for all requests that arrive from now on. Any thread.
    void publish(std::shared_ptr<const RightsSnapshot> snapshot) { this->current.store(std::move(snapshot)); }
    // Sets team, class and deadline of a request by the rights that apply now. Throws RefusalError when they do not
    // grant it. Any thread.
    void authorize(Exchange& exchange) const;

    // The hooks of the HTTP server towards callers.
    CallerHooks callerHooks();

private:
    std::shared_ptr<const Rights> rights() const { return this->current.load()->rightsAt(this->clock.now()); }
    std::function<void()> handle(HttpRequest request, const Respond& respond);
    // Throws RefusalError.
    std::shared_ptr<Exchange> check(HttpRequest request);
    HttpResponse refuse(const RefusalError& error);
    HttpResponse reject(int status, std::string_view problem);
    std::uint64_t bodyLimitFor(std::string_view target) const;

    Clock clock;
    const std::uint64_t bodyLimit; // bytes, of this entry VM
    Metrics& metrics;
    GatewayHooks hooks;
    std::atomic<std::shared_ptr<const RightsSnapshot>> current = std::make_shared<const RightsSnapshot>();
};

// Answers in the form of docs/design.md, 3.4.
HttpResponse toResponse(const ErrorAnswer& answer, std::string_view requestId);
void setAnsweredHeaders(HttpResponse& response, std::string_view requestId);

} // namespace waxwinglug::io
