// Admission control and scheduling of the requests of one service in one data centre.
//
// RequestScheduler combines admission control, fair queueing over teams, priority between the two work classes and the
// slots of this entry VM. It runs nothing itself: grantNext() grants a slot, and its user reports the start and the end
// of the request. Only requests that hold no grant are refused, so a refused request has not run. After warm-up nothing
// is allocated: memory grows only with the peak number of waiting and running requests, with setTeams() and with the
// first usage report of each peer.
#pragma once

#include <waxwinglug/base.h>
#include <waxwinglug/config.h>
#include <waxwinglug/fair-queue.h>
#include <waxwinglug/json.h>

#include <boost/intrusive/list.hpp>

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglug {

struct TeamShare {
    std::string name;
    double share = 0; // percent
};

// Slot time that a team has used on one node since the node started, per work class. The values are cumulative, so
// lost, duplicated or reordered reports cause no error.
struct TeamUsage {
    std::string team;
    std::uint64_t interactive = 0; // slot milliseconds
    std::uint64_t background = 0;

    bool operator==(const TeamUsage&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TeamUsage, team, interactive, background)

// Identifies a submitted request; 0 is no request. Tickets are not reused, so a late report about a finished request is
// ignored.
using Ticket = std::uint64_t;

enum class AdmissionRefusal {
    None,
    UnknownTeam, // not among the teams of the configuration
    QueueFull, // 429
    DeadlineUnreachable, // 503: the predicted wait exceeds the time left
    DeadlinePassed, // 504
};

struct Submission {
    std::string_view team;
    WorkClass workClass = WorkClass::Interactive;
    // An interactive request that has not started by then is refused. For background work it is the time by which the
    // work should be done; it raises the priority and never causes a refusal.
    TimePoint deadline = TimePoint::max();
    // Run time that the caller declares; the estimate until run times of the team have been observed.
    Duration declaredRunTime { 0 };
};

struct Admission {
    AdmissionRefusal refusal = AdmissionRefusal::None;
    Ticket ticket = 0;
    // Expected time until the request starts. With a refusal: hint how long to wait before trying again.
    Duration predictedWait { 0 };
};

enum class CancelResult {
    NotRun, // it was waiting and has been removed
    Running, // it may have run; its slot is freed by markFinished()
    Unknown, // no such ticket
};

struct RequestSchedulerSettings {
    int slots = 8; // see setSlots()
    // Slots of the service on all nodes; 0: only those of this node. Scales how much usage on other nodes counts.
    int fleetSlots = 0;
    // Maximum number of waiting requests per work class. When it is reached, teams below their share of the queue are
    // still admitted, up to twice this number.
    int queueLimit = 1000;
    Duration maxRunTime { std::chrono::seconds(30) };
    // Fraction of the slot time for background work while interactive work waits.
    double backgroundFraction = 0.1;
    // Upper limit of this fraction as a due time approaches.
    double maxBackgroundFraction = 0.5;
    // Fraction of the slots that background work may occupy. The others are free or run short interactive requests, so
    // that a burst of interactive work gets slots soon. 1 for a service without interactive work.
    double maxBackgroundSlotFraction = 0.75;
    // Time for which earlier usage counts against a team.
    Duration usageHorizon { std::chrono::seconds(10) };
    Duration rampTime { std::chrono::hours(2) };
};

/// Settings derived from the service's section of the configuration.
RequestSchedulerSettings requestSchedulerSettings(const Service& service);

class RequestScheduler {
public:
    // Returns whether this node holds a free unit of the upper limit of the team. Called for waiting teams only.
    using UnitHook = std::function<bool(std::string_view team)>;
    // Receives the requests that expire() refused.
    using ExpiredHook = std::function<void(Ticket)>;

    RequestScheduler(const RequestSchedulerSettings& settings, UnitHook hasFreeUnit);
    ~RequestScheduler();
    RequestScheduler(const RequestScheduler&) = delete;
    RequestScheduler& operator=(const RequestScheduler&) = delete;

    /// Replaces the teams. Waiting requests of removed teams stay queued until they are granted or expire.
    void setTeams(std::span<const TeamShare> shares);
    /// Sets the number of slots that this entry VM may use. Requests that already run beyond it are not interrupted.
    void setSlots(int slots);

    Admission submit(const Submission& submission, TimePoint now);
    CancelResult cancel(Ticket ticket, TimePoint now);
    /// Grants a slot to the next request and returns its ticket; 0 if no request may start.
    Ticket grantNext(TimePoint now);
    /// Reports that the first byte was sent to the backend server. The run time is measured from here.
    void markStarted(Ticket ticket, TimePoint now);
    /// Frees the slot of a granted request. Called when the backend server has confirmed the end or is known to have
    /// failed, or when the grant was not used; in the last case the charge is refunded. A late or repeated report is
    /// ignored.
    void markFinished(Ticket ticket, TimePoint now);
    /// Refuses interactive requests whose deadline has passed. Must be called before grantNext(), and at least
    /// every 16 s, the period of the timing wheel.
    void expire(TimePoint now, const ExpiredHook& refused);

    /// Expected waiting time of a request that is submitted now; Duration::max() for an unknown team.
    Duration predictedWait(std::string_view team, WorkClass workClass, TimePoint now) const;

    /// Appends the usage on this node up to now to `into`, for the next heartbeat.
    void appendUsage(TimePoint now, std::vector<TeamUsage>& into) const;
    /// Charges the usage that another node reports. The first report of an incarnation only sets the baseline.
    void applyPeerUsage(const NodeId& node, std::span<const TeamUsage> reported);
    /// Discards the usage record of a node that is gone.
    void removePeer(std::string_view node);

    int freeSlots() const { return this->slotCount - this->occupiedCount; }
    int occupiedSlots() const { return this->occupiedCount; }
    std::size_t waitingCount() const;
    std::size_t waitingCount(std::string_view team) const;
    std::uint64_t stepCount() const;

private:
    enum class State {
        Free,
        Waiting,
        Granted,
        Running,
    };
    struct DeadlineTag;
    using DeadlineHook = boost::intrusive::list_base_hook<boost::intrusive::tag<DeadlineTag>,
        boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
    struct Entry : FairItem, DeadlineHook {
        State state = State::Free;
        WorkClass workClass = WorkClass::Interactive;
        bool cancelled = false;
        // Change of `backgroundDebt` per slot millisecond of this request.
        double debtFactor = 0;
        std::uint32_t index = 0;
        std::uint32_t generation = 1;
        TimePoint deadline;
        TimePoint start;
    };
    using Deadlines = boost::intrusive::list<Entry, boost::intrusive::base_hook<DeadlineHook>,
        boost::intrusive::constant_time_size<false>>;
    // Usage and run times of a team, per class.
    struct TeamClass {
        int runningCount = 0; // started and not finished
        int occupiedSlots = 0; // granted and not finished
        std::int64_t startTimeSumMs = 0; // sum of the start times of the running requests
        std::uint64_t finishedSlotMs = 0; // slot milliseconds of finished requests
        double meanRunMs = 0; // ms; 0: no run observed
    };
    struct Team {
        std::string name;
        bool isConfigured = false;
        std::array<TeamClass, 2> classes;
    };
    struct PeerCount {
        std::uint64_t usedSlotMs[2] = {};
        bool hasReport = false;
    };
    struct Peer {
        std::uint64_t incarnation = 0;
        std::vector<PeerCount> teams;
    };

    std::optional<TeamIndex> find(std::string_view team) const;
    Entry* entry(Ticket ticket);
    bool isEntryPoolFull() const { return this->freeEntries.empty() && this->entries.size() >= this->maxEntries; }
    void addEntries();
    Entry& allocateEntry();
    Ticket ticket(const Entry& entry) const;
    FairQueue& queue(WorkClass workClass) { return this->queues[static_cast<std::size_t>(workClass)]; }
    const FairQueue& queue(WorkClass workClass) const { return this->queues[static_cast<std::size_t>(workClass)]; }
    TeamClass& teamCounts(const Entry& entry);
    Duration estimate(TeamIndex team, WorkClass workClass, Duration declaredRunTime) const;
    Duration predictWait(TeamIndex team, WorkClass workClass, Duration runEstimate, TimePoint now) const;
    double currentBackgroundFraction(TimePoint now) const;
    bool queueFull(TeamIndex team, WorkClass workClass) const;
    void chargeBackgroundDebt(Entry& entry, double backgroundFraction, bool contended);
    void addBackgroundDebt(double slotMilliseconds);
    Entry* pickEntry(WorkClass workClass, TimePoint now);
    void freeEntry(Entry& entry);

    RequestSchedulerSettings settings;
    UnitHook hasFreeUnit;
    std::function<bool(TeamIndex)> mayStart;
    std::map<std::string, TeamIndex, std::less<>> teamByName;
    std::vector<Team> teams;
    double weightSum = 0;
    std::array<FairQueue, 2> queues;
    // Object pool, reused through `freeEntries`. Grows on demand up to `maxEntries`, because reserving all entries took
    // 399 MB on an entry VM with 342 services.
    std::deque<Entry> entries;
    std::size_t maxEntries = 0;
    std::vector<std::uint32_t> freeEntries;
    // Timing wheel of the waiting interactive requests by deadline.
    std::vector<Deadlines> deadlineWheel;
    std::int64_t lastWheelStep = 0;
    std::uint64_t sequence = 0;
    int slotCount = 0;
    int occupiedCount = 0;
    int backgroundOccupied = 0;
    // Slot milliseconds by which background work is behind its fraction; negative: ahead. Bounded in both directions by
    // `usageHorizon`.
    double backgroundDebt = 0;
    std::array<double, 2> meanRunMs {}; // ms over all teams; 0: no run observed
    std::map<std::string, Peer, std::less<>> peers;
};

} // namespace waxwinglug
