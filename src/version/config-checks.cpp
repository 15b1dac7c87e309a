// Validation across the sections of a document.
#include "version/config-checks.h"

#include <fmt/format.h>

#include <cmath>
#include <set>

namespace waxwinglug::detail {
namespace {

    // Tolerance for rounding errors in sums and products of decimal fractions.
    constexpr double roundingTolerance = 1e-9;

    template <typename T>
    void checkReference(const ReportProblem& report, std::string_view section, std::string_view key,
        const std::string& name, const ByName<T>& known, std::string_view kind)
    {
        if (!name.empty() && !known.contains(name))
            report(section, key, name, fmt::format("unknown {}", kind), fmt::format("add [{} {}]", kind, name));
    }

    void checkReferences(const Config& config, const ReportProblem& report)
    {
        for (const auto& [name, pool] : config.pools)
            checkReference(report, "pool " + name, "service", pool.service, config.services, "service");
        for (const auto& [name, vm] : config.vms)
            checkReference(report, "vm " + name, "pool", vm.pool, config.pools, "pool");
        for (const auto& [name, team] : config.teams) {
            for (const auto& service : team.services)
                checkReference(report, "team " + name, "services", service, config.services, "service");
        }
        for (const auto& [name, wave] : config.waves) {
            for (const auto& pool : wave.pools)
                checkReference(report, "wave " + name, "pools", pool, config.pools, "pool");
            checkReference(report, "wave " + name, "window", wave.window, config.windows, "window");
        }
    }

    void checkShares(const Config& config, const ReportProblem& report)
    {
        double sum = 0;
        for (const auto& [name, team] : config.teams) {
            const double before = sum;
            sum += team.sharePercent;
            // Reported once, at the team whose share makes the sum exceed 100.
            if (before <= 100 + roundingTolerance && sum > 100 + roundingTolerance) {
                report("team " + name, "share", fmt::format("{}", team.sharePercent),
                    "the shares of all teams add up to more than 100", "lower the shares");
            }
        }
    }

    // A wave must be able to take at least one VM of each of its pools out of service.
    void checkBudgets(const Config& config, const ReportProblem& report)
    {
        std::map<std::string, int, std::less<>> sizes;
        for (const auto& [name, vm] : config.vms)
            ++sizes[vm.pool];
        for (const auto& [waveName, wave] : config.waves) {
            for (const auto& poolName : wave.pools) {
                const auto pool = config.pools.find(poolName);
                const int size = sizes[poolName];
                if (pool == config.pools.end() || size == 0)
                    continue;
                const auto& budget = pool->second;
                if (size - std::ceil(size * budget.minAvailable - roundingTolerance) < 1) {
                    report("pool " + poolName, "min-available", fmt::format("{:g}%", budget.minAvailable * 100),
                        fmt::format("wave {} can take none of the {} VMs out of service", waveName, size),
                        "lower min-available or add VMs to the pool");
                }
                if (budget.maxRacksDown == 0) {
                    report("pool " + poolName, "max-racks-down", "0",
                        fmt::format("wave {} can take no rack out of service", waveName), "set at least 1");
                }
            }
        }
    }

    void checkUnique(const Config& config, const ReportProblem& report)
    {
        std::map<Endpoint, std::string> addresses;
        for (const auto& [name, vm] : config.vms) {
            const auto [known, added] = addresses.emplace(vm.address, name);
            if (!added && vm.address.port != 0) {
                report("vm " + name, "address", fmt::format("{}:{}", vm.address.host, vm.address.port),
                    fmt::format("VM {} has the same address", known->second), "give each VM an address of its own");
            }
        }
        std::map<std::string, std::string, std::less<>> hashes;
        for (const auto& [name, team] : config.teams) {
            std::set<std::string_view> ids;
            for (const auto& key : team.keys) {
                if (!ids.insert(key.id).second)
                    report("team " + name, "key", key.id, "key id used twice in the team", "choose another id");
                const auto [owner, added] = hashes.emplace(key.hash, name);
                if (!added) {
                    report("team " + name, "key", key.id, fmt::format("same key as in team {}", owner->second),
                        "generate a key for each use with 'waxwingctl key add'");
                }
            }
        }
    }

} // namespace

void checkDocument(const Config& config, const ReportProblem& report)
{
    checkReferences(config, report);
    checkShares(config, report);
    checkBudgets(config, report);
    checkUnique(config, report);
}

} // namespace waxwinglug::detail
