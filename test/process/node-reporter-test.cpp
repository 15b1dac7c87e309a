// Tests of the report row of an entry VM.
#include "support/fake-platform.h"

#include <waxwinglug/node-reporter.h>

#include <gtest/gtest.h>

namespace waxwinglug::test {
namespace {

    class NodeReporterTest : public ::testing::Test {
    protected:
        NodeReporter reporter(std::uint64_t incarnation)
        {
            return { { "e1", incarnation }, "dc1", this->platform.platform().table, this->clock.clock() };
        }

        void step(NodeReporter& node)
        {
            node.tick();
            this->platform.deliver();
        }

        NodeReport row() { return fromJson<NodeReport>(this->platform.row("report/e1").value); }

        FakePlatform platform;
        ManualClock clock;
    };

    // Guards against a report that is never written, and against more than one write per second,
    // the rate for which the table is sized.
    TEST_F(NodeReporterTest, writesChangesAtMostOnceASecond)
    {
        auto node = this->reporter(4);
        this->step(node);
        EXPECT_EQ(this->platform.commitCount, 0);
        node.update(7, { { "v1", 2 }, { "v2", 0 } });
        this->step(node);
        EXPECT_EQ(this->row().node, (NodeId { "e1", 4 }));
        EXPECT_EQ(this->row().dataCentre, "dc1");
        EXPECT_EQ(this->row().applied, 7U);
        EXPECT_EQ(this->row().work, (std::map<std::string, int> { { "v1", 2 } }));
        node.update(8, {});
        this->step(node);
        EXPECT_EQ(this->row().applied, 7U);
        this->clock.advance(NodeReporter::writeInterval);
        this->step(node);
        EXPECT_EQ(this->row().applied, 8U);
        this->clock.advance(NodeReporter::writeInterval);
        this->step(node);
        EXPECT_EQ(this->platform.commitCount, 2);
    }

    // Guards against repeating a write, or treating it as failed, because its answer was lost.
    TEST_F(NodeReporterTest, lostAnswerIsResolvedByReadingTheRow)
    {
        auto node = this->reporter(4);
        node.update(7, {});
        this->platform.loseCommitAnswers = true;
        this->step(node);
        EXPECT_FALSE(node.isUpToDate());
        this->clock.advance(NodeReporter::writeInterval);
        this->step(node);
        EXPECT_TRUE(node.isUpToDate());
        EXPECT_EQ(this->platform.commitCount, 1);
    }

    // Guards against a paused process that replaces the report of its successor.
    TEST_F(NodeReporterTest, formerProcessNeverReplacesALaterReport)
    {
        auto former = this->reporter(4);
        auto later = this->reporter(5);
        former.update(9, {});
        former.tick();
        // The former process reads the row first, but its commit is sent after that of the later process.
        later.update(3, { { "v1", 1 } });
        later.tick();
        this->platform.deliverOne(1);
        this->platform.deliver();
        this->clock.advance(NodeReporter::writeInterval);
        this->step(former);
        this->step(later);
        this->clock.advance(NodeReporter::writeInterval);
        this->step(former);
        EXPECT_EQ(this->row().node.incarnation, 5U);
        EXPECT_TRUE(former.isSuperseded());
        EXPECT_TRUE(later.isUpToDate());
    }

    // Guards against one unreadable row that suppresses the reports of all other nodes.
    TEST_F(NodeReporterTest, unreadableRowsAreSkipped)
    {
        auto node = this->reporter(4);
        node.update(7, {});
        this->step(node);
        this->platform.set("report/e0", "{");
        std::optional<std::vector<NodeReport>> found;
        readNodeReports(this->platform.platform().table, [&](auto reports) { found = std::move(reports); });
        this->platform.deliver();
        ASSERT_TRUE(found);
        ASSERT_EQ(found->size(), 1U);
        EXPECT_EQ(found->front().node.name, "e1");
        this->platform.isUnavailable = true;
        readNodeReports(this->platform.platform().table, [&](auto reports) { found = std::move(reports); });
        this->platform.deliver();
        EXPECT_FALSE(found);
    }

} // namespace
} // namespace waxwinglug::test
