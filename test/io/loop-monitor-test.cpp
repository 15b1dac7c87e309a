// Guards the figures that show an overloaded event loop.
#include "io/process/loop-monitor.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

#include <optional>

namespace waxwinglug::io {
namespace {

    // A timer that fires late shows nothing, so that a leader that is behind looks idle.
    TEST(LoopMonitor, reportsLatenessAndProcessorTimeOfEachSecond)
    {
        constexpr Duration turn { 70 };
        boost::asio::io_context context;
        ManualClock manual;
        Duration used { 0 };
        std::optional<LoopUsage> reported;
        LoopMonitor monitor(
            context, manual.clock(), [&used] { return used; }, [&](const LoopUsage& usage) { reported = usage; });
        monitor.start();
        int turns = 0;
        for (; !reported; ++turns) {
            manual.advance(turn);
            used += Duration(30);
            context.run_one();
        }
        EXPECT_EQ(turns, 15);
        EXPECT_EQ(reported->interval, turn * turns);
        EXPECT_EQ(reported->processorTime, Duration(30) * turns);
        EXPECT_EQ(reported->samples, turns);
        EXPECT_EQ(reported->maxLateness, Duration(50));
        EXPECT_EQ(reported->totalLateness, Duration(50) * turns);
    }

} // namespace
} // namespace waxwinglug::io
