// Tests of the entry VM reports that confirm drains.
#include <waxwinglug/node-reports.h>

#include <gtest/gtest.h>

namespace waxwinglug {
namespace {

    NodeReports threeNodes()
    {
        NodeReports reports;
        reports.setRegisteredNodes({ { "e1", "dc1" }, { "e2", "dc1" }, { "e3", "dc2" } });
        return reports;
    }

    // Guards against confirming a drain while an entry VM has not reported yet.
    TEST(NodeReports, nodeWithoutReportIsUnconfirmed)
    {
        auto reports = threeNodes();
        reports.recordReport({ { "e1", 1 }, "dc1", 7, { { "v1", 2 } } });
        ASSERT_EQ(reports.unconfirmedNodes("dc1", 7).size(), 1U);
        EXPECT_EQ(reports.unconfirmedNodes("dc1", 7)[0].name, "e2");
        EXPECT_FALSE(reports.unconfirmedNodes("dc1", 7)[0].isGone);
        EXPECT_EQ(reports.runningWorkCount("dc1", "v1"), std::nullopt);
        reports.recordReport({ { "e2", 1 }, "dc1", 6, { { "v1", 1 } } });
        EXPECT_EQ(reports.unconfirmedNodes("dc1", 7).size(), 1U);
        EXPECT_TRUE(reports.unconfirmedNodes("dc1", 6).empty());
        EXPECT_EQ(reports.runningWorkCount("dc1", "v1"), 3);
    }

    // Guards against a delayed report that replaces a newer one.
    TEST(NodeReports, olderReportsAreIgnored)
    {
        auto reports = threeNodes();
        reports.recordReport({ { "e1", 2 }, "dc1", 7, { { "v1", 2 } } });
        reports.recordReport({ { "e1", 2 }, "dc1", 6, {} });
        reports.recordReport({ { "e1", 1 }, "dc1", 9, {} });
        reports.recordReport({ { "e2", 1 }, "dc1", 9, {} });
        EXPECT_EQ(reports.runningWorkCount("dc1", "v1"), 2);
        EXPECT_EQ(reports.unconfirmedNodes("dc1", 8).size(), 1U);
    }

    // Guards against a restarted entry VM that still counts as gone, and against one whose ended incarnation blocks
    // drains.
    TEST(NodeReports, goneStateAppliesToOneIncarnation)
    {
        auto reports = threeNodes();
        reports.recordReport({ { "e1", 1 }, "dc1", 7, { { "v1", 2 } } });
        reports.recordReport({ { "e2", 1 }, "dc1", 7, {} });
        reports.recordIncarnation({ "e1", 1 }, true);
        ASSERT_EQ(reports.unconfirmedNodes("dc1", 7).size(), 1U);
        EXPECT_TRUE(reports.unconfirmedNodes("dc1", 7)[0].isGone);
        EXPECT_EQ(reports.runningWorkCount("dc1", "v1"), 0);
        reports.recordIncarnation({ "e1", 2 }, false);
        EXPECT_FALSE(reports.unconfirmedNodes("dc1", 7).at(0).isGone);
        EXPECT_EQ(reports.runningWorkCount("dc1", "v1"), std::nullopt);
        reports.recordIncarnation({ "e1", 1 }, true);
        EXPECT_FALSE(reports.unconfirmedNodes("dc1", 7).at(0).isGone);
        reports.recordReport({ { "e1", 2 }, "dc1", 3, { { "v1", 1 } } });
        ASSERT_EQ(reports.unconfirmedNodes("dc1", 7).size(), 1U);
        EXPECT_FALSE(reports.unconfirmedNodes("dc1", 7)[0].isGone);
        EXPECT_EQ(reports.runningWorkCount("dc1", "v1"), 1);
    }

} // namespace
} // namespace waxwinglug
