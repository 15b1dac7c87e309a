// Tests of the record of a change to a new leader.
#include "job/term-phases.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace waxwinglug {
namespace {

    std::map<std::string, std::string> logged(const TermPhases& phases)
    {
        std::map<std::string, std::string> fields;
        phases.log(
            [&fields](std::string_view, std::initializer_list<LogField> line) {
                for (const auto& field : line)
                    fields[std::string(field.key)] = field.value;
            },
            7);
        return fields;
    }

} // namespace

// Guards against a change of leader whose seconds cannot be assigned to a phase.
TEST(TermPhasesTest, eachPhaseIsCountedFromTheLastSignOfThePredecessor)
{
    ManualClock clock;
    const auto seenAt = clock.now();
    clock.advance(Duration(1700));
    const auto sentAt = clock.now();
    clock.advance(Duration(10));
    TermPhases phases(clock.clock(), seenAt, sentAt);
    clock.advance(Duration(300));
    phases.rowsRead();
    clock.advance(Duration(50));
    phases.loaded(20);
    clock.advance(Duration(5));
    phases.taskStarted();
    clock.advance(Duration(100));
    phases.serversUnanswered(10);
    clock.advance(Duration(100));
    phases.serversUnanswered(1);
    phases.rowsRead(); // only the first call counts
    clock.advance(Duration(700));
    EXPECT_FALSE(phases.isOver());
    phases.serversUnanswered(0);
    phases.inheritedWorkReleased();
    EXPECT_TRUE(phases.isOver());
    const std::map<std::string, std::string> expected { { "fence", "7" }, { "acquire_ms", "1700" },
        { "acquired_ms", "1710" }, { "rows_ms", "2010" }, { "begins_ms", "2060" }, { "first_start_ms", "2065" },
        { "servers", "20" }, { "answered_50_ms", "2165" }, { "answered_95_ms", "2265" }, { "answered_100_ms", "2965" },
        { "released_ms", "2965" } };
    EXPECT_EQ(logged(phases), expected);
}

// Guards against a phase that was never reached and is shown as quick.
TEST(TermPhasesTest, phaseThatWasNotReachedIsShownAsMissing)
{
    ManualClock clock;
    TermPhases phases(clock.clock(), clock.now(), clock.now());
    phases.loaded(4);
    phases.serversUnanswered(1);
    phases.inheritedWorkReleased();
    const auto fields = logged(phases);
    EXPECT_EQ(fields.at("answered_50_ms"), "0");
    EXPECT_EQ(fields.at("answered_95_ms"), "-1");
    EXPECT_EQ(fields.at("first_start_ms"), "-1");
}

} // namespace waxwinglug
