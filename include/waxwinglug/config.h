// The operators' document: services, pools, VMs, teams, waves and the civil clock, checked and applied as a whole.
#pragma once

#include <waxwinglug/base.h>
#include <waxwinglug/error.h>
#include <waxwinglug/ini.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglug {

enum class WorkClass {
    Interactive,
    Background,
};

// What a request with an Idempotency-Key gets while the table is down.
enum class ClaimsWhenDown {
    Refuse, // "not run"
    HomeOnly, // protected only against repeats at the same entry VM
};

// A queue of work and how it is answered.
struct Service {
    std::string name;
    WorkClass workClass = WorkClass::Interactive;
    // Work is accepted without a key.
    bool allowsAnonymous = false;
    // Deadline of a request that names none.
    Duration deadline { std::chrono::seconds(2) };
    // A backend server that has not answered after this time has failed.
    Duration maxRunTime { std::chrono::seconds(30) };
    std::uint64_t bodyLimitBytes = std::uint64_t { 1024 } * 1024; // bytes
    int queueLimit = 1000; // waiting requests per entry VM
    ClaimsWhenDown claimsWhenDown = ClaimsWhenDown::Refuse;

    bool operator==(const Service&) const = default;
};

// VMs that serve one service and share an availability budget.
struct Pool {
    std::string name;
    std::string service;
    // Least fraction of the pool's VMs that serve, at all times.
    double minAvailable = 0.8;
    // Racks that may have VMs of this pool down at the same time.
    int maxRacksDown = 1;
    // Least number of VMs that pool moves leave here.
    int minVms = 1;
    // Other pools take VMs from here first.
    bool isSpare = false;

    bool operator==(const Pool&) const = default;
};

// A backend server and the VM it runs on.
struct Vm {
    std::string name;
    // Pool of the first start; afterwards the row `vm/<name>` decides.
    std::string pool;
    std::string dataCentre;
    std::string rack;
    Endpoint address;
    int slots = 8; // requests that run at the same time
    int maxConnections = 64;
    int accelerators = 0;

    bool operator==(const Vm&) const = default;
};

struct TeamKey {
    std::string id;
    // Hash of the key in lower-case hexadecimal digits.
    std::string hash;

    bool operator==(const TeamKey&) const = default;
};

struct Team {
    std::string name;
    double sharePercent = 0; // percent of the fleet when it is full
    int limit = 1; // most requests that run at the same time, fleet-wide
    std::vector<std::string> services;
    std::vector<TeamKey> keys;

    bool operator==(const Team&) const = default;
};

// A daily window in local time. An end before the start lies on the next day.
struct Window {
    std::string name;
    std::chrono::minutes start { 0 }; // since local midnight
    std::chrono::minutes end { 0 };

    bool operator==(const Window&) const = default;
};

struct Wave {
    std::string name;
    std::vector<std::string> pools;
    std::string window;
    // Failures of VMs of this wave within `failureWindow` that pause it.
    int pauseAfterFailures = 3;
    Duration failureWindow { std::chrono::minutes(10) };

    bool operator==(const Wave&) const = default;
};

struct OffsetChange {
    WallTime at;
    std::chrono::minutes offset { 0 }; // local time minus UTC

    bool operator==(const OffsetChange&) const = default;
};

// The local clock: an offset, and changes of it in ascending order of time.
struct ClockRules {
    std::chrono::minutes offset { 0 };
    std::vector<OffsetChange> changes;

    bool operator==(const ClockRules&) const = default;
};

// Weights of the four measures, used by pool sizing and wave planning.
struct Weights {
    double bufferCost = 1;
    double rollOutTime = 1;
    double moves = 1;
    double shareError = 1;

    bool operator==(const Weights&) const = default;
};

template <typename T> using ByName = std::map<std::string, T, std::less<>>;

// One accepted document. Never changed once it is parsed, so threads share it without a lock.
struct Config {
    std::uint64_t version = 0;
    std::string name;
    ByName<Service> services;
    ByName<Pool> pools;
    ByName<Vm> vms;
    ByName<Team> teams;
    ByName<Window> windows;
    ByName<Wave> waves;
    ClockRules clock;
    Weights weights;

    bool operator==(const Config&) const = default;
};

// All that is wrong with a document; the message holds one line per problem.
class ConfigError : public Error {
public:
    explicit ConfigError(std::vector<Problem> found);

    const std::vector<Problem>& problems() const { return this->found; }

private:
    std::vector<Problem> found;
};

// Parses and checks a document. Throws ConfigError with every problem found.
Config parseConfig(std::string_view text, std::string_view file);

// One difference between two documents. An empty key stands for the section itself.
struct ConfigChange {
    enum class Kind {
        Added,
        Removed,
        Changed,
    };
    Kind kind = Kind::Changed;
    std::string section; // for example "team north"
    std::string key;
    std::string before;
    std::string after;

    bool operator==(const ConfigChange&) const = default;
};

// Lists the differences of two documents in text form, section by section. Comments and order do not count.
std::vector<ConfigChange> diffConfig(std::string_view before, std::string_view after);

// The document with sections, keys and repeated values sorted and without comments. Two documents with the same
// meaning have the same canonical text. Throws Error (Invalid) when the text is not INI syntax.
std::string canonicalConfig(std::string_view text);

// Applies what diffConfig() listed and returns the canonical text of the result. Throws Error (Invalid) when a change
// does not fit the document.
std::string applyChanges(std::string_view before, const std::vector<ConfigChange>& changes);

} // namespace waxwinglug
