// Keeps a request from running twice when its caller sends it again, here or at another entry VM.
//
// A request id is resolved in the memory of its home node. A caller's Idempotency-Key is claimed by a row of the table,
// which stores the request id and with it the home node.
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
    // Retention time of answers, and limit on the total size of their bodies.
    Duration answerRetention { std::chrono::minutes(5) };
    std::uint64_t maxAnswerBytes = 8ULL * 1024 * 1024;
    // An issued id that is not used within this time expires and can no longer run.
    Duration issuedIdTimeout { std::chrono::minutes(10) };
    std::size_t maxIssuedIds = 20000;
};

/// Records the requests of which this entry VM is the home node. An id that is not in the ledger is Unknown and is not
/// run.
class RequestLedger {
public:
    RequestLedger(RequestIdSource source, LedgerOptions options, Clock clock);

    /// Issues an id for a request that arrives without one, or for a caller that requests one in advance.
    RequestId issue(std::string_view team);

    enum class Resolution {
        Run, // not run yet; begin() records it as running, and the request must be run
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
    /// Like begin(), but changes no state.
    Resolved resolve(const RequestId& id, std::string_view team) const;
    /// Records the outcome of a running request. After NotRun, the id may run again; after Unknown, it is removed.
    void finish(const RequestId& id, Outcome outcome, StoredAnswer answer = {});
    /// Removes expired ids and answers. Called about once a second.
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
    // Position of an entry in a queue ordered by expiry. The entry is removed only if its state has not changed since.
    struct Expiry {
        TimePoint at;
        std::uint64_t sequence = 0;
    };
    const Entry* find(const RequestId& id, std::string_view team) const;
    void removeOldest(std::deque<Expiry>& list, State state);

    RequestIdSource source;
    LedgerOptions options;
    Clock clock;
    std::unordered_map<std::uint64_t, Entry> entryBySequence;
    std::deque<Expiry> issuedExpiries;
    std::deque<Expiry> answeredExpiries;
    std::uint64_t storedAnswerBytes = 0;
};

struct ClaimOptions {
    // Claim transactions of all entry VMs together, per second. Below the limit of 200, because the nodes can briefly
    // disagree on how many of them are live.
    double transactionsPerSecond = 180;
    std::size_t rowsPerTransaction = 64;
    // A request that is repeated within this time finds the claim.
    Duration claimLifetime { std::chrono::minutes(15) };
    // Maximum time between a granted claim and the end of the request. A claim that expires sooner is not granted.
    Duration maxRequestTime { std::chrono::minutes(5) };
};

struct ClaimResult {
    enum class Kind {
        Granted, // the claim is stored; the request may run
        HomeOnly, // the table is unavailable and the service accepts requests without a claim; the request may run
        // `claimant` is the id of the request that has claimed the key, for RequestLedger::resolve() at its home node.
        // begin() must not be called there, because it could run the request while its claim is being removed.
        AlreadyClaimed,
        Refused, // the table is unavailable; the request is not run
    };
    Kind kind = Kind::Refused;
    std::optional<RequestId> claimant;
};

/// Claims of Idempotency-Keys of one entry VM. At most one transaction runs at a time; waiting writes are batched into
/// the next one.
class IdempotencyClaims {
public:
    /// `nextNonce` returns a number that is unique over all processes.
    IdempotencyClaims(Table table, Clock clock, ClaimOptions options, std::function<std::uint64_t()> nextNonce);
    ~IdempotencyClaims();
    IdempotencyClaims(const IdempotencyClaims&) = delete;
    IdempotencyClaims& operator=(const IdempotencyClaims&) = delete;

    /// Claims the key for a request of this node. The handler is called once: synchronously if this node has already
    /// claimed the key, otherwise after the answer of the table. It is not called after release().
    void claim(std::string_view team, std::string_view key, const RequestId& request, ClaimsWhenDown whenDown,
        std::function<void(ClaimResult)> handler);
    /// Removes the claim of a request that was not run. `onRemoved` is called when the table holds no claim of the
    /// request any more; only then may "not run" be reported. It is not called while the table is unavailable.
    void release(const RequestId& request, std::function<void()> onRemoved);
    /// Sends waiting writes if the interval between transactions has passed. The rate is divided by `liveEntryVms`.
    void tick(int liveEntryVms);
    /// Scans for expired claims of nodes that are gone and deletes up to `rowsPerTransaction` of them.
    void deleteExpired();

    std::size_t pendingWrites() const { return this->waitingPuts.size() + this->waitingRemovals.size(); }
    /// Number of claims that this node has stored or waits for.
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
        std::uint64_t expectedVersion = 0; // version of the row that it replaces
        std::uint64_t version = 0; // version of its own row; 0: not known
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
    std::optional<Batch> unresolvedBatch; // a transaction with unknown result whose rows could not be read yet
    bool transactionRunning = false;
    TimePoint nextSend;
    std::uint64_t transactionCount = 0;
    // Set to false by the destructor. Handlers of the table check it, because they can be called after the destruction.
    std::shared_ptr<bool> alive;
};

} // namespace waxwinglug
