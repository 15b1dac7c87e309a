// Metrics and log lines that show how old this VM's copies of tables are.
#pragma once

#include <waxwinglug/base.h>
#include <waxwinglug/log-field.h>
#include <waxwinglug/metrics.h>

#include <optional>
#include <span>
#include <string_view>

namespace waxwinglug::io {

struct TableAge {
    std::string_view table;
    std::string_view gauge; // name of the metric
    std::optional<Duration> age; // nothing: this VM has no copy, which is not reported
};

void reportTableAges(std::span<const TableAge> ages, Metrics& metrics, const LogHook& log);

} // namespace waxwinglug::io
