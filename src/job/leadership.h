// Decides which entry VM has the lead of the scheduler. No I/O: the rows come in as calls, transactions go out as
// values.
//
// Two rows of the store carry the lead. The lead row names its holder and a fence that rises with each holder; every
// transaction of the lead is conditional on its version, so the store refuses a former lead. The beat row changes while
// the lead works. A VM that hears the store but sees no new beat for a while takes the lead; that is safe at any
// moment, because backend servers refuse the orders of a lower fence.
#pragma once

#include <waxwinglug/fleet-platform.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace waxwinglug {

struct LeadershipTimings {
    // Time between two beats; each costs one write.
    Duration beat { 400 };
    // A beat this old means that the lead is gone. Four beats, so that a lost answer or a slow store does not matter.
    Duration silence { 1600 };
    // What a lead has for its first beat after the store was away; it tries to write several times a second then.
    Duration firstBeat { 900 };
    // The lead starts nothing when its last confirmed transaction began longer ago than this; shorter than `silence`,
    // so that a lead that was paused has stopped before another one begins.
    Duration validity { 1300 };
    // While the store fails, the lead goes on for this long: nobody can take the lead from a store that is down, and if
    // it only turns this VM away, backend servers refuse the orders once another lead has reached them.
    Duration withoutStore { 5000 };
    // A VM waits this much longer, times the share of processor that it lacks against the last lead, so that a VM that
    // can carry the work takes the lead first. Several times the interval at which VMs look whether to take it.
    Duration smallVmDelay { 400 };
    // After a lead of this length nothing that an earlier one has ordered is still in force: it goes on for 5 s without
    // the store, and its leases for 4 s more. The clocks of two VMs may be seconds apart.
    Duration longLead { 12'000 };
    // How long a lead has worked before a larger VM takes over from it; long enough to have loaded everything.
    Duration settling { 2000 };
    // Pause after an attempt to take the lead that failed, at most twice this. All VMs try, and a slow store that is
    // asked too often refuses everyone.
    Duration retry { 250 };
    // Random part, so that VMs of one size do not all try at once.
    Duration spread { 80 };
};

class Leadership {
public:
    static constexpr const char* table = "lead";
    // The part that all rows of the scheduler share, because one transaction cannot span parts.
    static constexpr const char* part = "scheduler";

    // `processor` is what the VM has, in thousandths of a core.
    Leadership(LeadershipTimings times, Clock clock, std::string node, int processor, Random& random);

    // Rows of the table, as a whole or as changes.
    void observe(std::span<const StoredRow> rows);
    // The store answered; without this a silent store would look like a silent lead.
    void storeAnswered();
    // A call to the store failed.
    void storeCallFailed() { this->silent = true; }

    bool isLeader() const { return this->leading; }
    // Number of the lead that is known to be the latest.
    std::uint64_t fence() const { return this->knownFence; }
    const std::string& leaderName() const { return this->knownHolder; }

    bool shouldAcquire() const;
    RowTransaction acquire();
    void acquireAnswered(const TransactionResult& result);

    // The lead before this one has stopped for certain, and it had led long enough for the leases of earlier ones to
    // end.
    bool hasPredecessorStopped() const { return this->afterStopped; }
    // It was an earlier life of this VM, and had led so long.
    bool wasPredecessorSelf() const { return this->afterSelf; }

    // Part of every transaction of the lead.
    RowCondition leaderCondition() const;
    bool isHeartbeatDue() const;
    RowValue heartbeat(bool released);
    // A transaction of the lead that began at this moment was committed.
    void commitConfirmed(TimePoint sentAt);
    // A transaction of the lead was refused by a failing store, or not answered.
    void commitFailed() { this->failedAt = this->clock.now(); }
    // The latest transaction of the lead was committed.
    bool lastCommitSucceeded() const { return this->failedAt <= this->confirmedAt; }
    // True while tasks may be started: no other VM can have taken the lead, or backend servers would tell.
    bool isValid() const;
    // True while running work is still kept alive.
    bool canRenewLeases() const;
    void stepDown();
    // Leaves the lead to others for a while, because this node reaches too few backend servers.
    void pauseCandidacy(Duration time) { this->retryAt = this->clock.now() + time; }

private:
    Duration delay() const;
    bool isMuchLarger() const;

    const LeadershipTimings times;
    const Clock clock;
    const std::string node;
    const int processor;
    const Duration randomDelay;
    Random& random;
    bool leading = false;
    bool taking = false;
    bool seenTable = false;
    std::uint64_t leadVersion = 0;
    std::uint64_t knownFence = 0;
    std::string knownHolder;
    int knownProcessor = 0; // of the holder; 0: unknown
    WallTime knownSince {}; // when the holder took the lead, by its clock
    bool afterStopped = false;
    bool afterSelf = false;
    TimePoint leadSeenAt; // when the holder was first seen
    std::string attempt; // nonce of the last attempt to take the lead
    std::string finishedAttempt; // an attempt that led and has ended
    std::uint64_t beats = 0;
    bool silent = false; // the latest call that was heard of failed
    bool released = false;
    bool endedWithOwnLife = false; // the lead was held by an earlier life of this VM
    TimePoint beatSeenAt;
    TimePoint heardAt;
    TimePoint confirmedAt;
    TimePoint failedAt;
    TimePoint beatSentAt;
    TimePoint retryAt;
};

} // namespace waxwinglug
