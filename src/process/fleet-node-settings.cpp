// Setting table and parser of the scheduler daemon.
#include "process/setting-table.h"

#include <charconv>

namespace waxwinglug {

using namespace detail;

namespace {

    std::optional<double> parseDecimal(std::string_view text, double minValue, double maxValue)
    {
        double number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc {} || end != text.data() + text.size() || number < minValue || number > maxValue)
            return std::nullopt;
        return number;
    }

    bool storeProcessor(FleetNodeSettings& settings, std::string_view value)
    {
        const auto cores = parseDecimal(value, 0.001, 1024);
        if (cores)
            settings.processorMillicores = static_cast<int>(*cores * 1000);
        return cores.has_value();
    }

    bool storeMachineOrders(FleetNodeSettings& settings, std::string_view value)
    {
        const auto number = parseDecimal(value, 1, 100'000);
        settings.machineOrdersPerSecond = number.value_or(0);
        return number.has_value();
    }

    // Parses durations that the platform states in decimal seconds.
    auto secondsInto(Duration FleetNodeSettings::*member)
    {
        return [member](FleetNodeSettings& settings, std::string_view value) {
            const auto number = parseDecimal(value, 0, 3600);
            if (number)
                settings.*member = Duration(static_cast<std::int64_t>(*number * 1000));
            return number.has_value();
        };
    }

    constexpr std::string_view secondsFormat = "seconds, 0 to 3600, decimals allowed";

    const std::vector<Setting<FleetNodeSettings>>& fleetNodeSettings()
    {
        using S = FleetNodeSettings;
        static const std::vector<Setting<S>> table {
            { { "node", "name", "", nameFormat, "name of this entry VM, unique in the fleet" }, nameInto(&S::name) },
            { { "node", "data-centre", "", nameFormat, "data centre of this entry VM" }, nameInto(&S::dataCentre) },
            { { "node", "processor", "1", "cores, decimals allowed", "CPU capacity of this VM" }, storeProcessor },
            { { "listen", "callers", "", endpointFormat, "address for requests of callers" },
                endpointInto(&S::callers) },
            { { "listen", "health", "", endpointFormat, "address for readiness checks of the load balancer" },
                endpointInto(&S::health) },
            { { "listen", "operators", "127.0.0.1:7082", endpointFormat, "address for health, metrics and status" },
                endpointInto(&S::operators) },
            { { "platform", "store", "", endpointFormat, "address of the platform's row store" },
                endpointInto(&S::store) },
            { { "platform", "machines", "", endpointFormat, "address of the platform's machine list" },
                endpointInto(&S::machines) },
            { { "platform", "machine-orders", "40", "orders a second, 1 to 100000, decimals allowed",
                  "machine orders that the platform accepts" },
                storeMachineOrders },
            { { "platform", "row-limit", "64KiB", "size, 4KiB to 16MiB",
                  "largest value of a row that the store accepts" },
                sizeInto(&S::maxRowBytes, 4ULL << 10, 16ULL << 20) },
            { { "platform", "longest-lease", "10s", "duration, 1s to 1h", "longest lease that backend servers grant" },
                durationInto(&S::maxServerLease, seconds(1), hours(1)) },
            { { "platform", "cancellation-limit", "3s", "duration, 1s to 1m",
                  "time after a confirmed cancellation from which on no task of the job may start" },
                durationInto(&S::cancellationLimit, seconds(1), minutes(1)) },
            { { "platform", "order-lease", "3s", "duration, 0ms to 1m",
                  "minimum time between orders of two VMs for one machine" },
                durationInto(&S::minOrderInterval, milliseconds(0), minutes(1)) },
            { { "platform", "maintenance-seconds", "2", secondsFormat, "duration of the maintenance of a machine" },
                secondsInto(&S::maintenanceDuration) },
            { { "jobs", "keep-seconds", "120", secondsFormat, "how long the state of an ended job can be queried" },
                secondsInto(&S::endedJobRetention) },
            { { "shutdown", "grace", "30s", "duration, 1s to 1h", "maximum wait for requests in flight at shutdown" },
                durationInto(&S::shutdownGrace, seconds(1), hours(1)) },
        };
        return table;
    }

} // namespace

FleetNodeSettings parseFleetNodeSettings(std::string_view text, std::string_view file)
{
    Reader<FleetNodeSettings> reader(fleetNodeSettings(), file);
    reader.read(text);
    return reader.takeResult();
}

std::vector<SettingInfo> fleetNodeSettingTable() { return settingInfos(fleetNodeSettings()); }

} // namespace waxwinglug
