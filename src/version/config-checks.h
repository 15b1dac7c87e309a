// Checks of a whole document: references between its sections, shares, budgets and values that must be unique.
#pragma once

#include <waxwinglug/config.h>

#include <functional>
#include <string>
#include <string_view>

namespace waxwinglug::detail {

// Reports a problem at the line of a key of a section, or at its header when the key is not written there.
using ReportProblem = std::function<void(std::string_view section, std::string_view key, std::string_view value,
    std::string_view text, std::string_view remedy)>;

void checkDocument(const Config& config, const ReportProblem& report);

} // namespace waxwinglug::detail
