// Commands of the operators' tool for maintenance: waves and the phases of VMs.
#pragma once

#include <waxwinglug/base.h>
#include <waxwinglug/config.h>
#include <waxwinglug/platform.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglug::io {

// Blocking calls of the table. All throw Error (Unavailable) when it does not answer; `commit` returns Unknown when the
// answer of a write was lost.
struct BlockingTable {
    std::function<std::vector<Row>(std::vector<std::string> keys)> read;
    std::function<std::vector<Row>(std::string prefix)> scan;
    std::function<CommitResult(std::vector<RowWrite> writes)> commit;
};

bool isWaveAction(std::string_view action);

// Runs `wave start|status|resume|cancel NAME` and returns the text for the operator. Throws Error.
std::string runWaveCommand(
    const BlockingTable& table, const Config& config, std::string_view action, const std::string& name, WallTime now);

// The VMs of the document by pool, with their phases as the rows show them.
std::string describePools(const BlockingTable& table, const Config& config);

} // namespace waxwinglug::io
