// Checked settings of the daemons, read from one INI file per program.
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
    // Shared by all entry VMs; key of the hash over peer messages.
    std::string secret;
    std::uint64_t headerLimitBytes = 0; // bytes
    std::uint64_t bodyLimitBytes = 0; // bytes
    int maxConnections = 0;
    // How long a shutdown waits for requests in flight.
    Duration shutdownGrace { 0 };
    Isolation isolation = Isolation::Serve;
};

struct MaintainSettings {
    std::string name;
    std::string dataCentre;
    Endpoint operators;
    Endpoint platform;
    // How long the lease row is valid without renewal.
    Duration leaseDuration { 0 };
    // Time between two steps of planning and draining.
    Duration stepInterval { 0 };
    // How long a drain waits for entry VMs that have not confirmed the journal.
    Duration confirmTimeout { 0 };
    // Least time between two moves of the same VM between pools.
    Duration minMoveInterval { 0 };
    // How long a VM that has come back gets a reduced rate before the next one is drained in its place.
    Duration slowStart { 0 };
};

// Settings of the scheduler on one entry VM. The platform renders them from a template.
struct FleetNodeSettings {
    std::string name;
    std::string dataCentre;
    Endpoint callers;
    Endpoint health;
    Endpoint operators;
    Endpoint store;
    Endpoint machines;
    // Processor that this VM has, in thousandths of a core; larger VMs take the lead first.
    int processorMillicores = 0;
    // How long a stopping process may take.
    Duration shutdownGrace { 0 };
    // Longest lease that backend servers grant.
    Duration maxServerLease { 0 };
    // How long the state of an ended job can be asked for.
    Duration endedJobRetention { 0 };
    // Least time between orders of two different entry VMs for one machine.
    Duration minOrderInterval { 0 };
    // Time that a maintenance takes a machine away.
    Duration maintenanceDuration { 0 };
};

// One line of the table that `--help` prints.
struct SettingInfo {
    std::string_view section;
    std::string_view key;
    // Empty: the setting is required.
    std::string_view defaultValue;
    // Form and range in words, for example "duration, 1s to 1h".
    std::string_view form;
    std::string_view text;
    // The value is not repeated in messages.
    bool secret = false;
};

// All that is wrong with a settings file; the message holds one line per problem. Kind: Invalid.
class SettingsError : public Error {
public:
    explicit SettingsError(std::vector<Problem> found);

    const std::vector<Problem>& problems() const { return this->found; }

private:
    std::vector<Problem> found;
};

// All throw SettingsError with every problem found.
EntrySettings parseEntrySettings(std::string_view text, std::string_view file);
MaintainSettings parseMaintainSettings(std::string_view text, std::string_view file);
FleetNodeSettings parseFleetNodeSettings(std::string_view text, std::string_view file);

// The settings of each program, in the order of the help text.
std::vector<SettingInfo> entrySettingTable();
std::vector<SettingInfo> maintainSettingTable();
std::vector<SettingInfo> fleetNodeSettingTable();

// The table as text, one setting per line, grouped by section.
std::string describeSettings(std::span<const SettingInfo> table);

} // namespace waxwinglug
