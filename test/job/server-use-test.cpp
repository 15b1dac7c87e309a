// Tests of the stored records of servers in use.
#include "job/server-use.h"

#include <waxwinglug/error.h>
#include <waxwinglug/json.h>

#include <gtest/gtest.h>

#include <limits>

namespace waxwinglug {
namespace {

    constexpr Duration maxLeft { 9500 };
    constexpr auto lowest = std::numeric_limits<StoreTime>::min();
    constexpr auto highest = std::numeric_limits<StoreTime>::max();

    ServerRecord server()
    {
        ServerRecord record;
        record.id = "a";
        record.service = "press";
        return record;
    }

} // namespace

// Guards against a record that a later leader reads differently.
TEST(ServerUse, roundTrip)
{
    const auto use = decodeServerUse(encodeServerUse({ server(), 4711, 3 }));
    EXPECT_EQ(use.server.id, "a");
    EXPECT_EQ(use.leaseEnd, 4711);
    EXPECT_EQ(use.fence, 3U);
    EXPECT_FALSE(decodeServerUse(encodeServerUse({ server(), std::nullopt, 3 })).leaseEnd);
    EXPECT_FALSE(decodeServerUse(toJson(server())).leaseEnd) << "written by an earlier version";
    EXPECT_EQ(decodeServerUse(encodeServerUse({ server(), std::nullopt, 3, 815 })).strayLeaseEnd, 815);
    EXPECT_FALSE(use.strayLeaseEnd);
}

// Guards against a record in another form that ends the process, or that is believed.
TEST(ServerUse, endOfLeasesInAnotherFormCountsAsNone)
{
    for (const auto* odd : { R"("soon")", "null", "{}", "[]", "1.5", "true" }) {
        for (const auto* field : { "leasesEndBy", "fence" }) {
            Json json = server();
            json["leasesEndBy"] = 5;
            json["fence"] = 2U;
            json[field] = Json::parse(odd);
            EXPECT_FALSE(decodeServerUse(json.dump()).leaseEnd) << field << " " << odd;
        }
        Json json = server();
        json["strayLeasesEndBy"] = Json::parse(odd);
        EXPECT_FALSE(decodeServerUse(json.dump()).strayLeaseEnd) << odd;
    }
    for (const auto* text : { "", "7", "[]", "null", "{}", R"({"leasesEndBy":5,"fence":2})" })
        EXPECT_THROW(decodeServerUse(text), Error) << text;
}

// Guards against a start that the next leader reads differently, and against one in another form that ends the process.
TEST(ServerUse, unansweredStartsSurviveTheRoundTrip)
{
    const TaskId task { "job", 3, 1, 17 };
    const auto use = decodeServerUse(
        encodeServerUse({ server(), std::nullopt, 3, std::nullopt, { { task, 20'001, 4711 }, { task, 20'002 } } }));
    ASSERT_EQ(use.unansweredStarts.size(), 2U);
    EXPECT_EQ(use.unansweredStarts[0].task, task);
    EXPECT_EQ(use.unansweredStarts[0].run, 20'001);
    EXPECT_EQ(use.unansweredStarts[0].endsBy, 4711);
    EXPECT_FALSE(use.unansweredStarts[1].endsBy);
    for (const auto* odd : { R"("soon")", "null", "{}", "[]", "7", R"([7])", R"([["job",1,2,3]])",
             R"([["job",1,2,"3",4]])", R"([[1,1,2,3,4]])", R"([["job",1,2,3,4,"5"]])", R"([["job",1,2,3,4.5]])" }) {
        Json json = server();
        json["unansweredStarts"] = Json::parse(odd);
        EXPECT_TRUE(decodeServerUse(json.dump()).unansweredStarts.empty()) << odd;
    }
}

// Guards against times that overflow, or that make a leader wait for long, or not at all.
TEST(ServerUse, timeLeftIsInRange)
{
    EXPECT_EQ(leaseTimeLeft(5000, 1000, maxLeft), Duration(4000));
    EXPECT_EQ(leaseTimeLeft(1000, 1000, maxLeft), Duration(0));
    EXPECT_EQ(leaseTimeLeft(lowest, highest, maxLeft), Duration(0));
    EXPECT_EQ(leaseTimeLeft(highest, lowest, maxLeft), maxLeft);
    EXPECT_EQ(leaseTimeLeft(highest, 0, maxLeft), maxLeft);
}

} // namespace waxwinglug
