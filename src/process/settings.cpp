// Settings of the daemons: one table per program holds the name, default, format, help text and parser of each setting.
#include "process/setting-table.h"

#include <fmt/format.h>

#include <utility>

namespace waxwinglug {

using namespace detail;

namespace {

    // Shorter secrets could be found by brute force from one recorded message.
    constexpr std::size_t minSecretLength = 32;
    bool storeSeeds(EntrySettings& settings, std::string_view value)
    {
        std::vector<Endpoint> seeds;
        for (const auto& item : parseList(value)) {
            const auto endpoint = parseEndpoint(item);
            if (!endpoint)
                return false;
            seeds.push_back(*endpoint);
        }
        settings.seeds = std::move(seeds);
        return true;
    }

    bool storeSecret(EntrySettings& settings, std::string_view value)
    {
        settings.secret = value;
        return value.size() >= minSecretLength;
    }

    bool storeConnections(EntrySettings& settings, std::string_view value)
    {
        const auto connections = parseInteger(value, 1, 1'000'000);
        if (connections)
            settings.maxConnections = static_cast<int>(*connections);
        return connections.has_value();
    }

    bool storeIsolation(EntrySettings& settings, std::string_view value)
    {
        if (value != "serve" && value != "stop")
            return false;
        settings.isolation = value == "stop" ? Isolation::Stop : Isolation::Serve;
        return true;
    }

    const std::vector<Setting<EntrySettings>>& entrySettings()
    {
        using S = EntrySettings;
        static const std::vector<Setting<S>> table {
            { { "node", "name", "", nameFormat, "name of this entry VM, unique in the fleet" }, nameInto(&S::name) },
            { { "node", "data-centre", "", nameFormat, "data centre of this entry VM" }, nameInto(&S::dataCentre) },
            { { "listen", "callers", "", endpointFormat, "address for requests of callers" },
                endpointInto(&S::callers) },
            { { "listen", "peers", "", endpointFormat, "address for messages of other entry VMs" },
                endpointInto(&S::peers) },
            { { "listen", "operators", "127.0.0.1:7080", endpointFormat, "address for health, metrics and status" },
                endpointInto(&S::operators) },
            { { "platform", "address", "", endpointFormat, "address of the platform's services" },
                endpointInto(&S::platform) },
            { { "peers", "seeds", "", "comma-separated addresses like 127.0.0.1:7001; empty for a single node",
                  "entry VMs to join through" },
                storeSeeds },
            { { "peers", "secret", "", "at least 32 characters", "shared secret of all entry VMs", true },
                storeSecret },
            { { "limits", "header", "16KiB", "size, 1KiB to 1MiB", "maximum size of a request header" },
                sizeInto(&S::headerLimitBytes, 1ULL << 10, 1ULL << 20) },
            { { "limits", "body", "16MiB", "size, 1KiB to 1GiB", "maximum size of a request body of any service" },
                sizeInto(&S::bodyLimitBytes, 1ULL << 10, 1ULL << 30) },
            { { "limits", "connections", "10000", "whole number, 1 to 1000000",
                  "maximum number of open connections from callers" },
                storeConnections },
            { { "shutdown", "grace", "30s", "duration, 1s to 1h", "maximum wait for requests in flight at shutdown" },
                durationInto(&S::shutdownGrace, seconds(1), hours(1)) },
            { { "config", "isolation", "serve", "serve or stop",
                  "handling of keyed requests while neither platform nor peers can be reached" },
                storeIsolation },
        };
        return table;
    }

    const std::vector<Setting<MaintainSettings>>& maintainSettings()
    {
        using S = MaintainSettings;
        static const std::vector<Setting<S>> table {
            { { "node", "name", "", nameFormat, "name of this VM, unique in the fleet" }, nameInto(&S::name) },
            { { "node", "data-centre", "", nameFormat, "data centre of this VM" }, nameInto(&S::dataCentre) },
            { { "listen", "operators", "127.0.0.1:7081", endpointFormat, "address for health, metrics and status" },
                endpointInto(&S::operators) },
            { { "platform", "address", "", endpointFormat, "address of the platform's services" },
                endpointInto(&S::platform) },
            { { "lease", "duration", "15s", "duration, 3s to 5m", "validity of the lease without renewal" },
                durationInto(&S::leaseDuration, seconds(3), minutes(5)) },
            { { "maintain", "step", "1s", "duration, 100ms to 1m, at most a third of the lease",
                  "interval between two planning steps" },
                durationInto(&S::stepInterval, milliseconds(100), minutes(1)) },
            { { "maintain", "confirm-timeout", "5s", "duration, 1s to 1m", "wait for entry VMs to confirm a drain" },
                durationInto(&S::confirmTimeout, seconds(1), minutes(1)) },
            { { "maintain", "move-interval", "10m", "duration, 1m to 1d",
                  "minimum time between two moves of the same VM" },
                durationInto(&S::minMoveInterval, minutes(1), hours(24)) },
            { { "maintain", "slow-start", "30s", "duration, 1s to 10m", "period of reduced rate for a returned VM" },
                durationInto(&S::slowStart, seconds(1), minutes(10)) },
        };
        return table;
    }

    std::string joinProblems(const std::vector<Problem>& problems)
    {
        std::string text = fmt::format("{} problems in the settings", problems.size());
        for (const auto& problem : problems)
            text.append("\n").append(problem.message());
        return text;
    }

} // namespace

SettingsError::SettingsError(std::vector<Problem> all)
    : Error(ErrorKind::Invalid, joinProblems(all), "correct the file and check it with --check")
    , found(std::move(all))
{
}

EntrySettings parseEntrySettings(std::string_view text, std::string_view file)
{
    Reader<EntrySettings> reader(entrySettings(), file);
    reader.read(text);
    const auto& settings = reader.result;
    // A second listener on the same address could not start.
    const std::pair<std::string, Endpoint> listeners[] = { { "[listen] callers", settings.callers },
        { "[listen] operators", settings.operators }, { "[listen] peers", settings.peers } };
    for (const auto& [first, address] : listeners) {
        for (const auto& [second, other] : listeners) {
            if (first < second && address.port != 0 && address == other) {
                reader.report(reader.lineOf(second), fmt::format("{}:{}", other.host, other.port),
                    fmt::format("{} and {} have the same address", first, second), "use different ports");
            }
        }
    }
    return reader.takeResult();
}

MaintainSettings parseMaintainSettings(std::string_view text, std::string_view file)
{
    Reader<MaintainSettings> reader(maintainSettings(), file);
    reader.read(text);
    // The holder renews once per step, and two lost renewals must not end the lease.
    if (reader.result.stepInterval * 3 > reader.result.leaseDuration) {
        reader.report(reader.lineOf("[maintain] step"), fmt::format("{}ms", reader.result.stepInterval.count()),
            "[maintain] step is longer than a third of [lease] duration", "shorten the step or lengthen the lease");
    }
    return reader.takeResult();
}

std::vector<SettingInfo> entrySettingTable() { return settingInfos(entrySettings()); }

std::vector<SettingInfo> maintainSettingTable() { return settingInfos(maintainSettings()); }

std::string describeSettings(std::span<const SettingInfo> table)
{
    std::string text;
    std::string_view section;
    for (const auto& info : table) {
        if (info.section != section)
            text += fmt::format("[{}]\n", info.section);
        section = info.section;
        const auto defaultText = info.defaultValue.empty() ? "required" : fmt::format("default {}", info.defaultValue);
        text += fmt::format("  {:<16} {} ({}; {})\n", info.key, info.description, info.format, defaultText);
    }
    return text;
}

} // namespace waxwinglug
