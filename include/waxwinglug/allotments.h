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
    int wantedUnits = 0;
    int heldUnits = 0; // by the sender
    bool urgent = false; // the sender has work that waits for a unit

    bool operator==(const UnitRequest&) const = default;
};

// Units lent, or with a receipt: units known to be lent. The total counts from the start of the donor.
struct UnitLoan {
    std::string resource;
    NodeId donor;
    NodeId borrower;
    std::uint64_t lentTotal = 0;
    bool isReceipt = false; // sent back by the borrower

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
    std::map<NodeId, std::uint64_t> reconciledLoans;
    // Gone incarnations with which this holder has settled and from which it accepts no more.
    std::set<NodeId> confirmedGone;

    bool operator==(const AllotmentHolder&) const = default;
};

struct AllotmentRow {
    int limit = 0;
    std::uint64_t limitVersion = 0;
    std::vector<AllotmentHolder> holders;

    const AllotmentHolder* find(const NodeId& node) const;
    AllotmentHolder* find(const NodeId& node);
    int totalUnits() const;
    bool operator==(const AllotmentRow&) const = default;
};

void to_json(Json& json, const AllotmentRow& row); // NOLINT(readability-identifier-naming)
void from_json(const Json& json, AllotmentRow& row); // NOLINT(readability-identifier-naming)

struct AllotmentSettings {
    // Units are requested when more than this part of them is in use.
    double requestThreshold = 0.75;
    Duration refreshInterval { std::chrono::seconds(1) }; // between reads of the rows
    Duration retryDelay { std::chrono::seconds(1) }; // after the table did not answer
    Duration resendInterval { std::chrono::milliseconds(200) }; // of loans without a receipt, and of requests
    // Units that stayed idle this long go back to the row. Longer than the dips between two peaks.
    Duration idleReturnDelay { std::chrono::seconds(5) };
    // After this time nothing runs any more that a gone incarnation started.
    Duration maxRunTime { std::chrono::seconds(30) };
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
    void setWaiting(std::string_view resource, int waitingCount);

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
    bool hasLeft() const;

    int heldUnits(std::string_view resource) const;
    int runningCount(std::string_view resource) const;
    /// Writes sent since the start.
    std::uint64_t commits() const { return this->commitCount; }

private:
    // Totals since the start of either node.
    struct PeerLoans {
        std::uint64_t lentUnits = 0;
        std::uint64_t acknowledgedUnits = 0;
        std::uint64_t receivedUnits = 0;
    };
    struct Resource {
        std::string name;
        int limit = 0;
        std::uint64_t limitVersion = 0;
        AllotmentRow row;
        std::uint64_t version = 0;
        bool isRowRead = false;
        bool isStale = true; // the row has changed or may have
        bool isCommitting = false;
        bool isRegistered = false;
        // The row named this incarnation once and no longer does, or says it is gone. It starts nothing any more.
        bool hasEnded = false;
        int runningCount = 0;
        int waitingCount = 0;
        std::map<NodeId, PeerLoans> peerLoans;
        // Gone incarnations that are or will be confirmed: nothing is accepted from or lent to them.
        std::set<NodeId> refusedPeers;
        // When this node first saw that an incarnation is marked as gone.
        std::map<NodeId, TimePoint> goneSince;
        // Own units lowered by a write whose outcome is not known yet. Of several writes on the same version at most
        // one is applied.
        int unitsLoweredInFlight = 0;
        int unitsLoweredUnconfirmed = 0;
        // A write on this version had no answer and may still be applied.
        bool hasUndecidedWrite = false;
        std::uint64_t serial = 0;
        std::map<NodeId, std::uint64_t> lastSerial;
        TimePoint lastBusyAt; // last time without idle units
        TimePoint lastMessagesAt;
        // Units promised to a node below its even part, as they become free.
        int owedUnits = 0;
        NodeId owedNode;
        TimePoint owedUntil;
    };

    Resource* find(std::string_view resource);
    const Resource* find(std::string_view resource) const;
    int heldUnits(const Resource& resource) const;
    int usableUnits(const Resource& resource) const;
    int effectiveLimit(const Resource& resource) const;
    int targetUnits(const Resource& resource) const;
    int lendableUnits(const Resource& resource, const NodeId& borrower) const;
    bool isReachable(const Resource& resource, const NodeId& peer) const;

    void lend(Resource& resource, const NodeId& borrower, int units);
    void lendOwedUnits(Resource& resource);
    void sendMessages(Resource& resource);
    void requestUnits(Resource& resource, int wantedUnits);

    void readRows();
    void onRowsRead(const std::optional<std::vector<Row>>& rows);
    void adoptRow(Resource& resource, const Row& row);
    void applyRow(Resource& resource, AllotmentRow row);
    void updateRow(Resource& resource);
    void commit(Resource& resource, AllotmentRow planned, int lowered);
    void onCommitted(
        Resource& resource, const AllotmentRow& planned, std::uint64_t expected, const CommitResult& result);
    void reconcileLoans(Resource& resource, AllotmentRow& planned);
    void confirmGoneNodes(Resource& resource, AllotmentRow& planned);
    void reclaimGoneUnits(Resource& resource, AllotmentRow& planned);
    int changeOwnUnits(Resource& resource, AllotmentRow& planned);
    int surplusUnits(const Resource& resource, const AllotmentRow& planned, int units) const;
    void onTableFailure();

    NodeId self;
    AllotmentSettings settings;
    Clock clock;
    Table table;
    AllotmentHooks hooks;
    std::map<std::string, Resource, std::less<>> resources;
    bool isLeaving = false;
    bool isReading = false;
    TimePoint lastReadAt;
    TimePoint tableRetryAt;
    bool isTableUnavailable = false;
    std::uint64_t commitCount = 0;
    // Handlers that outlive this object do nothing.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace waxwinglug
