// Follower of roll-outs in an entry VM: polls the table, acknowledges proposals, activates accepted versions, and asks
// peers for them when the table does not answer.
#include "version/rollout-rows.h"

#include <waxwinglug/keys.h>

#include <fmt/format.h>

#include <algorithm>

namespace waxwinglug {
namespace {

    using detail::CurrentVersion;
    using detail::Delta;
    using detail::whileAlive;

    // Peers are asked before the confirmation expires and the node has to reduce its rights.
    constexpr Duration askDelay = staleTimeout / 2;
    constexpr Duration questionInterval = std::chrono::milliseconds(500);
    // A registration that conflicts with another is retried after a random delay up to this time.
    constexpr Duration conflictDelay = std::chrono::milliseconds(250);
    constexpr std::size_t maxTrackedQuestions = 8;

    // Returns the proposed document, or an empty text when the delta does not produce it; the caller then loads the
    // whole document.
    std::string applyDelta(const std::string& base, const Delta& delta)
    {
        try {
            auto document = applyChanges(base, delta.changes);
            return hashKey(document) == delta.hash ? document : std::string();
        } catch (const Error&) {
            return {};
        }
    }

} // namespace

struct ConfigFollower::Poll {
    TimePoint sentAt;
    CurrentVersion current;
    Proposal proposal;
    Row proposalRow;
    Row nodeRow;
    NodeRecord node;

    bool hasOpenProposal() const { return this->proposal.state == ProposalState::Open; }
};

ConfigFollower::ConfigFollower(
    FollowerSettings nodeSettings, Platform platformHooks, Clock clockHooks, Random& randomSource, Hooks nodeHooks)
    : settings(std::move(nodeSettings))
    , platform(std::move(platformHooks))
    , clock(std::move(clockHooks))
    , random(&randomSource)
    , hooks(std::move(nodeHooks))
    , nextPollAt(this->clock.now())
    , nextQuestionAt(this->clock.now())
    , lastPollAt(this->clock.now() - staleTimeout)
{
    this->publish();
}

void ConfigFollower::tick()
{
    const auto now = this->clock.now();
    const bool busy = this->busySince && now - *this->busySince < detail::callTimeout;
    if (!busy && now >= this->nextPollAt)
        this->poll();
    if (now >= this->nextQuestionAt && (!this->confirmedAt || now - *this->confirmedAt >= askDelay))
        this->askPeers();
}

bool ConfigFollower::needsRefresh() const { return this->clock.now() - this->lastPollAt >= staleTimeout; }

ConfigVersions ConfigFollower::versions() const { return { this->active.version, this->preparedVersion() }; }

void ConfigFollower::poll()
{
    auto poll = std::make_shared<Poll>();
    poll->sentAt = this->clock.now();
    this->busySince = poll->sentAt;
    this->nextPollAt = poll->sentAt + this->settings.pollInterval;
    this->platform.table.read({ std::string(detail::currentKey), std::string(detail::proposalKey),
                                  std::string(detail::nodePrefix) + this->settings.node.name },
        whileAlive(this->alive, [this, poll](const std::optional<std::vector<Row>>& rows) {
            // A call takes at most 2 s. A later answer means that this process was paused, and its content may be
            // outdated.
            if (this->clock.now() - poll->sentAt < staleTimeout)
                this->lastPollAt = this->clock.now();
            if (rows)
                this->onRows(poll, *rows);
            else
                this->finishPoll();
        }));
}

void ConfigFollower::onRows(const std::shared_ptr<Poll>& poll, const std::vector<Row>& rows)
{
    poll->current = detail::parseRow<CurrentVersion>(rows.at(0));
    poll->proposalRow = rows.at(1);
    poll->proposal = detail::parseRow<Proposal>(rows.at(1));
    poll->nodeRow = rows.at(2);
    poll->node = detail::parseRow<NodeRecord>(rows.at(2));
    this->isSuperseded = this->isSuperseded || poll->node.incarnation > this->settings.node.incarnation;
    this->isRegistered = poll->nodeRow.version != 0 && poll->node.incarnation == this->settings.node.incarnation;
    this->acceptedVersion = std::max(this->acceptedVersion, poll->current.version);
    this->publish();
    if (this->isSuperseded)
        this->finishPoll();
    else
        this->followCurrent(poll);
}

void ConfigFollower::followCurrent(const std::shared_ptr<Poll>& poll)
{
    const auto version = poll->current.version;
    if (version <= this->active.version) {
        this->followProposal(poll);
        return;
    }
    this->fetch(version, [this, poll](std::optional<Content> content) {
        if (!content) {
            this->finishPoll();
            return;
        }
        this->activate(std::move(*content));
        this->followProposal(poll);
    });
}

void ConfigFollower::followProposal(const std::shared_ptr<Poll>& poll)
{
    // The proposal was abandoned or replaced, so the prepared version can no longer be accepted. A row that is older
    // than that version has no information about it.
    if (!poll->hasOpenProposal() && poll->proposal.version >= this->prepared.version
        && this->prepared.version > this->active.version)
        this->prepare({});
    if (!poll->hasOpenProposal() || poll->proposal.version <= this->preparedVersion()) {
        this->confirm(poll);
        return;
    }
    this->fetch(poll->proposal.version, [this, poll](std::optional<Content> content) {
        if (content)
            this->prepare(std::move(*content));
        this->confirm(poll);
    });
}

void ConfigFollower::confirm(const std::shared_ptr<Poll>& poll)
{
    // With Isolation::Stop, acceptance waits only for a limited time for a node that has not acknowledged. A node that
    // has seen a proposal but not prepared it must therefore not renew its confirmation.
    const bool isPrepared = !poll->hasOpenProposal() || poll->proposal.version <= this->preparedVersion();
    if (poll->current.version == this->active.version && (isPrepared || this->settings.isolation == Isolation::Serve))
        this->confirmedAt = std::max(this->confirmedAt.value_or(poll->sentAt), poll->sentAt);
    this->publish();
    this->writeRow(poll);
}

void ConfigFollower::writeRow(const std::shared_ptr<Poll>& poll)
{
    const NodeRecord record { this->settings.node.name, this->settings.node.incarnation, this->settings.dataCentre,
        this->preparedVersion(), this->active.version, this->settings.isolation };
    if (poll->nodeRow.version != 0 && poll->node == record) {
        this->finishPoll();
        return;
    }
    std::vector<RowWrite> writes { { poll->nodeRow.key, toJson(record), poll->nodeRow.version } };
    // The coordinator may not know this node yet: rewriting the proposal row makes an acceptance in progress conflict
    // and read the nodes again.
    if (poll->nodeRow.version == 0)
        writes.push_back({ poll->proposalRow.key, toJson(poll->proposal), poll->proposalRow.version });
    this->platform.table.commit(std::move(writes), whileAlive(this->alive, [this](const CommitResult& result) {
        if (result.status == CommitStatus::Committed) {
            this->isRegistered = true;
            this->publish();
        } else if (result.status == CommitStatus::Conflict) {
            std::uniform_int_distribution<Duration::rep> delay(0, conflictDelay.count());
            this->nextPollAt = std::min(this->nextPollAt, this->clock.now() + Duration(delay(*this->random)));
        }
        this->finishPoll();
    }));
}

const ConfigFollower::Content* ConfigFollower::findContent(std::uint64_t version) const
{
    if (version != 0 && this->prepared.version == version)
        return &this->prepared;
    return this->active.version == version ? &this->active : nullptr;
}

std::optional<ConfigFollower::Content> ConfigFollower::parseContent(
    std::uint64_t version, const std::string& document) const
{
    try {
        auto config = std::make_shared<Config>(parseConfig(document, detail::objectName(version)));
        config->version = version;
        return Content { version, canonicalConfig(document), std::move(config) };
    } catch (const Error&) {
        // Written by another version of the program; the node does not acknowledge a document that it cannot parse.
        return std::nullopt;
    }
}

// Applies the delta when its base is known, which avoids the transfer of the whole document.
void ConfigFollower::fetch(std::uint64_t version, std::function<void(std::optional<Content>)> handler)
{
    if (const auto* content = this->findContent(version)) {
        handler(*content);
        return;
    }
    const auto fetchObject = [this, version, handler] {
        this->platform.objects.get(detail::objectName(version),
            whileAlive(this->alive, [this, version, handler](const std::optional<std::string>& document) {
                handler(document ? this->parseContent(version, *document) : std::nullopt);
            }));
    };
    if (this->active.version == 0) {
        fetchObject();
        return;
    }
    this->platform.table.read({ detail::deltaKey(version) },
        whileAlive(this->alive, [this, version, handler, fetchObject](const std::optional<std::vector<Row>>& rows) {
            if (!rows) {
                handler(std::nullopt);
                return;
            }
            const auto delta = detail::parseRow<Delta>(rows->at(0));
            const auto* base = rows->at(0).version == 0 ? nullptr : this->findContent(delta.base);
            const auto document = base ? applyDelta(base->document, delta) : std::string();
            if (!document.empty())
                handler(this->parseContent(version, document));
            else
                fetchObject();
        }));
}

void ConfigFollower::activate(Content content)
{
    if (content.version <= this->active.version)
        return;
    this->active = std::move(content);
    this->acceptedVersion = std::max(this->acceptedVersion, this->active.version);
    // The confirmation was for the previous version.
    this->confirmedAt.reset();
    this->prepare(this->prepared.version > this->active.version ? this->prepared : Content {});
}

void ConfigFollower::prepare(Content content)
{
    this->prepared = std::move(content);
    const Config none;
    const auto& current = this->active.config ? *this->active.config : none;
    const auto& proposed = this->prepared.config ? *this->prepared.config : none;
    this->commonConfig = std::make_shared<Config>(commonRights(current, proposed));
    this->publish();
}

void ConfigFollower::publish()
{
    static const auto nothing = std::make_shared<const Config>();
    auto next = std::make_shared<GrantedConfig>();
    const auto& config = this->active.config ? this->active.config : nothing;
    next->stopped = std::make_shared<Config>(withoutRights(*config));
    next->fresh = this->isSuperseded ? next->stopped : config;
    const bool certain = this->isRegistered && !this->isSuperseded && this->acceptedVersion == this->active.version;
    // A node without a row in the table gets no rights once stale, because acceptance does not wait for it.
    next->stale = !certain                              ? next->stopped
        : this->prepared.version > this->active.version ? this->commonConfig
                                                        : config;
    const auto confirmed = this->confirmedAt.value_or(TimePoint::min());
    next->freshUntil = this->confirmedAt ? confirmed + staleTimeout : TimePoint::min();
    next->staleUntil = TimePoint::max();
    if (this->settings.isolation == Isolation::Stop)
        next->staleUntil = this->confirmedAt ? confirmed + stopTimeout : TimePoint::min();
    this->grantedConfig = next;
    if (this->hooks.publish)
        this->hooks.publish(this->grantedConfig);
}

void ConfigFollower::askPeers()
{
    const auto now = this->clock.now();
    this->nextQuestionAt = now + questionInterval;
    this->questionTimes[++this->lastNonce] = now;
    if (this->questionTimes.size() > maxTrackedQuestions)
        this->questionTimes.erase(this->questionTimes.begin());
    const Json question { { "nonce", this->lastNonce }, { "inForce", this->active.version },
        { "held", this->preparedVersion() } };
    if (this->hooks.askPeers)
        this->hooks.askPeers(question.dump());
}

void ConfigFollower::onPeerVersions(ConfigVersions peer)
{
    if (peer.active > this->active.version && peer.active > this->acceptedVersion) {
        this->acceptedVersion = peer.active;
        this->publish();
    }
    if (peer.active > this->active.version || peer.prepared > this->preparedVersion()) {
        this->nextPollAt = std::min(this->nextPollAt, this->clock.now() + conflictDelay);
        if (this->clock.now() >= this->nextQuestionAt)
            this->askPeers();
    }
}

std::string ConfigFollower::answer(std::string_view question) const
{
    if (this->active.version == 0 || this->isSuperseded)
        return {};
    const auto asked = fromJson<Json>(question);
    Json answer { { "nonce", asked.at("nonce") }, { "inForce", this->active.version },
        { "held", this->preparedVersion() } };
    if (asked.at("inForce") < this->active.version)
        answer["inForceDocument"] = this->active.document;
    if (this->prepared.version > this->active.version && asked.at("held") < this->prepared.version)
        answer["heldDocument"] = this->prepared.document;
    // Acceptance requires the acknowledgement of this node, which has not been given: no newer version was accepted.
    const bool certain = this->isRegistered && this->settings.isolation == Isolation::Serve
        && this->prepared.version <= this->active.version;
    if (this->acceptedVersion == this->active.version && certain)
        answer["ageMs"] = 0;
    else if (this->acceptedVersion == this->active.version && this->confirmedAt)
        answer["ageMs"] = (this->clock.now() - *this->confirmedAt).count();
    return answer.dump();
}

void ConfigFollower::onAnswer(std::string_view text)
{
    const auto answer = fromJson<Json>(text);
    const auto asked = this->questionTimes.find(answer.at("nonce").get<std::uint64_t>());
    const auto peerActiveVersion = answer.at("inForce").get<std::uint64_t>();
    const auto peerPreparedVersion = answer.at("held").get<std::uint64_t>();
    this->acceptedVersion = std::max(this->acceptedVersion, peerActiveVersion);
    if (peerActiveVersion > this->active.version) {
        const auto* content = this->findContent(peerActiveVersion);
        auto loaded = content ? std::optional(*content)
                              : this->parseContent(peerActiveVersion, answer.value("inForceDocument", std::string()));
        if (loaded)
            this->activate(std::move(*loaded));
    }
    if (peerPreparedVersion > this->preparedVersion() && answer.contains("heldDocument")) {
        if (auto loaded = this->parseContent(peerPreparedVersion, answer.at("heldDocument").get<std::string>()))
            this->prepare(std::move(*loaded));
    }
    const bool isPrepared
        = peerPreparedVersion <= this->preparedVersion() || this->settings.isolation == Isolation::Serve;
    if (asked != this->questionTimes.end() && answer.contains("ageMs") && isPrepared
        && peerActiveVersion == this->active.version) {
        // The age is counted from the time of the question, so that a delayed answer does not count as recent.
        const auto at = asked->second - Duration(answer.at("ageMs").get<Duration::rep>());
        this->confirmedAt = std::max(this->confirmedAt.value_or(at), at);
    }
    this->publish();
}

} // namespace waxwinglug
