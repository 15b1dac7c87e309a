// Hooks over the platform's services: transactional table, object store, VM list and VM control.
//
// Handlers run later on the control thread, never from within the call that registers them.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglug {

struct Row {
    std::string key;
    std::string value;
    // Grows with every write of the row; 0 means that the row does not exist.
    std::uint64_t version = 0;
};

struct RowWrite {
    std::string key;
    // Empty optional: delete the row.
    std::optional<std::string> value;
    // The write is applied only if the row still has this version; 0: only if it does not exist.
    std::uint64_t expectedVersion = 0;
};

enum class CommitStatus {
    Committed,
    Conflict, // nothing was applied; at least one row had another version
    Unavailable, // nothing was applied
    Unknown, // the answer was lost; everything or nothing was applied
};

struct CommitResult {
    CommitStatus status = CommitStatus::Unavailable;
    // With Conflict: the current rows of the keys that did not match.
    std::vector<Row> conflicts;
};

// Empty optional: the store did not answer.
using RowsHandler = std::function<void(std::optional<std::vector<Row>>)>;
using CommitHandler = std::function<void(CommitResult)>;

// The transactional table. A commit applies all its writes or none.
struct Table {
    // Reads the named rows; a row that does not exist comes back with version 0.
    std::function<void(std::vector<std::string> keys, RowsHandler)> read;
    // Reads all rows whose key starts with the prefix, in key order.
    std::function<void(std::string prefix, RowsHandler)> scan;
    std::function<void(std::vector<RowWrite> writes, CommitHandler)> commit;
};

struct ObjectStore {
    // Stores an object under a name that is never used for other content; the handler gets true once it is stored.
    std::function<void(std::string name, std::string content, std::function<void(bool)>)> put;
    // The handler gets nothing when the object does not exist or the store does not answer.
    std::function<void(std::string name, std::function<void(std::optional<std::string>)>)> get;
};

enum class VmState {
    Live,
    Leaving,
    Gone,
};

struct VmStatus {
    std::string name;
    VmState state = VmState::Live;
    // New for each start of the VM.
    std::uint64_t incarnation = 0;
};

// The list of VMs, backend servers and entry VMs alike. It lags behind what is true.
struct VmList {
    std::function<void(std::function<void(std::optional<std::vector<VmStatus>>)>)> list;
};

// Orders to the platform about one VM. Every order may be repeated. The handler gets true once the order is accepted.
struct VmControl {
    std::function<void(std::string vm, std::function<void(bool)>)> checkpoint;
    // Starts the VM again unless it already has a greater incarnation than the one given.
    std::function<void(std::string vm, std::uint64_t incarnation, std::function<void(bool)>)> reboot;
};

struct Platform {
    Table table;
    ObjectStore objects;
    VmList vms;
    VmControl control;
};

} // namespace waxwinglug
