// Divides limits between entry VMs, so that a start needs no message and no store.
//
// A resource is the upper limit of a team or the slots of a pool in one data centre. The row `allotment/<resource>`
// says how many units each node incarnation holds. A node starts work only while it runs less than it holds. All writes
// are conditional on the row version, and only the holder lowers its own units, so the sum of what is held stays within
// the limit through any loss of messages or answers.
//
// Units also move directly: the donor lowers itself first and then sends the total it ever lent to that borrower. The
// receiver keeps the maximum, so lost, doubled and reordered messages neither double nor lose units. Either side
// settles in the row what it knows of both directions. Only units that the row grants are lent on, besides returning
// a loan to its donor; otherwise a chain of unsettled loans could leave a holder with less than nothing in the row.
#pragma once

#include <waxwinglug/base.h>
#include <waxwinglug/json.h>
#include <waxwinglug/platform.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglug {

// Asks a peer for units. Later serials replace earlier ones.
struct UnitRequest {
    std::string resource;
    NodeId from;
    std::uint64_t serial = 0;
    int wanted = 0;
    int held = 0; // by the sender
    bool urgent = false; // the sender has work that waits for a unit

    bool operator==(const UnitRequest&) const = default;
};

// Units lent, or with a receipt: units known to be lent. The total counts from the start of the donor.
struct UnitLoan {
    std::string resource;
    NodeId donor;
    NodeId borrower;
    std::uint64_t total = 0;
    bool receipt = false; // sent back by the borrower

    bool operator==(const UnitLoan&) const = default;
};

void to_json(Json& json, const UnitRequest& message); // NOLINT(readability-identifier-naming)
void from_json(const Json& json, UnitRequest& message); // NOLINT(readability-identifier-naming)
void to_json(Json& json, const UnitLoan& message); // NOLINT(readability-identifier-naming)
void from_json(const Json& json, UnitLoan& message); // NOLINT(readability-identifier-naming)

struct AllotmentHolder {
    NodeId node;
    int units = 0;
    // The VM list says that the incarnation is gone. Never taken back.
    bool gone = false;
    // Loans that are part of `units`, as totals by donor.
    std::map<NodeId, std::uint64_t> settled;
    // Gone incarnations with which this holder has settled and from which it accepts no more.
    std::set<NodeId> confirmed;

    bool operator==(const AllotmentHolder&) const = default;
};

struct AllotmentRow {
    int limit = 0;
    std::uint64_t limitVersion = 0;
    std::vector<AllotmentHolder> holders;

    const AllotmentHolder* find(const NodeId& node) const;
    AllotmentHolder* find(const NodeId& node);
    int sum() const;
    bool operator==(const AllotmentRow&) const = default;
};

void to_json(Json& json, const AllotmentRow& row); // NOLINT(readability-identifier-naming)
void from_json(const Json& json, AllotmentRow& row); // NOLINT(readability-identifier-naming)

struct AllotmentSettings {
    // Units are requested when more than this part of them is in use.
    double requestAt = 0.75;
    Duration refresh { std::chrono::seconds(1) }; // between reads of the rows
    Duration retry { std::chrono::seconds(1) }; // after the table did not answer
    Duration repeat { std::chrono::milliseconds(200) }; // of loans without a receipt, and of requests
    // Units that stayed idle this long go back to the row. Longer than the dips between two peaks.
    Duration idleReturn { std::chrono::seconds(5) };
    // After this time nothing runs any more that a gone incarnation started.
    Duration longestRun { std::chrono::seconds(30) };
};

struct AllotmentHooks {
    // The VM list says that this incarnation is gone: it will never start work again.
    std::function<bool(const NodeId&)> isGone;
    std::function<void(const NodeId& to, const UnitRequest&)> sendRequest;
    std::function<void(const NodeId& to, const UnitLoan&)> sendLoan;
};

class Allotments {
public:
    Allotments(NodeId self, const AllotmentSettings& settings, Clock clock, Table table, AllotmentHooks hooks);
    Allotments(const Allotments&) = delete;
    Allotments& operator=(const Allotments&) = delete;

    /// Adds a resource or changes its limit. The limit with the greatest version counts, on all nodes.
    void setLimit(std::string_view resource, int limit, std::uint64_t version);
    /// Requests that wait for a unit.
    void setWaiting(std::string_view resource, int waiting);

    /// Whether a start is allowed now. Allocates nothing.
    bool holdsFreeUnit(std::string_view resource) const;
    /// Takes a unit for a start; false: none is free. Allocates nothing.
    bool acquire(std::string_view resource);
    /// The work has ended, confirmed by the backend server.
    void release(std::string_view resource);

    /// Call it about every 50 ms.
    void tick();
    void onRequest(const UnitRequest& request);
    void onLoan(const UnitLoan& loan);

    /// Begins to hand all units back. Nothing starts any more; left() becomes true once nothing runs and the row no
    /// longer names this node.
    void leave();
    bool left() const;

    int held(std::string_view resource) const;
    int running(std::string_view resource) const;
    /// Writes sent since the start.
    std::uint64_t commits() const { return this->commitCount; }

private:
    // Totals since the start of either node.
    struct Pair {
        std::uint64_t lent = 0;
        std::uint64_t confirmedLent = 0;
        std::uint64_t received = 0;
    };
    struct Resource {
        std::string name;
        int limit = 0;
        std::uint64_t limitVersion = 0;
        AllotmentRow row;
        std::uint64_t version = 0;
        bool known = false;
        bool stale = true; // the row has changed or may have
        bool committing = false;
        bool registered = false;
        // The row named this incarnation once and no longer does, or says it is gone. It starts nothing any more.
        bool ended = false;
        int running = 0;
        int waiting = 0;
        std::map<NodeId, Pair> pairs;
        // Gone incarnations that are or will be confirmed: nothing is accepted from or lent to them.
        std::set<NodeId> refused;
        // When this node first saw that an incarnation is marked as gone.
        std::map<NodeId, TimePoint> goneSince;
        // Own units lowered by a write whose outcome is not known yet. Of several writes on the same version at most
        // one is applied.
        int loweredInFlight = 0;
        int loweredUnknown = 0;
        // A write on this version had no answer and may still be applied.
        bool undecided = false;
        std::uint64_t serial = 0;
        std::map<NodeId, std::uint64_t> lastSerial;
        TimePoint busySince; // last time without idle units
        TimePoint lastMessages;
        // Units promised to a node below its even part, as they become free.
        int owed = 0;
        NodeId owedTo;
        TimePoint owedUntil;
    };

    Resource* find(std::string_view resource);
    const Resource* find(std::string_view resource) const;
    int held(const Resource& resource) const;
    int usable(const Resource& resource) const;
    int effectiveLimit(const Resource& resource) const;
    int target(const Resource& resource) const;
    int lendable(const Resource& resource, const NodeId& borrower) const;
    bool reachable(const Resource& resource, const NodeId& peer) const;

    void lend(Resource& resource, const NodeId& borrower, int units);
    void payOwed(Resource& resource);
    void sendMessages(Resource& resource);
    void requestUnits(Resource& resource, int wanted);

    void read();
    void readResult(const std::optional<std::vector<Row>>& rows);
    void adopt(Resource& resource, const Row& row);
    void apply(Resource& resource, AllotmentRow row);
    void advance(Resource& resource);
    void commit(Resource& resource, AllotmentRow planned, int lowered);
    void committed(Resource& resource, const AllotmentRow& planned, std::uint64_t expected, const CommitResult& result);
    void settle(Resource& resource, AllotmentRow& planned);
    void confirmGone(Resource& resource, AllotmentRow& planned);
    void reclaim(Resource& resource, AllotmentRow& planned);
    int changeOwnUnits(Resource& resource, AllotmentRow& planned);
    int surplus(const Resource& resource, const AllotmentRow& planned, int units) const;
    void tableFailed();

    NodeId self;
    AllotmentSettings settings;
    Clock clock;
    Table table;
    AllotmentHooks hooks;
    std::map<std::string, Resource, std::less<>> resources;
    bool leaving = false;
    bool reading = false;
    TimePoint lastRead;
    TimePoint tableRetry;
    bool tableDown = false;
    std::uint64_t commitCount = 0;
    // Handlers that outlive this object do nothing.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace waxwinglug
