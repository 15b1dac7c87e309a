// Validated settings of the daemons, read from one INI file per program.
#pragma once

#include <waxwinglug/base.h>
#include <waxwinglug/error.h>
#include <waxwinglug/ini.h>
#include <waxwinglug/rollout.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglug {

struct EntrySettings {
    std::string name;
    std::string dataCentre;
    Endpoint callers;
    Endpoint peers;
    Endpoint operators;
    Endpoint platform;
    std::vector<Endpoint> seeds;
    // Shared by all entry VMs; the key of the peer message hash is derived from it.
    std::string secret;
    std::uint64_t headerLimitBytes = 0;
    std::uint64_t bodyLimitBytes = 0;
    int maxConnections = 0;
    // Maximum wait for requests in flight during a shutdown.
    Duration shutdownGrace { 0 };
    Isolation isolation = Isolation::Serve;
};

struct MaintainSettings {
    std::string name;
    std::string dataCentre;
    Endpoint operators;
    Endpoint platform;
    // Validity of the lease row without renewal.
    Duration leaseDuration { 0 };
    // Interval between two steps of planning and draining.
    Duration stepInterval { 0 };
    // Maximum wait of a drain for entry VMs that have not confirmed the journal.
    Duration confirmTimeout { 0 };
    // Minimum time between two moves of the same VM between pools.
    Duration minMoveInterval { 0 };
    // How long a returned VM receives a reduced rate before the next VM is drained.
    Duration slowStart { 0 };
};

// Settings of the scheduler on one entry VM. The platform renders the file from a template.
struct FleetNodeSettings {
    std::string name;
    std::string dataCentre;
    Endpoint callers;
    Endpoint health;
    Endpoint operators;
    Endpoint store;
    Endpoint machines;
    // CPU capacity of this VM; larger VMs acquire leadership first.
    int processorMillicores = 0;
    // Maximum duration of a shutdown.
    Duration shutdownGrace { 0 };
    // Longest lease that backend servers grant.
    Duration maxServerLease { 0 };
    // How long the state of an ended job can be queried.
    Duration endedJobRetention { 0 };
    // Minimum time between orders of two different entry VMs for the same machine.
    Duration minOrderInterval { 0 };
    // How long a machine is unavailable during maintenance.
    Duration maintenanceDuration { 0 };
    // Time after a confirmed cancellation from which on no task of the job may start.
    Duration cancellationLimit { 0 };
    // Moves and maintenance orders that the platform accepts in a second.
    double machineOrdersPerSecond = 0;
    // Largest value of a row that the platform's store accepts.
    std::uint64_t maxRowBytes = 0;
};

// One setting as listed by `--help`.
struct SettingInfo {
    std::string_view section;
    std::string_view key;
    // Empty: the setting is required.
    std::string_view defaultValue;
    // Format and range as shown to users, for example "duration, 1s to 1h".
    std::string_view format;
    std::string_view description;
    // The value is never shown in messages.
    bool secret = false;
};

// All problems of a settings file; the message holds one line per problem. Kind: Invalid.
class SettingsError : public Error {
public:
    explicit SettingsError(std::vector<Problem> found);

    const std::vector<Problem>& problems() const { return this->found; }

private:
    std::vector<Problem> found;
};

// Each parser throws SettingsError with all problems found.
EntrySettings parseEntrySettings(std::string_view text, std::string_view file);
MaintainSettings parseMaintainSettings(std::string_view text, std::string_view file);
FleetNodeSettings parseFleetNodeSettings(std::string_view text, std::string_view file);

// The settings of each program, in the order of the help text.
std::vector<SettingInfo> entrySettingTable();
std::vector<SettingInfo> maintainSettingTable();
std::vector<SettingInfo> fleetNodeSettingTable();

// Formats the table as text, one setting per line, grouped by section.
std::string describeSettings(std::span<const SettingInfo> table);

} // namespace waxwinglug
