// Hooks for the platform's services: transactional table, object store, VM list and VM control.
//
// Handlers run asynchronously on the control thread, never during the call that passes them.
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
    // Increases with every write of the row; 0 if the row does not exist.
    std::uint64_t version = 0;
};

struct RowWrite {
    std::string key;
    // Empty: deletes the row.
    std::optional<std::string> value;
    // The write is applied only if the row has this version; 0 requires that the row does not exist.
    std::uint64_t expectedVersion = 0;
};

enum class CommitStatus {
    Committed,
    Conflict, // nothing was applied; at least one row has another version
    Unavailable, // nothing was applied
    Rejected, // nothing was applied, and the same transaction would be rejected again
    Unknown, // the answer was lost; either all writes were applied or none
};

struct CommitResult {
    CommitStatus status = CommitStatus::Unavailable;
    // With Conflict: the current state of the rows whose versions did not match.
    std::vector<Row> conflicts;
};

// Empty optional: the store did not answer.
using RowsHandler = std::function<void(std::optional<std::vector<Row>>)>;
using CommitHandler = std::function<void(CommitResult)>;

// The transactional table. A commit applies all its writes or none.
struct Table {
    // Reads the rows with these keys, in this order; a row that does not exist has version 0.
    std::function<void(std::vector<std::string> keys, RowsHandler)> read;
    // Reads all rows whose key starts with the prefix, in key order.
    std::function<void(std::string prefix, RowsHandler)> scan;
    std::function<void(std::vector<RowWrite> writes, CommitHandler)> commit;
};

struct ObjectStore {
    // Stores an object. A name is never reused for other content. The handler gets true once the object is stored.
    std::function<void(std::string name, std::string content, std::function<void(bool)>)> put;
    // The handler gets an empty optional when the object does not exist or the store does not answer.
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
    // Increases with every start of the VM.
    std::uint64_t incarnation = 0;
};

// The list of all VMs, of backend servers and entry VMs. It is eventually consistent. Empty optional: no answer.
struct VmList {
    std::function<void(std::function<void(std::optional<std::vector<VmStatus>>)>)> list;
};

// Orders to the platform for one VM. Every order may be repeated safely. The handler gets true once the order is
// accepted.
struct VmControl {
    std::function<void(std::string vm, std::function<void(bool)>)> checkpoint;
    // Restarts the VM unless its incarnation is already greater than the given one.
    std::function<void(std::string vm, std::uint64_t incarnation, std::function<void(bool)>)> reboot;
};

struct Platform {
    Table table;
    ObjectStore objects;
    VmList vms;
    VmControl control;
};

} // namespace waxwinglug
