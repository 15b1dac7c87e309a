// Tests of histograms, counters and the text exposition format.
#include <waxwinglug/metrics.h>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <thread>

namespace waxwinglug {
namespace {

    using namespace std::chrono_literals;

    std::uint64_t valueOf(const std::string& text, const std::string& name)
    {
        const auto at = text.find("\n" + name + " ");
        EXPECT_NE(at, std::string::npos) << name;
        return at == std::string::npos ? 0 : std::stoull(text.substr(at + name.size() + 2));
    }

    // Guards against lost increments when several threads record.
    TEST(Metrics, concurrentRecordsAreAllCounted)
    {
        Metrics metrics;
        std::vector<std::thread> threads;
        threads.reserve(4);
        for (int i = 0; i < 4; ++i) {
            threads.emplace_back([&metrics] {
                for (int n = 0; n < 5000; ++n) {
                    metrics.record("north", WorkClass::Interactive, { 1ms, 10ms, 11ms });
                    metrics.countRefusal(Refusal::QueueFull);
                }
            });
        }
        for (auto& thread : threads)
            thread.join();
        const auto text = metrics.exposition();
        const std::string labels = "team=\"north\",class=\"interactive\"";
        EXPECT_EQ(valueOf(text, "waxwing_request_run_seconds_count{" + labels + "}"), 20000U);
        EXPECT_EQ(valueOf(text, "waxwing_request_run_seconds_sum{" + labels + "}"), 200U);
        EXPECT_EQ(metrics.refusalCount(Refusal::QueueFull), 20000U);
    }

    TEST(Metrics, everyRefusalKindIsExposed)
    {
        Metrics metrics;
        metrics.countRefusal(Refusal::OverLimit);
        const auto text = metrics.exposition();
        for (std::size_t i = 0; i < refusalKindCount; ++i) {
            const auto kind = static_cast<Refusal>(i);
            EXPECT_EQ(valueOf(text, fmt::format("waxwing_refused_total{{kind=\"{}\"}}", refusalInfo(kind).name)),
                kind == Refusal::OverLimit ? 1U : 0U);
        }
    }

    TEST(Metrics, countersAndGaugesAreExposed)
    {
        Metrics metrics;
        metrics.counter("messages_dropped", "Messages without a valid hash.").add(3);
        metrics.setGauge("members", "Live entry VMs.", 7);
        const auto text = metrics.exposition();
        EXPECT_EQ(valueOf(text, "waxwing_messages_dropped_total"), 3U);
        EXPECT_EQ(valueOf(text, "waxwing_members"), 7U);
        EXPECT_NE(text.find("# TYPE waxwing_members gauge"), std::string::npos);
    }

    // Guards against unbounded memory growth with the number of team names.
    TEST(Metrics, numberOfTeamsIsBounded)
    {
        Metrics metrics;
        for (int i = 0; i < 1000; ++i)
            metrics.record("team" + std::to_string(i), WorkClass::Background, {});
        const auto text = metrics.exposition();
        EXPECT_EQ(valueOf(text, "waxwing_request_wait_seconds_count{team=\"other\",class=\"background\"}"), 744U);
    }

    // Each time is counted in the first bucket whose bound is not below it; buckets never decrease.
    RC_GTEST_PROP(Metrics, bucketsAreCumulative, ())
    {
        Metrics metrics;
        metrics.series("t", WorkClass::Interactive);
        const auto times
            = *rc::gen::container<std::vector<std::int64_t>>(rc::gen::inRange<std::int64_t>(-5, 400'000'000));
        for (const auto time : times)
            metrics.record("t", WorkClass::Interactive, { std::chrono::microseconds(time), 0us, 0us });
        const auto text = metrics.exposition();
        const std::string start = "waxwing_request_wait_seconds_bucket{team=\"t\",class=\"interactive\",le=\"";
        std::size_t buckets = 0;
        for (auto at = text.find(start); at != std::string::npos; at = text.find(start, at + 1)) {
            const auto bound = text.substr(at + start.size(), text.find('"', at + start.size()) - at - start.size());
            const auto count = std::stoull(text.substr(text.find("} ", at) + 2));
            const double limit = bound == "+Inf" ? 1e300 : std::stod(bound);
            // The upper bound of a bin belongs to the next bin; printed bounds have six digits.
            const auto below = [&times](double seconds) {
                return static_cast<std::uint64_t>(std::ranges::count_if(
                    times, [seconds](auto time) { return static_cast<double>(time) / 1e6 < seconds; }));
            };
            RC_ASSERT(count >= below(limit * 0.99999));
            RC_ASSERT(count <= below(limit * 1.00001));
            ++buckets;
        }
        RC_ASSERT(buckets == 20U);
    }

} // namespace
} // namespace waxwinglug
