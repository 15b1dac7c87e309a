// Writes the row `report/<node name>` of an entry VM.
#include <waxwinglug/node-reporter.h>

namespace waxwinglug {

std::string reportKey(std::string_view node) { return std::string(reportPrefix).append(node); }

void to_json(Json& json, const NodeReport& report)
{
    json = { { "name", report.node.name }, { "incarnation", report.node.incarnation },
        { "dataCentre", report.dataCentre }, { "applied", report.applied }, { "work", report.work } };
}

void from_json(const Json& json, NodeReport& report)
{
    json.at("name").get_to(report.node.name);
    json.at("incarnation").get_to(report.node.incarnation);
    json.at("dataCentre").get_to(report.dataCentre);
    json.at("applied").get_to(report.applied);
    json.at("work").get_to(report.work);
}

NodeReporter::NodeReporter(NodeId node, std::string_view ownDataCentre, Table rows, Clock source)
    : self(std::move(node))
    , dataCentre(ownDataCentre)
    , table(std::move(rows))
    , clock(std::move(source))
{
}

void NodeReporter::update(std::uint64_t journalApplied, std::map<std::string, int> runningWorkByVm)
{
    std::erase_if(runningWorkByVm, [](const auto& item) { return item.second <= 0; });
    this->pendingValue
        = toJson(NodeReport { this->self, this->dataCentre, journalApplied, std::move(runningWorkByVm) });
}

void NodeReporter::tick()
{
    const auto now = this->clock.now();
    if (this->isRequestPending || this->superseded || this->isUpToDate())
        return;
    if (this->lastAttempt && now - *this->lastAttempt < writeInterval)
        return;
    this->isRequestPending = true;
    this->lastAttempt = now;
    this->table.read({ reportKey(this->self.name) }, [this, weak = std::weak_ptr(this->alive)](const auto& rows) {
        if (weak.expired())
            return;
        this->isRequestPending = false;
        if (rows && !rows->empty())
            this->onRow(rows->front());
    });
}

void NodeReporter::onRow(const Row& row)
{
    const auto reports = parseNodeReports({ &row, 1 });
    if (!reports.empty() && reports.front().node.incarnation > this->self.incarnation) {
        this->superseded = true;
        return;
    }
    if (row.version && row.value == this->pendingValue) {
        this->storedValue = row.value;
        return;
    }
    this->isRequestPending = true;
    this->table.commit({ { row.key, this->pendingValue, row.version } },
        [this, value = this->pendingValue, weak = std::weak_ptr(this->alive)](const CommitResult& result) {
            if (weak.expired())
                return;
            this->isRequestPending = false;
            // After any other result, the next attempt reads the row again and so finds out whether the write took
            // effect.
            if (result.status == CommitStatus::Committed)
                this->storedValue = value;
        });
}

std::vector<NodeReport> parseNodeReports(std::span<const Row> rows)
{
    std::vector<NodeReport> reports;
    for (const auto& row : rows) {
        if (!row.version)
            continue;
        try {
            reports.push_back(fromJson<NodeReport>(row.value));
        } catch (const Error&) {
            continue;
        }
    }
    return reports;
}

void readNodeReports(const Table& table, std::function<void(std::optional<std::vector<NodeReport>>)> handler)
{
    table.scan(std::string(reportPrefix), [handler = std::move(handler)](const auto& rows) {
        if (rows)
            handler(parseNodeReports(*rows));
        else
            handler(std::nullopt);
    });
}

} // namespace waxwinglug
