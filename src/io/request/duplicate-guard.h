// Keeps a request that its caller sends again from running twice: resolves request ids at their home node, and claims
// Idempotency-Keys before dispatch. Belongs to the control thread.
#pragma once

#include "io/request/exchange.h"

#include <waxwinglug/at-most-once.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace waxwinglug::io {

// What a home node says about one of its requests.
struct RemoteResolution {
    RequestLedger::Resolution resolution = RequestLedger::Resolution::Unknown;
    std::optional<StoredAnswer> answer; // set with Answered
};

struct DuplicateGuardHooks {
    // Queues a request that may run now.
    std::function<void(const std::shared_ptr<Exchange>&)> run;
    // Answers "not run" and counts the refusal.
    std::function<void(const Exchange&, Refusal)> refuse;
    // Asks the home node. The handler gets nothing when the node does not answer.
    using ResolveHandler = std::function<void(std::optional<RemoteResolution>)>;
    std::function<void(const RequestId&, const std::string& team, ResolveHandler)> resolveAtHome;
    // Calls back on the control thread after a delay.
    std::function<void(Duration, std::function<void()>)> callAfter;
    // What a service does with claims while the table is down.
    std::function<ClaimsWhenDown(const std::string& service)> claimsWhenDown;
};

class DuplicateGuard {
public:
    DuplicateGuard(
        const NodeId& self, Clock clock, Table table, std::function<std::uint64_t()> random, DuplicateGuardHooks hooks);

    // Runs the request, or answers it from what is known about an earlier one.
    void admit(const std::shared_ptr<Exchange>& exchange);
    // Keeps the whole answer for repeats, and gives it to those that wait for it.
    void recordAnswer(const Exchange& exchange, const HttpResponse& response);
    // Answers a request that ended without an answer. "Not run" is reported once no claim is left that would make a
    // repeat at another entry VM believe that it ran.
    void endWithoutAnswer(const std::shared_ptr<Exchange>& exchange, Outcome outcome, Refusal refusal);
    // Resolves a request for another entry VM.
    RemoteResolution resolve(const RequestId& id, std::string_view team) const;
    void tick(int liveEntryVms);

private:
    void beginNew(const std::shared_ptr<Exchange>& exchange);
    void resolveKnown(const std::shared_ptr<Exchange>& exchange, const RequestId& id);
    void claim(const std::shared_ptr<Exchange>& exchange);
    void onClaim(const std::shared_ptr<Exchange>& exchange, const ClaimResult& result);
    void wake(const RequestId& id);

    const NodeId self;
    Clock clock;
    DuplicateGuardHooks hooks;
    RequestLedger ledger;
    IdempotencyClaims claims;
    // Repeats of running requests of this node, which get the same answer.
    std::map<RequestId, std::vector<std::shared_ptr<Exchange>>> waiters;
    TimePoint nextExpiry;
};

} // namespace waxwinglug::io
