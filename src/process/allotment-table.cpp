// Reads and conditional writes of the allotment rows.
#include <waxwinglug/allotments.h>

#include <algorithm>
#include <utility>

namespace waxwinglug {
namespace {

    std::string rowKey(std::string_view resource) { return std::string("allotment/").append(resource); }

} // namespace

void Allotments::tableFailed()
{
    this->tableDown = true;
    this->tableRetry = this->clock.now() + this->settings.retry;
}

void Allotments::tick()
{
    const auto now = this->clock.now();
    for (auto& [name, resource] : this->resources) {
        this->sendMessages(resource);
        if (this->held(resource) - resource.running <= 0 || this->held(resource) <= this->target(resource))
            resource.busySince = now;
    }
    if (this->tableDown && now < this->tableRetry)
        return;
    const bool stale = std::ranges::any_of(this->resources, [](const auto& item) { return item.second.stale; });
    if (!this->reading && (stale || now - this->lastRead >= this->settings.refresh))
        this->read();
    for (auto& [name, resource] : this->resources)
        this->advance(resource);
}

void Allotments::read()
{
    std::vector<std::string> keys;
    keys.reserve(this->resources.size());
    for (const auto& [name, resource] : this->resources)
        keys.push_back(rowKey(name));
    this->reading = true;
    this->lastRead = this->clock.now();
    this->table.read(
        std::move(keys), [this, token = std::weak_ptr(this->alive)](const std::optional<std::vector<Row>>& rows) {
            if (!token.expired())
                this->readResult(rows);
        });
}

void Allotments::readResult(const std::optional<std::vector<Row>>& rows)
{
    this->reading = false;
    if (!rows) {
        this->tableFailed();
        return;
    }
    this->tableDown = false;
    for (const auto& row : *rows) {
        auto* resource = this->find(std::string_view(row.key).substr(rowKey("").size()));
        if (!resource)
            continue;
        this->adopt(*resource, row);
        this->advance(*resource);
    }
}

void Allotments::adopt(Resource& resource, const Row& row)
{
    // An answer that is older than what is known says nothing, but a write on the known version is tried again.
    resource.stale = false;
    resource.known = true;
    if (row.version <= resource.version)
        return;
    auto content = fromJson<AllotmentRow>(row.value);
    resource.version = row.version;
    this->apply(resource, std::move(content));
}

void Allotments::apply(Resource& resource, AllotmentRow row)
{
    resource.row = std::move(row);
    // Every earlier write of this node on an older version is now part of the row, or can never be applied.
    resource.loweredInFlight = 0;
    resource.loweredUnknown = 0;
    resource.undecided = false;
    const auto* own = resource.row.find(this->self);
    if (own ? own->gone : resource.registered)
        resource.ended = true;
    resource.registered = resource.registered || own;
    // A peer that the row no longer names has nothing unsettled with this node.
    std::erase_if(resource.pairs, [&](const auto& item) { return !resource.row.find(item.first); });
    std::erase_if(resource.goneSince, [&](const auto& item) { return !resource.row.find(item.first); });
    for (const auto& holder : resource.row.holders) {
        if (holder.gone)
            resource.goneSince.try_emplace(holder.node, this->clock.now());
        // The donor may have settled a loan whose message has not arrived.
        if (own && holder.node != this->self) {
            if (const auto found = own->settled.find(holder.node); found != own->settled.end()) {
                auto& pair = resource.pairs[holder.node];
                pair.received = std::max(pair.received, found->second);
            }
        }
    }
}

void Allotments::advance(Resource& resource)
{
    if (!resource.known || resource.stale || resource.committing || resource.ended || this->tableDown)
        return;
    auto planned = resource.row;
    if (resource.limitVersion > planned.limitVersion) {
        planned.limit = resource.limit;
        planned.limitVersion = resource.limitVersion;
    }
    if (!planned.find(this->self)) {
        if (this->leaving) {
            // A registration whose answer was lost could still be applied until the version has moved.
            if (resource.undecided)
                this->commit(resource, std::move(planned), 0);
            else
                resource.ended = true;
            return;
        }
        planned.holders.push_back({ this->self, 0, false, {}, {} });
    }
    this->settle(resource, planned);
    this->confirmGone(resource, planned);
    this->reclaim(resource, planned);
    const auto lowered = this->changeOwnUnits(resource, planned);
    // After a lost answer a write must move the version, or what it lowered would stay unusable.
    if (planned != resource.row || resource.undecided)
        this->commit(resource, std::move(planned), lowered);
}

void Allotments::settle(Resource& resource, AllotmentRow& planned)
{
    auto& own = *planned.find(this->self);
    const auto move = [](AllotmentHolder& donor, AllotmentHolder& borrower, std::uint64_t total) {
        const auto before = borrower.settled.find(donor.node);
        const auto settled = before == borrower.settled.end() ? 0 : before->second;
        if (total <= settled)
            return;
        donor.units -= static_cast<int>(total - settled);
        borrower.units += static_cast<int>(total - settled);
        borrower.settled[donor.node] = total;
    };
    // Both directions in one write: settling only what came back would leave the borrower below zero.
    for (const auto& [peer, pair] : resource.pairs) {
        auto* holder = planned.find(peer);
        if (!holder)
            continue;
        move(*holder, own, pair.received);
        move(own, *holder, pair.lent);
    }
}

void Allotments::confirmGone(Resource& resource, AllotmentRow& planned)
{
    auto& own = *planned.find(this->self);
    for (auto& holder : planned.holders) {
        if (holder.node == this->self)
            continue;
        if (!holder.gone)
            holder.gone = this->hooks.isGone(holder.node);
        if (!holder.gone)
            continue;
        // From here on, before the write, nothing more is accepted: the confirmation says that all is settled.
        resource.refused.insert(holder.node);
        own.confirmed.insert(holder.node);
    }
}

void Allotments::reclaim(Resource& resource, AllotmentRow& planned)
{
    const auto overdue = [&](const NodeId& node) {
        const auto since = resource.goneSince.find(node);
        return since != resource.goneSince.end() && this->clock.now() - since->second >= this->settings.longestRun;
    };
    const auto free = [&](const AllotmentHolder& gone) {
        if (!gone.gone || !overdue(gone.node))
            return false;
        return std::ranges::all_of(planned.holders, [&](const AllotmentHolder& other) {
            return other.node == gone.node || other.confirmed.contains(gone.node)
                || (other.gone && overdue(other.node));
        });
    };
    std::vector<NodeId> removed;
    for (const auto& holder : planned.holders) {
        if (free(holder))
            removed.push_back(holder.node);
    }
    for (const auto& node : removed) {
        std::erase_if(planned.holders, [&](const AllotmentHolder& holder) { return holder.node == node; });
        for (auto& holder : planned.holders) {
            holder.confirmed.erase(node);
            holder.settled.erase(node);
        }
    }
}

int Allotments::surplus(const Resource& resource, const AllotmentRow& planned, int units) const
{
    if (this->leaving)
        return units;
    const auto limit = this->effectiveLimit(resource);
    const auto sum = planned.sum();
    if (sum > limit) {
        const auto part = static_cast<int>(std::int64_t { units } * limit / std::max(sum, 1));
        return std::min(units - part, sum - limit);
    }
    if (this->clock.now() - resource.busySince < this->settings.idleReturn)
        return 0;
    return units - this->target(resource);
}

int Allotments::changeOwnUnits(Resource& resource, AllotmentRow& planned)
{
    auto& own = *planned.find(this->self);
    // What a lost write lowered may be lowered again, because only one of the two can be applied.
    const auto idle = this->held(resource) + resource.loweredUnknown - resource.running;
    const auto lowered = std::max(0, std::min(idle, this->surplus(resource, planned, own.units)));
    own.units -= lowered;
    if (this->leaving && resource.running == 0 && own.units == 0) {
        std::erase_if(planned.holders, [&](const AllotmentHolder& holder) { return holder.node == this->self; });
        for (auto& holder : planned.holders)
            holder.settled.erase(this->self);
    } else if (lowered == 0) {
        const auto wanted = this->target(resource) - own.units;
        own.units += std::max(0, std::min(wanted, this->effectiveLimit(resource) - planned.sum()));
    }
    return lowered;
}

void Allotments::commit(Resource& resource, AllotmentRow planned, int lowered)
{
    ++this->commitCount;
    resource.committing = true;
    resource.loweredInFlight = lowered;
    const auto expected = resource.version;
    std::vector<RowWrite> writes { { rowKey(resource.name), toJson(planned), expected } };
    this->table.commit(std::move(writes),
        [this, &resource, planned = std::move(planned), expected, token = std::weak_ptr(this->alive)](
            const CommitResult& result) {
            if (!token.expired())
                this->committed(resource, planned, expected, result);
        });
}

void Allotments::committed(
    Resource& resource, const AllotmentRow& planned, std::uint64_t expected, const CommitResult& result)
{
    resource.committing = false;
    // Otherwise a newer row has been read meanwhile, which shows the outcome.
    const bool undecided = resource.version == expected;
    const auto lowered = std::exchange(resource.loweredInFlight, 0);
    switch (result.status) {
    case CommitStatus::Committed:
        if (undecided)
            this->apply(resource, planned);
        // The new version is not known yet.
        resource.stale = true;
        break;
    case CommitStatus::Conflict:
        resource.stale = true;
        for (const auto& row : result.conflicts)
            this->adopt(resource, row);
        break;
    case CommitStatus::Unavailable:
        this->tableFailed();
        break;
    case CommitStatus::Unknown:
        // The write may even be applied later, so what it lowers stays lowered until the version has moved.
        if (undecided) {
            resource.undecided = true;
            resource.loweredUnknown = std::max(resource.loweredUnknown, lowered);
        }
        resource.stale = true;
        this->tableFailed();
        break;
    }
}

} // namespace waxwinglug
