// Connects the request ledger and the Idempotency-Key claims with the requests of the entry daemon.
#include "io/request/duplicate-guard.h"

#include "io/connection/gateway.h"

namespace waxwinglug::io {
namespace {

    // A claim cannot be removed while the table is unavailable. After this time the caller is told that the outcome is
    // unknown.
    constexpr Duration maxReleaseTime { 2000 };
    constexpr Duration expiryInterval { 1000 };

    void respondUnknown(const Exchange& exchange, const RequestId& id)
    {
        exchange.respond(toResponse(outcomeUnknownAnswer(id.text()), id.text()));
    }

    void respondStored(const Exchange& exchange, const RequestId& id, const StoredAnswer& answer)
    {
        HttpResponse response { answer.httpStatus, {}, answer.body };
        if (!answer.contentType.empty())
            response.headers.emplace_back("Content-Type", answer.contentType);
        setAnsweredHeaders(response, id.text());
        exchange.respond(std::move(response));
    }

} // namespace

DuplicateGuard::DuplicateGuard(const NodeId& node, Clock guardClock, Table table, std::function<std::uint64_t()> random,
    DuplicateGuardHooks guardHooks)
    : self(node)
    , clock(std::move(guardClock))
    , hooks(std::move(guardHooks))
    , ledger(RequestIdSource(node, random), {}, this->clock)
    , claims(std::move(table), this->clock, {}, random)
{
}

void DuplicateGuard::admit(const std::shared_ptr<Exchange>& exchange)
{
    if (!exchange->caller.requestId) {
        this->admitNew(exchange);
        return;
    }
    const auto id = *exchange->caller.requestId;
    exchange->id = id;
    if (id.home != this->self) {
        this->resolveDuplicate(exchange, id);
        return;
    }
    const auto resolved = this->ledger.begin(id, exchange->team);
    if (resolved.resolution == RequestLedger::Resolution::Run)
        this->hooks.run(exchange);
    else
        this->resolveDuplicate(exchange, id);
}

void DuplicateGuard::admitNew(const std::shared_ptr<Exchange>& exchange)
{
    exchange->id = this->ledger.issue(exchange->team);
    this->ledger.begin(exchange->id, exchange->team);
    if (exchange->caller.idempotencyKey.empty())
        this->hooks.run(exchange);
    else
        this->claim(exchange);
}

void DuplicateGuard::claim(const std::shared_ptr<Exchange>& exchange)
{
    this->claims.claim(exchange->team, exchange->caller.idempotencyKey, exchange->id,
        this->hooks.claimsWhenDown(exchange->caller.service),
        [this, exchange](const ClaimResult& result) { this->onClaim(exchange, result); });
}

void DuplicateGuard::onClaim(const std::shared_ptr<Exchange>& exchange, const ClaimResult& result)
{
    switch (result.kind) {
    case ClaimResult::Kind::Granted:
    case ClaimResult::Kind::HomeOnly:
        this->hooks.run(exchange);
        return;
    case ClaimResult::Kind::Refused:
        this->ledger.finish(exchange->id, Outcome::NotRun);
        this->hooks.refuse(*exchange, Refusal::StoreUnavailable);
        return;
    case ClaimResult::Kind::AlreadyClaimed:
        this->ledger.finish(exchange->id, Outcome::NotRun);
        this->resolveDuplicate(exchange, *result.claimant);
        return;
    }
}

void DuplicateGuard::resolveDuplicate(const std::shared_ptr<Exchange>& exchange, const RequestId& id)
{
    if (id.home != this->self) {
        this->hooks.resolveAtHome(id, exchange->team, [exchange, id](std::optional<RemoteResolution> remote) {
            if (remote && remote->answer)
                respondStored(*exchange, id, *remote->answer);
            else
                respondUnknown(*exchange, id);
        });
        return;
    }
    const auto resolved = this->ledger.resolve(id, exchange->team);
    if (resolved.answer)
        respondStored(*exchange, id, *resolved.answer);
    else if (resolved.resolution == RequestLedger::Resolution::Running)
        this->waitingDuplicates[id].push_back(exchange);
    else
        respondUnknown(*exchange, id);
}

void DuplicateGuard::recordAnswer(const Exchange& exchange, const HttpResponse& response)
{
    // An idempotent request may run again under its id, so its answer is not stored.
    if (exchange.caller.idempotent && exchange.caller.idempotencyKey.empty()) {
        this->ledger.finish(exchange.id, Outcome::NotRun);
    } else {
        this->ledger.finish(exchange.id, Outcome::Answered,
            { response.status, std::string(findHeader(response.headers, "Content-Type")), response.body });
    }
    this->resolveWaiting(exchange.id);
}

void DuplicateGuard::endWithoutAnswer(const std::shared_ptr<Exchange>& exchange, Outcome outcome, Refusal refusal)
{
    const auto id = exchange->id;
    this->ledger.finish(id, outcome);
    this->resolveWaiting(id);
    if (outcome != Outcome::NotRun) {
        respondUnknown(*exchange, id);
        return;
    }
    if (exchange->caller.idempotencyKey.empty()) {
        this->hooks.refuse(*exchange, refusal);
        return;
    }
    // Whichever of these two answers comes first is sent; the other one is ignored.
    this->claims.release(id, [this, exchange, refusal] { this->hooks.refuse(*exchange, refusal); });
    this->hooks.callAfter(maxReleaseTime, [exchange, id] { respondUnknown(*exchange, id); });
}

void DuplicateGuard::resolveWaiting(const RequestId& id)
{
    const auto found = this->waitingDuplicates.find(id);
    if (found == this->waitingDuplicates.end())
        return;
    const auto duplicates = std::move(found->second);
    this->waitingDuplicates.erase(found);
    for (const auto& exchange : duplicates)
        this->resolveDuplicate(exchange, id);
}

RemoteResolution DuplicateGuard::resolve(const RequestId& id, std::string_view team) const
{
    const auto resolved = this->ledger.resolve(id, team);
    RemoteResolution remote { resolved.resolution, std::nullopt };
    if (resolved.answer)
        remote.answer = *resolved.answer;
    return remote;
}

void DuplicateGuard::tick(int liveEntryVms)
{
    this->claims.tick(liveEntryVms);
    const auto now = this->clock.now();
    if (now < this->nextExpiryAt)
        return;
    this->nextExpiryAt = now + expiryInterval;
    this->ledger.expire();
    this->claims.deleteExpired();
}

} // namespace waxwinglug::io
