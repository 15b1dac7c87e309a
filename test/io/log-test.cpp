// Tests of log lines and their rate limit.
#include "io/process/log.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <sstream>

namespace waxwinglug {
namespace {

    class LogTest : public testing::Test {
    protected:
        LogTest() { startLogging(this->output); }
        ~LogTest() override { stopLogging(); }

        auto lineCount() const { return std::ranges::count(this->output.str(), '\n'); }

        std::ostringstream output;
        ManualClock time;
    };

    TEST_F(LogTest, lineHasPrefixAndKeyValuePairs)
    {
        Log log("member", this->time.clock());
        log.warning("peer is suspect", { { "peer", "e2" }, { "silent-ms", 3000 } });
        EXPECT_EQ(
            this->output.str(), "2026-01-01T00:00:00.000Z warning member: peer is suspect peer=e2 silent-ms=3000\n");
    }

    // Guards against log injection: a value with a newline must not start a second log line.
    TEST_F(LogTest, valuesCannotStartANewLine)
    {
        Log log("entry", this->time.clock());
        log.info("request refused", { { "path", "/a b\nentry: ok" } });
        EXPECT_EQ(this->lineCount(), 1);
        EXPECT_NE(this->output.str().find("path=\"/a b\\x0aentry: ok\""), std::string::npos);
    }

    // Guards against a repeated fault that fills the disk, and against dropping lines without counting them.
    TEST_F(LogTest, repeatedEventIsLimitedAndCounted)
    {
        Log log("entry", this->time.clock());
        for (int i = 0; i < 50; ++i)
            log.error("platform does not answer", { { "call", i } });
        EXPECT_EQ(this->lineCount(), Log::defaultMaxLinesPerSecond);
        log.info("another event");
        EXPECT_EQ(this->lineCount(), Log::defaultMaxLinesPerSecond + 1);
        EXPECT_EQ(log.droppedLineCount(), 40U);
        this->time.advance(std::chrono::seconds(2));
        log.reportDroppedLines();
        EXPECT_NE(this->output.str().find("error entry: platform does not answer dropped=40"), std::string::npos);
        log.error("platform does not answer");
        EXPECT_EQ(this->lineCount(), Log::defaultMaxLinesPerSecond + 3);
    }

    TEST_F(LogTest, numberOfEventKindsIsLimited)
    {
        Log log("entry", this->time.clock());
        for (int i = 0; i < 10000; ++i)
            log.info("event " + std::to_string(i));
        EXPECT_LE(this->lineCount(), static_cast<long>(Log::maxEventKinds) + Log::defaultMaxLinesPerSecond);
    }

} // namespace
} // namespace waxwinglug
