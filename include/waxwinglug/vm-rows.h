// The rows of the maintenance side, and the view of the VM rows that an entry VM keeps.
//
// Every write of `vm/<name>` also writes `vm-journal/<data centre>` in the same transaction, so a reader that has
// applied journal sequence s has seen every VM row at least as new as the write with that sequence.
#pragma once

#include <waxwinglug/base.h>
#include <waxwinglug/json.h>
#include <waxwinglug/platform.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglug {

// What a VM is doing. Entry VMs send work only in Serving and, at a reduced rate, in SlowStart.
enum class VmPhase {
    Serving,
    Draining, // planned; no new work, running work goes on
    Rebooting, // planned; its work has ended and the reboot may be ordered
    Failed, // unplanned; not on the VM list as live
    Probing, // live again, not yet checked
    SlowStart,
};

std::string_view phaseName(VmPhase phase);

// Row `vm/<name>`.
struct VmRow {
    std::string pool;
    VmPhase phase = VmPhase::Serving;
    // The run of the VM that the row speaks of; the list may already show a greater one.
    std::uint64_t incarnation = 0;
    // The wave run ("name#run") that drains the VM, or that maintained it last.
    std::string wave;
    // Start of the phase.
    WallTime since;
    // Journal sequence of the transaction that wrote the row. Confirmation of a drain waits for it.
    std::uint64_t sequence = 0;
    // The VM has not come back in time, and the wave has counted it as failed.
    bool overdue = false;

    bool operator==(const VmRow&) const = default;
};

// Row `budget/<pool>`: VMs of the pool that planned work holds out of service, in name order.
struct BudgetRow {
    std::vector<std::string> planned;

    bool operator==(const BudgetRow&) const = default;
};

enum class WaveState {
    Running,
    Paused,
    Done,
    Cancelled,
};

struct WaveFailure {
    std::string vm;
    WallTime at;

    bool operator==(const WaveFailure&) const = default;
};

// Row `wave/<name>`. Operators start, resume and cancel by conditional writes; the active maintainer pauses and ends.
struct WaveRow {
    // Grows with each start; "name#run" in a VM row marks the VM as maintained by this run.
    std::uint64_t run = 0;
    WaveState state = WaveState::Running;
    WallTime startedAt;
    // Failures of VMs of the wave within the failure window.
    std::vector<WaveFailure> failures;
    // Why the wave is paused.
    std::string reason;

    bool operator==(const WaveRow&) const = default;
};

// Row `lease/maintain`. Every write of the maintainer includes a renewal, conditional on the row's version, so that a
// former holder's late transaction conflicts as a whole.
struct LeaseRow {
    std::string holder;
    std::uint64_t incarnation = 0;
    // Counts renewals, so that watchers see a live holder without comparing wall clocks.
    std::uint64_t renewals = 0;

    bool operator==(const LeaseRow&) const = default;
};

// Row `vm-journal/<data centre>`.
struct JournalRow {
    // Changed VMs kept; a reader polls once a second, which this covers at 64 changes a second.
    static constexpr std::size_t ringSize = 64;

    // Sequence of the last entry; 0: no entry yet.
    std::uint64_t sequence = 0;
    // Names of the last changed VMs, oldest first.
    std::vector<std::string> changed;

    void append(std::string_view vm);
    // The VMs changed after `applied`, each once. Nothing when the ring no longer reaches back so far.
    std::optional<std::vector<std::string>> changedSince(std::uint64_t applied) const;

    bool operator==(const JournalRow&) const = default;
};

inline constexpr std::string_view vmPrefix = "vm/";
inline constexpr std::string_view budgetPrefix = "budget/";
inline constexpr std::string_view wavePrefix = "wave/";
inline constexpr std::string_view maintainLeaseKey = "lease/maintain";

std::string vmKey(std::string_view vm);
std::string budgetKey(std::string_view pool);
std::string waveKey(std::string_view wave);
std::string journalKey(std::string_view dataCentre);

void to_json(Json& json, const VmRow& row);
void from_json(const Json& json, VmRow& row);
void to_json(Json& json, const BudgetRow& row);
void from_json(const Json& json, BudgetRow& row);
void to_json(Json& json, const WaveFailure& failure);
void from_json(const Json& json, WaveFailure& failure);
void to_json(Json& json, const WaveRow& row);
void from_json(const Json& json, WaveRow& row);
void to_json(Json& json, const LeaseRow& row);
void from_json(const Json& json, LeaseRow& row);
void to_json(Json& json, const JournalRow& row);
void from_json(const Json& json, JournalRow& row);

// The VM rows of one data centre as an entry VM sees them. While the store does not answer, the last rows stay valid.
class VmView {
public:
    // `vmNames` gives the VMs of the data centre in the configuration in force; they are read when the view is new or
    // fell behind the journal.
    VmView(Table table, std::string_view dataCentre, std::function<std::vector<std::string>()> vmNames);

    // Reads the journal and what it names as changed. Called about once a second; does nothing while a read is open.
    void poll();
    // Reads all rows with the next poll, for example because the configuration names other VMs.
    void requestFullRead() { this->needsFullRead = true; }

    // Null for a VM without a row: it serves the pool of the configuration.
    const VmRow* find(std::string_view vm) const;
    // Every change up to this journal sequence is in the view. Reported in heartbeats as `VM journal applied`.
    std::uint64_t appliedSequence() const { return this->lastAppliedSequence; }

    // Called after a row changed in the view.
    std::function<void(const std::string& vm, const VmRow& row)> onChange;

private:
    struct Entry {
        VmRow row;
        std::uint64_t version = 0;
    };

    void readChanged(const Row& journal);
    void apply(std::span<const Row> rows);

    Table table;
    std::string journalRowKey;
    std::function<std::vector<std::string>()> vmNames;
    std::map<std::string, Entry, std::less<>> entries;
    std::uint64_t lastAppliedSequence = 0;
    bool needsFullRead = true;
    bool isReading = false;
    // Handlers that run after the view is gone find this expired.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace waxwinglug
