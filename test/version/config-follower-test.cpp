// Tests of the configuration follower with exactly timed pauses.
#include "support/fake-platform.h"

#include <waxwinglug/rollout.h>

#include <gtest/gtest.h>

namespace waxwinglug {
namespace {

    // Guards against using an outdated answer: when the process is paused between a poll and its answer, requests with
    // a key must wait for another poll.
    TEST(ConfigFollower, answerFromBeforeAPauseIsNoRefresh)
    {
        test::FakePlatform fake;
        ManualClock time;
        Random random(1);
        ConfigFollower follower({ { "e1", 1 }, "dc1" }, fake.platform(), time.clock(), random, {});
        follower.tick();
        fake.deliver();
        EXPECT_FALSE(follower.needsRefresh());
        time.advance(std::chrono::seconds(1));
        follower.tick();
        time.advance(std::chrono::seconds(60));
        fake.deliver();
        EXPECT_TRUE(follower.needsRefresh());
        follower.tick();
        fake.deliver();
        EXPECT_FALSE(follower.needsRefresh());
    }

} // namespace
} // namespace waxwinglug
