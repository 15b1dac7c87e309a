// Forecast of peaks. Load: four queues peak in turn for 4.5 s at four times their mean, and ask for a twentieth of it
// in between.
#include "job/peak-forecast.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace waxwinglug {
namespace {

    constexpr Duration peakLength { 4500 };
    constexpr int services = 4;
    constexpr std::int64_t meanMillicores = 1'000'000;

    struct PeakForecastTest : testing::Test {
        ManualClock clock;
        PeakForecast forecast { {} };
        const TimePoint start = clock.now();

        // Lets the turns go on until this time after the start.
        void runUntil(Duration end)
        {
            constexpr Duration step { 50 };
            for (; this->clock.now() - this->start < end; this->clock.advance(step)) {
                const auto turn = (this->clock.now() - this->start) / peakLength % services;
                for (int service = 0; service < services; ++service) {
                    const auto rate = turn == service ? meanMillicores * 4 : meanMillicores / 20;
                    this->forecast.recordArrival(
                        fmt::format("service-{}", service), rate * step.count(), this->clock.now());
                }
                this->forecast.update(this->clock.now());
            }
        }
    };

} // namespace

// Guards against a pool that grows only when the peak of its queue has begun.
TEST_F(PeakForecastTest, secondTurnIsExpectedOneCycleAfterTheFirst)
{
    this->runUntil(Duration(25'000)); // the second service has begun its second peak
    for (const int service : { 2, 3 }) {
        const auto peak = this->forecast.nextPeak(fmt::format("service-{}", service));
        ASSERT_TRUE(peak.has_value());
        const auto begin = this->start + peakLength * (services + service);
        EXPECT_LE(std::abs((peak->beginsAt - begin).count()), 600) << service;
        EXPECT_NEAR(static_cast<double>(peak->millicores), meanMillicores * 4.0, meanMillicores * 0.6);
    }
}

TEST_F(PeakForecastTest, nothingIsExpectedDuringTheFirstTurns)
{
    this->runUntil(Duration(17'000));
    for (int service = 0; service < services; ++service)
        EXPECT_FALSE(this->forecast.nextPeak(fmt::format("service-{}", service))) << service;
}

// A short burst is no turn: it must not fill a pool one cycle later.
TEST_F(PeakForecastTest, burstIsNotExpectedAgain)
{
    this->runUntil(Duration(25'000));
    const auto before = this->forecast.nextPeak("service-3");
    this->forecast.recordArrival("service-3", meanMillicores * 10'000, this->clock.now());
    this->runUntil(Duration(26'500));
    const auto after = this->forecast.nextPeak("service-3");
    ASSERT_TRUE(before && after);
    EXPECT_EQ(before->beginsAt, after->beginsAt);
}

TEST_F(PeakForecastTest, steadyDemandHasNoPeaks)
{
    for (int step = 0; step < 1200; ++step, this->clock.advance(Duration(50))) {
        this->forecast.recordArrival("service-0", meanMillicores * 50, this->clock.now());
        this->forecast.update(this->clock.now());
        ASSERT_FALSE(this->forecast.nextPeak("service-0"));
    }
}

} // namespace waxwinglug
