// Selects the entry VMs that relay the leader's orders to backend servers.
//
// Load pattern: a leader on half a core decides several thousand starts a second for more than a thousand servers. An
// HTTP call for each start and each report costs more than the decisions, so other large VMs make these calls; the
// leader exchanges batches with them. Below a certain number of servers the leader calls them itself.
#pragma once

#include <waxwinglug/base.h>
#include <waxwinglug/ini.h>
#include <waxwinglug/json.h>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglug {

// An entry VM as it registers itself in the store.
struct EntryVm {
    std::string name;
    std::string dataCentre;
    Endpoint peers; // address for other entry VMs
    int processorMillicores = 0;

    bool operator==(const EntryVm&) const = default;
};

void to_json(Json& json, const EntryVm& vm); // NOLINT(readability-identifier-naming)
void from_json(const Json& json, EntryVm& vm); // NOLINT(readability-identifier-naming)

struct RelayRules {
    // Servers that the leader calls itself, for each core of its VM. A server with work costs about 10 calls a second
    // of 90 us.
    int directServersPerCore = 800;
    // Servers that a relay serves, for each core of its VM. Relays also answer callers, and a peak may triple the load.
    int relayedServersPerCore = 300;
    std::size_t maxRelays = 24;
    // A relay has at least this percentage of the leader's processor.
    int minProcessorPercent = 50;
    // Time for which a relay that did not answer is not used; doubles with each further failure.
    Duration minFailurePause { 500 };
    Duration maxFailurePause { 8000 };
};

class RelaySelection {
public:
    RelaySelection(RelayRules rules, std::string leader, int leaderMillicores);

    void setVm(EntryVm vm);
    void removeVm(std::string_view name);
    // Selects relays for the largest number of servers so far, so that the relays of a term rarely change.
    void select(std::size_t serverCount);
    std::vector<EntryVm> selected() const;
    // Other VMs that are large enough to lead in place of this one, the largest first.
    std::vector<EntryVm> possibleLeaders() const;
    bool isSelected(const std::string& name) const { return this->relays.contains(name); }

    // The relay has answered, or not answered, a call. A relay is used once it has answered.
    void answered(const std::string& name);
    // Returns false if the failure was already known: several calls to a relay fail for one reason.
    bool failed(const std::string& name, TimePoint now);
    // False while a relay is not called after a failure.
    bool mayCall(const std::string& name, TimePoint now) const;
    // Returns the relay for a server, preferably one in its data centre, or nullptr when the leader calls the server
    // itself. The same relay is returned as long as the relays in use are the same.
    const EntryVm* relayFor(std::string_view server, std::string_view dataCentre) const;

private:
    struct Relay {
        EntryVm vm;
        bool isUsed = false; // the latest call was answered
        Duration pause { 0 };
        TimePoint pausedUntil;
    };

    const RelayRules rules;
    const std::string leader;
    const int leaderMillicores;
    std::map<std::string, EntryVm, std::less<>> vms;
    std::map<std::string, Relay, std::less<>> relays;
    std::size_t maxServerCount = 0;
};

} // namespace waxwinglug
