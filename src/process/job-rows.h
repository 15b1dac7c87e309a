// The rows of background jobs.
#pragma once

#include <waxwinglug/jobs.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglug::detail {

struct BatchRow {
    NodeId owner; // empty name: handed back
    std::string nonce; // of the last write
    std::vector<Job> jobs;
};

std::string encodeBatch(const BatchRow& row);
// Nothing when the text has another form; such a row is left alone.
std::optional<BatchRow> decodeBatch(std::string_view text);

} // namespace waxwinglug::detail
