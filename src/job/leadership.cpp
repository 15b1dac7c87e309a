// The leader and heartbeat rows, and when to acquire leadership.
#include "job/leadership.h"

#include <waxwinglug/json.h>

#include <fmt/format.h>

#include <algorithm>

namespace waxwinglug {
namespace {

    constexpr const char* leaderRowKey = "lead";
    constexpr const char* heartbeatRowKey = "beat";
    // When the store has not answered for this long, the age of the latest heartbeat says nothing about the leader.
    // Longer than one wait for changes of the table.
    constexpr Duration storeFreshness { 1300 };
    constexpr int defaultLeaderMillicores = 1000; // stands in for the latest leader while there is none

    RowName rowName(const char* key) { return { Leadership::table, Leadership::part, key }; }

    // A VM takes over from a leader when it has at least this percentage of the leader's processor. A smaller gain is
    // not worth the pause of a leader change.
    constexpr int takeoverPercent = 150;

    Duration randomDuration(Duration max, Random& random)
    {
        return Duration(std::uniform_int_distribution<std::int64_t>(0, max.count())(random));
    }

} // namespace

Leadership::Leadership(
    LeadershipTimings leadershipTimings, Clock source, std::string nodeName, int ownMillicores, Random& randomSource)
    : timings(leadershipTimings)
    , clock(std::move(source))
    , node(std::move(nodeName))
    , processorMillicores(ownMillicores)
    , randomDelay(randomDuration(leadershipTimings.maxJitter, randomSource))
    , random(randomSource)
    , heartbeatSeenAt(clock.now())
{
}

void Leadership::storeAnswered()
{
    const auto now = this->clock.now();
    // No heartbeat can be seen during an outage of the store, so this time does not count towards the timeout.
    if (now - this->storeAnsweredAt > storeFreshness)
        this->heartbeatSeenAt
            = std::max(this->heartbeatSeenAt, now - this->timings.heartbeatTimeout + this->timings.firstHeartbeatGrace);
    this->storeAnsweredAt = now;
    this->lastStoreCallFailed = false;
}

void Leadership::observe(std::span<const StoredRow> rows)
{
    this->storeAnswered();
    this->hasReadTable = true;
    for (const auto& row : rows) {
        const auto json = Json::parse(row.value, nullptr, false);
        if (row.removed || !json.is_object())
            continue;
        if (row.name.key == leaderRowKey && row.version > this->leaderRowVersion) {
            this->leaderRowVersion = row.version;
            this->knownFence = json.value("fence", std::uint64_t(0));
            this->knownLeader = json.value("node", "");
            this->leaderMillicores = json.value("processor", 0);
            this->termStartedAt = WallTime(Duration(json.value("since", std::int64_t(0))));
            this->leaderSeenAt = this->clock.now();
            this->isReleased = false;
            this->wasHandedOver = false;
            this->heartbeatSeenAt = this->clock.now();
            const auto nonce = json.value("attempt", "");
            this->heldByEarlierIncarnation
                = this->knownLeader == this->node && nonce != this->lastAttempt && nonce != this->endedAttempt;
            this->isLeading = !this->lastAttempt.empty() && nonce == this->lastAttempt && nonce != this->endedAttempt;
            this->failedCommits = 0;
            if (this->isLeading)
                this->lastCommitSentAt = this->clock.now();
        } else if (row.name.key == heartbeatRowKey && json.value("fence", std::uint64_t(0)) == this->knownFence) {
            this->isReleased = json.value("released", false);
            this->heartbeatSeenAt = this->clock.now();
        }
    }
}

// Delay of an attempt, beyond the heartbeat timeout, in favour of larger VMs.
Duration Leadership::acquireDelay() const
{
    const int referenceMillicores = this->leaderMillicores > 0 ? this->leaderMillicores : defaultLeaderMillicores;
    const int missingMillicores = std::clamp(referenceMillicores - this->processorMillicores, 0, referenceMillicores);
    const auto delay = this->knownFence == 0 ? this->timings.firstTermSmallVmDelay : this->timings.smallVmDelay;
    return delay * missingMillicores / referenceMillicores + this->randomDelay;
}

// The delays in favour of larger VMs begin when a VM could lead; all of them would be over if the configuration came
// later than the process.
void Leadership::becomeCandidate()
{
    if (this->knownFence == 0)
        this->heartbeatSeenAt = this->clock.now();
}

bool Leadership::isMuchLarger() const
{
    return this->leaderMillicores > 0 && this->processorMillicores * 100 >= this->leaderMillicores * takeoverPercent;
}

bool Leadership::shouldAcquire() const
{
    const auto now = this->clock.now();
    const bool storeUnavailable
        = this->lastStoreCallFailed || !this->hasReadTable || now - this->storeAnsweredAt > storeFreshness;
    if (this->isLeading || this->isAcquiring || now < this->nextAttemptAt || storeUnavailable)
        return false;
    if (this->wasHandedOver)
        return true;
    const bool isVacant = this->knownFence == 0 || this->isReleased || this->heldByEarlierIncarnation;
    if (this->isMuchLarger() && now - this->leaderSeenAt >= this->timings.minTermBeforeTakeover + this->randomDelay)
        return true;
    return now - this->heartbeatSeenAt
        >= (isVacant ? Duration(0) : this->timings.heartbeatTimeout) + this->acquireDelay();
}

RowTransaction Leadership::acquire()
{
    this->isAcquiring = true;
    this->lastPredecessorSeenAt = this->heartbeatSeenAt;
    this->attemptSentAt = this->clock.now();
    const bool earlierOrdersExpired = this->clock.wallNow() - this->termStartedAt >= this->timings.earlierOrdersExpiry;
    this->predecessorStopped = earlierOrdersExpired && (this->isReleased || this->heldByEarlierIncarnation);
    this->predecessorWasSelf = earlierOrdersExpired && this->heldByEarlierIncarnation;
    this->lastAttempt = fmt::format("{}-{}", this->node, this->random());
    const auto fence = this->knownFence + 1;
    RowTransaction transaction;
    transaction.conditions.push_back({ rowName(leaderRowKey), this->leaderRowVersion });
    transaction.writes.push_back({ rowName(leaderRowKey),
        Json { { "fence", fence }, { "node", this->node }, { "processor", this->processorMillicores },
            { "since", this->clock.wallNow().time_since_epoch().count() }, { "attempt", this->lastAttempt } }
            .dump() });
    this->heartbeatSentAt = this->clock.now();
    return transaction;
}

void Leadership::acquireAnswered(const TransactionResult& result)
{
    this->isAcquiring = false;
    // After a conflict or a lost answer the changes of the table show who leads.
    if (result.status != CommitStatus::Committed) {
        this->nextAttemptAt
            = this->clock.now() + this->timings.retryDelay + randomDuration(this->timings.retryDelay, this->random);
        if (result.status == CommitStatus::Conflict)
            this->observe(result.conflicts);
        return;
    }
    if (result.version <= this->leaderRowVersion)
        return;
    this->leaderRowVersion = result.version;
    ++this->knownFence;
    this->knownLeader = this->node;
    this->termStartedAt = this->clock.wallNow();
    this->leaderMillicores = this->processorMillicores;
    this->heldByEarlierIncarnation = false;
    this->leaderSeenAt = this->clock.now();
    this->isReleased = false;
    this->wasHandedOver = false;
    this->failedCommits = 0;
    this->isLeading = true;
    this->lastCommitSentAt = this->heartbeatSentAt;
    this->heartbeatSeenAt = this->clock.now();
}

RowCondition Leadership::leaderCondition() const { return { rowName(leaderRowKey), this->leaderRowVersion }; }

bool Leadership::isHeartbeatDue() const
{
    return this->clock.now() - this->heartbeatSentAt >= this->timings.heartbeatInterval;
}

RowValue Leadership::heartbeat(bool release)
{
    this->heartbeatSentAt = this->clock.now();
    return { rowName(heartbeatRowKey),
        Json { { "fence", this->knownFence }, { "count", ++this->heartbeatCount }, { "released", release } }.dump() };
}

void Leadership::commitFailed()
{
    this->lastCommitFailedAt = this->clock.now();
    ++this->failedCommits;
}

bool Leadership::shouldOfferLeadership() const
{
    return this->isLeading && this->failedCommits >= this->timings.minFailuresToOffer
        && this->clock.now() - this->lastCommitSentAt >= this->timings.offerDelay;
}

bool Leadership::acceptsLeadership(std::uint64_t fence) const
{
    const bool isStoreReached
        = !this->lastStoreCallFailed && this->clock.now() - this->storeAnsweredAt <= storeFreshness;
    return isStoreReached && this->hasReadTable && !this->isLeading && !this->isAcquiring && fence == this->knownFence;
}

bool Leadership::takeOver(std::uint64_t fence)
{
    if (fence != this->knownFence || this->isLeading)
        return false;
    this->isReleased = true;
    this->wasHandedOver = true;
    return true;
}

void Leadership::commitConfirmed(TimePoint sentAt)
{
    this->failedCommits = 0;
    this->lastCommitSentAt = std::max(this->lastCommitSentAt, sentAt);
}

bool Leadership::isValid() const
{
    const auto age = this->clock.now() - this->lastCommitSentAt;
    return this->isLeading
        && age < (this->lastCommitSucceeded() ? this->timings.commitValidity : this->timings.storeOutageLimit);
}

bool Leadership::canRenewLeases() const
{
    return this->isLeading && this->clock.now() - this->lastCommitSentAt < this->timings.storeOutageLimit;
}

void Leadership::stepDown()
{
    this->isLeading = false;
    this->endedAttempt = this->lastAttempt;
    this->heartbeatSeenAt = this->clock.now();
}

} // namespace waxwinglug
