// Rights that change between the arrival of a request and its acceptance on the control thread.
#include "io/connection/gateway.h"

#include <gtest/gtest.h>

#include <utility>

namespace waxwinglug::io {
namespace {

    std::shared_ptr<const RightsSnapshot> rightsWithOpenQueue(bool isOpen)
    {
        Config config;
        Service service;
        service.name = "quoting";
        service.allowsAnonymous = isOpen;
        config.services.emplace(service.name, service);
        auto snapshot = std::make_shared<RightsSnapshot>();
        snapshot->fresh
            = std::make_shared<const Rights>(Rights { std::make_shared<const Config>(config), KeyRing(config) });
        snapshot->stale = snapshot->stopped = snapshot->fresh;
        snapshot->freshUntil = snapshot->staleUntil = TimePoint::max();
        return snapshot;
    }

} // namespace

// Guards against a request that is let in after its rights were withdrawn, because they were checked when it arrived
// (a paused entry VM accepts a withdrawn key, KNOWN-RED 16).
TEST(Gateway, requestWhoseRightsHaveChangedSinceItsArrivalIsNotAuthorized)
{
    std::shared_ptr<Exchange> exchange;
    GatewayHooks hooks;
    hooks.accept = [&exchange](std::shared_ptr<Exchange> accepted) { exchange = std::move(accepted); };
    hooks.cancel = [](const std::shared_ptr<Exchange>&) { /* no caller disconnects */ };
    Metrics metrics;
    Gateway gateway(systemClock(), 1000, metrics, std::move(hooks));
    gateway.publish(rightsWithOpenQueue(true));
    gateway.callerHooks().handle({ "POST", "/q/quoting", {}, "" }, [](const HttpResponse&) { /* not examined */ });
    ASSERT_TRUE(exchange);
    EXPECT_TRUE(gateway.isAuthorized(*exchange));
    gateway.publish(rightsWithOpenQueue(false));
    EXPECT_FALSE(gateway.isAuthorized(*exchange));
    EXPECT_THROW(gateway.authorize(*exchange), RefusalError);
}

} // namespace waxwinglug::io
