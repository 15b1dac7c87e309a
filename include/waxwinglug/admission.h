// Decides for one service in one data centre what is accepted, what runs next and what is refused in time.
//
// The Scheduler joins admission, fair queueing over teams, the order of the two classes of work and the slots of this
// entry VM. It starts nothing itself: next() grants a slot, and the caller reports what became of it. Every refusal
// concerns work that was never granted, so "not run" is true. Nothing is allocated after warm-up: memory grows with the
// greatest number of requests in work, with setTeams() and with the first usage report of each peer.
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

// Slot time a team has used on one node since that node started, per class. Cumulative, so lost, doubled and reordered
// reports do no harm.
struct TeamUsage {
    std::string team;
    std::uint64_t interactive = 0; // slot milliseconds
    std::uint64_t background = 0;

    bool operator==(const TeamUsage&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TeamUsage, team, interactive, background)

// Names a submitted request; 0 names none. A ticket is never used again, so a late report about it does no harm.
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
    // Interactive work is refused once this has passed without a start. For background work it is the time by which
    // the work should be done, and it only raises its priority.
    TimePoint deadline = TimePoint::max();
    // Run time the caller expects; used until run times of the team are known.
    Duration declaredRunTime { 0 };
};

struct Admission {
    AdmissionRefusal refusal = AdmissionRefusal::None;
    Ticket ticket = 0;
    // When the request is expected to start, from now. With a refusal: a hint when to try again.
    Duration predictedWait { 0 };
};

enum class CancelResult {
    NotRun, // it was waiting and is gone
    Running, // it may have run; its slot is free once finished() is called
    Unknown, // no such ticket
};

struct RequestSchedulerSettings {
    int slots = 8; // see setSlots()
    // Slots of the service on all nodes; 0: only those here. Sets how much usage elsewhere is remembered.
    int fleetSlots = 0;
    // Waiting requests of each class. Teams below their part of it are still admitted when it is reached, so the
    // memory holds twice as many.
    int queueLimit = 1000;
    Duration maxRunTime { std::chrono::seconds(30) };
    // Part of the slot time that background work gets while interactive work waits.
    double backgroundFraction = 0.1;
    // The part it may rise to as a due time nears.
    double maxBackgroundFraction = 0.5;
    // Part of the slots that background work may occupy, so that a peak of interactive work finds slots that free
    // themselves soon. 1 for a service without interactive work.
    double maxBackgroundSlotFraction = 0.75;
    // How long earlier usage counts against a team.
    Duration usageHorizon { std::chrono::seconds(10) };
    Duration rampTime { std::chrono::hours(2) };
};

/// Settings that follow from the service's section of the document.
RequestSchedulerSettings requestSchedulerSettings(const Service& service);

class RequestScheduler {
public:
    // Tells whether the team holds a free unit of its upper limit. Called for waiting teams only.
    using UnitHook = std::function<bool(std::string_view team)>;
    // Receives the requests that expire() refused.
    using ExpiredHook = std::function<void(Ticket)>;

    RequestScheduler(const RequestSchedulerSettings& settings, UnitHook hasFreeUnit);
    ~RequestScheduler();
    RequestScheduler(const RequestScheduler&) = delete;
    RequestScheduler& operator=(const RequestScheduler&) = delete;

    /// Replaces the teams. Waiting work of removed teams stays until it has run or expired.
    void setTeams(std::span<const TeamShare> shares);
    /// Slots that this entry VM may use now. Running work above it is left alone.
    void setSlots(int slots);

    Admission submit(const Submission& submission, TimePoint now);
    CancelResult cancel(Ticket ticket, TimePoint now);
    /// The next request to start, which holds a slot from now on; 0: nothing may start.
    Ticket grantNext(TimePoint now);
    /// The first byte went to the backend server. Run time is counted from here.
    void markStarted(Ticket ticket, TimePoint now);
    /// The backend server has confirmed the end, or is known to have failed; or the grant was not used, in which case
    /// the charge is refunded. Frees the slot. A late or repeated report is ignored.
    void markFinished(Ticket ticket, TimePoint now);
    /// Refuses interactive requests whose deadline has passed. Call it before next(), and at least every 16 s.
    void expire(TimePoint now, const ExpiredHook& refused);

    /// When a request submitted now is expected to start.
    Duration predictedWait(std::string_view team, WorkClass workClass, TimePoint now) const;

    /// Usage on this node up to now, for the next heartbeat. Appends to `into`.
    void appendUsage(TimePoint now, std::vector<TeamUsage>& into) const;
    /// Usage of another node. The first report of an incarnation only sets the base.
    void applyPeerUsage(const NodeId& node, std::span<const TeamUsage> reported);
    /// Forgets a node that is gone.
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
        // What each slot millisecond of it adds to `backgroundDebt`.
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
        std::int64_t startTimeSumMs = 0; // sum of the start times of what runs, in ms
        std::uint64_t finishedSlotMs = 0; // slot milliseconds of what has finished
        double meanRunMs = 0; // ms; 0: none seen
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
    // Grows up to `mostEntries` with the greatest number of requests in work so far; entries are used again. Reserving
    // all of them cost an entry VM 399 MB at 342 services.
    std::deque<Entry> entries;
    std::size_t maxEntries = 0;
    std::vector<std::uint32_t> freeEntries;
    // Waiting interactive requests by deadline, in a ring of time steps.
    std::vector<Deadlines> deadlineWheel;
    std::int64_t lastWheelStep = 0;
    std::uint64_t sequence = 0;
    int slotCount = 0;
    int occupiedCount = 0;
    int backgroundOccupied = 0;
    // Slot milliseconds that background work is behind its fraction; negative: ahead. Bounded in both directions.
    double backgroundDebt = 0;
    std::array<double, 2> meanRunMs {}; // ms over all teams; 0: none seen
    std::map<std::string, Peer, std::less<>> peers;
};

} // namespace waxwinglug
