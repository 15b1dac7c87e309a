// Coordinator of roll-outs. Acceptance is one transaction over `config/current` and `config/proposal`. The registration
// of a new node rewrites `config/proposal`, so a concurrent acceptance conflicts instead of missing the node.
#include "version/rollout-rows.h"

#include <waxwinglug/keys.h>

#include <fmt/format.h>

#include <algorithm>

namespace waxwinglug {
namespace {

    using detail::CurrentVersion;
    using detail::Delta;
    using detail::whileAlive;

    constexpr int maxProposeAttempts = 5;
    // Margin for different clock rates of node and coordinator.
    constexpr Duration stopMargin = std::chrono::seconds(1);
    // Nodes that are further behind load the whole document.
    constexpr std::uint64_t retainedDeltas = 64;

    std::optional<Error> unavailable()
    {
        return Error(ErrorKind::Unavailable, "the platform does not answer", "try again when it is back");
    }

} // namespace

struct RolloutCoordinator::Snapshot {
    CurrentVersion current;
    Row currentRow;
    Proposal proposal;
    Row proposalRow;
    std::vector<std::pair<Row, NodeRecord>> nodes;
    std::vector<VmStatus> vms;

    bool hasOpenProposal() const { return this->proposal.state == ProposalState::Open; }

    bool isGone(const std::string& name) const
    {
        return std::any_of(this->vms.begin(), this->vms.end(),
            [&name](const VmStatus& vm) { return vm.name == name && vm.state == VmState::Gone; });
    }
};

struct RolloutCoordinator::PendingProposal {
    std::string document;
    std::uint64_t base = 0;
    Proposal proposal;
    std::uint64_t expectedRowVersion = 0;
    Delta delta;
    int attempts = 0;
    DoneHandler done;
};

RolloutCoordinator::RolloutCoordinator(Platform platformHooks, Clock clockHooks, Random& randomSource)
    : platform(std::move(platformHooks))
    , clock(std::move(clockHooks))
    , random(&randomSource)
{
}

void RolloutCoordinator::propose(
    std::string document, std::uint64_t base, std::vector<std::string> excluded, DoneHandler handler)
{
    parseConfig(document, "document");
    auto pending = std::make_shared<PendingProposal>();
    pending->document = std::move(document);
    pending->base = base;
    pending->proposal = { 0, base, fmt::format("{:016x}{:016x}", (*this->random)(), (*this->random)()),
        ProposalState::Open, std::move(excluded) };
    pending->done = std::move(handler);
    this->platform.table.read({ std::string(detail::currentKey), std::string(detail::proposalKey) },
        whileAlive(this->alive, [this, pending](const std::optional<std::vector<Row>>& rows) {
            if (!rows)
                pending->done(unavailable(), 0);
            else
                this->prepareProposal(pending, *rows);
        }));
}

void RolloutCoordinator::prepareProposal(const std::shared_ptr<PendingProposal>& pending, const std::vector<Row>& rows)
{
    const auto current = detail::parseRow<CurrentVersion>(rows.at(0));
    const auto last = detail::parseRow<Proposal>(rows.at(1));
    if (current.version != pending->base) {
        pending->done(Error(ErrorKind::Conflict,
                          fmt::format("version {} is newer than version {}", current.version, pending->base),
                          "make the change in the newer version"),
            current.version);
        return;
    }
    if (last.state == ProposalState::Open) {
        pending->done(
            Error(ErrorKind::Conflict, fmt::format("version {} is proposed and not yet accepted", last.version),
                "wait for it or abandon it"),
            last.version);
        return;
    }
    pending->proposal.version = std::max(current.version, last.version) + 1;
    // An acceptance changes the proposal row too, so this one condition covers `config/current`.
    pending->expectedRowVersion = rows.at(1).version;
    const auto withBase = [this, pending](const std::optional<std::string>& baseDocument) {
        if (!baseDocument) {
            pending->done(unavailable(), 0);
            return;
        }
        pending->delta = { pending->base, pending->proposal.applyId, hashKey(canonicalConfig(pending->document)),
            diffConfig(*baseDocument, pending->document) };
        this->commitProposal(pending);
    };
    if (pending->base == 0)
        withBase("");
    else
        this->platform.objects.get(detail::objectName(pending->base), whileAlive(this->alive, withBase));
}

void RolloutCoordinator::commitProposal(const std::shared_ptr<PendingProposal>& pending)
{
    ++pending->attempts;
    const auto version = pending->proposal.version;
    this->platform.table.commit(
        { { std::string(detail::proposalKey), toJson(pending->proposal), pending->expectedRowVersion },
            { detail::deltaKey(version), toJson(pending->delta), 0 } },
        whileAlive(this->alive, [this, pending, version](const CommitResult& result) {
            if (result.status == CommitStatus::Committed) {
                // If this call fails, the coordinator that accepts the proposal stores the object.
                this->platform.objects.put(detail::objectName(version), pending->document, [](bool) {});
                pending->done(std::nullopt, version);
            } else if (result.status == CommitStatus::Unavailable && pending->attempts == 1) {
                pending->done(unavailable(), 0);
            } else {
                this->resolveProposal(pending);
            }
        }));
}

// A conflict after a lost answer may be caused by our own write, so the delta row is checked. If that row does not
// exist, the same transaction is sent again: at most one of the two can be applied, even if the first takes effect
// late.
void RolloutCoordinator::resolveProposal(const std::shared_ptr<PendingProposal>& pending)
{
    const auto version = pending->proposal.version;
    this->platform.table.read({ detail::deltaKey(version), std::string(detail::proposalKey) },
        whileAlive(this->alive, [this, pending, version](const std::optional<std::vector<Row>>& rows) {
            if (rows && detail::parseRow<Delta>(rows->at(0)).applyId == pending->proposal.applyId) {
                this->platform.objects.put(detail::objectName(version), pending->document, [](bool) {});
                pending->done(std::nullopt, version);
            } else if (rows && rows->at(1).version != pending->expectedRowVersion) {
                const auto other = detail::parseRow<Proposal>(rows->at(1));
                pending->done(Error(ErrorKind::Conflict,
                                  fmt::format("another operator or node was faster, see version {}", other.version),
                                  "read the current version and try again"),
                    other.version);
            } else if (rows && pending->attempts < maxProposeAttempts) {
                this->commitProposal(pending);
            } else {
                pending->done(
                    Error(ErrorKind::Unavailable, fmt::format("the outcome of version {} is unknown", version),
                        "ask for the status when the platform is back"),
                    version);
            }
        }));
}

void RolloutCoordinator::abandon(std::uint64_t version, DoneHandler handler)
{
    this->platform.table.read({ std::string(detail::proposalKey) },
        whileAlive(this->alive, [this, version, handler](const std::optional<std::vector<Row>>& rows) {
            if (!rows) {
                handler(unavailable(), 0);
                return;
            }
            auto proposal = detail::parseRow<Proposal>(rows->at(0));
            if (proposal.version == version && proposal.state == ProposalState::Abandoned) {
                handler(std::nullopt, version);
                return;
            }
            if (proposal.version != version || proposal.state != ProposalState::Open) {
                handler(Error(ErrorKind::Conflict, fmt::format("version {} is not an open proposal", version),
                            "ask for the status"),
                    proposal.version);
                return;
            }
            proposal.state = ProposalState::Abandoned;
            this->platform.table.commit({ { std::string(detail::proposalKey), toJson(proposal), rows->at(0).version } },
                whileAlive(this->alive, [handler, version](const CommitResult& result) {
                    if (result.status == CommitStatus::Committed)
                        handler(std::nullopt, version);
                    else if (result.status == CommitStatus::Conflict)
                        handler(
                            Error(ErrorKind::Conflict, "the proposal has just changed", "ask for the status"), version);
                    else
                        handler(unavailable(), version);
                }));
        }));
}

void RolloutCoordinator::readSnapshot(SnapshotHandler handler)
{
    this->platform.table.read({ std::string(detail::currentKey), std::string(detail::proposalKey) },
        whileAlive(this->alive, [this, handler](const std::optional<std::vector<Row>>& rows) {
            if (!rows) {
                handler(std::nullopt);
                return;
            }
            Snapshot snapshot { detail::parseRow<CurrentVersion>(rows->at(0)), rows->at(0),
                detail::parseRow<Proposal>(rows->at(1)), rows->at(1), {}, {} };
            // Must follow the read of the proposal row: a node that registers later changes that row.
            this->platform.table.scan(std::string(detail::nodePrefix),
                whileAlive(
                    this->alive, [this, handler, snapshot](const std::optional<std::vector<Row>>& nodes) mutable {
                        if (!nodes) {
                            handler(std::nullopt);
                            return;
                        }
                        for (const auto& row : *nodes)
                            snapshot.nodes.emplace_back(row, detail::parseRow<NodeRecord>(row));
                        this->platform.vms.list(whileAlive(
                            this->alive, [handler, snapshot](const std::optional<std::vector<VmStatus>>& vms) mutable {
                                // Without the VM list, no node is considered gone.
                                snapshot.vms = vms.value_or(std::vector<VmStatus> {});
                                handler(snapshot);
                            }));
                    }));
        }));
}

std::vector<std::string> RolloutCoordinator::findPendingNodes(const Snapshot& snapshot)
{
    if (!snapshot.hasOpenProposal())
        return {};
    const auto version = snapshot.proposal.version;
    if (this->observedVersion != version) {
        this->observedVersion = version;
        this->observedSince = this->clock.now();
    }
    const bool stopped = this->clock.now() - this->observedSince >= stopTimeout + stopMargin;
    const auto& excluded = snapshot.proposal.excluded;
    std::vector<std::string> names;
    for (const auto& [row, node] : snapshot.nodes) {
        const bool counts = std::find(excluded.begin(), excluded.end(), node.dataCentre) == excluded.end()
            && !snapshot.isGone(node.name) && !(node.isolation == Isolation::Stop && stopped);
        if (counts && node.preparedVersion != version)
            names.push_back(node.name);
    }
    return names;
}

void RolloutCoordinator::status(StatusHandler handler)
{
    this->readSnapshot([this, handler](const std::optional<Snapshot>& snapshot) {
        if (!snapshot) {
            handler(std::nullopt);
            return;
        }
        RolloutStatus status;
        status.currentVersion = snapshot->current.version;
        if (snapshot->proposalRow.version != 0)
            status.proposal = snapshot->proposal;
        for (const auto& [row, node] : snapshot->nodes) {
            status.nodes.push_back(node);
            if (node.activeVersion < status.currentVersion && !snapshot->isGone(node.name))
                status.outdatedNodes.push_back(node.name);
        }
        status.pendingNodes = this->findPendingNodes(*snapshot);
        handler(status);
    });
}

void RolloutCoordinator::tick()
{
    const auto now = this->clock.now();
    if (this->busySince && now - *this->busySince < detail::callTimeout)
        return;
    this->busySince = now;
    this->readSnapshot([this](const std::optional<Snapshot>& snapshot) {
        if (!snapshot || !snapshot->hasOpenProposal() || !this->findPendingNodes(*snapshot).empty()) {
            this->finishStep();
            return;
        }
        this->storeObject(snapshot->proposal, [this, found = *snapshot](bool stored) {
            if (stored)
                this->accept(found);
            else
                this->finishStep();
        });
    });
}

// Rebuilds the document from its delta if the coordinator that proposed it was interrupted before storing it.
void RolloutCoordinator::storeObject(const Proposal& proposal, std::function<void(bool)> handler)
{
    if (this->storedVersion == proposal.version) {
        handler(true);
        return;
    }
    const auto name = detail::objectName(proposal.version);
    const auto rebuild = [this, proposal, handler, name](const std::optional<std::string>& base) {
        if (!base) {
            handler(false);
            return;
        }
        this->platform.table.read({ detail::deltaKey(proposal.version) },
            whileAlive(this->alive, [this, handler, name, base](const std::optional<std::vector<Row>>& rows) {
                if (!rows || rows->at(0).version == 0) {
                    handler(false);
                    return;
                }
                const auto delta = detail::parseRow<Delta>(rows->at(0));
                this->platform.objects.put(name, applyChanges(*base, delta.changes), whileAlive(this->alive, handler));
            }));
    };
    this->platform.objects.get(
        name, whileAlive(this->alive, [this, proposal, handler, rebuild](const std::optional<std::string>& document) {
            if (document) {
                this->storedVersion = proposal.version;
                handler(true);
            } else if (proposal.base == 0) {
                rebuild("");
            } else {
                this->platform.objects.get(detail::objectName(proposal.base), whileAlive(this->alive, rebuild));
            }
        }));
}

void RolloutCoordinator::accept(const Snapshot& snapshot)
{
    auto proposal = snapshot.proposal;
    proposal.state = ProposalState::Accepted;
    std::vector<RowWrite> writes {
        { std::string(detail::currentKey), toJson(CurrentVersion { proposal.version, proposal.applyId }),
            snapshot.currentRow.version },
        { std::string(detail::proposalKey), toJson(proposal), snapshot.proposalRow.version },
    };
    for (const auto& [row, node] : snapshot.nodes) {
        // A node that returns must register again and reads this version then.
        if (snapshot.isGone(node.name))
            writes.push_back({ row.key, std::nullopt, row.version });
    }
    const auto commit = [this](std::vector<RowWrite> all) {
        // The result is ignored: the next tick reads the rows again.
        this->platform.table.commit(
            std::move(all), whileAlive(this->alive, [this](const CommitResult&) { this->finishStep(); }));
    };
    if (proposal.version <= retainedDeltas) {
        commit(std::move(writes));
        return;
    }
    this->platform.table.read({ detail::deltaKey(proposal.version - retainedDeltas) },
        whileAlive(this->alive, [writes, commit](const std::optional<std::vector<Row>>& rows) mutable {
            if (rows && rows->at(0).version != 0)
                writes.push_back({ rows->at(0).key, std::nullopt, rows->at(0).version });
            commit(std::move(writes));
        }));
}

} // namespace waxwinglug
