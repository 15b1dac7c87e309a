// The lead and beat rows, and when to take the lead.
#include "job/leadership.h"

#include <waxwinglug/json.h>

#include <fmt/format.h>

#include <algorithm>

namespace waxwinglug {
namespace {

    constexpr const char* leadKey = "lead";
    constexpr const char* beatKey = "beat";
    // A store that has not answered for this long says nothing about the lead. Longer than one wait for changes.
    constexpr Duration freshness { 1300 };
    constexpr int fullProcessor = 1000; // thousandths of a core; what the first lead is compared with

    RowName rowName(const char* key) { return { Leadership::table, Leadership::part, key }; }

    // A VM takes over from a lead when it has at least this share of its processor, in percent. Less would not be worth
    // the pause of a change.
    constexpr int muchLarger = 150;

    Duration randomPart(Duration most, Random& random)
    {
        return Duration(std::uniform_int_distribution<std::int64_t>(0, most.count())(random));
    }

} // namespace

Leadership::Leadership(
    LeadershipTimings leadTimes, Clock source, std::string nodeName, int ownProcessor, Random& randomSource)
    : times(leadTimes)
    , clock(std::move(source))
    , node(std::move(nodeName))
    , processor(ownProcessor)
    , randomDelay(randomPart(leadTimes.spread, randomSource))
    , random(randomSource)
    , beatSeenAt(clock.now())
{
}

void Leadership::storeAnswered()
{
    const auto now = this->clock.now();
    // No beat can be seen while the store is away, so that time says nothing about the lead.
    if (now - this->heardAt > freshness)
        this->beatSeenAt = std::max(this->beatSeenAt, now - this->times.silence + this->times.firstBeat);
    this->heardAt = now;
    this->silent = false;
}

void Leadership::observe(std::span<const StoredRow> rows)
{
    this->storeAnswered();
    this->seenTable = true;
    for (const auto& row : rows) {
        const auto json = Json::parse(row.value, nullptr, false);
        if (row.removed || !json.is_object())
            continue;
        if (row.name.key == leadKey && row.version > this->leadVersion) {
            this->leadVersion = row.version;
            this->knownFence = json.value("fence", std::uint64_t(0));
            this->knownHolder = json.value("node", "");
            this->knownProcessor = json.value("processor", 0);
            this->knownSince = WallTime(Duration(json.value("since", std::int64_t(0))));
            this->leadSeenAt = this->clock.now();
            this->released = false;
            this->beatSeenAt = this->clock.now();
            const auto nonce = json.value("attempt", "");
            this->endedWithOwnLife
                = this->knownHolder == this->node && nonce != this->attempt && nonce != this->finishedAttempt;
            this->leading = !this->attempt.empty() && nonce == this->attempt && nonce != this->finishedAttempt;
            if (this->leading)
                this->confirmedAt = this->clock.now();
        } else if (row.name.key == beatKey && json.value("fence", std::uint64_t(0)) == this->knownFence) {
            this->released = json.value("released", false);
            this->beatSeenAt = this->clock.now();
        }
    }
}

// How much longer than necessary this VM leaves the lead to others.
Duration Leadership::delay() const
{
    const int wanted = this->knownProcessor > 0 ? this->knownProcessor : fullProcessor;
    const int missing = std::clamp(wanted - this->processor, 0, wanted);
    return this->times.smallVmDelay * missing / wanted + this->randomDelay;
}

bool Leadership::isMuchLarger() const
{
    return this->knownProcessor > 0 && this->processor * 100 >= this->knownProcessor * muchLarger;
}

bool Leadership::shouldAcquire() const
{
    const auto now = this->clock.now();
    const bool storeAway = this->silent || !this->seenTable || now - this->heardAt > freshness;
    if (this->leading || this->taking || now < this->retryAt || storeAway)
        return false;
    const bool vacant = this->knownFence == 0 || this->released || this->endedWithOwnLife;
    if (this->isMuchLarger() && now - this->leadSeenAt >= this->times.settling + this->randomDelay)
        return true;
    return now - this->beatSeenAt >= (vacant ? Duration(0) : this->times.silence) + this->delay();
}

RowTransaction Leadership::acquire()
{
    this->taking = true;
    const bool wasLong = this->clock.wallNow() - this->knownSince >= this->times.longLead;
    this->afterStopped = wasLong && (this->released || this->endedWithOwnLife);
    this->afterSelf = wasLong && this->endedWithOwnLife;
    this->attempt = fmt::format("{}-{}", this->node, this->random());
    const auto fence = this->knownFence + 1;
    RowTransaction transaction;
    transaction.conditions.push_back({ rowName(leadKey), this->leadVersion });
    transaction.writes.push_back({ rowName(leadKey),
        Json { { "fence", fence }, { "node", this->node }, { "processor", this->processor },
            { "since", this->clock.wallNow().time_since_epoch().count() }, { "attempt", this->attempt } }
            .dump() });
    this->beatSentAt = this->clock.now();
    return transaction;
}

void Leadership::acquireAnswered(const TransactionResult& result)
{
    this->taking = false;
    // After a conflict or a lost answer the changes of the table tell who leads.
    if (result.status != CommitStatus::Committed) {
        this->retryAt = this->clock.now() + this->times.retry + randomPart(this->times.retry, this->random);
        if (result.status == CommitStatus::Conflict)
            this->observe(result.conflicts);
        return;
    }
    if (result.version <= this->leadVersion)
        return;
    this->leadVersion = result.version;
    ++this->knownFence;
    this->knownHolder = this->node;
    this->knownSince = this->clock.wallNow();
    this->knownProcessor = this->processor;
    this->endedWithOwnLife = false;
    this->leadSeenAt = this->clock.now();
    this->released = false;
    this->leading = true;
    this->confirmedAt = this->beatSentAt;
    this->beatSeenAt = this->clock.now();
}

RowCondition Leadership::leaderCondition() const { return { rowName(leadKey), this->leadVersion }; }

bool Leadership::isHeartbeatDue() const { return this->clock.now() - this->beatSentAt >= this->times.beat; }

RowValue Leadership::heartbeat(bool release)
{
    this->beatSentAt = this->clock.now();
    return { rowName(beatKey),
        Json { { "fence", this->knownFence }, { "count", ++this->beats }, { "released", release } }.dump() };
}

void Leadership::commitConfirmed(TimePoint sentAt) { this->confirmedAt = std::max(this->confirmedAt, sentAt); }

bool Leadership::isValid() const
{
    const auto age = this->clock.now() - this->confirmedAt;
    return this->leading && age < (this->lastCommitSucceeded() ? this->times.validity : this->times.withoutStore);
}

bool Leadership::canRenewLeases() const
{
    return this->leading && this->clock.now() - this->confirmedAt < this->times.withoutStore;
}

void Leadership::stepDown()
{
    this->leading = false;
    this->finishedAttempt = this->attempt;
    this->beatSeenAt = this->clock.now();
}

} // namespace waxwinglug
