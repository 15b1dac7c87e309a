// Rows of background jobs and their encoding.
#pragma once

#include <waxwinglug/jobs.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglug::detail {

struct BatchRow {
    NodeId owner; // an empty name: without owner, to be taken over
    std::string nonce; // identifies the last write
    std::vector<Job> jobs;
};

std::string encodeBatch(const BatchRow& row);
// Returns nothing if the text is malformed; callers skip such a row.
std::optional<BatchRow> decodeBatch(std::string_view text);

} // namespace waxwinglug::detail
