// The metrics and log lines about the ages of copies of tables.
#include "io/process/table-ages.h"

#include <gtest/gtest.h>

#include <array>

namespace waxwinglug::io {

// Guards against an old copy that nothing shows, and against the age of a copy that this VM does not have.
TEST(TableAges, everyAgeIsAMetricAndOldCopiesAreLogged)
{
    Metrics metrics;
    std::string logged;
    const std::array<TableAge, 3> ages { { { "lead", "lead_age_ms", Duration(700) },
        { "job", "job_age_ms", Duration(2600) }, { "server", "server_age_ms", std::nullopt } } };
    reportTableAges(ages, metrics, [&logged](std::string_view, std::initializer_list<LogField> fields) {
        for (const auto& field : fields)
            logged += field.value + " ";
    });
    EXPECT_EQ(logged, "job 2600 ");
    const auto text = metrics.exposition();
    EXPECT_NE(text.find("waxwing_lead_age_ms 700"), std::string::npos);
    EXPECT_NE(text.find("waxwing_job_age_ms 2600"), std::string::npos);
    EXPECT_EQ(text.find("server_age_ms"), std::string::npos);
}

} // namespace waxwinglug::io
