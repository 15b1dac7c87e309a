// Leader election of the scheduler among the entry VMs. No I/O: rows come in as calls, transactions go out as values.
//
// Two rows of the store hold the leadership. The leader row names the leader and a fence that rises with each term;
// every transaction of the leader is conditional on the version of this row, so the store refuses a former leader. The
// leader rewrites the heartbeat row at a fixed interval. A VM that reaches the store but sees no new heartbeat for the
// heartbeat timeout acquires leadership. That is safe at any moment, because backend servers refuse orders with a lower
// fence.
#pragma once

#include <waxwinglug/fleet-platform.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace waxwinglug {

struct LeadershipTimings {
    // Time between two heartbeats; each costs one write.
    Duration heartbeatInterval { 400 };
    // The leader is regarded as gone when its latest heartbeat is this old. Four intervals, so that a lost answer or a
    // slow store does not end a term.
    Duration heartbeatTimeout { 1600 };
    // Time that a leader has for its first heartbeat after an outage of the store; it then tries to write several times
    // a second.
    Duration firstHeartbeatGrace { 900 };
    // The leader starts nothing when its last confirmed transaction began longer ago than this. Shorter than
    // `heartbeatTimeout`, so that a leader whose process was paused has stopped before the next one begins.
    Duration commitValidity { 1300 };
    // While commits fail, the leader continues for this long. Nobody can acquire leadership while the store is down. If
    // the store refuses only this VM, backend servers refuse its orders once another leader has reached them.
    Duration storeOutageLimit { 5000 };
    // The same delay for the first leader of all. VMs start up to 0.3 s apart, and nothing runs yet that a longer wait
    // would delay.
    Duration firstTermSmallVmDelay { 550 };
    // Additional delay of a VM, multiplied by the share of processor that it lacks against the latest leader, so that a
    // VM with enough processor acquires leadership first. Several times the interval at which VMs check whether to
    // acquire it.
    Duration smallVmDelay { 400 };
    // A leader offers its leadership to other VMs when its latest confirmed transaction began this long ago and at
    // least this many later ones failed in a row.
    Duration offerDelay { 500 };
    int minFailuresToOffer = 3;
    // After a term of this length no order of an earlier leader is still in force: an earlier leader continues for 5 s
    // without the store, and its leases for 4 s more. The clocks of two VMs may be seconds apart.
    Duration earlierOrdersExpiry { 12'000 };
    // How long a leader has led before a larger VM takes over from it; long enough to have loaded all rows.
    Duration minTermBeforeTakeover { 2000 };
    // Pause after a failed attempt to acquire leadership; a random part of up to the same length is added. All VMs try,
    // and a slow store with too many requests refuses all of them.
    Duration retryDelay { 250 };
    // Upper bound of the random delay that keeps VMs of one size from trying at the same time.
    Duration maxJitter { 80 };
};

class Leadership {
public:
    static constexpr const char* table = "lead";
    // The part that all rows of the scheduler share, because one transaction cannot span parts.
    static constexpr const char* part = "scheduler";

    // `processorMillicores` is the processor of this VM, in thousandths of a core.
    Leadership(LeadershipTimings timings, Clock clock, std::string node, int processorMillicores, Random& random);

    // Rows of the table, either all of them or changes.
    void observe(std::span<const StoredRow> rows);
    // The store answered a call. Without this, an unresponsive store would look like an unresponsive leader.
    void storeAnswered();
    // This VM can lead from now on, because it has a configuration.
    void becomeCandidate();
    // A call to the store failed.
    void storeCallFailed() { this->lastStoreCallFailed = true; }

    bool isLeader() const { return this->isLeading; }
    // Fence of the latest known term.
    std::uint64_t fence() const { return this->knownFence; }
    const std::string& leaderName() const { return this->knownLeader; }

    bool shouldAcquire() const;
    // The transaction that acquires leadership; its result goes to acquireAnswered().
    RowTransaction acquire();
    void acquireAnswered(const TransactionResult& result);

    // The previous leader is known to have stopped, and its term was long enough for the leases of earlier leaders to
    // expire.
    bool hasPredecessorStopped() const { return this->predecessorStopped; }
    // The same holds, and the previous leader was an earlier incarnation of this VM.
    bool wasPredecessorSelf() const { return this->predecessorWasSelf; }

    // When the last sign of the previous leader was seen, as of the latest attempt to acquire leadership, and the start
    // of that attempt.
    TimePoint predecessorSeenAt() const { return this->lastPredecessorSeenAt; }
    TimePoint acquireSentAt() const { return this->attemptSentAt; }

    // Condition of every transaction of the leader.
    RowCondition leaderCondition() const;
    bool isHeartbeatDue() const;
    // The next heartbeat. With `release`, other VMs may acquire leadership without waiting for the timeout.
    RowValue heartbeat(bool release);
    // A transaction of the leader that began at this moment was committed.
    void commitConfirmed(TimePoint sentAt);
    // A transaction of the leader failed or was not answered.
    void commitFailed();
    // True while the store has refused several transactions of this leader in a row. Another VM may reach it.
    bool shouldOfferLeadership() const;
    // Returns true if this VM would succeed the leader of this term at once.
    bool acceptsLeadership(std::uint64_t fence) const;
    // The leader of this term has stopped and hands its leadership to this VM. Returns false if that is not the latest
    // term; otherwise shouldAcquire() is true.
    bool takeOver(std::uint64_t fence);
    // The latest transaction of the leader was committed.
    bool lastCommitSucceeded() const { return this->lastCommitFailedAt <= this->lastCommitSentAt; }
    // True while tasks may be started: no other VM can have acquired leadership, or backend servers would refuse the
    // orders of this one.
    bool isValid() const;
    // True while leases of running tasks may be renewed.
    bool canRenewLeases() const;
    void stepDown();
    // Makes no attempt to acquire leadership for this time, because this node reaches too few backend servers.
    void pauseCandidacy(Duration time) { this->nextAttemptAt = this->clock.now() + time; }

private:
    Duration acquireDelay() const;
    bool isMuchLarger() const;

    const LeadershipTimings timings;
    const Clock clock;
    const std::string node;
    const int processorMillicores;
    const Duration randomDelay;
    Random& random;
    bool isLeading = false;
    bool isAcquiring = false;
    bool hasReadTable = false;
    std::uint64_t leaderRowVersion = 0;
    std::uint64_t knownFence = 0;
    std::string knownLeader;
    int leaderMillicores = 0; // processor of the known leader; 0: unknown
    WallTime termStartedAt {}; // when the known leader acquired leadership, by its clock
    bool predecessorStopped = false;
    bool predecessorWasSelf = false;
    TimePoint leaderSeenAt; // when the known leader was first seen
    std::string lastAttempt; // nonce of the last attempt to acquire leadership
    std::string endedAttempt; // nonce of an attempt that succeeded and whose term has ended
    std::uint64_t heartbeatCount = 0;
    bool lastStoreCallFailed = false;
    bool isReleased = false; // the known leader has given up its term
    bool heldByEarlierIncarnation = false; // the known leader is an earlier incarnation of this VM
    TimePoint heartbeatSeenAt;
    TimePoint lastPredecessorSeenAt;
    TimePoint attemptSentAt; // latest attempt to acquire leadership
    TimePoint storeAnsweredAt;
    TimePoint lastCommitSentAt; // start of the last confirmed transaction, or when the own term was found in the table
    TimePoint lastCommitFailedAt;
    int failedCommits = 0; // since the last confirmed one
    bool wasHandedOver = false; // the leader of the known term has stopped and chosen this VM
    TimePoint heartbeatSentAt;
    TimePoint nextAttemptAt;
};

} // namespace waxwinglug
