// Keys and JSON forms of the maintenance rows.
#include <waxwinglug/vm-rows.h>

#include <algorithm>
#include <array>

namespace waxwinglug {
namespace {

    constexpr std::array<std::string_view, 6> phaseNames {
        "serving",
        "draining",
        "rebooting",
        "failed",
        "probing",
        "slow-start",
    };
    constexpr std::array<std::string_view, 4> waveStateNames { "running", "paused", "done", "cancelled" };

    // Returns the enumerator with this name. Throws Error (Invalid) for an unknown name, which a newer version of the
    // program must have written.
    template <typename Enum, std::size_t Size>
    Enum parseEnum(const std::array<std::string_view, Size>& names, const std::string& name)
    {
        const auto found = std::find(names.begin(), names.end(), name);
        if (found == names.end())
            throw Error(ErrorKind::Invalid, "unknown state '" + name + "' in a row", "update this node");
        return static_cast<Enum>(found - names.begin());
    }

    std::string makeKey(std::string_view prefix, std::string_view name) { return std::string(prefix).append(name); }

    std::int64_t toMilliseconds(WallTime at) { return at.time_since_epoch().count(); }

    WallTime toWallTime(const Json& json) { return WallTime(Duration(json.get<std::int64_t>())); }

} // namespace

std::string_view phaseName(VmPhase phase) { return phaseNames.at(static_cast<std::size_t>(phase)); }

std::string vmKey(std::string_view vm) { return makeKey(vmPrefix, vm); }
std::string budgetKey(std::string_view pool) { return makeKey(budgetPrefix, pool); }
std::string waveKey(std::string_view wave) { return makeKey(wavePrefix, wave); }
std::string journalKey(std::string_view dataCentre) { return makeKey("vm-journal/", dataCentre); }

void JournalRow::append(std::string_view vm)
{
    ++this->sequence;
    this->changed.emplace_back(vm);
    if (this->changed.size() > ringSize)
        this->changed.erase(this->changed.begin());
}

std::optional<std::vector<std::string>> JournalRow::changedSince(std::uint64_t applied) const
{
    // The sequence can be smaller than `applied` only if the platform has lost writes.
    if (applied > this->sequence || this->sequence - applied > this->changed.size())
        return std::nullopt;
    const auto count = static_cast<std::ptrdiff_t>(this->sequence - applied);
    std::vector<std::string> names(this->changed.end() - count, this->changed.end());
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    return names;
}

void to_json(Json& json, const VmRow& row)
{
    json = { { "pool", row.pool }, { "phase", phaseName(row.phase) }, { "incarnation", row.incarnation },
        { "since", toMilliseconds(row.since) }, { "sequence", row.sequence } };
    if (!row.wave.empty())
        json["wave"] = row.wave;
    if (row.overdue)
        json["overdue"] = true;
}

void from_json(const Json& json, VmRow& row)
{
    row.pool = json.at("pool").get<std::string>();
    row.phase = parseEnum<VmPhase>(phaseNames, json.at("phase").get<std::string>());
    row.incarnation = json.at("incarnation").get<std::uint64_t>();
    row.since = toWallTime(json.at("since"));
    row.sequence = json.at("sequence").get<std::uint64_t>();
    row.wave = json.value("wave", "");
    row.overdue = json.value("overdue", false);
}

void to_json(Json& json, const BudgetRow& row) { json = { { "planned", row.planned } }; }

void from_json(const Json& json, BudgetRow& row) { row.planned = json.at("planned").get<std::vector<std::string>>(); }

void to_json(Json& json, const WaveFailure& failure)
{
    json = { { "vm", failure.vm }, { "at", toMilliseconds(failure.at) } };
}

void from_json(const Json& json, WaveFailure& failure)
{
    failure.vm = json.at("vm").get<std::string>();
    failure.at = toWallTime(json.at("at"));
}

void to_json(Json& json, const WaveRow& row)
{
    json = { { "run", row.run }, { "state", waveStateNames.at(static_cast<std::size_t>(row.state)) },
        { "startedAt", toMilliseconds(row.startedAt) }, { "failures", row.failures }, { "reason", row.reason } };
}

void from_json(const Json& json, WaveRow& row)
{
    row.run = json.at("run").get<std::uint64_t>();
    row.state = parseEnum<WaveState>(waveStateNames, json.at("state").get<std::string>());
    row.startedAt = toWallTime(json.at("startedAt"));
    row.failures = json.at("failures").get<std::vector<WaveFailure>>();
    row.reason = json.at("reason").get<std::string>();
}

void to_json(Json& json, const LeaseRow& row)
{
    json = { { "holder", row.holder }, { "incarnation", row.incarnation }, { "renewals", row.renewals } };
}

void from_json(const Json& json, LeaseRow& row)
{
    row.holder = json.at("holder").get<std::string>();
    row.incarnation = json.at("incarnation").get<std::uint64_t>();
    row.renewals = json.at("renewals").get<std::uint64_t>();
}

void to_json(Json& json, const JournalRow& row) { json = { { "sequence", row.sequence }, { "changed", row.changed } }; }

void from_json(const Json& json, JournalRow& row)
{
    row.sequence = json.at("sequence").get<std::uint64_t>();
    row.changed = json.at("changed").get<std::vector<std::string>>();
}

} // namespace waxwinglug
