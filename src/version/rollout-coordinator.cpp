// The coordinator of roll-outs. Acceptance is one transaction over `config/current` and `config/proposal`; the
// registration of a node that was unknown rewrites `config/proposal`, so an acceptance cannot miss it.
#include "version/rollout-rows.h"

#include <waxwinglug/keys.h>

#include <fmt/format.h>

#include <algorithm>

namespace waxwinglug {
namespace {

    using detail::Current;
    using detail::Delta;
    using detail::whileAlive;

    constexpr int proposeAttempts = 5;
    // Covers different clock rates of node and coordinator.
    constexpr Duration stopMargin = std::chrono::seconds(1);
    // Nodes further behind load the whole document.
    constexpr std::uint64_t keptDeltas = 64;

    std::optional<Error> unavailable()
    {
        return Error(ErrorKind::Unavailable, "the platform does not answer", "try again when it is back");
    }

} // namespace

struct RolloutCoordinator::Survey {
    Current current;
    Row currentRow;
    Proposal proposal;
    Row proposalRow;
    std::vector<std::pair<Row, NodeRecord>> nodes;
    std::vector<VmStatus> vms;

    bool open() const { return this->proposal.state == ProposalState::Open; }

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
    std::uint64_t expectedRow = 0;
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
    const auto current = detail::parseRow<Current>(rows.at(0));
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
    pending->expectedRow = rows.at(1).version;
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
    this->platform.table.commit({ { std::string(detail::proposalKey), toJson(pending->proposal), pending->expectedRow },
                                    { detail::deltaKey(version), toJson(pending->delta), 0 } },
        whileAlive(this->alive, [this, pending, version](const CommitResult& result) {
            if (result.status == CommitStatus::Committed) {
                // The object is stored by whoever accepts if this call fails.
                this->platform.objects.put(detail::objectName(version), pending->document, [](bool) {});
                pending->done(std::nullopt, version);
            } else if (result.status == CommitStatus::Unavailable && pending->attempts == 1) {
                pending->done(unavailable(), 0);
            } else {
                this->resolveProposal(pending);
            }
        }));
}

// A conflict after a lost answer may be a conflict with our own write, so the delta row decides. Without that row the
// same transaction is sent again: it excludes a late effect of the first, because only one of them can be applied.
void RolloutCoordinator::resolveProposal(const std::shared_ptr<PendingProposal>& pending)
{
    const auto version = pending->proposal.version;
    this->platform.table.read({ detail::deltaKey(version), std::string(detail::proposalKey) },
        whileAlive(this->alive, [this, pending, version](const std::optional<std::vector<Row>>& rows) {
            if (rows && detail::parseRow<Delta>(rows->at(0)).applyId == pending->proposal.applyId) {
                this->platform.objects.put(detail::objectName(version), pending->document, [](bool) {});
                pending->done(std::nullopt, version);
            } else if (rows && rows->at(1).version != pending->expectedRow) {
                const auto other = detail::parseRow<Proposal>(rows->at(1));
                pending->done(Error(ErrorKind::Conflict,
                                  fmt::format("another operator or node was faster, see version {}", other.version),
                                  "read the current version and try again"),
                    other.version);
            } else if (rows && pending->attempts < proposeAttempts) {
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

void RolloutCoordinator::survey(SurveyHandler handler)
{
    this->platform.table.read({ std::string(detail::currentKey), std::string(detail::proposalKey) },
        whileAlive(this->alive, [this, handler](const std::optional<std::vector<Row>>& rows) {
            if (!rows) {
                handler(std::nullopt);
                return;
            }
            Survey survey { detail::parseRow<Current>(rows->at(0)), rows->at(0),
                detail::parseRow<Proposal>(rows->at(1)), rows->at(1), {}, {} };
            // Scanned after the proposal row was read: a node that registers later changes that row.
            this->platform.table.scan(std::string(detail::nodePrefix),
                whileAlive(this->alive, [this, handler, survey](const std::optional<std::vector<Row>>& nodes) mutable {
                    if (!nodes) {
                        handler(std::nullopt);
                        return;
                    }
                    for (const auto& row : *nodes)
                        survey.nodes.emplace_back(row, detail::parseRow<NodeRecord>(row));
                    this->platform.vms.list(whileAlive(
                        this->alive, [handler, survey](const std::optional<std::vector<VmStatus>>& vms) mutable {
                            // Without the list no node counts as gone.
                            survey.vms = vms.value_or(std::vector<VmStatus> {});
                            handler(survey);
                        }));
                }));
        }));
}

std::vector<std::string> RolloutCoordinator::waitingFor(const Survey& survey)
{
    if (!survey.open())
        return {};
    const auto version = survey.proposal.version;
    if (this->seenVersion != version) {
        this->seenVersion = version;
        this->seenSince = this->clock.now();
    }
    const bool stopped = this->clock.now() - this->seenSince >= stopTimeout + stopMargin;
    const auto& excluded = survey.proposal.excluded;
    std::vector<std::string> names;
    for (const auto& [row, node] : survey.nodes) {
        const bool counts = std::find(excluded.begin(), excluded.end(), node.dataCentre) == excluded.end()
            && !survey.isGone(node.name) && !(node.isolation == Isolation::Stop && stopped);
        if (counts && node.preparedVersion != version)
            names.push_back(node.name);
    }
    return names;
}

void RolloutCoordinator::status(StatusHandler handler)
{
    this->survey([this, handler](const std::optional<Survey>& survey) {
        if (!survey) {
            handler(std::nullopt);
            return;
        }
        RolloutStatus status;
        status.currentVersion = survey->current.version;
        if (survey->proposalRow.version != 0)
            status.proposal = survey->proposal;
        for (const auto& [row, node] : survey->nodes) {
            status.nodes.push_back(node);
            if (node.activeVersion < status.currentVersion && !survey->isGone(node.name))
                status.outdatedNodes.push_back(node.name);
        }
        status.pendingNodes = this->waitingFor(*survey);
        handler(status);
    });
}

void RolloutCoordinator::tick()
{
    const auto now = this->clock.now();
    if (this->busySince && now - *this->busySince < detail::callTimeout)
        return;
    this->busySince = now;
    this->survey([this](const std::optional<Survey>& survey) {
        if (!survey || !survey->open() || !this->waitingFor(*survey).empty()) {
            this->finishStep();
            return;
        }
        this->storeObject(survey->proposal, [this, found = *survey](bool stored) {
            if (stored)
                this->accept(found);
            else
                this->finishStep();
        });
    });
}

// A coordinator that was interrupted after the proposal may not have stored the document; it is then rebuilt.
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

void RolloutCoordinator::accept(const Survey& survey)
{
    auto proposal = survey.proposal;
    proposal.state = ProposalState::Accepted;
    std::vector<RowWrite> writes {
        { std::string(detail::currentKey), toJson(Current { proposal.version, proposal.applyId }),
            survey.currentRow.version },
        { std::string(detail::proposalKey), toJson(proposal), survey.proposalRow.version },
    };
    for (const auto& [row, node] : survey.nodes) {
        // A node that comes back must register again, and then learns this version.
        if (survey.isGone(node.name))
            writes.push_back({ row.key, std::nullopt, row.version });
    }
    const auto commit = [this](std::vector<RowWrite> all) {
        // Whatever the answer, the next tick reads the rows again.
        this->platform.table.commit(
            std::move(all), whileAlive(this->alive, [this](const CommitResult&) { this->finishStep(); }));
    };
    if (proposal.version <= keptDeltas) {
        commit(std::move(writes));
        return;
    }
    this->platform.table.read({ detail::deltaKey(proposal.version - keptDeltas) },
        whileAlive(this->alive, [writes, commit](const std::optional<std::vector<Row>>& rows) mutable {
            if (rows && rows->at(0).version != 0)
                writes.push_back({ rows->at(0).key, std::nullopt, rows->at(0).version });
            commit(std::move(writes));
        }));
}

} // namespace waxwinglug
