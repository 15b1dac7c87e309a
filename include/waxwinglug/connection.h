// Pooling of connections to backend servers, and selection of the backend server for a request.
//
// Both classes do no I/O and no locking: BackendSelector is used by the control thread, a ConnectionTracker by the
// strand of its client. One BackendSelector serves one service in one data centre.
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

/// Number of a connection, ascending in order of creation.
using ConnectionId = std::uint64_t;

struct ConnectionOptions {
    // A non-idempotent request uses a pooled connection only if the last answer on it is not older than this.
    Duration maxProofAge { std::chrono::seconds(3) };
    // Idle connections are closed after this time.
    Duration idleTimeout { std::chrono::seconds(50) };
};

struct ConnectionGrant {
    enum class Kind {
        Reuse, // send on the pooled connection `id`
        Open, // open a new connection, known as `id`
        Limit, // the connection limit of the server is reached
    };
    Kind kind = Kind::Limit;
    ConnectionId id = 0;
};

/// Tracks the connections to each server and decides which pooled connection a request may use.
class ConnectionTracker {
public:
    /// `close` requests the closing of a connection; it may call markClosed() synchronously. A connection counts
    /// towards the limit until markClosed() is called.
    ConnectionTracker(ConnectionOptions options, Clock clock, std::function<void(ConnectionId)> close);

    /// Sets the maximum number of connections to the server, including those that are being closed.
    void setLimit(ServerIndex server, int connections);
    /// Grants a connection for one use, identified by a number that is never reused. Later events name connection and
    /// use; events of another use are ignored, so an answer cannot reach the wrong request.
    ConnectionGrant acquire(ServerIndex server, bool idempotent, std::uint64_t use);
    /// The complete answer to this use arrived. Returns false if it is late and must be discarded. With `keepAlive`,
    /// the connection returns to the pool.
    bool markAnswered(ConnectionId id, std::uint64_t use, bool keepAlive);
    /// Closes the connection because the answer timed out or is no longer needed. `timedOut`: the server did not answer
    /// in time, which also makes older connections suspect.
    void abandon(ConnectionId id, std::uint64_t use, bool timedOut);
    /// The connection has been closed.
    void markClosed(ConnectionId id);
    /// Closes connections that have been idle for longer than the idle timeout.
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
        // Is closed when its current use ends.
        bool isRetired = false;
    };
    struct Server {
        int limit = 0;
        std::vector<Connection> connections; // in ascending order of id
        // Connections, in ascending order, that timed out while no newer connection was known to work.
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
    // Maximum fraction of a pool's servers that may be ejected at the same time.
    double maxEjectedFraction = 0.3;
    // Failure score at which a server is ejected. Each request that failed on the server and succeeded on another one
    // adds 1.
    double ejectionScore = 4;
    // Amount by which an answer lowers the failure score, so that rare failures do not add up. With 0.25, a server that
    // fails less than a fifth of its requests is rarely ejected. Resetting the score after ten consecutive answers
    // instead ejected servers at a failure rate of 2%.
    double scoreDecayPerAnswer = 0.25;
    // Consecutive failures at which a server is ejected, if the pool has answered at least as many requests meanwhile.
    // Detects servers that fail non-idempotent requests, which are not retried on other servers.
    int consecutiveFailures = 5;
    Duration initialProbeInterval { std::chrono::seconds(1) };
    Duration maxProbeInterval { std::chrono::seconds(60) };
    Duration slowStartTime { std::chrono::seconds(10) };
    // Fraction of the slots in use at the beginning of the slow start.
    double slowStartFraction = 0.1;
    // Maximum delay of the VM list: for this time it can still report a leaving server as `Live`.
    Duration maxListLag { std::chrono::seconds(30) };
};

struct SelectRequest {
    // Servers that the request has already tried.
    std::span<const ServerIndex> exclude;
    // A server in another rack than this one is preferred.
    std::optional<ServerIndex> avoidRackOf;
};

/// Selects backend servers and tracks their state.
class BackendSelector {
public:
    BackendSelector(SelectorOptions options, Clock clock);

    /// Replaces the set of servers. Known VMs keep their index and state; VMs missing from the set are reported as
    /// Gone.
    void setBackends(std::span<const BackendSpec> specs);
    /// Applies the platform's VM list, which can be out of date by up to `maxListLag`.
    void applyVmList(std::span<const VmStatus> list);
    /// Sets whether a maintenance order in the VM's row cordons the server. A cordoned server gets no new work.
    void setCordoned(std::string_view vm, bool cordoned);
    /// Records direct evidence that the server is leaving: a refused connection, a draining answer or a report of a
    /// peer. Incarnation 0 is the known one; evidence about an earlier incarnation is ignored.
    void markLeaving(std::string_view vm, std::uint64_t incarnation);

    /// Selects a server and occupies one of its slots. Returns nothing if no server can take the request. Does not
    /// allocate.
    std::optional<ServerIndex> select(const SelectRequest& request, Random& random);
    /// Frees the slot and records the result.
    void release(ServerIndex server, AttemptResult result);
    /// Raises the failure score of the servers on which a request failed before it succeeded on another one.
    void recordSuccessElsewhere(std::span<const ServerIndex> failedOn, ServerIndex succeededOn);

    /// Replaces `due` by the servers to probe now. A server is reported once until recordProbe() is called.
    void collectDueProbes(std::vector<ServerIndex>& due);
    void recordProbe(ServerIndex server, bool answers);
    /// Ends slow starts whose time has passed. Must be called about once a second.
    void tick();

    /// Returns Gone for a server that is not configured.
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
    /// Sum of the free slots of all servers that take work.
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
        int usableIndex = -1; // index in `usable`; -1: takes no work
        int activeCount = 0;
        TimePoint stateSince; // start of the slow start or of the ejection
        // Time of the last direct evidence that the server is leaving, not yet confirmed by the VM list.
        std::optional<TimePoint> leavingEvidenceAt;
        double failureScore = 0;
        int consecutiveFailures = 0;
        std::uint64_t poolAnswersBeforeFailures = 0; // answers of the pool before the first of the consecutive failures
        Duration probeInterval { 0 };
        std::optional<TimePoint> nextProbe; // empty: no probe is scheduled
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
    // Applies a change that can affect the membership in the pool, and updates `usable` and the counts of the pool.
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
