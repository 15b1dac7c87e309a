// Interface of a platform adapter for the scheduler: the row store, orders to backend servers, the machine list, and
// the formats of callers and operators. Handlers run later, on the event loop.
#pragma once

#include <waxwinglug/platform.h>
#include <waxwinglug/server-orders.h>
#include <waxwinglug/work.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglug {

// Milliseconds on the steady clock of the row store. Its answers carry this time, so that one node can tell how old
// another node's record is.
using StoreTime = std::int64_t;

// Name of a row. A table is divided into parts, and a transaction cannot span parts.
struct RowName {
    std::string table;
    std::string part;
    std::string key;

    auto operator<=>(const RowName&) const = default;
};

struct StoredRow {
    RowName name;
    std::string value;
    std::uint64_t version = 0; // 0: the row does not exist
    bool removed = false; // in changes: the row was removed
};

struct RowCondition {
    RowName name;
    std::uint64_t version = 0; // 0: the row must not exist
};

struct RowValue {
    RowName name;
    std::string value;
};

// Applied as a whole or not at all.
struct RowTransaction {
    std::vector<RowCondition> conditions;
    std::vector<RowValue> writes;
    std::vector<RowName> removals;
};

struct TransactionResult {
    CommitStatus status = CommitStatus::Unavailable;
    // With Committed: the version of all rows written.
    std::uint64_t version = 0;
    // With Conflict: the current rows of the conditions.
    std::vector<StoredRow> conflicts;
};

// Bounds of one answer of RowStore::list.
struct PageLimits {
    PageLimits(Duration pageTimeout, std::size_t pageRows = 500) // NOLINT(google-explicit-constructor)
        : timeout(pageTimeout)
        , maxRows(pageRows)
    {
    }

    Duration timeout;
    std::size_t maxRows;
};

struct RowPage {
    std::vector<StoredRow> rows;
    bool hasMore = false;
    // Latest version in the store when the page was read.
    std::uint64_t version = 0;
    // When the page was read; nothing if the answer does not say.
    std::optional<StoreTime> time {};
};

enum class FollowStatus {
    Changes, // empty when the wait ended without a change
    HistoryGone, // the store no longer has the changes; the table is to be read again
    NoAnswer,
};

struct FollowResult {
    FollowStatus status = FollowStatus::NoAnswer;
    std::vector<StoredRow> rows;
    // Version after which the next call continues.
    std::uint64_t version = 0;
    // When the store answered; nothing if the answer does not say.
    std::optional<StoreTime> time {};
    // The answer may not hold all changes made until then.
    bool mayHaveMore = false;
};

// Largest value of a row that the platform's store accepts, in bytes, where the settings name no other.
constexpr std::size_t defaultMaxRowBytes = 65'536;

struct RowStore {
    // Largest value of a row, in bytes.
    std::size_t maxRowBytes = defaultMaxRowBytes;
    std::function<void(RowTransaction, Duration deadline, std::function<void(TransactionResult)>)> commit;
    // Lists rows of one table and part, from the key `from` up to but not including `end`; an empty `end` is no bound.
    // The handler gets nullopt when the store does not answer.
    std::function<void(RowName from, std::string end, PageLimits, std::function<void(std::optional<RowPage>)>)> list;
    // Gets the changes of a table after a version; answers at the first change or at the end of the wait.
    std::function<void(std::string table, std::uint64_t after, Duration wait, std::function<void(FollowResult)>)>
        follow;
};

struct ServerCalls {
    using OrderHandler = std::function<void(const OrderAnswer&)>;

    std::function<void(const ServerRecord&, const StartOrder&, OrderHandler)> start;
    std::function<void(const ServerRecord&, const StopOrder&, OrderHandler)> stop;
    std::function<void(const ServerRecord&, const ThrottleOrder&, OrderHandler)> throttle;
    std::function<void(const ServerRecord&, const RenewOrder&, std::function<void(OrderStatus, RenewReport)>)>
        renewLease;
};

enum class MachineState {
    Up,
    Moving,
    Maintenance,
    Down,
};

struct MachineRecord {
    std::string machine;
    std::string pool;
    MachineState state = MachineState::Down;
    std::string server; // id of the server that runs on it; empty: none
    Resources capacity;
    std::string dataCentre {};
};

// The operator's request that the servers of a data centre get no new tasks.
struct Evacuation {
    std::string dataCentre;
    bool isActive = false; // false: the request has been withdrawn
};

enum class MachineOrderStatus {
    Accepted, // also when the order was already carried out
    FenceTooLow,
    Busy,
    NotInWave,
    Refused, // too many calls, or the platform is unavailable; nothing was done
    Invalid, // no such machine or pool
    Unknown,
};

struct MachineCalls {
    // Lists all machines; the handler gets nullopt without a complete answer.
    std::function<void(std::function<void(std::optional<std::vector<MachineRecord>>)>)> list;
    std::function<void(std::string machine, int wave, std::uint64_t fence, std::function<void(MachineOrderStatus)>)>
        maintain;
    std::function<void(
        std::string machine, std::string pool, std::uint64_t fence, std::function<void(MachineOrderStatus)>)>
        move;
};

// Decoders and encoders of the platform's formats. Decoders of rows return nullopt for a row of another kind or of an
// invalid form.
struct PlatformFormats {
    // Tables that operators and backend servers write.
    std::string operatorTable;
    std::string serverTable;
    // Name of the header that carries a caller's key, and of the one with its deadline in milliseconds.
    std::string keyHeader;
    std::string deadlineHeader;
    std::function<std::optional<FleetConfig>(const StoredRow&)> decodeConfig;
    std::function<std::optional<MachineWave>(const StoredRow&)> decodeWave;
    std::function<std::optional<Evacuation>(const StoredRow&)> decodeEvacuation;
    std::function<std::optional<ServerRecord>(const StoredRow&)> decodeServer;
    std::function<RowValue(const MachineWave&, bool completed)> encodeWaveStatus;
    // Decodes the steps and the command of a submitted job. Throws Error (Invalid).
    std::function<JobSpec(std::string_view body)> decodeJob;
    std::function<std::string(JobStatus)> encodeJobState;
    std::function<std::string(int waiting)> encodeWaitingCount;
};

struct FleetPlatform {
    RowStore store;
    ServerCalls servers;
    MachineCalls machines;
    PlatformFormats formats;
};

} // namespace waxwinglug
