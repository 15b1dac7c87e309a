// Validation across the sections of a document: references, shares, availability budgets and unique values.
#pragma once

#include <waxwinglug/config.h>

#include <functional>
#include <string>
#include <string_view>

namespace waxwinglug::detail {

// Reports a problem at the line of a key in a section, or at the section header when the section does not contain the
// key.
using ReportProblem = std::function<void(std::string_view section, std::string_view key, std::string_view value,
    std::string_view description, std::string_view remedy)>;

// Reports every problem found.
void checkDocument(const Config& config, const ReportProblem& report);

} // namespace waxwinglug::detail
