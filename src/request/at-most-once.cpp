// Claims of Idempotency-Keys, stored as rows of the table.
#include <waxwinglug/at-most-once.h>

#include <waxwinglug/json.h>

#include <fmt/format.h>
#include <sodium.h>

#include <algorithm>
#include <array>
#include <utility>

namespace waxwinglug {
namespace {

    // Hashes the caller's key, which can be long, contain any character and be confidential.
    std::string rowKey(std::string_view team, std::string_view key)
    {
        std::array<unsigned char, 16> hash {};
        crypto_generichash(hash.data(), hash.size(), reinterpret_cast<const unsigned char*>(key.data()), key.size(),
            reinterpret_cast<const unsigned char*>(team.data()), team.size());
        return fmt::format("claim/{}/{:02x}", team, fmt::join(hash, ""));
    }

    struct ClaimRow {
        std::string request;
        std::uint64_t nonce = 0;
        WallTime expiry;
    };

    std::string encode(const ClaimRow& row)
    {
        const Json json { { "request", row.request }, { "nonce", row.nonce }, { "state", "claimed" },
            { "expiry", row.expiry.time_since_epoch().count() } };
        return json.dump();
    }

    // Returns nothing for a row that cannot be parsed; callers treat it as a claim that does not expire.
    std::optional<ClaimRow> decode(const Row& row)
    {
        try {
            const auto json = Json::parse(row.value);
            return ClaimRow { json.at("request").get<std::string>(), json.at("nonce").get<std::uint64_t>(),
                WallTime(Duration(json.at("expiry").get<Duration::rep>())) };
        } catch (const Json::exception&) {
            return std::nullopt;
        }
    }

} // namespace

IdempotencyClaims::IdempotencyClaims(
    Table hooks, Clock source, ClaimOptions claimOptions, std::function<std::uint64_t()> nonceSource)
    : table(std::move(hooks))
    , clock(std::move(source))
    , options(claimOptions)
    , nextNonce(std::move(nonceSource))
    , alive(std::make_shared<bool>(true))
{
}

IdempotencyClaims::~IdempotencyClaims() { *this->alive = false; }

void IdempotencyClaims::claim(std::string_view team, std::string_view key, const RequestId& request,
    ClaimsWhenDown whenDown, std::function<void(ClaimResult)> handler)
{
    auto row = rowKey(team, key);
    const auto [entry, isNew] = this->claims.try_emplace(row);
    if (!isNew) {
        handler({ ClaimResult::Kind::AlreadyClaimed, entry->second.request });
        return;
    }
    auto& claim = entry->second;
    claim.key = row;
    claim.request = request;
    claim.nonce = this->nextNonce();
    claim.whenDown = whenDown;
    claim.handler = std::move(handler);
    claim.expiry = this->clock.wallNow() + this->options.claimLifetime;
    this->keyByRequest[request] = row;
    this->expiries.emplace_back(claim.expiry, row);
    this->waitingPuts.push_back(std::move(row));
}

void IdempotencyClaims::release(const RequestId& request, std::function<void()> onRemoved)
{
    const auto found = this->keyByRequest.find(request);
    if (found == this->keyByRequest.end()) {
        onRemoved();
        return;
    }
    auto& claim = this->claims.at(found->second);
    claim.onRemoved = std::move(onRemoved);
    claim.handler = nullptr;
    if (claim.isReleasing)
        return;
    claim.isReleasing = true;
    if (claim.inTransaction)
        return;
    if (claim.isStored) {
        this->waitingRemovals.push_back(claim.key);
        return;
    }
    std::erase(this->waitingPuts, claim.key);
    this->finishClaim(claim, std::nullopt);
}

// Removes a claim from the records of this node and calls its handlers. No result: the claim was removed.
void IdempotencyClaims::finishClaim(Claim& claim, std::optional<ClaimResult> result)
{
    const auto handler = std::move(claim.handler);
    const auto onRemoved = std::move(claim.onRemoved);
    this->keyByRequest.erase(claim.request);
    this->claims.erase(this->claims.find(claim.key));
    if (handler)
        handler(result ? std::move(*result) : ClaimResult { ClaimResult::Kind::Refused, std::nullopt });
    if (onRemoved)
        onRemoved();
}

void IdempotencyClaims::tick(int liveEntryVms)
{
    const auto now = this->clock.now();
    if (this->transactionRunning || now < this->nextSend)
        return;
    this->expireOwnClaims();
    if (!this->unresolvedBatch && this->pendingWrites() == 0 && this->expiredRowDeletions.empty())
        return;
    const double perNode = std::max(1, liveEntryVms) / this->options.transactionsPerSecond;
    this->nextSend = now + std::max(Duration(1), std::chrono::ceil<Duration>(std::chrono::duration<double>(perNode)));
    if (this->unresolvedBatch)
        this->readBack(std::exchange(this->unresolvedBatch, std::nullopt).value());
    else
        this->send();
}

void IdempotencyClaims::expireOwnClaims()
{
    const auto now = this->clock.wallNow();
    for (std::size_t i = 0; i < this->options.rowsPerTransaction; ++i) {
        if (this->expiries.empty() || this->expiries.front().first > now)
            return;
        const auto key = std::move(this->expiries.front().second);
        this->expiries.pop_front();
        const auto found = this->claims.find(key);
        // The key may have been claimed again in the meantime; that claim has its own entry in `expiries`.
        if (found == this->claims.end() || found->second.isReleasing || found->second.expiry > now)
            continue;
        auto& claim = found->second;
        if (claim.inTransaction || claim.handler) {
            this->expiries.emplace_back(now + std::chrono::minutes(1), key);
            continue;
        }
        claim.isReleasing = true;
        if (claim.isStored) {
            this->waitingRemovals.push_back(key);
        } else {
            std::erase(this->waitingPuts, key);
            this->finishClaim(claim, std::nullopt);
        }
    }
}

void IdempotencyClaims::addPut(Batch& batch, Claim& claim)
{
    claim.inTransaction = true;
    batch.keys.push_back(claim.key);
    batch.writes.push_back(
        { claim.key, encode({ claim.request.text(), claim.nonce, claim.expiry }), claim.expectedVersion });
}

// Reads the row versions of claims to be removed: a deletion needs the version, which a commit does not return.
void IdempotencyClaims::readVersions()
{
    Batch batch;
    std::deque<std::string> rest;
    for (auto& key : this->waitingRemovals) {
        auto& claim = this->claims.at(key);
        if (claim.version != 0 || batch.keys.size() >= this->options.rowsPerTransaction) {
            rest.push_back(std::move(key));
            continue;
        }
        claim.inTransaction = true;
        batch.keys.push_back(std::move(key));
    }
    this->waitingRemovals = std::move(rest);
    if (!batch.keys.empty())
        this->readBack(std::move(batch));
}

void IdempotencyClaims::send()
{
    this->readVersions();
    if (this->transactionRunning)
        return;
    Batch batch;
    while (!this->waitingRemovals.empty() && batch.writes.size() < this->options.rowsPerTransaction) {
        auto& claim = this->claims.at(this->waitingRemovals.front());
        this->waitingRemovals.pop_front();
        claim.inTransaction = true;
        batch.keys.push_back(claim.key);
        batch.writes.push_back({ claim.key, std::nullopt, claim.version });
    }
    while (!this->waitingPuts.empty() && batch.writes.size() < this->options.rowsPerTransaction) {
        this->addPut(batch, this->claims.at(this->waitingPuts.front()));
        this->waitingPuts.pop_front();
    }
    if (batch.writes.empty())
        batch.writes = std::exchange(this->expiredRowDeletions, {});
    this->transactionRunning = true;
    ++this->transactionCount;
    auto writes = batch.writes;
    this->table.commit(
        std::move(writes), [this, live = this->alive, batch = std::move(batch)](CommitResult result) mutable {
            if (*live)
                this->onCommit(std::move(batch), std::move(result));
        });
}

void IdempotencyClaims::onCommit(Batch batch, CommitResult result)
{
    this->transactionRunning = false;
    switch (result.status) {
    case CommitStatus::Committed:
        for (const auto& key : batch.keys) {
            auto& claim = this->claims.at(key);
            claim.inTransaction = false;
            if (claim.version != 0)
                this->finishClaim(claim, std::nullopt);
            else
                this->onStored(claim, 0);
        }
        break;
    case CommitStatus::Unknown:
        if (!batch.keys.empty())
            this->readBack(std::move(batch));
        break;
    case CommitStatus::Conflict:
        // A conflict aborts the whole transaction; rows without a conflict are sent again with the next one.
        this->resolveBatch(batch, result.conflicts);
        break;
    case CommitStatus::Unavailable:
    case CommitStatus::Rejected:
        this->onUnavailable(batch);
        break;
    }
}

void IdempotencyClaims::readBack(Batch batch)
{
    this->transactionRunning = true;
    auto keys = batch.keys;
    this->table.read(std::move(keys),
        [this, live = this->alive, batch = std::move(batch)](std::optional<std::vector<Row>> rows) mutable {
            if (!*live)
                return;
            this->transactionRunning = false;
            if (rows) {
                this->resolveBatch(batch, *rows);
                return;
            }
            this->unresolvedBatch = std::move(batch);
            this->resolveWaitingWithoutTable();
        });
}

void IdempotencyClaims::resolveBatch(const Batch& batch, const std::vector<Row>& rows)
{
    for (const auto& key : batch.keys) {
        auto& claim = this->claims.at(key);
        claim.inTransaction = false;
        const auto found = std::find_if(rows.begin(), rows.end(), [&key](const Row& row) { return row.key == key; });
        if (found != rows.end())
            this->resolveClaim(claim, *found);
        else if (claim.isStored)
            this->waitingRemovals.push_back(key);
        else if (claim.isReleasing)
            this->finishClaim(claim, std::nullopt);
        else
            this->waitingPuts.push_back(key);
    }
}

// Resolves claims while the table is unavailable. Claims that were never sent do not depend on the unresolved
// transaction.
void IdempotencyClaims::resolveWaitingWithoutTable()
{
    for (const auto& key : this->unresolvedBatch->keys) {
        auto& claim = this->claims.at(key);
        if (claim.whenDown != ClaimsWhenDown::HomeOnly || claim.isReleasing)
            continue;
        if (const auto handler = std::exchange(claim.handler, nullptr))
            handler({ ClaimResult::Kind::HomeOnly, std::nullopt });
    }
    Batch waitingBatch;
    waitingBatch.keys.assign(this->waitingPuts.begin(), this->waitingPuts.end());
    this->waitingPuts.clear();
    this->onUnavailable(waitingBatch);
}

void IdempotencyClaims::resolveClaim(Claim& claim, const Row& row)
{
    const auto holder = row.version == 0 ? std::nullopt : decode(row);
    if (holder && holder->nonce == claim.nonce && holder->request == claim.request.text()) {
        this->onStored(claim, row.version);
        return;
    }
    // The claim's row has been removed or was never stored.
    if (claim.isReleasing) {
        this->finishClaim(claim, std::nullopt);
        return;
    }
    if (row.version == 0 || (holder && holder->expiry <= this->clock.wallNow())) {
        claim.expectedVersion = row.version;
        this->waitingPuts.push_back(claim.key);
        return;
    }
    this->finishClaim(claim,
        ClaimResult { ClaimResult::Kind::AlreadyClaimed, holder ? parseRequestId(holder->request) : std::nullopt });
}

void IdempotencyClaims::onStored(Claim& claim, std::uint64_t version)
{
    claim.version = version;
    claim.isStored = true;
    // A claim that is granted too late could expire while the request runs.
    const bool tooLate = claim.handler && claim.expiry - this->clock.wallNow() < this->options.maxRequestTime;
    if (claim.isReleasing || tooLate) {
        claim.isReleasing = true;
        this->waitingRemovals.push_back(claim.key);
        return;
    }
    if (const auto handler = std::exchange(claim.handler, nullptr))
        handler({ ClaimResult::Kind::Granted, std::nullopt });
}

void IdempotencyClaims::onUnavailable(const Batch& batch)
{
    for (const auto& key : batch.keys) {
        auto& claim = this->claims.at(key);
        claim.inTransaction = false;
        if (claim.isStored) {
            this->waitingRemovals.push_back(key);
        } else if (claim.isReleasing) {
            this->finishClaim(claim, std::nullopt);
        } else if (claim.whenDown == ClaimsWhenDown::HomeOnly) {
            if (const auto handler = std::exchange(claim.handler, nullptr))
                handler({ ClaimResult::Kind::HomeOnly, std::nullopt });
        } else {
            this->finishClaim(claim, ClaimResult { ClaimResult::Kind::Refused, std::nullopt });
        }
    }
}

void IdempotencyClaims::deleteExpired()
{
    this->table.scan("claim/", [this, live = this->alive](std::optional<std::vector<Row>> rows) {
        if (!*live || !rows)
            return;
        this->expiredRowDeletions.clear();
        for (const auto& row : *rows) {
            const auto claim = decode(row);
            if (claim && claim->expiry + this->options.claimLifetime <= this->clock.wallNow()
                && this->expiredRowDeletions.size() < this->options.rowsPerTransaction)
                this->expiredRowDeletions.push_back({ row.key, std::nullopt, row.version });
        }
    });
}

} // namespace waxwinglug
