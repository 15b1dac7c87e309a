// Connections to backend servers, and which backend server takes a request.
//
// Both classes belong to the control thread and do no I/O. One BackendSelector serves one service in one data centre.
#pragma once

#include <waxwinglug/base.h>
#include <waxwinglug/ini.h>
#include <waxwinglug/platform.h>
#include <waxwinglug/request.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglug {

/// Number of a connection; a later connection has a greater number.
using ConnectionId = std::uint64_t;

struct ConnectionOptions {
    // A non-idempotent request uses a pooled connection only if it answered within this time.
    Duration maxProofAge { std::chrono::seconds(3) };
    // Idle connections are closed after this time.
    Duration idleTimeout { std::chrono::seconds(50) };
};

struct ConnectionGrant {
    enum class Kind {
        Reuse, // send on the pooled connection `id`
        Open, // open a new connection, known as `id`
        Limit, // the server has as many connections as it may have
    };
    Kind kind = Kind::Limit;
    ConnectionId id = 0;
};

/// Decides which pooled connection a request may use.
class ConnectionTracker {
public:
    /// `close` orders the connection to be closed; it may call closed() at once. A connection counts towards the limit
    /// until closed() is called.
    ConnectionTracker(ConnectionOptions options, Clock clock, std::function<void(ConnectionId)> close);

    /// Most connections to the server, including those that are being closed.
    void setLimit(ServerIndex server, int connections);
    /// Grants a connection to one use, a number that the caller never repeats. Every later event names connection and
    /// use; an event of another use is ignored, so an answer never reaches another request.
    ConnectionGrant acquire(ServerIndex server, bool idempotent, std::uint64_t use);
    /// The whole answer to this use arrived. False: it is late and must be discarded. The connection returns to the
    /// pool when `keepAlive` is set.
    bool markAnswered(ConnectionId id, std::uint64_t use, bool keepAlive);
    /// The answer is overdue, or its caller stopped waiting: the connection is closed and never used again. `silent`:
    /// the server has not answered in time, which is evidence against older connections too.
    void abandon(ConnectionId id, std::uint64_t use, bool timedOut);
    /// The connection no longer exists.
    void markClosed(ConnectionId id);
    /// Closes connections that have been idle for too long.
    void closeIdle();
    int connections(ServerIndex server) const;

private:
    enum class State {
        Idle,
        Busy,
        Closing,
    };
    struct Connection {
        ConnectionId id = 0;
        State state = State::Busy;
        std::uint64_t use = 0;
        TimePoint startedAt; // start of the current or last use
        std::optional<TimePoint> answeredAt;
        // Finishes its current use and is closed then.
        bool isRetired = false;
    };
    struct Server {
        int limit = 0;
        std::vector<Connection> connections; // in ascending order of id
        // Connections that went silent while no newer one was known to work.
        std::vector<ConnectionId> timedOut;
    };

    Connection* find(ConnectionId id);
    Server& serverAt(ServerIndex server);
    void retireOlderThan(Server& server, ConnectionId id);
    void closeAll(std::span<const ConnectionId> ids);

    ConnectionOptions options;
    Clock clock;
    std::function<void(ConnectionId)> close;
    std::vector<Server> servers;
    std::map<ConnectionId, ServerIndex> serverByConnection;
    ConnectionId lastId = 0;
};

enum class BackendState {
    Serving,
    SlowStart,
    Draining,
    Ejected,
    Gone,
};

struct BackendSpec {
    std::string vm;
    std::string pool;
    std::string rack;
    Endpoint address;
    int slots = 8;
    int connections = 64;
};

enum class AttemptResult {
    Answered,
    Failed, // broken, overdue, or an answer that counts as the server's fault
    Neutral, // cancelled by the caller, or not run; says nothing about the server
};

struct SelectorOptions {
    // Most of a pool's servers that may be ejected at the same time.
    double maxEjectedFraction = 0.3;
    // Strikes before the server is ejected; a strike is a request that failed here and succeeded elsewhere.
    double ejectionScore = 4;
    // Strikes that an answer takes back, so that rare failures do not add up. With 0.25, a server that fails less than
    // a fifth of its requests is rarely ejected. Clearing the strikes after ten answers in a row instead ejected
    // servers at a failure rate of 2%.
    double scoreDecayPerAnswer = 0.25;
    // Failures in a row, while the pool's other servers answer as many requests, before the server is ejected. Catches
    // servers that fail non-idempotent requests, which are not repeated elsewhere.
    int consecutiveFailures = 5;
    Duration initialProbeInterval { std::chrono::seconds(1) };
    Duration maxProbeInterval { std::chrono::seconds(60) };
    Duration slowStartTime { std::chrono::seconds(10) };
    // Part of the slots in use at the beginning of the slow start.
    double slowStartFraction = 0.1;
    // The VM list can still say `Live` for this time after a server has begun to leave.
    Duration maxListLag { std::chrono::seconds(30) };
};

struct SelectRequest {
    // Servers that the request has tried.
    std::span<const ServerIndex> exclude;
    // A server in another rack than this one is preferred.
    std::optional<ServerIndex> avoidRackOf;
};

/// Picks backend servers and keeps what is known about them.
class BackendSelector {
public:
    BackendSelector(SelectorOptions options, Clock clock);

    /// Replaces the set of servers. Known VMs keep their index and state; a missing one is Gone.
    void setBackends(std::span<const BackendSpec> specs);
    /// Applies the platform's VM list, which lags.
    void applyVmList(std::span<const VmStatus> list);
    /// A maintenance order from the VM's row: no new work while it is held.
    void setCordoned(std::string_view vm, bool cordoned);
    /// Direct evidence that the server leaves: connection refused, a draining answer, or a peer's report. An
    /// incarnation of 0 means the one that is known here; evidence about an earlier one is ignored.
    void markLeaving(std::string_view vm, std::uint64_t incarnation);

    /// Picks a server and takes one of its slots. Nothing: no server can take the request. Allocates nothing.
    std::optional<ServerIndex> select(const SelectRequest& request, Random& random);
    /// Gives the slot back.
    void release(ServerIndex server, AttemptResult result);
    /// A request that failed on some servers succeeded on another one.
    void recordSuccessElsewhere(std::span<const ServerIndex> failedOn, ServerIndex succeededOn);

    /// Servers to probe now, each reported once until probed() is called.
    void collectDueProbes(std::vector<ServerIndex>& due);
    void recordProbe(ServerIndex server, bool answers);
    /// Ends slow starts whose time has passed. Called about once a second.
    void tick();

    /// Gone for a server that is not configured.
    BackendState state(ServerIndex server) const
    {
        const auto& backend = this->backends[server];
        return backend.configured ? backend.state : BackendState::Gone;
    }
    bool takesWork(ServerIndex server) const { return this->backends[server].usableIndex >= 0; }
    int activeRequests(ServerIndex server) const { return this->backends[server].activeCount; }
    const BackendSpec& spec(ServerIndex server) const { return this->backends[server].spec; }
    std::optional<ServerIndex> find(std::string_view vm) const;
    std::size_t size() const { return this->backends.size(); }
    /// Free slots of all servers that take work.
    int freeSlots() const;

private:
    struct Backend {
        BackendSpec spec;
        int pool = 0;
        int rack = 0;
        BackendState state = BackendState::Serving;
        bool configured = true;
        bool cordoned = false;
        std::uint64_t incarnation = 0; // 0: not yet known
        int usableIndex = -1; // in `usable`; -1: takes no work
        int activeCount = 0;
        TimePoint stateSince; // start of the slow start or of the ejection
        // Direct evidence, without confirmation by the VM list.
        std::optional<TimePoint> leavingEvidenceAt;
        double failureScore = 0;
        int consecutiveFailures = 0;
        std::uint64_t poolAnswersBeforeFailures = 0; // answers of the pool before the first failure in a row
        Duration probeInterval { 0 };
        std::optional<TimePoint> nextProbe; // nothing: no probe, or one is running
        bool probeRunning = false;
    };
    struct PoolCount {
        std::string name;
        int members = 0; // Serving, SlowStart and Ejected
        int ejected = 0;
        std::uint64_t answers = 0;
    };

    static bool countsAsMember(const Backend& backend);
    void setState(Backend& backend, BackendState state);
    // Changes what decides about membership, and keeps `usable` and the pool's counts in step.
    void updateMembership(Backend& backend, const std::function<void()>& apply);
    void updateUsable(ServerIndex server);
    void enforceEjectionLimit(int pool);
    bool canEject(int pool) const;
    void eject(ServerIndex server);
    void applyStatus(Backend& backend, const VmStatus& status);
    int capacity(const Backend& backend, TimePoint now) const;
    double load(const Backend& backend, TimePoint now) const;
    bool isEligible(ServerIndex server, const SelectRequest& request, TimePoint now) const;
    std::optional<ServerIndex> pickRandom(const SelectRequest& request, TimePoint now, Random& random) const;
    std::optional<ServerIndex> pickByScan(const SelectRequest& request, TimePoint now, Random& random) const;
    int poolIndex(std::string_view name);
    int rackIndex(std::string_view name);

    SelectorOptions options;
    Clock clock;
    std::vector<Backend> backends;
    std::map<std::string, ServerIndex, std::less<>> byName;
    std::vector<ServerIndex> usable; // servers that take work
    std::vector<PoolCount> pools;
    std::map<std::string, int, std::less<>> racks;
};

} // namespace waxwinglug
