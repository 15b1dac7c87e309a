// Process tests of the complete request path: applying a document, serving requests and withdrawing a key.
#include "daemon/fleet.h"

#include <gtest/gtest.h>

namespace waxwinglug::test {
namespace {

    class PathTest : public ::testing::Test {
    protected:
        // Waits until the entry VM holds units and serves a request.
        void waitUntilServing(const std::string& name)
        {
            waitUntil(name + " serves", [&] { return this->fleet.get(name, this->fleet.northKey).status == 200; });
        }

        Fleet fleet;
    };

    TEST_F(PathTest, requestWithAKeyIsServedByBothEntryVms)
    {
        this->fleet.addEntry("e1");
        this->fleet.addEntry("e2");
        this->fleet.apply();
        for (const std::string name : { "e1", "e2" }) {
            this->waitUntilServing(name);
            const auto answer = this->fleet.post(name, this->fleet.northKey, "sheet-" + name);
            EXPECT_EQ(answer.status, 200) << answer.body;
            EXPECT_EQ(io::findHeader(answer.headers, "Waxwing-Outcome"), "answered");
            EXPECT_EQ(Json::parse(answer.body).at("echo"), "sheet-" + name);
            EXPECT_EQ(this->fleet.runCount("sheet-" + name), 1);
        }
    }

    TEST_F(PathTest, refusedRequestsGetATypedAnswerAndDoNotRun)
    {
        this->fleet.addEntry("e1");
        this->fleet.apply();
        this->waitUntilServing("e1");
        const auto wrongKey = this->fleet.post("e1", "wrong", "refused");
        EXPECT_EQ(wrongKey.status, 401) << wrongKey.body;
        EXPECT_EQ(io::findHeader(wrongKey.headers, "Waxwing-Outcome"), "not-run");
        EXPECT_FALSE(Json::parse(wrongKey.body).at("remedy").get<std::string>().empty());
        const auto port = this->fleet.entryPort("e1");
        EXPECT_EQ(exchange(port, { "GET", "/q/unknown/x", {}, "" }).status, 404);
        EXPECT_EQ(
            this->fleet.post("e1", this->fleet.northKey, std::string(std::size_t { 65 } * 1024, 'x')).status, 413);
        EXPECT_EQ(
            this->fleet.post("e1", this->fleet.northKey, "refused", { { "Waxwing-Deadline-Ms", "soon" } }).status, 400);
        EXPECT_EQ(this->fleet.runCount("refused"), 0);
    }

    TEST_F(PathTest, withdrawnKeyIsRejectedByBothEntryVms)
    {
        this->fleet.addEntry("e1");
        this->fleet.addEntry("e2");
        this->fleet.apply();
        this->waitUntilServing("e1");
        this->waitUntilServing("e2");
        ASSERT_EQ(this->fleet.runWaxwingctl({ "key", "withdraw", "north", "a" }), 0) << this->fleet.lastOutput;
        // The command returns when the change is active on all entry VMs.
        EXPECT_EQ(this->fleet.get("e1", this->fleet.northKey).status, 401);
        EXPECT_EQ(this->fleet.get("e2", this->fleet.northKey).status, 401);
    }

} // namespace
} // namespace waxwinglug::test
