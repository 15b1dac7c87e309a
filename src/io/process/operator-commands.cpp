// Maintenance commands of waxwingctl.
#include "io/process/operator-commands.h"

#include <waxwinglug/error.h>
#include <waxwinglug/maintenance.h>
#include <waxwinglug/vm-rows.h>

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace waxwinglug::io {
namespace {

    std::string_view waveStateName(WaveState state)
    {
        constexpr std::string_view names[] = { "running", "paused", "done", "cancelled" };
        return names[static_cast<std::size_t>(state)];
    }

    ByName<VmRow> readVmRows(const BlockingTable& table)
    {
        ByName<VmRow> vmRows;
        for (const auto& row : table.scan(std::string(vmPrefix)))
            vmRows[row.key.substr(vmPrefix.size())] = fromJson<VmRow>(row.value);
        return vmRows;
    }

    // Commits one conditional write. If the answer is lost, the row is read back to determine the result. Throws Error
    // (Conflict) if the row has changed, and Error (Unavailable) if the write is not known to be applied.
    void commitWrite(const BlockingTable& table, const RowWrite& write)
    {
        auto status = table.commit({ write }).status;
        if (status == CommitStatus::Unknown) {
            const auto row = table.read({ write.key }).at(0);
            if (row.version && row.value == write.value)
                status = CommitStatus::Committed;
            else if (row.version != write.expectedVersion)
                status = CommitStatus::Conflict;
        }
        if (status == CommitStatus::Conflict)
            throw Error(ErrorKind::Conflict, "the wave was changed concurrently", "see its status and try again");
        if (status != CommitStatus::Committed)
            throw Error(ErrorKind::Unavailable, "the wave was not changed", "see its status and try again later");
    }

    std::string describeWave(const BlockingTable& table, const Config& config, const Row& row, const Wave& wave)
    {
        if (!row.version)
            return fmt::format("wave {} was never started\n", wave.name);
        const auto state = fromJson<WaveRow>(row.value);
        const auto tag = fmt::format("{}#{}", wave.name, state.run);
        int vmCount = 0;
        int maintainedCount = 0;
        std::string pendingVms;
        const auto rows = readVmRows(table);
        for (const auto& [name, vm] : config.vms) {
            const auto found = rows.find(name);
            const auto& pool = found == rows.end() ? vm.pool : found->second.pool;
            if (std::find(wave.pools.begin(), wave.pools.end(), pool) == wave.pools.end())
                continue;
            ++vmCount;
            const bool isServing = found == rows.end() || found->second.phase == VmPhase::Serving;
            if (!isServing)
                pendingVms += fmt::format("vm {} {}\n", name, phaseName(found->second.phase));
            else if (found != rows.end() && found->second.wave == tag)
                ++maintainedCount;
        }
        return fmt::format("wave {} run {} {}: {} of {} VMs done\n{}{}", wave.name, state.run,
            waveStateName(state.state), maintainedCount, vmCount, state.reason.empty() ? "" : state.reason + "\n",
            pendingVms);
    }

} // namespace

bool isWaveAction(std::string_view action)
{
    return action == "start" || action == "status" || action == "resume" || action == "cancel";
}

std::string runWaveCommand(
    const BlockingTable& table, const Config& config, std::string_view action, const std::string& name, WallTime now)
{
    const auto wave = config.waves.find(name);
    if (wave == config.waves.end())
        throw Error(ErrorKind::Invalid, fmt::format("wave {} is not in the active document", name),
            "add a [wave] section with this name");
    const auto row = table.read({ waveKey(name) }).at(0);
    if (action == "status")
        return describeWave(table, config, row, wave->second);
    if (action == "start")
        commitWrite(table, startWave(row, name, now));
    else
        commitWrite(table, action == "resume" ? resumeWave(row) : cancelWave(row));
    const auto changed = fromJson<WaveRow>(table.read({ waveKey(name) }).at(0).value);
    return fmt::format("wave {} run {} {}\n", name, changed.run, waveStateName(changed.state));
}

std::string describePools(const BlockingTable& table, const Config& config)
{
    const auto rows = readVmRows(table);
    std::map<std::string, std::map<std::string_view, std::vector<std::string>>> pools;
    for (const auto& [name, pool] : config.pools)
        pools[name];
    for (const auto& [name, vm] : config.vms) {
        const auto found = rows.find(name);
        if (found == rows.end())
            pools[vm.pool]["no row"].push_back(name);
        else
            pools[found->second.pool][phaseName(found->second.phase)].push_back(name);
    }
    std::string text;
    for (const auto& [pool, phases] : pools) {
        text += fmt::format("pool {}\n", pool);
        for (const auto& [phase, names] : phases)
            text += fmt::format("  {}: {}\n", phase, fmt::join(names, ", "));
    }
    return text;
}

} // namespace waxwinglug::io
