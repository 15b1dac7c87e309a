// Process test of a maintenance wave while requests are served.
#include "daemon/fleet.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace waxwinglug::test {
namespace {

    // Sends idempotent and non-idempotent requests one after another until stopped, and records failed requests.
    class Caller {
    public:
        Caller(Fleet& testFleet, std::string entryName)
            : fleet(testFleet)
            , entry(std::move(entryName))
            , thread([this] { this->run(); })
        {
        }

        ~Caller() { this->stop(); }
        Caller(const Caller&) = delete;
        Caller& operator=(const Caller&) = delete;

        void stop()
        {
            this->isStopping = true;
            if (this->thread.joinable())
                this->thread.join();
        }

        int sentCount() const { return this->requestCount; }
        // Valid only after stop().
        const std::vector<std::string>& failures() const { return this->failedRequests; }

    private:
        void run()
        {
            while (!this->isStopping) {
                const auto number = ++this->requestCount;
                const auto answer = number % 2 == 0
                    ? this->fleet.get(this->entry, this->fleet.northKey)
                    : this->fleet.post(this->entry, this->fleet.northKey, fmt::format("{}-{}", this->entry, number));
                if (answer.status != 200)
                    this->failedRequests.push_back(
                        fmt::format("request {}: {} {}", number, answer.status, answer.body));
            }
        }

        Fleet& fleet;
        const std::string entry;
        std::atomic<int> requestCount = 0;
        std::atomic<bool> isStopping = false;
        std::vector<std::string> failedRequests;
        std::thread thread;
    };

    // Guards against a wave that reboots a VM while requests run on it, takes both VMs of a pool out of service at
    // once, or does not return them to service.
    TEST(WaveTest, waveRebootsBothVmsOfAPoolWithoutAFailedRequest)
    {
        Fleet fleet(2, "20");
        fleet.setVmList();
        fleet.addEntry("e1");
        fleet.addEntry("e2");
        fleet.apply("[window always]\nstart = 00:00\nend = 00:00\n"
                    "[wave weekly]\npools = quoting\nwindow = always\n[clock]\noffset = +00:00\n",
            "50%");
        for (const std::string name : { "e1", "e2" })
            waitUntil(name + " serves", [&] { return fleet.get(name, fleet.northKey).status == 200; });
        const auto port = fleet.addMaintainer("m1");
        const auto waves = [&] {
            const auto answer = exchange(port, { "GET", "/status", {}, "" });
            return answer.status == 200 ? Json::parse(answer.body).at("waves") : Json::array();
        };
        waitUntil("the maintainer has written the VM rows", [&] {
            return fleet.runWaxwingctl({ "pools" }) == 0
                && fleet.lastOutput.find("serving: q01, q02") != std::string::npos;
        });
        Caller first(fleet, "e1");
        Caller second(fleet, "e2");
        ASSERT_EQ(fleet.runWaxwingctl({ "wave", "start", "weekly" }), 0) << fleet.lastOutput;
        EXPECT_EQ(fleet.runWaxwingctl({ "wave", "start", "weekly" }), 5) << fleet.lastOutput;
        std::size_t maxVmsDown = 0;
        waitUntil("the wave is done", [&] {
            const auto all = waves();
            if (all.empty())
                return false;
            maxVmsDown = std::max(maxVmsDown, all.at(0).at("waits").size());
            return all.at(0).at("state") == "done";
        });
        first.stop();
        second.stop();
        EXPECT_EQ(maxVmsDown, 1U);
        EXPECT_GT(first.sentCount(), 20);
        EXPECT_GT(second.sentCount(), 20);
        EXPECT_EQ(first.failures(), std::vector<std::string> {});
        EXPECT_EQ(second.failures(), std::vector<std::string> {});
        for (const std::string name : { "q01", "q02" })
            EXPECT_EQ(fleet.vmIncarnation(name), 2U) << name;
        ASSERT_EQ(fleet.runWaxwingctl({ "wave", "status", "weekly" }), 0) << fleet.lastOutput;
        EXPECT_NE(fleet.lastOutput.find("done: 2 of 2"), std::string::npos) << fleet.lastOutput;
    }

} // namespace
} // namespace waxwinglug::test
