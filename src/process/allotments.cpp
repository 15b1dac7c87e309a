// Allotments without table access: acquiring units, requests and loans between peers.
#include <waxwinglug/allotments.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace waxwinglug {
namespace {

    // How long units stay reserved for a node below its even share after its last request.
    constexpr Duration owedUnitsTimeout { std::chrono::seconds(1) };

    std::uint64_t reconciledTotal(const AllotmentHolder& borrower, const NodeId& donor)
    {
        const auto found = borrower.reconciledLoans.find(donor);
        return found == borrower.reconciledLoans.end() ? 0 : found->second;
    }

    int difference(std::uint64_t total, std::uint64_t reconciled)
    {
        return total > reconciled ? static_cast<int>(total - reconciled) : 0;
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

void Allotments::setWaiting(std::string_view name, int waitingCount)
{
    if (auto* resource = this->find(name))
        resource->waitingCount = waitingCount;
}

int Allotments::heldUnits(const Resource& resource) const
{
    const auto* own = resource.row.find(this->self);
    if (!own || resource.hasEnded)
        return 0;
    auto units = own->units;
    for (const auto& [peer, loans] : resource.peerLoans) {
        const auto* holder = resource.row.find(peer);
        if (!holder)
            continue;
        units += difference(loans.receivedUnits, reconciledTotal(*own, peer));
        units -= difference(loans.lentUnits, reconciledTotal(*holder, this->self));
    }
    return units - std::max(resource.unitsLoweredInFlight, resource.unitsLoweredUnconfirmed);
}

int Allotments::effectiveLimit(const Resource& resource) const
{
    return resource.limitVersion >= resource.row.limitVersion ? resource.limit : resource.row.limit;
}

int Allotments::usableUnits(const Resource& resource) const
{
    if (this->isLeaving)
        return 0;
    auto units = this->heldUnits(resource);
    // Until a lowered limit has taken effect in the row, each holder uses only its proportional part of it.
    const auto limit = this->effectiveLimit(resource);
    if (const auto sum = resource.row.totalUnits(); sum > limit)
        units = static_cast<int>(std::int64_t { units } * limit / sum);
    return units - resource.owedUnits;
}

bool Allotments::holdsFreeUnit(std::string_view name) const
{
    const auto* resource = this->find(name);
    return resource && resource->runningCount < this->usableUnits(*resource);
}

bool Allotments::acquire(std::string_view name)
{
    auto* resource = this->find(name);
    if (!resource || resource->runningCount >= this->usableUnits(*resource))
        return false;
    ++resource->runningCount;
    return true;
}

void Allotments::release(std::string_view name)
{
    auto* resource = this->find(name);
    if (!resource || resource->runningCount == 0)
        return;
    --resource->runningCount;
    if (resource->owedUnits > 0)
        this->lendOwedUnits(*resource);
}

int Allotments::heldUnits(std::string_view name) const
{
    const auto* resource = this->find(name);
    return resource ? this->heldUnits(*resource) : 0;
}

int Allotments::runningCount(std::string_view name) const
{
    const auto* resource = this->find(name);
    return resource ? resource->runningCount : 0;
}

int Allotments::targetUnits(const Resource& resource) const
{
    if (this->isLeaving)
        return 0;
    const auto demand = resource.runningCount + resource.waitingCount;
    // The offset keeps a rounding error of the quotient from requesting one unit too many.
    const auto wantedUnits = static_cast<int>(std::ceil(demand / this->settings.requestThreshold - 1e-9));
    return std::min(wantedUnits, this->effectiveLimit(resource));
}

bool Allotments::isReachable(const Resource& resource, const NodeId& peer) const
{
    const auto* holder = resource.row.find(peer);
    return holder && !holder->gone && peer != this->self && !resource.refusedPeers.contains(peer);
}

int Allotments::lendableUnits(const Resource& resource, const NodeId& borrower) const
{
    const auto* own = resource.row.find(this->self);
    if (!own)
        return 0;
    auto grantedUnits = own->units - std::max(resource.unitsLoweredInFlight, resource.unitsLoweredUnconfirmed);
    for (const auto& [peer, loans] : resource.peerLoans) {
        const auto* holder = resource.row.find(peer);
        if (!holder)
            continue;
        const auto net = difference(loans.lentUnits, reconciledTotal(*holder, this->self))
            - difference(loans.receivedUnits, reconciledTotal(*own, peer));
        grantedUnits -= peer == borrower ? net : std::max(net, 0);
    }
    return grantedUnits;
}

void Allotments::lend(Resource& resource, const NodeId& borrower, int units)
{
    const auto freeUnits = this->heldUnits(resource) - resource.runningCount;
    units = std::min({ units, freeUnits, this->lendableUnits(resource, borrower) });
    if (units <= 0 || resource.hasEnded || !this->isReachable(resource, borrower))
        return;
    auto& loans = resource.peerLoans[borrower];
    // The total only grows; it may include loans that the row has reconciled and that this node has not read yet.
    loans.lentUnits += static_cast<std::uint64_t>(units);
    this->hooks.sendLoan(borrower, { resource.name, this->self, borrower, loans.lentUnits, false });
}

void Allotments::lendOwedUnits(Resource& resource)
{
    if (resource.owedUnits == 0)
        return;
    const auto before = this->heldUnits(resource);
    this->lend(resource, resource.owedNode, resource.owedUnits);
    resource.owedUnits -= before - this->heldUnits(resource);
    if (this->clock.now() >= resource.owedUntil || !this->isReachable(resource, resource.owedNode))
        resource.owedUnits = 0;
}

void Allotments::onRequest(const UnitRequest& request)
{
    auto* resource = this->find(request.resource);
    if (!resource || !this->isReachable(*resource, request.from))
        return;
    auto& newestSerial = resource->lastSerial[request.from];
    if (request.serial <= newestSerial)
        return;
    newestSerial = request.serial;
    const auto units = this->heldUnits(*resource);
    // A request that is not urgent gets only units above this node's own target.
    const auto keptUnits
        = request.urgent ? resource->runningCount + resource->waitingCount : this->targetUnits(*resource);
    this->lend(*resource, request.from, std::min(request.wantedUnits, units - keptUnits));
    // A holder that is always busy would starve one without units, so it releases units down to its even share.
    const auto evenShare
        = this->effectiveLimit(*resource) / std::max<int>(1, static_cast<int>(resource->row.holders.size()));
    const auto lentUnits = units - this->heldUnits(*resource);
    if (request.urgent && lentUnits == 0 && request.heldUnits < evenShare && units > evenShare) {
        resource->owedUnits = std::min({ request.wantedUnits, evenShare - request.heldUnits, units - evenShare });
        resource->owedNode = request.from;
        resource->owedUntil = this->clock.now() + owedUnitsTimeout;
    }
}

void Allotments::onLoan(const UnitLoan& loan)
{
    auto* resource = this->find(loan.resource);
    if (!resource || resource->hasEnded)
        return;
    if (loan.isReceipt) {
        if (loan.donor != this->self || !resource->row.find(loan.borrower))
            return;
        auto& loans = resource->peerLoans[loan.borrower];
        loans.acknowledgedUnits = std::max(loans.acknowledgedUnits, loan.lentTotal);
        return;
    }
    // Only a node listed in the row may borrow: the units of a gone donor are reclaimed once all listed nodes have
    // confirmed it. A leaving node reconciles its existing loans and refuses new ones; refused units return to the
    // donor once the row no longer lists this node.
    if (this->isLeaving || loan.borrower != this->self || !resource->row.find(this->self)
        || !this->isReachable(*resource, loan.donor))
        return;
    auto& loans = resource->peerLoans[loan.donor];
    loans.receivedUnits = std::max(loans.receivedUnits, loan.lentTotal);
    auto receipt = loan;
    receipt.lentTotal = loans.receivedUnits;
    receipt.isReceipt = true;
    this->hooks.sendLoan(loan.donor, receipt);
}

void Allotments::requestUnits(Resource& resource, int wantedUnits)
{
    const bool isUrgent = resource.runningCount + resource.waitingCount > this->usableUnits(resource);
    ++resource.serial;
    for (const auto& holder : resource.row.holders) {
        if (!this->isReachable(resource, holder.node))
            continue;
        this->hooks.sendRequest(holder.node,
            { resource.name, this->self, resource.serial, wantedUnits, this->heldUnits(resource), isUrgent });
    }
}

void Allotments::sendMessages(Resource& resource)
{
    this->lendOwedUnits(resource);
    const auto now = this->clock.now();
    if (now - resource.lastMessagesAt < this->settings.resendInterval || resource.hasEnded)
        return;
    resource.lastMessagesAt = now;
    for (const auto& [peer, loans] : resource.peerLoans) {
        const auto* holder = resource.row.find(peer);
        if (!holder || loans.lentUnits <= std::max(loans.acknowledgedUnits, reconciledTotal(*holder, this->self)))
            continue;
        this->hooks.sendLoan(peer, { resource.name, this->self, peer, loans.lentUnits, false });
    }
    const auto wantedUnits = this->targetUnits(resource) - this->usableUnits(resource);
    const auto unassignedUnits
        = this->isTableUnavailable ? 0 : this->effectiveLimit(resource) - resource.row.totalUnits();
    if (wantedUnits > std::max(unassignedUnits, 0) && resource.isRegistered)
        this->requestUnits(resource, wantedUnits);
}

void Allotments::leave()
{
    this->isLeaving = true;
    for (auto& [name, resource] : this->resources)
        resource.owedUnits = 0;
}

bool Allotments::hasLeft() const
{
    return this->isLeaving
        && std::ranges::all_of(this->resources, [](const auto& item) { return item.second.hasEnded; });
}

} // namespace waxwinglug
