// JSON encoding of the allotment row and of the unit request and loan messages.
#include <waxwinglug/allotments.h>

#include <algorithm>

namespace waxwinglug {
namespace {

    Json encode(const NodeId& node) { return Json::array({ node.name, node.incarnation }); }

    NodeId decode(const Json& json) { return { json.at(0).get<std::string>(), json.at(1).get<std::uint64_t>() }; }

} // namespace

const AllotmentHolder* AllotmentRow::find(const NodeId& node) const
{
    const auto found
        = std::ranges::find_if(this->holders, [&](const AllotmentHolder& holder) { return holder.node == node; });
    return found == this->holders.end() ? nullptr : &*found;
}

AllotmentHolder* AllotmentRow::find(const NodeId& node)
{
    return const_cast<AllotmentHolder*>(std::as_const(*this).find(node));
}

int AllotmentRow::totalUnits() const
{
    int sum = 0;
    for (const auto& holder : this->holders)
        sum += holder.units;
    return sum;
}

void to_json(Json& json, const UnitRequest& message) // NOLINT(readability-identifier-naming)
{
    json = { { "resource", message.resource }, { "from", encode(message.from) }, { "serial", message.serial },
        { "wanted", message.wantedUnits }, { "held", message.heldUnits }, { "urgent", message.urgent } };
}

void from_json(const Json& json, UnitRequest& message) // NOLINT(readability-identifier-naming)
{
    json.at("resource").get_to(message.resource);
    message.from = decode(json.at("from"));
    json.at("serial").get_to(message.serial);
    json.at("wanted").get_to(message.wantedUnits);
    json.at("held").get_to(message.heldUnits);
    json.at("urgent").get_to(message.urgent);
}

void to_json(Json& json, const UnitLoan& message) // NOLINT(readability-identifier-naming)
{
    json = { { "resource", message.resource }, { "donor", encode(message.donor) },
        { "borrower", encode(message.borrower) }, { "total", message.lentTotal }, { "receipt", message.isReceipt } };
}

void from_json(const Json& json, UnitLoan& message) // NOLINT(readability-identifier-naming)
{
    json.at("resource").get_to(message.resource);
    message.donor = decode(json.at("donor"));
    message.borrower = decode(json.at("borrower"));
    json.at("total").get_to(message.lentTotal);
    json.at("receipt").get_to(message.isReceipt);
}

void to_json(Json& json, const AllotmentRow& row) // NOLINT(readability-identifier-naming)
{
    auto holders = Json::array();
    for (const auto& holder : row.holders) {
        auto reconciledLoans = Json::array();
        for (const auto& [donor, total] : holder.reconciledLoans)
            reconciledLoans.push_back({ encode(donor), total });
        auto confirmedGone = Json::array();
        for (const auto& gone : holder.confirmedGone)
            confirmedGone.push_back(encode(gone));
        holders.push_back({ { "node", encode(holder.node) }, { "units", holder.units }, { "gone", holder.gone },
            { "settled", std::move(reconciledLoans) }, { "confirmed", std::move(confirmedGone) } });
    }
    json = { { "limit", row.limit }, { "limitVersion", row.limitVersion }, { "holders", std::move(holders) } };
}

void from_json(const Json& json, AllotmentRow& row) // NOLINT(readability-identifier-naming)
{
    json.at("limit").get_to(row.limit);
    json.at("limitVersion").get_to(row.limitVersion);
    row.holders.clear();
    for (const auto& item : json.at("holders")) {
        AllotmentHolder holder;
        holder.node = decode(item.at("node"));
        item.at("units").get_to(holder.units);
        item.at("gone").get_to(holder.gone);
        for (const auto& loan : item.at("settled"))
            holder.reconciledLoans[decode(loan.at(0))] = loan.at(1).get<std::uint64_t>();
        for (const auto& gone : item.at("confirmed"))
            holder.confirmedGone.insert(decode(gone));
        row.holders.push_back(std::move(holder));
    }
}

} // namespace waxwinglug
