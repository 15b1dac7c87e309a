// Limits how many orders for machines are sent to the platform.
//
// The platform accepts a limited number of such orders a second from all VMs together and refuses the others. Orders
// that are repeated without regard to refusals would use up that number. The gate works like the congestion window of
// TCP: it widens with each accepted order and is halved when orders are refused or not answered.
#pragma once

#include <waxwinglug/base.h>
#include <waxwinglug/fleet-platform.h>

namespace waxwinglug {

class OrderGate {
public:
    explicit OrderGate(Clock source)
        : clock(std::move(source))
    {
    }

    // Another order may be sent now. A caller that sends one calls sent(), and answered() when it is over.
    bool isOpen() const
    {
        return this->clock.now() >= this->closedUntil && this->inFlight < static_cast<int>(this->window);
    }
    void sent() { ++this->inFlight; }
    void answered(MachineOrderStatus status);

private:
    const Clock clock;
    int inFlight = 0; // orders that were sent and are not answered
    double window = 8; // at least 1
    double linearFrom = 64; // the window grows by one for each accepted order below, and by one for each window above
    TimePoint closedUntil;
    TimePoint narrowedAt; // several refusals of one moment narrow the window once
};

} // namespace waxwinglug
