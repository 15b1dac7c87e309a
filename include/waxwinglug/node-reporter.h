// The row `report/<node name>` of an entry VM, from which the maintainer learns drain confirmations and running work.
//
// Every write is conditional on the version that was read just before it, so a late write of a paused process never
// replaces the report of a later one, and a lost answer is settled by the next read.
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

    // What the next write reports. VMs without running work are left out.
    void update(std::uint64_t journalApplied, std::map<std::string, int> runningWorkByVm);
    // Writes when it is time. Nothing is written before the first update.
    void tick();

    // The row holds what the last update said.
    bool isUpToDate() const { return this->pendingValue == this->storedValue; }
    // The row belongs to a later process of the same name; nothing is written any more.
    bool isSuperseded() const { return this->superseded; }

private:
    void onRow(const Row& row);

    const NodeId self;
    const std::string dataCentre;
    Table table;
    Clock clock;
    // Values of the row; empty: none yet.
    std::string pendingValue;
    std::string storedValue;
    std::optional<TimePoint> lastAttempt;
    bool isRequestPending = false;
    bool superseded = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

// The reports in these rows. A row that cannot be read is left out, so its node counts as missing and holds drains up.
std::vector<NodeReport> parseNodeReports(std::span<const Row> rows);
// Scans all report rows. The handler gets nothing when the table does not answer.
void readNodeReports(const Table& table, std::function<void(std::optional<std::vector<NodeReport>>)> handler);

} // namespace waxwinglug
