// Tests of local time: skipped and repeated times, windows, and detection of changed windows.
#include <waxwinglug/civil-time.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwinglug {
namespace {

    using namespace std::chrono_literals;
    using std::chrono::hours;
    using std::chrono::minutes;

    const WallTime epoch { std::chrono::sys_days { std::chrono::year { 2026 } / 3 / 1 } };

    CivilTime local(minutes sinceEpoch) { return CivilTime(epoch.time_since_epoch() + sinceEpoch); }

    // Up to three offset changes within two days.
    rc::Gen<ClockRules> anyRules()
    {
        return rc::gen::exec([] {
            ClockRules rules;
            rules.offset = minutes(*rc::gen::inRange(-12, 13) * 30);
            auto at = epoch;
            const int changes = *rc::gen::inRange(0, 4);
            for (int index = 0; index < changes; ++index) {
                at += minutes(*rc::gen::inRange(1, 960));
                rules.changes.push_back({ at, minutes(*rc::gen::inRange(-16, 17) * 15) });
            }
            return rules;
        });
    }

    TEST(CivilTime, skippedTimeIsTheInstantOfTheChange)
    {
        const CivilClock clock({ 0min, { { epoch + 2h, 60min } } });
        EXPECT_EQ(clock.toUtc(local(2h + 30min)), epoch + 2h);
        EXPECT_EQ(clock.toUtc(local(3h)), epoch + 2h);
        EXPECT_EQ(clock.toUtc(local(1h + 59min)), epoch + 1h + 59min);
    }

    TEST(CivilTime, repeatedTimeIsTheEarlierInstant)
    {
        const CivilClock clock({ 60min, { { epoch + 2h, 0min } } });
        EXPECT_EQ(clock.toUtc(local(2h + 30min)), epoch + 1h + 30min);
        EXPECT_EQ(clock.toUtc(local(3h)), epoch + 3h);
    }

    // Guards against missing a window that started on the previous day.
    TEST(CivilTime, windowAcrossMidnight)
    {
        const CivilClock clock({ 120min, {} });
        const Window night { "night", 22h, 4h };
        EXPECT_EQ(clock.timeLeftInWindow(night, epoch + 1h), 1h);
        EXPECT_EQ(clock.timeLeftInWindow(night, epoch + 2h), 0h);
        EXPECT_EQ(clock.nextWindow(night, epoch + 2h), (Interval { epoch + 20h, epoch + 26h }));
    }

    // Guards against returning an empty window, or searching without end, when a clock change skips the window.
    TEST(CivilTime, windowInsideAClockGapIsSkipped)
    {
        const CivilClock clock({ 0min, { { epoch + 2h, 60min } } });
        const Window window { "short", 2h, 3h };
        EXPECT_EQ(clock.nextWindow(window, epoch), (Interval { epoch + 25h, epoch + 26h }));
    }

    TEST(CivilTime, announcedChangeMovesTheWindow)
    {
        const ClockRules before { 180min, {} };
        const ClockRules after { 180min, { { epoch + 30h, 240min } } };
        const Window night { "night", 1h, 4h };
        EXPECT_FALSE(nextWindowChanges(before, after, night, epoch - 4h));
        EXPECT_TRUE(nextWindowChanges(before, after, night, epoch + 26h));
    }

    // Guards against a conversion that misses an existing instant, or that returns the later of two.
    RC_GTEST_PROP(CivilTime, conversionMatchesASearchOverAllMinutes, ())
    {
        const auto rules = *anyRules();
        const CivilClock clock(rules);
        // Near a clock change, where local times are skipped or repeated.
        const auto near = rules.changes.empty() ? epoch : (*rc::gen::elementOf(rules.changes)).at;
        const auto localTime = clock.toLocal(near) + minutes(*rc::gen::inRange(-300, 300));
        std::optional<WallTime> exact;
        std::optional<WallTime> firstAtOrAfter;
        for (auto at = epoch - 48h; at < epoch + 120h; at += 1min) {
            const auto localAt = clock.toLocal(at);
            if (!exact && localAt == localTime)
                exact = at;
            if (!firstAtOrAfter && localAt >= localTime)
                firstAtOrAfter = at;
        }
        RC_ASSERT(clock.toUtc(localTime) == (exact ? *exact : *firstAtOrAfter));
    }

    // Guards against a window that has ended, is empty, or is not the next one.
    RC_GTEST_PROP(CivilTime, nextWindowIsTheFirstThatHasNotEnded, ())
    {
        const auto rules = *anyRules();
        const CivilClock clock(rules);
        const Window window { "w", minutes(*rc::gen::inRange(0, 1440)), minutes(*rc::gen::inRange(0, 1440)) };
        const auto from = epoch + minutes(*rc::gen::inRange(-1440, 4320));
        const auto next = clock.nextWindow(window, from);
        RC_ASSERT(next.has_value());
        RC_ASSERT(next->end > from);
        RC_ASSERT(next->start < next->end);
        RC_ASSERT(clock.timeLeftInWindow(window, from) == (next->contains(from) ? next->end - from : Duration(0)));
        // Any instant until the window starts has the same next window.
        if (next->start > from) {
            const auto between = from + (next->start - from) / 2;
            RC_ASSERT(clock.nextWindow(window, between) == next);
            RC_ASSERT(clock.timeLeftInWindow(window, between) == Duration(0));
        }
        RC_ASSERT(clock.nextTimeOfDay(window.start, from) > from);
    }

} // namespace
} // namespace waxwinglug
