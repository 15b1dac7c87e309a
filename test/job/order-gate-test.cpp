// Tests of the limit of orders for machines.
#include "job/order-gate.h"

#include <gtest/gtest.h>

#include <array>

namespace waxwinglug {
namespace {

    // A platform that accepts a number of orders a second and refuses the others.
    struct LimitedPlatform {
        explicit LimitedPlatform(int acceptedPerSecond)
            : limit(acceptedPerSecond)
        {
        }

        MachineOrderStatus order(TimePoint now)
        {
            if (now - this->secondBegan >= std::chrono::seconds(1)) {
                this->secondBegan = now;
                this->inSecond = 0;
            }
            if (this->inSecond == this->limit) {
                ++this->refused;
                return MachineOrderStatus::Refused;
            }
            ++this->inSecond;
            ++this->accepted;
            return MachineOrderStatus::Accepted;
        }

        int limit;
        TimePoint secondBegan;
        int inSecond = 0;
        int accepted = 0;
        int refused = 0;
    };

} // namespace

// Guards against orders that are repeated without regard to refusals, so that the platform refuses nearly all, and
// against a gate that leaves the platform's limit unused.
TEST(OrderGateTest, mostOrdersAreAcceptedAndTheLimitIsUsed)
{
    ManualClock clock;
    LimitedPlatform platform(100);
    std::array gates { OrderGate(clock.clock()), OrderGate(clock.clock()) };
    constexpr int seconds = 20;
    for (int tick = 0; tick < seconds * 20; ++tick) {
        for (auto& gate : gates) {
            int sent = 0;
            for (; gate.isOpen(); ++sent)
                gate.sent();
            for (; sent > 0; --sent)
                gate.answered(platform.order(clock.now()));
        }
        clock.advance(Duration(50));
    }
    EXPECT_GE(platform.accepted, 90 * seconds);
    EXPECT_LE(platform.refused, platform.accepted);
}

// Guards against a gate that never opens again after many refusals.
TEST(OrderGateTest, oneOrderIsSentAfterAnyNumberOfRefusals)
{
    ManualClock clock;
    OrderGate gate(clock.clock());
    for (int round = 0; round < 20; ++round) {
        ASSERT_TRUE(gate.isOpen());
        gate.sent();
        gate.answered(MachineOrderStatus::Refused);
        EXPECT_FALSE(gate.isOpen());
        clock.advance(Duration(100));
    }
    gate.sent();
    EXPECT_FALSE(gate.isOpen()) << "the window is one order";
    gate.answered(MachineOrderStatus::Accepted);
    EXPECT_TRUE(gate.isOpen());
}

} // namespace waxwinglug
