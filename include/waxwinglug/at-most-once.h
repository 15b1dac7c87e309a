// Keeps a request from running twice when its caller sends it again, here or at another entry VM.
//
// A request id is resolved at its home node, from memory. A caller's Idempotency-Key is claimed by a row of the table,
// which names the request id, and through it the home node.
#pragma once

#include <waxwinglug/base.h>
#include <waxwinglug/config.h>
#include <waxwinglug/platform.h>
#include <waxwinglug/request.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace waxwinglug {

struct StoredAnswer {
    int httpStatus = 0;
    std::string contentType;
    std::string body;
};

struct LedgerOptions {
    // Answers are kept for this time and this size.
    Duration answerRetention { std::chrono::minutes(5) };
    std::uint64_t maxAnswerBytes = 8ULL * 1024 * 1024;
    // An id that was issued and not used within this time can no longer run.
    Duration issuedIdTimeout { std::chrono::minutes(10) };
    std::size_t maxIssuedIds = 20000;
};

/// The requests of which this entry VM is the home node. An id that is not in the ledger is unknown and never runs.
class RequestLedger {
public:
    RequestLedger(RequestIdSource source, LedgerOptions options, Clock clock);

    /// Issues an id for a request that arrives without one, or for a caller that asks for one in advance.
    RequestId issue(std::string_view team);

    enum class Resolution {
        Run, // run it now; the ledger holds it as running
        Running,
        Answered,
        Unknown, // it may have run; it must not run again
        Elsewhere, // another entry VM is its home node
    };
    struct Resolved {
        Resolution resolution = Resolution::Unknown;
        std::shared_ptr<const StoredAnswer> answer; // set with Answered
    };
    /// Resolves a request that arrives with an id. An id of another team is Unknown.
    Resolved begin(const RequestId& id, std::string_view team);
    /// The same without ever starting it, for callers that only ask.
    Resolved resolve(const RequestId& id, std::string_view team) const;
    /// The outcome of a running request.
    void finish(const RequestId& id, Outcome outcome, StoredAnswer answer = {});
    /// Drops what has been kept for too long. Called about once a second.
    void expire();
    std::uint64_t storedBytes() const { return this->storedAnswerBytes; }
    std::size_t entries() const { return this->entryBySequence.size(); }

private:
    enum class State {
        Issued,
        Running,
        Answered,
    };
    struct Entry {
        RequestId id;
        std::string team;
        State state = State::Issued;
        std::shared_ptr<const StoredAnswer> answer;
    };
    // An entry is dropped only if it is still in the state in which it was listed.
    struct Expiry {
        TimePoint at;
        std::uint64_t sequence = 0;
    };
    const Entry* find(const RequestId& id, std::string_view team) const;
    void removeOldest(std::deque<Expiry>& list, State state);

    RequestIdSource source;
    LedgerOptions options;
    Clock clock;
    std::unordered_map<std::uint64_t, Entry> entryBySequence; // by sequence
    std::deque<Expiry> issuedExpiries;
    std::deque<Expiry> answeredExpiries;
    std::uint64_t storedAnswerBytes = 0;
};

struct ClaimOptions {
    // Claim transactions of all entry VMs together, per second. Below the limit of 200, because the nodes can disagree
    // for a moment on how many of them are live.
    double transactionsPerSecond = 180;
    std::size_t rowsPerTransaction = 64;
    // A repeat within this time finds the claim.
    Duration claimLifetime { std::chrono::minutes(15) };
    // Longest time between a granted claim and the end of the request. A claim is not granted when its expiry is
    // nearer.
    Duration maxRequestTime { std::chrono::minutes(5) };
};

struct ClaimResult {
    enum class Kind {
        Granted, // the claim is stored; the request may run
        HomeOnly, // the table is down and the service accepts it; the request may run
        // `holder` is the id of the request that has claimed the key, for RequestLedger::resolve() at its home node.
        // begin() must not be used there: it could run the request while its claim is being removed.
        AlreadyClaimed,
        Refused, // the table is down; not run
    };
    Kind kind = Kind::Refused;
    std::optional<RequestId> claimant;
};

/// The claims of Idempotency-Keys at one entry VM. One transaction is under way at a time; it carries all that waits.
class IdempotencyClaims {
public:
    /// `nonces` returns a number that no other process returns.
    IdempotencyClaims(Table table, Clock clock, ClaimOptions options, std::function<std::uint64_t()> nextNonce);
    ~IdempotencyClaims();
    IdempotencyClaims(const IdempotencyClaims&) = delete;
    IdempotencyClaims& operator=(const IdempotencyClaims&) = delete;

    /// Claims the key for a request of this node. The handler runs once, at once when this node has claimed the key
    /// before, otherwise when the table has answered. It does not run after release().
    void claim(std::string_view team, std::string_view key, const RequestId& request, ClaimsWhenDown whenDown,
        std::function<void(ClaimResult)> handler);
    /// The request was not run: removes the claim. `removed` runs once no claim of the request is left in the table;
    /// only then is "not run" reported. While the table is down, it does not run.
    void release(const RequestId& request, std::function<void()> onRemoved);
    /// Sends what waits if the interval has passed. `liveEntryVms` spreads the rate over all of them.
    void tick(int liveEntryVms);
    /// Deletes expired claims of nodes that are gone, a few at a time.
    void deleteExpired();

    std::size_t pendingWrites() const { return this->waitingPuts.size() + this->waitingRemovals.size(); }
    /// Claims that this node holds or is about to hold.
    std::size_t claimCount() const { return this->claims.size(); }
    std::uint64_t transactions() const { return this->transactionCount; }

private:
    struct Claim {
        std::string key; // of the row
        RequestId request;
        std::uint64_t nonce = 0;
        ClaimsWhenDown whenDown = ClaimsWhenDown::Refuse;
        std::function<void(ClaimResult)> handler;
        std::function<void()> onRemoved;
        std::uint64_t expectedVersion = 0; // of the row that it replaces
        std::uint64_t version = 0; // of its own row; 0: not known
        bool isStored = false;
        WallTime expiry;
        bool inTransaction = false;
        bool isReleasing = false;
    };
    struct Batch {
        std::vector<std::string> keys;
        std::vector<RowWrite> writes;
    };

    void send();
    void addPut(Batch& batch, Claim& claim);
    void onCommit(Batch batch, CommitResult result);
    void readBack(Batch batch);
    void resolveBatch(const Batch& batch, const std::vector<Row>& rows);
    void resolveClaim(Claim& claim, const Row& row);
    void onUnavailable(const Batch& batch);
    void onStored(Claim& claim, std::uint64_t version);
    void resolveWaitingWithoutTable();
    void readVersions();
    void finishClaim(Claim& claim, std::optional<ClaimResult> result);
    void expireOwnClaims();

    Table table;
    Clock clock;
    ClaimOptions options;
    std::function<std::uint64_t()> nextNonce;
    std::map<std::string, Claim> claims; // by row key
    std::map<RequestId, std::string> keyByRequest;
    std::deque<std::string> waitingPuts;
    std::deque<std::string> waitingRemovals;
    std::vector<RowWrite> expiredRowDeletions;
    std::deque<std::pair<WallTime, std::string>> expiries;
    std::optional<Batch> unresolvedBatch; // a transaction without an answer that could not be read back yet
    bool transactionRunning = false;
    TimePoint nextSend;
    std::uint64_t transactionCount = 0;
    // Handlers of the table check it, because they can run after this object is gone.
    std::shared_ptr<bool> alive;
};

} // namespace waxwinglug
