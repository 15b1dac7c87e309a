// Distributes capacity limits over the entry VMs, so that starting work needs neither a message nor a store access.
//
// A resource is a team's limit or the slots of a pool in one data centre. The row `allotment/<resource>` records the
// units of each node incarnation. A node starts work only while it runs fewer requests than it has units. Every write
// is conditional on the row version, and only the holder lowers its own units, so the units of all holders together
// stay within the limit whatever messages or answers are lost.
//
// Nodes also lend units directly: the donor lowers its own count first and then sends the cumulative total that it has
// lent to that borrower. The receiver keeps the maximum, so lost, duplicated and reordered messages neither create nor
// lose units. Either side reconciles the loans of both directions in the row. Only units that the row grants may be
// lent on, except to return a loan to its donor; a chain of unreconciled loans could otherwise give a holder a negative
// number of units in the row.
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

// Asks a peer for units. A request with a higher serial replaces earlier ones.
struct UnitRequest {
    std::string resource;
    NodeId from;
    std::uint64_t serial = 0;
    int wantedUnits = 0;
    int heldUnits = 0; // by the sender
    bool urgent = false; // work of the sender waits for a unit

    bool operator==(const UnitRequest&) const = default;
};

// A loan of units from the donor, or the receipt that the borrower sends back. The total is cumulative since the start
// of the donor.
struct UnitLoan {
    std::string resource;
    NodeId donor;
    NodeId borrower;
    std::uint64_t lentTotal = 0;
    bool isReceipt = false;

    bool operator==(const UnitLoan&) const = default;
};

void to_json(Json& json, const UnitRequest& message); // NOLINT(readability-identifier-naming)
void from_json(const Json& json, UnitRequest& message); // NOLINT(readability-identifier-naming)
void to_json(Json& json, const UnitLoan& message); // NOLINT(readability-identifier-naming)
void from_json(const Json& json, UnitLoan& message); // NOLINT(readability-identifier-naming)

struct AllotmentHolder {
    NodeId node;
    int units = 0;
    // The VM list reports the incarnation as gone. Never reset.
    bool gone = false;
    // Loans that are included in `units`: cumulative total by donor.
    std::map<NodeId, std::uint64_t> reconciledLoans;
    // Gone incarnations whose loans this holder has reconciled and from which it accepts no further loans.
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
    // Fraction of the units in use above which the node requests more.
    double requestThreshold = 0.75;
    Duration refreshInterval { std::chrono::seconds(1) }; // between reads of the rows
    Duration retryDelay { std::chrono::seconds(1) }; // after a failed table access
    Duration resendInterval { std::chrono::milliseconds(200) }; // of requests and unacknowledged loans
    // Units that are idle for this long are returned to the row. Longer than the dips between two demand peaks.
    Duration idleReturnDelay { std::chrono::seconds(5) };
    // Upper bound on how long work of a gone incarnation may still run.
    Duration maxRunTime { std::chrono::seconds(30) };
};

struct AllotmentHooks {
    // Returns whether the VM list reports this incarnation as gone, so that it never starts work again.
    std::function<bool(const NodeId&)> isGone;
    std::function<void(const NodeId& to, const UnitRequest&)> sendRequest;
    std::function<void(const NodeId& to, const UnitLoan&)> sendLoan;
};

class Allotments {
public:
    Allotments(NodeId self, const AllotmentSettings& settings, Clock clock, Table table, AllotmentHooks hooks);
    Allotments(const Allotments&) = delete;
    Allotments& operator=(const Allotments&) = delete;

    /// Adds a resource or changes its limit. On all nodes, the limit with the highest version takes effect.
    void setLimit(std::string_view resource, int limit, std::uint64_t version);
    /// Sets the number of requests that wait for a unit.
    void setWaiting(std::string_view resource, int waitingCount);

    /// Returns whether acquire() would succeed. Does not allocate memory.
    bool holdsFreeUnit(std::string_view resource) const;
    /// Takes a unit to start work; returns false if none is free. Does not allocate memory.
    bool acquire(std::string_view resource);
    /// Frees a unit once the backend server has confirmed that the work has ended.
    void release(std::string_view resource);

    /// Sends due messages and reads and writes the rows. To be called about every 50 ms.
    void tick();
    /// Handle messages from peers.
    void onRequest(const UnitRequest& request);
    void onLoan(const UnitLoan& loan);

    /// Starts returning all units and allows no further starts. hasLeft() becomes true once nothing runs and the row no
    /// longer lists this node.
    void leave();
    bool hasLeft() const;

    /// Units that this node holds, including borrowed ones and without lent ones; 0 for an unknown resource.
    int heldUnits(std::string_view resource) const;
    /// Units that are in use by running work.
    int runningCount(std::string_view resource) const;
    /// Number of row writes sent since the start.
    std::uint64_t commits() const { return this->commitCount; }

private:
    // Cumulative totals of loans to and from one peer, since the start of the donor.
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
        bool isStale = true; // the row may have changed since it was read
        bool isCommitting = false;
        bool isRegistered = false;
        // The row listed this incarnation earlier and no longer does, or marks it as gone. The node starts no more
        // work.
        bool hasEnded = false;
        int runningCount = 0;
        int waitingCount = 0;
        std::map<NodeId, PeerLoans> peerLoans;
        // Gone incarnations that are confirmed or about to be: no loans are accepted from or made to them.
        std::set<NodeId> refusedPeers;
        // When this node first read that the row marks an incarnation as gone.
        std::map<NodeId, TimePoint> goneSince;
        // Units that a write of unknown outcome has lowered. Of several writes conditional on the same version at most
        // one is applied.
        int unitsLoweredInFlight = 0;
        int unitsLoweredUnconfirmed = 0;
        // A write conditional on this version got no answer and may still be applied.
        bool hasUndecidedWrite = false;
        std::uint64_t serial = 0;
        std::map<NodeId, std::uint64_t> lastSerial;
        TimePoint lastBusyAt; // last time that no unit was idle
        TimePoint lastMessagesAt;
        // Units reserved, as they become free, for a node that has less than its even share.
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
    // Expires with this object; table callbacks that arrive later do nothing.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace waxwinglug
