// Tests the formats of the platform: decoding of valid input and rejection of malformed input.
#include "wire.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwinglug::wire {
namespace {

    StoredRow row(std::string key, std::string value)
    {
        return { { "t", "", std::move(key) }, std::move(value), 5, false };
    }

} // namespace

// Guards against a task name that is decoded to another task.
TEST(Wire, taskNamesRoundTrip)
{
    const TaskId task { "5c0e7a21d94b36f8", 3, 1, 17 };
    EXPECT_EQ(encodeTask(task), "5c0e7a21d94b36f8.3.1.17");
    EXPECT_EQ(decodeTask(encodeTask(task)), task);
    for (const auto* malformed : { "", "job", "job.1", "job.1.2", "job.1.2.3.4", "job.1.2.x", "job.1.2." })
        EXPECT_FALSE(decodeTask(malformed)) << malformed;
}

TEST(Wire, base64RoundTrips)
{
    const std::string bytes("\0\xff{\"a\":1}", 9);
    EXPECT_EQ(decodeBase64(encodeBase64(bytes)), bytes);
    EXPECT_FALSE(decodeBase64("no base64!"));
}

// Guards against a step field that is dropped or decoded into the wrong member.
TEST(Wire, decodesTheStepsOfAJob)
{
    const auto job
        = makeFormats().decodeJob(R"({"spec":"x","times":2,"first_ms":1000,"interval_ms":500,"steps":[{"count":4,
        "cpu":500,"mem_mb":256,"estimate_ms":900,"data_rack":"r1"},{"count":2,"after":[0],"gang":true,
        "checkpointable":true,"long_running":true,"may_miss":1,"anti_affinity":3,"target_ms":40,"fills":true}]})");
    ASSERT_EQ(job.steps.size(), 2U);
    EXPECT_EQ(job.steps[0].taskResources, (Resources { 500, 256, 0 }));
    EXPECT_EQ(job.steps[0].dataRack, "r1");
    EXPECT_EQ(job.steps[1].dependencies, std::vector<int> { 0 });
    EXPECT_TRUE(
        job.steps[1].gang && job.steps[1].supportsCheckpoints && job.steps[1].longRunning && job.steps[1].bestEffort);
    EXPECT_EQ(job.steps[1].maxTasksPerServer, 3);
    EXPECT_EQ(job.steps[1].latencyTarget, Duration(40));
    EXPECT_EQ(job.occurrences, 2);
    EXPECT_EQ(job.interval, Duration(500));
}

// Guards against a malformed body that crashes the program or makes a job that can never run.
TEST(Wire, rejectsMalformedJobBodies)
{
    const auto formats = makeFormats();
    for (const auto* malformed : { "", "[]", "{}", "{\"steps\":3}", "{\"steps\":[{\"count\":\"many\"}]}" })
        EXPECT_THROW(formats.decodeJob(malformed), Error) << malformed;
    for (const auto* malformed : { R"({"steps":[]})", R"({"steps":[{"after":[0]}]})", R"({"steps":[{"count":-1}]})" })
        EXPECT_THROW(validateJob(formats.decodeJob(malformed)), Error) << malformed;
}

// Guards against a configuration field that is dropped or decoded into the wrong member.
TEST(Wire, decodesAConfiguration)
{
    const auto config = makeFormats().decodeConfig(row("config", R"({"version":7,"routes":[{"name":"r","host":"h",
        "path_prefix":"/p/","service":"s","priority":1,"retries":3,"stretch_factor":1.6,"goal_ms":600,"public":true}],
        "services":[{"name":"s","enforces_capacity":true,"standby":true}],
        "tenants":[{"name":"t","api_keys":["k"],"weight":4,"cap":{"cpu":10,"mem_mb":20,"gpu":0}}],
        "limits":{"max_body_bytes":99}})"));
    ASSERT_TRUE(config);
    EXPECT_EQ(config->version, 7U);
    const auto* queue = config->findQueue("h", "/p/abc");
    ASSERT_TRUE(queue);
    EXPECT_EQ(queue->maxFailedRuns, 3);
    EXPECT_EQ(queue->slack, Duration(600));
    EXPECT_TRUE(queue->allowsAnonymous);
    EXPECT_TRUE(config->services[0].standby && config->services[0].enforcesCapacity);
    ASSERT_TRUE(config->teamOfKey("k"));
    EXPECT_EQ(config->teamOfKey("k")->limit, (Resources { 10, 20, 0 }));
    EXPECT_FALSE(config->teamOfKey(""));
    EXPECT_EQ(config->maxBodyBytes, 99U);
}

// Guards against malformed rows that stop the program or are taken for a server.
TEST(Wire, skipsMalformedRows)
{
    const auto formats = makeFormats();
    EXPECT_FALSE(formats.decodeConfig(row("config", "{")));
    EXPECT_FALSE(formats.decodeConfig(row("config", R"({"version":"new"})")));
    EXPECT_FALSE(formats.decodeWave(row("wave/1", R"({"cohort":1})")));
    const std::string valid = R"({"service":"s","addr":"10.0.0.1:80","zone":"z","state":"ready",
        "capacity":{"cpu":1,"mem_mb":2},"labels":["a","r1"],"host_id":"m","born":5})";
    const auto server = formats.decodeServer(row("i-1", valid));
    ASSERT_TRUE(server);
    EXPECT_EQ(server->rack, "r1");
    EXPECT_EQ(server->machine, "m");
    for (const auto* malformed : { "\xff", "[]", R"({"service":1})",
             R"({"service":"s","addr":"nowhere","zone":"z","state":"ready","capacity":{},"labels":[]})",
             R"({"service":"s","addr":"10.0.0.1:80","zone":"z","state":"asleep","capacity":{},"labels":[]})" })
        EXPECT_FALSE(formats.decodeServer(row("i-1", malformed))) << malformed;
}

// Guards against a number that is converted out of the range of its type, which gives other values on other processors,
// and against one that makes sums overflow.
TEST(Wire, numbersOutOfRangeAreNotDecoded)
{
    const auto formats = makeFormats();
    for (const auto* number : { "1e300", "-1e300", "9223372036854775808", "18446744073709551615", "1e19", "\"5\"" }) {
        const auto born = fmt::format(R"({{"service":"s","addr":"10.0.0.1:80","zone":"z","state":"ready",
            "capacity":{{"cpu":1}},"labels":[],"born":{}}})",
            number);
        EXPECT_FALSE(formats.decodeServer(row("i-1", born))) << number;
        const auto capacity = fmt::format(R"({{"service":"s","addr":"10.0.0.1:80","zone":"z","state":"ready",
            "capacity":{{"cpu":{}}},"labels":[]}})",
            number);
        EXPECT_FALSE(formats.decodeServer(row("i-1", capacity))) << number;
        const auto job = fmt::format(R"({{"steps":[{{"estimate_ms":{}}}]}})", number);
        EXPECT_THROW(validateJob(formats.decodeJob(job)), Error) << number;
        const auto wave = fmt::format(R"({{"cohort":{},"machines":[]}})", number);
        EXPECT_FALSE(formats.decodeWave(row("wave/1", wave))) << number;
    }
    for (const auto* address : { "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:0", "10.0.0.1:99999999999999999999" }) {
        const auto text = fmt::format(R"({{"service":"s","addr":"{}","zone":"z","state":"ready","capacity":{{}},
            "labels":[]}})",
            address);
        EXPECT_FALSE(formats.decodeServer(row("i-1", text))) << address;
    }
    EXPECT_FALSE(formats.decodeServer(row("i-1", R"({"service":"s","addr":"10.0.0.1:80","zone":"z","state":"ready",
        "capacity":{"cpu":-5},"labels":[]})")));
}

// Guards against one message of a caller, or one row, that exhausts the stack of the process.
TEST(Wire, deeplyNestedTextIsNotDecoded)
{
    const auto formats = makeFormats();
    constexpr std::size_t depth = 120'000;
    const auto nested = std::string(depth, '[') + std::string(depth, ']');
    EXPECT_THROW(formats.decodeJob(R"({"steps":[)" + nested + "]}"), Error);
    EXPECT_FALSE(formats.decodeConfig(row("config", R"({"version":1,"routes":)" + nested + "}")));
    EXPECT_FALSE(formats.decodeServer(row("i-1", R"({"service":)" + nested + "}")));
    EXPECT_TRUE(
        parseBody(R"({"text":"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[\\\"[["})"));
}

// Guards against a row or a body that ends the process: valid texts with random changes, and random bytes.
RC_GTEST_PROP(Wire, alteredTextsAreDecodedOrRefused, ())
{
    static const std::vector<std::string> valid {
        R"({"service":"s","addr":"10.0.0.1:80","zone":"z","state":"ready","capacity":{"cpu":1,"mem_mb":2},
            "labels":["a","r1"],"host_id":"m","born":5})",
        R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/","service":"s"}],"services":[{"name":"s"}],
            "tenants":[{"name":"t","api_keys":["k"],"weight":4,"cap":{"cpu":10}}],"limits":{"max_body_bytes":99}})",
        R"({"cohort":1,"machines":["m"],"complete_by_s":20,"cap":2})",
        R"({"spec":"x","times":2,"first_ms":1000,"interval_ms":500,"steps":[{"count":4,"cpu":500,"estimate_ms":900},
            {"count":2,"after":[0],"target_ms":40}]})",
    };
    static const std::vector<std::string> pieces { "1e300", "-1", "18446744073709551615", "null", "[]", "{}", "\"",
        "\\", "[[[[[[[[", "\xff", "", "0.5", "true", "{\"a\":", ",", ":" };
    auto text = *rc::gen::elementOf(valid);
    const auto changes = *rc::gen::inRange(1, 6);
    for (int change = 0; change < changes; ++change) {
        const auto place = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
        const auto length = *rc::gen::inRange<std::size_t>(0, 8);
        const auto piece = *rc::gen::oneOf(rc::gen::elementOf(pieces), rc::gen::arbitrary<std::string>());
        text.replace(place, std::min(length, text.size() - place), piece);
    }
    const auto formats = makeFormats();
    formats.decodeServer(row("i-1", text));
    formats.decodeConfig(row("config", text));
    formats.decodeWave(row("wave/1", text));
    formats.decodeEvacuation(row("evacuate/z", text));
    try {
        const auto job = formats.decodeJob(text);
        validateJob(job);
        RC_ASSERT(fromJson<JobSpec>(toJson(job)).steps.size() == job.steps.size());
    } catch (const Error& error) {
        RC_ASSERT(error.kind() == ErrorKind::Invalid);
    }
}

} // namespace waxwinglug::wire
