// Table access of the allotments: reads and conditional writes of the rows.
#include <waxwinglug/allotments.h>

#include <algorithm>
#include <utility>

namespace waxwinglug {
namespace {

    std::string rowKey(std::string_view resource) { return std::string("allotment/").append(resource); }

} // namespace

void Allotments::onTableFailure()
{
    this->isTableUnavailable = true;
    this->tableRetryAt = this->clock.now() + this->settings.retryDelay;
}

void Allotments::tick()
{
    const auto now = this->clock.now();
    for (auto& [name, resource] : this->resources) {
        this->sendMessages(resource);
        if (this->heldUnits(resource) - resource.runningCount <= 0
            || this->heldUnits(resource) <= this->targetUnits(resource))
            resource.lastBusyAt = now;
    }
    if (this->isTableUnavailable && now < this->tableRetryAt)
        return;
    const bool isStale = std::ranges::any_of(this->resources, [](const auto& item) { return item.second.isStale; });
    if (!this->isReading && (isStale || now - this->lastReadAt >= this->settings.refreshInterval))
        this->readRows();
    for (auto& [name, resource] : this->resources)
        this->updateRow(resource);
}

void Allotments::readRows()
{
    std::vector<std::string> keys;
    keys.reserve(this->resources.size());
    for (const auto& [name, resource] : this->resources)
        keys.push_back(rowKey(name));
    this->isReading = true;
    this->lastReadAt = this->clock.now();
    this->table.read(
        std::move(keys), [this, token = std::weak_ptr(this->alive)](const std::optional<std::vector<Row>>& rows) {
            if (!token.expired())
                this->onRowsRead(rows);
        });
}

void Allotments::onRowsRead(const std::optional<std::vector<Row>>& rows)
{
    this->isReading = false;
    if (!rows) {
        this->onTableFailure();
        return;
    }
    this->isTableUnavailable = false;
    for (const auto& row : *rows) {
        auto* resource = this->find(std::string_view(row.key).substr(rowKey("").size()));
        if (!resource)
            continue;
        this->adoptRow(*resource, row);
        this->updateRow(*resource);
    }
}

void Allotments::adoptRow(Resource& resource, const Row& row)
{
    // An answer with an older version carries no news, but clearing isStale lets a write on the known version be
    // retried.
    resource.isStale = false;
    resource.isRowRead = true;
    if (row.version <= resource.version)
        return;
    auto content = fromJson<AllotmentRow>(row.value);
    resource.version = row.version;
    this->applyRow(resource, std::move(content));
}

void Allotments::applyRow(Resource& resource, AllotmentRow row)
{
    resource.row = std::move(row);
    // Every earlier write of this node on an older version is now either part of the row or can no longer be applied.
    resource.unitsLoweredInFlight = 0;
    resource.unitsLoweredUnconfirmed = 0;
    resource.hasUndecidedWrite = false;
    const auto* own = resource.row.find(this->self);
    if (own ? own->gone : resource.isRegistered)
        resource.hasEnded = true;
    resource.isRegistered = resource.isRegistered || own;
    // No loan between this node and a peer that the row no longer lists is unreconciled.
    std::erase_if(resource.peerLoans, [&](const auto& item) { return !resource.row.find(item.first); });
    std::erase_if(resource.goneSince, [&](const auto& item) { return !resource.row.find(item.first); });
    for (const auto& holder : resource.row.holders) {
        if (holder.gone)
            resource.goneSince.try_emplace(holder.node, this->clock.now());
        // The donor may have reconciled a loan in the row whose message has not arrived.
        if (own && holder.node != this->self) {
            if (const auto found = own->reconciledLoans.find(holder.node); found != own->reconciledLoans.end()) {
                auto& loans = resource.peerLoans[holder.node];
                loans.receivedUnits = std::max(loans.receivedUnits, found->second);
            }
        }
    }
}

void Allotments::updateRow(Resource& resource)
{
    if (!resource.isRowRead || resource.isStale || resource.isCommitting || resource.hasEnded
        || this->isTableUnavailable)
        return;
    auto planned = resource.row;
    if (resource.limitVersion > planned.limitVersion) {
        planned.limit = resource.limit;
        planned.limitVersion = resource.limitVersion;
    }
    if (!planned.find(this->self)) {
        if (this->isLeaving) {
            // A registration whose answer was lost may still be applied until the row version has changed.
            if (resource.hasUndecidedWrite)
                this->commit(resource, std::move(planned), 0);
            else
                resource.hasEnded = true;
            return;
        }
        planned.holders.push_back({ this->self, 0, false, {}, {} });
    }
    this->reconcileLoans(resource, planned);
    this->confirmGoneNodes(resource, planned);
    this->reclaimGoneUnits(resource, planned);
    const auto lowered = this->changeOwnUnits(resource, planned);
    // After a lost answer, a write has to change the version; otherwise the units that the lost write lowered would
    // stay unusable.
    if (planned != resource.row || resource.hasUndecidedWrite)
        this->commit(resource, std::move(planned), lowered);
}

void Allotments::reconcileLoans(Resource& resource, AllotmentRow& planned)
{
    auto& own = *planned.find(this->self);
    const auto transfer = [](AllotmentHolder& donor, AllotmentHolder& borrower, std::uint64_t total) {
        const auto before = borrower.reconciledLoans.find(donor.node);
        const auto reconciled = before == borrower.reconciledLoans.end() ? 0 : before->second;
        if (total <= reconciled)
            return;
        donor.units -= static_cast<int>(total - reconciled);
        borrower.units += static_cast<int>(total - reconciled);
        borrower.reconciledLoans[donor.node] = total;
    };
    // Both directions are reconciled in one write: reconciling only returned units would make the count of the borrower
    // negative.
    for (const auto& [peer, loans] : resource.peerLoans) {
        auto* holder = planned.find(peer);
        if (!holder)
            continue;
        transfer(*holder, own, loans.receivedUnits);
        transfer(own, *holder, loans.lentUnits);
    }
}

void Allotments::confirmGoneNodes(Resource& resource, AllotmentRow& planned)
{
    auto& own = *planned.find(this->self);
    for (auto& holder : planned.holders) {
        if (holder.node == this->self)
            continue;
        if (!holder.gone)
            holder.gone = this->hooks.isGone(holder.node);
        if (!holder.gone)
            continue;
        // Loans are refused from now on, before the write, because the confirmation states that all loans are
        // reconciled.
        resource.refusedPeers.insert(holder.node);
        own.confirmedGone.insert(holder.node);
    }
}

void Allotments::reclaimGoneUnits(Resource& resource, AllotmentRow& planned)
{
    const auto isRunTimeOver = [&](const NodeId& node) {
        const auto since = resource.goneSince.find(node);
        return since != resource.goneSince.end() && this->clock.now() - since->second >= this->settings.maxRunTime;
    };
    const auto isReclaimable = [&](const AllotmentHolder& gone) {
        if (!gone.gone || !isRunTimeOver(gone.node))
            return false;
        return std::ranges::all_of(planned.holders, [&](const AllotmentHolder& other) {
            return other.node == gone.node || other.confirmedGone.contains(gone.node)
                || (other.gone && isRunTimeOver(other.node));
        });
    };
    std::vector<NodeId> removed;
    for (const auto& holder : planned.holders) {
        if (isReclaimable(holder))
            removed.push_back(holder.node);
    }
    for (const auto& node : removed) {
        std::erase_if(planned.holders, [&](const AllotmentHolder& holder) { return holder.node == node; });
        for (auto& holder : planned.holders) {
            holder.confirmedGone.erase(node);
            holder.reconciledLoans.erase(node);
        }
    }
}

int Allotments::surplusUnits(const Resource& resource, const AllotmentRow& planned, int units) const
{
    if (this->isLeaving)
        return units;
    const auto limit = this->effectiveLimit(resource);
    const auto sum = planned.totalUnits();
    if (sum > limit) {
        const auto part = static_cast<int>(std::int64_t { units } * limit / std::max(sum, 1));
        return std::min(units - part, sum - limit);
    }
    if (this->clock.now() - resource.lastBusyAt < this->settings.idleReturnDelay)
        return 0;
    return units - this->targetUnits(resource);
}

int Allotments::changeOwnUnits(Resource& resource, AllotmentRow& planned)
{
    auto& own = *planned.find(this->self);
    // Units that a lost write lowered may be lowered again, because at most one of the two writes is applied.
    const auto idle = this->heldUnits(resource) + resource.unitsLoweredUnconfirmed - resource.runningCount;
    const auto lowered = std::max(0, std::min(idle, this->surplusUnits(resource, planned, own.units)));
    own.units -= lowered;
    if (this->isLeaving && resource.runningCount == 0 && own.units == 0) {
        std::erase_if(planned.holders, [&](const AllotmentHolder& holder) { return holder.node == this->self; });
        for (auto& holder : planned.holders)
            holder.reconciledLoans.erase(this->self);
    } else if (lowered == 0) {
        const auto wantedUnits = this->targetUnits(resource) - own.units;
        own.units += std::max(0, std::min(wantedUnits, this->effectiveLimit(resource) - planned.totalUnits()));
    }
    return lowered;
}

void Allotments::commit(Resource& resource, AllotmentRow planned, int lowered)
{
    ++this->commitCount;
    resource.isCommitting = true;
    resource.unitsLoweredInFlight = lowered;
    const auto expected = resource.version;
    std::vector<RowWrite> writes { { rowKey(resource.name), toJson(planned), expected } };
    this->table.commit(std::move(writes),
        [this, &resource, planned = std::move(planned), expected, token = std::weak_ptr(this->alive)](
            const CommitResult& result) {
            if (!token.expired())
                this->onCommitted(resource, planned, expected, result);
        });
}

void Allotments::onCommitted(
    Resource& resource, const AllotmentRow& planned, std::uint64_t expected, const CommitResult& result)
{
    resource.isCommitting = false;
    // If the version differs, a newer row has been read meanwhile, which shows the outcome.
    const bool undecided = resource.version == expected;
    const auto lowered = std::exchange(resource.unitsLoweredInFlight, 0);
    switch (result.status) {
    case CommitStatus::Committed:
        if (undecided)
            this->applyRow(resource, planned);
        // The answer does not carry the new version, so the row is read again.
        resource.isStale = true;
        break;
    case CommitStatus::Conflict:
        resource.isStale = true;
        for (const auto& row : result.conflicts)
            this->adoptRow(resource, row);
        break;
    case CommitStatus::Unavailable:
    case CommitStatus::Rejected:
        this->onTableFailure();
        break;
    case CommitStatus::Unknown:
        // The write may still be applied later, so the units that it lowers stay lowered until the version has changed.
        if (undecided) {
            resource.hasUndecidedWrite = true;
            resource.unitsLoweredUnconfirmed = std::max(resource.unitsLoweredUnconfirmed, lowered);
        }
        resource.isStale = true;
        this->onTableFailure();
        break;
    }
}

} // namespace waxwinglug
