// The configuration document that operators write: services, pools, VMs, teams, waves and the civil clock. It is
// validated and applied as a whole.
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

// How requests with an Idempotency-Key are handled while the table is unavailable.
enum class ClaimsWhenDown {
    Refuse, // the request is refused with the outcome "not run"
    HomeOnly, // duplicates are detected only if they reach the same entry VM
};

// A queue of requests and its limits.
struct Service {
    std::string name;
    WorkClass workClass = WorkClass::Interactive;
    // Requests are accepted without a team key.
    bool allowsAnonymous = false;
    // Deadline of requests that specify none.
    Duration deadline { std::chrono::seconds(2) };
    // A request counts as failed when its backend server has not answered after this time.
    Duration maxRunTime { std::chrono::seconds(30) };
    std::uint64_t bodyLimitBytes = std::uint64_t { 1024 } * 1024;
    int queueLimit = 1000; // waiting requests per entry VM
    ClaimsWhenDown claimsWhenDown = ClaimsWhenDown::Refuse;

    bool operator==(const Service&) const = default;
};

// VMs that serve one service and share an availability budget.
struct Pool {
    std::string name;
    std::string service;
    // Minimum fraction of the pool's VMs that must serve at any time, 0 to 1.
    double minAvailable = 0.8;
    // Maximum number of racks in which VMs of this pool may be down at the same time.
    int maxRacksDown = 1;
    // Minimum number of VMs that moves to other pools leave in this pool.
    int minVms = 1;
    // The spare pool: other pools take VMs from it first.
    bool isSpare = false;

    bool operator==(const Pool&) const = default;
};

// A backend server and the VM it runs on.
struct Vm {
    std::string name;
    // Initial pool; once the row `vm/<name>` exists, that row names the current pool.
    std::string pool;
    std::string dataCentre;
    std::string rack;
    Endpoint address;
    int slots = 8; // maximum number of concurrent requests
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
    double sharePercent = 0; // guaranteed share of the fleet under full load
    int limit = 1; // maximum number of concurrent requests, fleet-wide
    std::vector<std::string> services;
    std::vector<TeamKey> keys;

    bool operator==(const Team&) const = default;
};

// A daily maintenance window in local time. If the end is before the start, the window ends on the next day.
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
    // The wave is paused after this many VM failures within `failureWindow`.
    int pauseAfterFailures = 3;
    Duration failureWindow { std::chrono::minutes(10) };

    bool operator==(const Wave&) const = default;
};

struct OffsetChange {
    WallTime at;
    std::chrono::minutes offset { 0 }; // local time minus UTC

    bool operator==(const OffsetChange&) const = default;
};

// UTC offsets of the local clock: the initial offset, and later changes in ascending order of time.
struct ClockRules {
    std::chrono::minutes offset { 0 };
    std::vector<OffsetChange> changes;

    bool operator==(const ClockRules&) const = default;
};

// Weights of the four cost measures that pool sizing and wave planning trade off.
struct Weights {
    double bufferCost = 1;
    double rollOutTime = 1;
    double moves = 1;
    double shareError = 1;

    bool operator==(const Weights&) const = default;
};

template <typename T> using ByName = std::map<std::string, T, std::less<>>;

// A parsed document. Immutable after parsing, so threads share it without a lock.
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

// Every problem found in a document; the message has one line per problem.
class ConfigError : public Error {
public:
    explicit ConfigError(std::vector<Problem> problems);

    const std::vector<Problem>& problems() const { return this->problemList; }

private:
    std::vector<Problem> problemList;
};

// Parses and validates a document; `file` is used in messages. Throws ConfigError with every problem found.
Config parseConfig(std::string_view text, std::string_view file);

// One difference between two documents. An empty key denotes the section header.
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

// Returns the differences between two documents, sorted by section and key. Comments and order are ignored. Throws
// ConfigError when a text is not INI syntax.
std::vector<ConfigChange> diffConfig(std::string_view before, std::string_view after);

// Returns the document without comments, with sections, keys and repeated values sorted. Documents with the same
// meaning have the same canonical text. Throws Error (Invalid) when the text is not INI syntax.
std::string canonicalConfig(std::string_view text);

// Applies the changes that diffConfig() returned and returns the canonical text of the result. Throws Error (Invalid)
// when a change does not fit the document.
std::string applyChanges(std::string_view before, const std::vector<ConfigChange>& changes);

} // namespace waxwinglug
