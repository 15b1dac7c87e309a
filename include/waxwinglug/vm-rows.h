// The maintenance rows, and the view of the VM rows that each entry VM keeps.
//
// Every write of `vm/<name>` also writes `vm-journal/<data centre>` in the same transaction. A reader that has applied
// journal sequence s therefore has every VM row of the data centre in the state of sequence s or later.
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

// State of a VM. Entry VMs send work only to VMs in Serving and, at a reduced rate, in SlowStart.
enum class VmPhase {
    Serving,
    Draining, // planned maintenance; gets no new work, finishes running work
    Rebooting, // planned maintenance; its work has ended and the reboot may be ordered
    Failed, // unplanned; the VM list does not show it as live
    Probing, // live again, not yet checked
    SlowStart,
};

std::string_view phaseName(VmPhase phase);

// Row `vm/<name>`.
struct VmRow {
    std::string pool;
    VmPhase phase = VmPhase::Serving;
    // The incarnation of the VM that the row describes; the VM list may already show a greater one.
    std::uint64_t incarnation = 0;
    // The wave run ("name#run") that is draining the VM or that maintained it last.
    std::string wave;
    // Start of the phase.
    WallTime since;
    // Journal sequence of the transaction that wrote the row. Entry VMs confirm a drain by applying it.
    std::uint64_t sequence = 0;
    // The VM has not returned in time, and the wave has counted it as failed.
    bool overdue = false;

    bool operator==(const VmRow&) const = default;
};

// Row `budget/<pool>`: VMs of the pool that are out of service for planned maintenance, ordered by name.
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

// Row `wave/<name>`. Operators start, resume and cancel a run by conditional writes; the active maintainer pauses and
// completes it.
struct WaveRow {
    // Incremented by each start; "name#run" in a VM row marks the VM as maintained by this run.
    std::uint64_t run = 0;
    WaveState state = WaveState::Running;
    WallTime startedAt;
    // VMs of the wave that failed within the failure window.
    std::vector<WaveFailure> failures;
    // Why the wave is paused.
    std::string reason;

    bool operator==(const WaveRow&) const = default;
};

// Row `lease/maintain`. Every transaction of the maintainer renews the lease conditionally on the row's version, so a
// late transaction of a former holder is rejected as a whole.
struct LeaseRow {
    std::string holder;
    std::uint64_t incarnation = 0;
    // Incremented by each renewal, so that other instances can see that the holder is alive without comparing wall
    // clocks.
    std::uint64_t renewals = 0;

    bool operator==(const LeaseRow&) const = default;
};

// Row `vm-journal/<data centre>`.
struct JournalRow {
    // Maximum length of `changed`. Readers poll once a second, so they can follow up to 64 changes per second without
    // reading all rows.
    static constexpr std::size_t ringSize = 64;

    // Sequence number of the last entry; 0 when there is none.
    std::uint64_t sequence = 0;
    // Names of the last changed VMs, oldest first.
    std::vector<std::string> changed;

    void append(std::string_view vm);
    // The VMs changed after sequence `applied`, without duplicates; nullopt when the entries no longer reach back so
    // far.
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

// An entry VM's copy of the VM rows of one data centre. While the store does not answer, the last rows stay valid.
class VmView {
public:
    // `vmNames` returns the VMs of the data centre in the active configuration. Their rows are all read when the view
    // is new or has fallen behind the journal.
    VmView(Table table, std::string_view dataCentre, std::function<std::vector<std::string>()> vmNames);

    // Reads the journal and the rows that it lists as changed. Called about once a second; does nothing while a read is
    // in progress.
    void poll();
    // Makes the next poll read all rows, for example because the set of configured VMs has changed.
    void requestFullRead() { this->needsFullRead = true; }

    // Null for a VM without a row; such a VM serves its configured pool.
    const VmRow* find(std::string_view vm) const;
    // The view contains every change up to this journal sequence. Entry VMs report it in NodeReport::applied.
    std::uint64_t appliedSequence() const { return this->lastAppliedSequence; }

    // Called after a row in the view has changed.
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
    // Handlers keep a weak pointer to this and return when the view has been destroyed.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace waxwinglug
