// Units held, lent and requested: what needs no table.
#include <waxwinglug/allotments.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace waxwinglug {
namespace {

    // How long units are set aside for a node below its even part after its last request.
    constexpr Duration owedFor { std::chrono::seconds(1) };

    std::uint64_t settledTotal(const AllotmentHolder& borrower, const NodeId& donor)
    {
        const auto found = borrower.settled.find(donor);
        return found == borrower.settled.end() ? 0 : found->second;
    }

    int difference(std::uint64_t total, std::uint64_t settled)
    {
        return total > settled ? static_cast<int>(total - settled) : 0;
    }

} // namespace

Allotments::Allotments(NodeId selfId, const AllotmentSettings& allotmentSettings, Clock clockHooks, Table tableHooks,
    AllotmentHooks peerHooks)
    : self(std::move(selfId))
    , settings(allotmentSettings)
    , clock(std::move(clockHooks))
    , table(std::move(tableHooks))
    , hooks(std::move(peerHooks))
{
}

Allotments::Resource* Allotments::find(std::string_view resource)
{
    const auto found = this->resources.find(resource);
    return found == this->resources.end() ? nullptr : &found->second;
}

const Allotments::Resource* Allotments::find(std::string_view resource) const
{
    const auto found = this->resources.find(resource);
    return found == this->resources.end() ? nullptr : &found->second;
}

void Allotments::setLimit(std::string_view name, int limit, std::uint64_t version)
{
    auto& resource = this->resources[std::string(name)];
    resource.name = name;
    if (version < resource.limitVersion)
        return;
    resource.limit = limit;
    resource.limitVersion = version;
}

void Allotments::setWaiting(std::string_view name, int waiting)
{
    if (auto* resource = this->find(name))
        resource->waiting = waiting;
}

int Allotments::held(const Resource& resource) const
{
    const auto* own = resource.row.find(this->self);
    if (!own || resource.ended)
        return 0;
    auto units = own->units;
    for (const auto& [peer, pair] : resource.pairs) {
        const auto* holder = resource.row.find(peer);
        if (!holder)
            continue;
        units += difference(pair.received, settledTotal(*own, peer));
        units -= difference(pair.lent, settledTotal(*holder, this->self));
    }
    return units - std::max(resource.loweredInFlight, resource.loweredUnknown);
}

int Allotments::effectiveLimit(const Resource& resource) const
{
    return resource.limitVersion >= resource.row.limitVersion ? resource.limit : resource.row.limit;
}

int Allotments::usable(const Resource& resource) const
{
    if (this->leaving)
        return 0;
    auto units = this->held(resource);
    // While a lowered limit is not yet in force, each holder starts work only within its part of it.
    const auto limit = this->effectiveLimit(resource);
    if (const auto sum = resource.row.sum(); sum > limit)
        units = static_cast<int>(std::int64_t { units } * limit / sum);
    return units - resource.owed;
}

bool Allotments::holdsFreeUnit(std::string_view name) const
{
    const auto* resource = this->find(name);
    return resource && resource->running < this->usable(*resource);
}

bool Allotments::acquire(std::string_view name)
{
    auto* resource = this->find(name);
    if (!resource || resource->running >= this->usable(*resource))
        return false;
    ++resource->running;
    return true;
}

void Allotments::release(std::string_view name)
{
    auto* resource = this->find(name);
    if (!resource || resource->running == 0)
        return;
    --resource->running;
    if (resource->owed > 0)
        this->payOwed(*resource);
}

int Allotments::held(std::string_view name) const
{
    const auto* resource = this->find(name);
    return resource ? this->held(*resource) : 0;
}

int Allotments::running(std::string_view name) const
{
    const auto* resource = this->find(name);
    return resource ? resource->running : 0;
}

int Allotments::target(const Resource& resource) const
{
    if (this->leaving)
        return 0;
    const auto demand = resource.running + resource.waiting;
    // The rounding error of the quotient must not ask for one unit more.
    const auto wanted = static_cast<int>(std::ceil(demand / this->settings.requestAt - 1e-9));
    return std::min(wanted, this->effectiveLimit(resource));
}

bool Allotments::reachable(const Resource& resource, const NodeId& peer) const
{
    const auto* holder = resource.row.find(peer);
    return holder && !holder->gone && peer != this->self && !resource.refused.contains(peer);
}

int Allotments::lendable(const Resource& resource, const NodeId& borrower) const
{
    const auto* own = resource.row.find(this->self);
    if (!own)
        return 0;
    auto backed = own->units - std::max(resource.loweredInFlight, resource.loweredUnknown);
    for (const auto& [peer, pair] : resource.pairs) {
        const auto* holder = resource.row.find(peer);
        if (!holder)
            continue;
        const auto net = difference(pair.lent, settledTotal(*holder, this->self))
            - difference(pair.received, settledTotal(*own, peer));
        backed -= peer == borrower ? net : std::max(net, 0);
    }
    return backed;
}

void Allotments::lend(Resource& resource, const NodeId& borrower, int units)
{
    const auto free = this->held(resource) - resource.running;
    units = std::min({ units, free, this->lendable(resource, borrower) });
    if (units <= 0 || resource.ended || !this->reachable(resource, borrower))
        return;
    auto& pair = resource.pairs[borrower];
    // A settlement by this node may have counted more than what was sent in this table view; totals only grow.
    pair.lent += static_cast<std::uint64_t>(units);
    this->hooks.sendLoan(borrower, { resource.name, this->self, borrower, pair.lent, false });
}

void Allotments::payOwed(Resource& resource)
{
    if (resource.owed == 0)
        return;
    const auto before = this->held(resource);
    this->lend(resource, resource.owedTo, resource.owed);
    resource.owed -= before - this->held(resource);
    if (this->clock.now() >= resource.owedUntil || !this->reachable(resource, resource.owedTo))
        resource.owed = 0;
}

void Allotments::onRequest(const UnitRequest& request)
{
    auto* resource = this->find(request.resource);
    if (!resource || !this->reachable(*resource, request.from))
        return;
    auto& last = resource->lastSerial[request.from];
    if (request.serial <= last)
        return;
    last = request.serial;
    const auto units = this->held(*resource);
    // Without urgency only what lies above this node's own early request is given.
    const auto kept = request.urgent ? resource->running + resource->waiting : this->target(*resource);
    this->lend(*resource, request.from, std::min(request.wanted, units - kept));
    // A holder that is always busy would starve one without units, so it yields down to the even part.
    const auto even
        = this->effectiveLimit(*resource) / std::max<int>(1, static_cast<int>(resource->row.holders.size()));
    const auto lent = units - this->held(*resource);
    if (request.urgent && lent == 0 && request.held < even && units > even) {
        resource->owed = std::min({ request.wanted, even - request.held, units - even });
        resource->owedTo = request.from;
        resource->owedUntil = this->clock.now() + owedFor;
    }
}

void Allotments::onLoan(const UnitLoan& loan)
{
    auto* resource = this->find(loan.resource);
    if (!resource || resource->ended)
        return;
    if (loan.receipt) {
        if (loan.donor != this->self || !resource->row.find(loan.borrower))
            return;
        auto& pair = resource->pairs[loan.borrower];
        pair.confirmedLent = std::max(pair.confirmedLent, loan.total);
        return;
    }
    // Only a node that the row names may borrow: the evidence that a gone donor's units are free rests on all borrowers
    // having confirmed there.
    // A node that leaves settles what it has; what it refuses returns to the donor once the row no longer names it.
    if (this->leaving || loan.borrower != this->self || !resource->row.find(this->self)
        || !this->reachable(*resource, loan.donor))
        return;
    auto& pair = resource->pairs[loan.donor];
    pair.received = std::max(pair.received, loan.total);
    auto receipt = loan;
    receipt.total = pair.received;
    receipt.receipt = true;
    this->hooks.sendLoan(loan.donor, receipt);
}

void Allotments::requestUnits(Resource& resource, int wanted)
{
    const bool urgent = resource.running + resource.waiting > this->usable(resource);
    ++resource.serial;
    for (const auto& holder : resource.row.holders) {
        if (!this->reachable(resource, holder.node))
            continue;
        this->hooks.sendRequest(
            holder.node, { resource.name, this->self, resource.serial, wanted, this->held(resource), urgent });
    }
}

void Allotments::sendMessages(Resource& resource)
{
    this->payOwed(resource);
    const auto now = this->clock.now();
    if (now - resource.lastMessages < this->settings.repeat || resource.ended)
        return;
    resource.lastMessages = now;
    for (const auto& [peer, pair] : resource.pairs) {
        const auto* holder = resource.row.find(peer);
        if (!holder || pair.lent <= std::max(pair.confirmedLent, settledTotal(*holder, this->self)))
            continue;
        this->hooks.sendLoan(peer, { resource.name, this->self, peer, pair.lent, false });
    }
    const auto wanted = this->target(resource) - this->usable(resource);
    const auto inRow = this->tableDown ? 0 : this->effectiveLimit(resource) - resource.row.sum();
    if (wanted > std::max(inRow, 0) && resource.registered)
        this->requestUnits(resource, wanted);
}

void Allotments::leave()
{
    this->leaving = true;
    for (auto& [name, resource] : this->resources)
        resource.owed = 0;
}

bool Allotments::left() const
{
    return this->leaving && std::ranges::all_of(this->resources, [](const auto& item) { return item.second.ended; });
}

} // namespace waxwinglug
