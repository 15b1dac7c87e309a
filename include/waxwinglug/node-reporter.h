// Writes the row `report/<node name>`, in which an entry VM reports drain confirmations and running work to the
// maintainer.
//
// Every write is conditional on the version that was read just before it, so a late write of a paused process never
// replaces the report of a later one. A write whose answer was lost is resolved by the next read.
#pragma once

#include <waxwinglug/base.h>
#include <waxwinglug/json.h>
#include <waxwinglug/node-reports.h>
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

inline constexpr std::string_view reportPrefix = "report/";

std::string reportKey(std::string_view node);

void to_json(Json& json, const NodeReport& report); // NOLINT(readability-identifier-naming): looked up by the library
void from_json(const Json& json, NodeReport& report); // NOLINT(readability-identifier-naming)

// Writes the report of one entry VM when its content changes, at most once a second.
class NodeReporter {
public:
    static constexpr Duration writeInterval = std::chrono::seconds(1);

    NodeReporter(NodeId node, std::string_view dataCentre, Table rows, Clock source);

    // Sets the content of the next write. VMs without running work are left out.
    void update(std::uint64_t journalApplied, std::map<std::string, int> runningWorkByVm);
    // Writes the row if its content has changed and the last attempt is at least `writeInterval` ago. Writes nothing
    // before the first update.
    void tick();

    // True when the row contains the last update.
    bool isUpToDate() const { return this->pendingValue == this->storedValue; }
    // True when a later process of the same name has written the row; this one then stops writing.
    bool isSuperseded() const { return this->superseded; }

private:
    void onRow(const Row& row);

    const NodeId self;
    const std::string dataCentre;
    Table table;
    Clock clock;
    // Row values to write and last known as written; empty before the first.
    std::string pendingValue;
    std::string storedValue;
    std::optional<TimePoint> lastAttempt;
    bool isRequestPending = false;
    bool superseded = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

// Parses report rows. A row that cannot be parsed is left out, so its node counts as unconfirmed and delays drains.
std::vector<NodeReport> parseNodeReports(std::span<const Row> rows);
// Reads all report rows. The handler receives nullopt when the table does not answer.
void readNodeReports(const Table& table, std::function<void(std::optional<std::vector<NodeReport>>)> handler);

} // namespace waxwinglug
