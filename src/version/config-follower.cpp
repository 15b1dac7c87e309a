// The follower of roll-outs in an entry VM.
#include "version/rollout-rows.h"

#include <waxwinglug/keys.h>

#include <fmt/format.h>

#include <algorithm>

namespace waxwinglug {
namespace {

    using detail::Current;
    using detail::Delta;
    using detail::whileAlive;

    // Peers are asked before the node would have to grant less.
    constexpr Duration askAfter = staleTimeout / 2;
    constexpr Duration questionInterval = std::chrono::milliseconds(500);
    // A registration that conflicts with another is repeated after a random part of this time.
    constexpr Duration conflictDelay = std::chrono::milliseconds(250);
    constexpr std::size_t keptQuestions = 8;

    // Empty when the delta does not lead to the proposed document; the whole document is then loaded.
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
    Current current;
    Proposal proposal;
    Row proposalRow;
    Row nodeRow;
    NodeRecord node;

    bool open() const { return this->proposal.state == ProposalState::Open; }
};

ConfigFollower::ConfigFollower(
    FollowerSettings nodeSettings, Platform platformHooks, Clock clockHooks, Random& randomSource, Hooks nodeHooks)
    : settings(std::move(nodeSettings))
    , platform(std::move(platformHooks))
    , clock(std::move(clockHooks))
    , random(&randomSource)
    , hooks(std::move(nodeHooks))
    , nextPoll(this->clock.now())
    , nextQuestion(this->clock.now())
    , lastAttempt(this->clock.now() - staleTimeout)
{
    this->publish();
}

void ConfigFollower::tick()
{
    const auto now = this->clock.now();
    const bool busy = this->busySince && now - *this->busySince < detail::callTimeout;
    if (!busy && now >= this->nextPoll)
        this->poll();
    if (now >= this->nextQuestion && (!this->confirmedAt || now - *this->confirmedAt >= askAfter))
        this->ask();
}

bool ConfigFollower::needsRefresh() const { return this->clock.now() - this->lastAttempt >= staleTimeout; }

ConfigVersions ConfigFollower::versions() const { return { this->inForce.version, this->heldVersion() }; }

void ConfigFollower::poll()
{
    auto poll = std::make_shared<Poll>();
    poll->sentAt = this->clock.now();
    this->busySince = poll->sentAt;
    this->nextPoll = poll->sentAt + this->settings.pollInterval;
    this->platform.table.read({ std::string(detail::currentKey), std::string(detail::proposalKey),
                                  std::string(detail::nodePrefix) + this->settings.node.name },
        whileAlive(this->alive, [this, poll](const std::optional<std::vector<Row>>& rows) {
            // A call takes at most 2 s, so a later answer is from before a pause of this process and may be old.
            if (this->clock.now() - poll->sentAt < staleTimeout)
                this->lastAttempt = this->clock.now();
            if (rows)
                this->onRows(poll, *rows);
            else
                this->finishPoll();
        }));
}

void ConfigFollower::onRows(const std::shared_ptr<Poll>& poll, const std::vector<Row>& rows)
{
    poll->current = detail::parseRow<Current>(rows.at(0));
    poll->proposalRow = rows.at(1);
    poll->proposal = detail::parseRow<Proposal>(rows.at(1));
    poll->nodeRow = rows.at(2);
    poll->node = detail::parseRow<NodeRecord>(rows.at(2));
    this->superseded = this->superseded || poll->node.incarnation > this->settings.node.incarnation;
    this->registered = poll->nodeRow.version != 0 && poll->node.incarnation == this->settings.node.incarnation;
    this->accepted = std::max(this->accepted, poll->current.version);
    this->publish();
    if (this->superseded)
        this->finishPoll();
    else
        this->followCurrent(poll);
}

void ConfigFollower::followCurrent(const std::shared_ptr<Poll>& poll)
{
    const auto version = poll->current.version;
    if (version <= this->inForce.version) {
        this->followProposal(poll);
        return;
    }
    this->fetch(version, [this, poll](std::optional<Content> content) {
        if (!content) {
            this->finishPoll();
            return;
        }
        this->putInForce(std::move(*content));
        this->followProposal(poll);
    });
}

void ConfigFollower::followProposal(const std::shared_ptr<Poll>& poll)
{
    // The row says that the held version can no longer be accepted. A row older than that version says nothing.
    if (!poll->open() && poll->proposal.version >= this->held.version && this->held.version > this->inForce.version)
        this->hold({});
    if (!poll->open() || poll->proposal.version <= this->heldVersion()) {
        this->confirm(poll);
        return;
    }
    this->fetch(poll->proposal.version, [this, poll](std::optional<Content> content) {
        if (content)
            this->hold(std::move(*content));
        this->confirm(poll);
    });
}

void ConfigFollower::confirm(const std::shared_ptr<Poll>& poll)
{
    // With Isolation::Stop, acceptance waits only a set time for a node that has not acknowledged. The time of a node
    // that has seen a proposal without holding it must therefore run out.
    const bool holdsAll = !poll->open() || poll->proposal.version <= this->heldVersion();
    if (poll->current.version == this->inForce.version && (holdsAll || this->settings.isolation == Isolation::Serve))
        this->confirmedAt = std::max(this->confirmedAt.value_or(poll->sentAt), poll->sentAt);
    this->publish();
    this->writeRow(poll);
}

void ConfigFollower::writeRow(const std::shared_ptr<Poll>& poll)
{
    const NodeRecord record { this->settings.node.name, this->settings.node.incarnation, this->settings.dataCentre,
        this->heldVersion(), this->inForce.version, this->settings.isolation };
    if (poll->nodeRow.version != 0 && poll->node == record) {
        this->finishPoll();
        return;
    }
    std::vector<RowWrite> writes { { poll->nodeRow.key, toJson(record), poll->nodeRow.version } };
    // A node that acceptance does not know yet: an acceptance in progress must conflict and look again.
    if (poll->nodeRow.version == 0)
        writes.push_back({ poll->proposalRow.key, toJson(poll->proposal), poll->proposalRow.version });
    this->platform.table.commit(std::move(writes), whileAlive(this->alive, [this](const CommitResult& result) {
        if (result.status == CommitStatus::Committed) {
            this->registered = true;
            this->publish();
        } else if (result.status == CommitStatus::Conflict) {
            std::uniform_int_distribution<Duration::rep> delay(0, conflictDelay.count());
            this->nextPoll = std::min(this->nextPoll, this->clock.now() + Duration(delay(*this->random)));
        }
        this->finishPoll();
    }));
}

const ConfigFollower::Content* ConfigFollower::known(std::uint64_t version) const
{
    if (version != 0 && this->held.version == version)
        return &this->held;
    return this->inForce.version == version ? &this->inForce : nullptr;
}

std::optional<ConfigFollower::Content> ConfigFollower::load(std::uint64_t version, const std::string& document) const
{
    try {
        auto config = std::make_shared<Config>(parseConfig(document, detail::objectName(version)));
        config->version = version;
        return Content { version, canonicalConfig(document), std::move(config) };
    } catch (const Error&) {
        // Written by another version of the program; the node does not acknowledge what it cannot read.
        return std::nullopt;
    }
}

// Loads by delta when the base is known, which saves the bytes of the whole document.
void ConfigFollower::fetch(std::uint64_t version, std::function<void(std::optional<Content>)> handler)
{
    if (const auto* content = this->known(version)) {
        handler(*content);
        return;
    }
    const auto fetchObject = [this, version, handler] {
        this->platform.objects.get(detail::objectName(version),
            whileAlive(this->alive, [this, version, handler](const std::optional<std::string>& document) {
                handler(document ? this->load(version, *document) : std::nullopt);
            }));
    };
    if (this->inForce.version == 0) {
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
            const auto* base = rows->at(0).version == 0 ? nullptr : this->known(delta.base);
            const auto document = base ? applyDelta(base->document, delta) : std::string();
            if (!document.empty())
                handler(this->load(version, document));
            else
                fetchObject();
        }));
}

void ConfigFollower::putInForce(Content content)
{
    if (content.version <= this->inForce.version)
        return;
    this->inForce = std::move(content);
    this->accepted = std::max(this->accepted, this->inForce.version);
    // What was confirmed was the earlier version.
    this->confirmedAt.reset();
    this->hold(this->held.version > this->inForce.version ? this->held : Content {});
}

void ConfigFollower::hold(Content content)
{
    this->held = std::move(content);
    const Config none;
    const auto& current = this->inForce.config ? *this->inForce.config : none;
    const auto& proposed = this->held.config ? *this->held.config : none;
    this->common = std::make_shared<Config>(commonRights(current, proposed));
    this->publish();
}

void ConfigFollower::publish()
{
    static const auto nothing = std::make_shared<const Config>();
    auto next = std::make_shared<GrantedConfig>();
    const auto& config = this->inForce.config ? this->inForce.config : nothing;
    next->stopped = std::make_shared<Config>(withoutRights(*config));
    next->fresh = this->superseded ? next->stopped : config;
    const bool certain = this->registered && !this->superseded && this->accepted == this->inForce.version;
    // Without a row of its own, acceptance may not wait for this node.
    next->stale = !certain ? next->stopped : this->held.version > this->inForce.version ? this->common : config;
    const auto confirmed = this->confirmedAt.value_or(TimePoint::min());
    next->freshUntil = this->confirmedAt ? confirmed + staleTimeout : TimePoint::min();
    next->staleUntil = TimePoint::max();
    if (this->settings.isolation == Isolation::Stop)
        next->staleUntil = this->confirmedAt ? confirmed + stopTimeout : TimePoint::min();
    this->grants = next;
    if (this->hooks.publish)
        this->hooks.publish(this->grants);
}

void ConfigFollower::ask()
{
    const auto now = this->clock.now();
    this->nextQuestion = now + questionInterval;
    this->questions[++this->lastQuestion] = now;
    if (this->questions.size() > keptQuestions)
        this->questions.erase(this->questions.begin());
    const Json question { { "nonce", this->lastQuestion }, { "inForce", this->inForce.version },
        { "held", this->heldVersion() } };
    if (this->hooks.askPeers)
        this->hooks.askPeers(question.dump());
}

void ConfigFollower::onPeerVersions(ConfigVersions peer)
{
    if (peer.active > this->inForce.version && peer.active > this->accepted) {
        this->accepted = peer.active;
        this->publish();
    }
    if (peer.active > this->inForce.version || peer.prepared > this->heldVersion()) {
        this->nextPoll = std::min(this->nextPoll, this->clock.now() + conflictDelay);
        if (this->clock.now() >= this->nextQuestion)
            this->ask();
    }
}

std::string ConfigFollower::answer(std::string_view question) const
{
    if (this->inForce.version == 0 || this->superseded)
        return {};
    const auto asked = fromJson<Json>(question);
    Json answer { { "nonce", asked.at("nonce") }, { "inForce", this->inForce.version },
        { "held", this->heldVersion() } };
    if (asked.at("inForce") < this->inForce.version)
        answer["inForceDocument"] = this->inForce.document;
    if (this->held.version > this->inForce.version && asked.at("held") < this->held.version)
        answer["heldDocument"] = this->held.document;
    // Acceptance needs the acknowledgement of this node, so it knows without asking that there was none.
    const bool certain = this->registered && this->settings.isolation == Isolation::Serve
        && this->held.version <= this->inForce.version;
    if (this->accepted == this->inForce.version && certain)
        answer["ageMs"] = 0;
    else if (this->accepted == this->inForce.version && this->confirmedAt)
        answer["ageMs"] = (this->clock.now() - *this->confirmedAt).count();
    return answer.dump();
}

void ConfigFollower::onAnswer(std::string_view text)
{
    const auto answer = fromJson<Json>(text);
    const auto asked = this->questions.find(answer.at("nonce").get<std::uint64_t>());
    const auto inForceVersion = answer.at("inForce").get<std::uint64_t>();
    const auto heldByPeer = answer.at("held").get<std::uint64_t>();
    this->accepted = std::max(this->accepted, inForceVersion);
    if (inForceVersion > this->inForce.version) {
        const auto* content = this->known(inForceVersion);
        auto loaded = content ? std::optional(*content)
                              : this->load(inForceVersion, answer.value("inForceDocument", std::string()));
        if (loaded)
            this->putInForce(std::move(*loaded));
    }
    if (heldByPeer > this->heldVersion() && answer.contains("heldDocument")) {
        if (auto loaded = this->load(heldByPeer, answer.at("heldDocument").get<std::string>()))
            this->hold(std::move(*loaded));
    }
    const bool holdsAll = heldByPeer <= this->heldVersion() || this->settings.isolation == Isolation::Serve;
    if (asked != this->questions.end() && answer.contains("ageMs") && holdsAll
        && inForceVersion == this->inForce.version) {
        // Counted from the question, so a delayed answer is not taken for a recent one.
        const auto at = asked->second - Duration(answer.at("ageMs").get<Duration::rep>());
        this->confirmedAt = std::max(this->confirmedAt.value_or(at), at);
    }
    this->publish();
}

} // namespace waxwinglug
