// Growth of the window, and its reduction after refusals.
#include "job/order-gate.h"

#include <algorithm>

namespace waxwinglug {
namespace {

    constexpr double maxWindow = 128;
    // Time without orders after a refusal, in which the platform's limit recovers.
    constexpr Duration refusalPause { 50 };

} // namespace

void OrderGate::answered(MachineOrderStatus status)
{
    --this->inFlight;
    const bool isHeldBack = status == MachineOrderStatus::Refused || status == MachineOrderStatus::Unknown;
    if (!isHeldBack) {
        this->window += this->window < this->linearFrom ? 1 : 1 / this->window;
        this->window = std::min(this->window, maxWindow);
        return;
    }
    const auto now = this->clock.now();
    this->closedUntil = now + refusalPause;
    if (this->narrowedAt != TimePoint {} && now - this->narrowedAt < refusalPause)
        return;
    this->narrowedAt = now;
    this->window = std::max(this->window / 2, 1.0);
    this->linearFrom = this->window;
}

} // namespace waxwinglug
