// Reports the ages of copies of tables.
#include "io/process/table-ages.h"

namespace waxwinglug::io {
namespace {

    // A follow call without changes takes 0.5 s, and the next one begins after it; older copies are logged.
    constexpr Duration maxUsualTableAge { 1500 };

} // namespace

void reportTableAges(std::span<const TableAge> ages, Metrics& metrics, const LogHook& log)
{
    for (const auto& [table, gauge, age] : ages) {
        if (!age)
            continue;
        metrics.setGauge(
            gauge, "Age of this VM's copy of a table, in milliseconds.", static_cast<double>(age->count()));
        if (*age > maxUsualTableAge)
            log("copy of a table is old", { { "table", table }, { "age_ms", age->count() } });
    }
}

} // namespace waxwinglug::io
