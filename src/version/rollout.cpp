// JSON of the roll-out's rows, and the common rights of two configurations.
#include "version/rollout-rows.h"

#include <fmt/format.h>

#include <algorithm>

namespace waxwinglug {
namespace {

    template <typename T> std::vector<T> commonItems(const std::vector<T>& left, const std::vector<T>& right)
    {
        std::vector<T> items;
        std::copy_if(left.begin(), left.end(), std::back_inserter(items),
            [&right](const T& item) { return std::find(right.begin(), right.end(), item) != right.end(); });
        return items;
    }

} // namespace

Config commonRights(const Config& active, const Config& proposed)
{
    const Team none { "", 0, 0, {}, {} };
    auto common = active;
    for (auto& [name, service] : common.services) {
        const auto other = proposed.services.find(name);
        service.allowsAnonymous
            = service.allowsAnonymous && other != proposed.services.end() && other->second.allowsAnonymous;
    }
    for (auto& [name, team] : common.teams) {
        const auto other = proposed.teams.find(name);
        const auto rights = other == proposed.teams.end() ? none : other->second;
        team.keys = commonItems(team.keys, rights.keys);
        team.services = commonItems(team.services, rights.services);
        team.limit = std::min(team.limit, rights.limit);
    }
    return common;
}

Config withoutRights(const Config& config) { return commonRights(config, Config {}); }

void to_json(Json& json, const Proposal& proposal)
{
    json = { { "version", proposal.version }, { "base", proposal.base }, { "applyId", proposal.applyId },
        { "state", static_cast<int>(proposal.state) }, { "excluded", proposal.excluded } };
}

void from_json(const Json& json, Proposal& proposal)
{
    json.at("version").get_to(proposal.version);
    json.at("base").get_to(proposal.base);
    json.at("applyId").get_to(proposal.applyId);
    proposal.state = static_cast<ProposalState>(json.at("state").get<int>());
    json.at("excluded").get_to(proposal.excluded);
}

void to_json(Json& json, const NodeRecord& node)
{
    json = { { "name", node.name }, { "incarnation", node.incarnation }, { "dataCentre", node.dataCentre },
        { "held", node.preparedVersion }, { "inForce", node.activeVersion },
        { "isolation", static_cast<int>(node.isolation) } };
}

void from_json(const Json& json, NodeRecord& node)
{
    json.at("name").get_to(node.name);
    json.at("incarnation").get_to(node.incarnation);
    json.at("dataCentre").get_to(node.dataCentre);
    json.at("held").get_to(node.preparedVersion);
    json.at("inForce").get_to(node.activeVersion);
    node.isolation = static_cast<Isolation>(json.at("isolation").get<int>());
}

void to_json(Json& json, const ConfigChange& change)
{
    json = { static_cast<int>(change.kind), change.section, change.key, change.before, change.after };
}

void from_json(const Json& json, ConfigChange& change)
{
    change = { static_cast<ConfigChange::Kind>(json.at(0).get<int>()), json.at(1).get<std::string>(),
        json.at(2).get<std::string>(), json.at(3).get<std::string>(), json.at(4).get<std::string>() };
}

} // namespace waxwinglug

namespace waxwinglug::detail {

void to_json(Json& json, const CurrentVersion& current)
{
    json = { { "version", current.version }, { "applyId", current.applyId } };
}

void from_json(const Json& json, CurrentVersion& current)
{
    json.at("version").get_to(current.version);
    json.at("applyId").get_to(current.applyId);
}

void to_json(Json& json, const Delta& delta)
{
    json = { { "base", delta.base }, { "applyId", delta.applyId }, { "hash", delta.hash },
        { "changes", delta.changes } };
}

void from_json(const Json& json, Delta& delta)
{
    json.at("base").get_to(delta.base);
    json.at("applyId").get_to(delta.applyId);
    json.at("hash").get_to(delta.hash);
    json.at("changes").get_to(delta.changes);
}

std::string deltaKey(std::uint64_t version) { return fmt::format("config/delta/{}", version); }

std::string objectName(std::uint64_t version) { return fmt::format("config/{}", version); }

} // namespace waxwinglug::detail
