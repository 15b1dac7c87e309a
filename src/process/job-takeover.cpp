// Ownership changes of job batches: takeover from nodes that are gone, and release for a shutdown.
#include <waxwinglug/jobs.h>

#include "process/job-rows.h"

#include <algorithm>
#include <utility>

namespace waxwinglug {

void JobStore::takeOver(const std::vector<VmStatus>& vms, const std::vector<NodeId>& peers)
{
    this->table.scan("jobs/", [this, isAlive = this->alive, vms, peers](std::optional<std::vector<Row>> rows) {
        if (!*isAlive || !rows)
            return;
        for (const auto& row : *rows)
            this->claim(row, vms, peers);
    });
}

void JobStore::claim(const Row& row, const std::vector<VmStatus>& vms, const std::vector<NodeId>& peers)
{
    auto content = detail::decodeBatch(row.value);
    if (!content || this->ownedBatches.contains(row.key))
        return;
    const auto& owner = content->owner;
    const bool isOwnerGone = owner.name.empty()
        || (owner.name == this->self.name && owner.incarnation < this->self.incarnation)
        || std::any_of(vms.begin(), vms.end(),
            [&owner](const VmStatus& vm) { return vm.name == owner.name && vm.state == VmState::Gone; })
        || std::any_of(peers.begin(), peers.end(),
            [&owner](const NodeId& peer) { return peer.name == owner.name && peer.incarnation > owner.incarnation; });
    if (!isOwnerGone)
        return;
    const auto batch = std::make_shared<Batch>();
    batch->key = row.key;
    batch->version = row.version;
    batch->isDirty = true;
    for (auto& job : content->jobs) {
        Entry entry { std::move(job), Phase::Waiting, {}, 0 };
        if (entry.job.state == JobState::Started)
            this->endJob(entry, JobState::DeadLettered, "outcome unknown");
        const auto id = entry.job.id;
        batch->jobs[id] = std::move(entry);
    }
    this->ownedBatches[row.key] = batch;
}

void JobStore::releaseOwnership()
{
    for (const auto& [key, batch] : this->ownedBatches) {
        const bool isRunning = std::any_of(batch->jobs.begin(), batch->jobs.end(),
            [](const auto& item) { return item.second.phase != Phase::Waiting; });
        if (isRunning || !batch->isOwnershipStored)
            continue;
        batch->releasesOwnership = true;
        batch->isDirty = true;
    }
}

} // namespace waxwinglug
