// Prevents a request that its caller repeats from running twice: resolves request ids at their home node, and claims
// Idempotency-Keys before dispatch. Used on the control thread only.
#pragma once

#include "io/request/exchange.h"

#include <waxwinglug/at-most-once.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace waxwinglug::io {

// State of a request as reported by its home node.
struct RemoteResolution {
    RequestLedger::Resolution resolution = RequestLedger::Resolution::Unknown;
    std::optional<StoredAnswer> answer; // set with Answered
};

struct DuplicateGuardHooks {
    // Queues a request that may run.
    std::function<void(const std::shared_ptr<Exchange>&)> run;
    // Answers that the request was not run, and counts the refusal.
    std::function<void(const Exchange&, Refusal)> refuse;
    // Queries the home node of a request. The handler receives nullopt when the node does not answer.
    using ResolveHandler = std::function<void(std::optional<RemoteResolution>)>;
    std::function<void(const RequestId&, const std::string& team, ResolveHandler)> resolveAtHome;
    // Runs a function on the control thread after a delay.
    std::function<void(Duration, std::function<void()>)> callAfter;
    // Setting of a service for claims while the table is unavailable.
    std::function<ClaimsWhenDown(const std::string& service)> claimsWhenDown;
};

class DuplicateGuard {
public:
    DuplicateGuard(
        const NodeId& self, Clock clock, Table table, std::function<std::uint64_t()> random, DuplicateGuardHooks hooks);

    // Runs the request, or answers it with the result of the earlier request that it repeats.
    void admit(const std::shared_ptr<Exchange>& exchange);
    // Stores the answer for later duplicates and sends it to the waiting ones. Answers to idempotent requests without
    // an Idempotency-Key are not stored.
    void recordAnswer(const Exchange& exchange, const HttpResponse& response);
    // Answers a request that ended without an answer. "Not run" is reported only after its claim has been removed,
    // because a duplicate at another entry VM that finds the claim is told that the request may have run.
    void endWithoutAnswer(const std::shared_ptr<Exchange>& exchange, Outcome outcome, Refusal refusal);
    // Returns the state of a request of this node, for another entry VM.
    RemoteResolution resolve(const RequestId& id, std::string_view team) const;
    // Sends pending claims and deletes expired entries. `liveEntryVms` spreads the rate of claims over all of them.
    void tick(int liveEntryVms);

private:
    void admitNew(const std::shared_ptr<Exchange>& exchange);
    void resolveDuplicate(const std::shared_ptr<Exchange>& exchange, const RequestId& id);
    void claim(const std::shared_ptr<Exchange>& exchange);
    void onClaim(const std::shared_ptr<Exchange>& exchange, const ClaimResult& result);
    void resolveWaiting(const RequestId& id);

    const NodeId self;
    Clock clock;
    DuplicateGuardHooks hooks;
    RequestLedger ledger;
    IdempotencyClaims claims;
    // Duplicates of running requests of this node; they receive the same answer.
    std::map<RequestId, std::vector<std::shared_ptr<Exchange>>> waitingDuplicates;
    TimePoint nextExpiryAt;
};

} // namespace waxwinglug::io
