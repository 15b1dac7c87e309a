// Maintenance commands of waxwingctl: controls waves and lists VMs by phase.
#pragma once

#include <waxwinglug/base.h>
#include <waxwinglug/config.h>
#include <waxwinglug/platform.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglug::io {

// Blocking table calls. `read` and `scan` throw Error (Unavailable) if the table does not answer. `commit` returns the
// status Unavailable if nothing was written, and Unknown if the answer was lost.
struct BlockingTable {
    std::function<std::vector<Row>(std::vector<std::string> keys)> read;
    std::function<std::vector<Row>(std::string prefix)> scan;
    std::function<CommitResult(std::vector<RowWrite> writes)> commit;
};

bool isWaveAction(std::string_view action);

// Runs `wave start|status|resume|cancel NAME` and returns the text for the operator. Throws Error.
std::string runWaveCommand(
    const BlockingTable& table, const Config& config, std::string_view action, const std::string& name, WallTime now);

// Returns a text with the VMs of the document by pool and phase. Pools and phases are those in the VM rows, if present.
std::string describePools(const BlockingTable& table, const Config& config);

} // namespace waxwinglug::io
