// Roll-out of configurations: a proposal is acknowledged by every registered entry VM, accepted by one conditional
// write, and then replaced as a whole in each node. Rows and rules are in section 3.3 of the design page.
#pragma once

#include <waxwinglug/config.h>
#include <waxwinglug/platform.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglug {

/// What a node does when it has heard from nobody who knows the outcome of proposals.
enum class Isolation {
    Serve, // acceptance waits for the node, so it continues with the configuration in force
    Stop, // it stops by itself, so acceptance does not wait for it
};

/// A node that has acknowledged a proposal grants only the common rights after this time without news.
inline constexpr Duration staleTimeout = std::chrono::seconds(3);
/// A node with Isolation::Stop grants nothing after this time without news.
inline constexpr Duration stopTimeout = std::chrono::seconds(5);

enum class ProposalState {
    Open,
    Accepted,
    Abandoned,
};

/// Row `config/proposal`. It is never deleted, so its version also keeps numbers from being used again.
struct Proposal {
    std::uint64_t version = 0;
    std::uint64_t base = 0;
    std::string applyId;
    ProposalState state = ProposalState::Abandoned;
    std::vector<std::string> excluded; // data centres that acceptance does not wait for
};

/// Row `node/<name>`.
struct NodeRecord {
    std::string name;
    std::uint64_t incarnation = 0;
    std::string dataCentre;
    std::uint64_t preparedVersion = 0;
    std::uint64_t activeVersion = 0;
    Isolation isolation = Isolation::Serve;

    bool operator==(const NodeRecord&) const = default;
};

/// Grants only what both configurations grant: keys, services of teams, the lower limit, open queues.
Config commonRights(const Config& inForce, const Config& proposed);
/// The same services and teams, without any grant.
Config withoutRights(const Config& config);

/// What a node grants at any later time. Immutable, so traffic threads read it without asking the control thread.
struct GrantedConfig {
    std::shared_ptr<const Config> fresh;
    std::shared_ptr<const Config> stale;
    std::shared_ptr<const Config> stopped;
    TimePoint freshUntil;
    TimePoint staleUntil;

    const std::shared_ptr<const Config>& at(TimePoint now) const
    {
        if (now < this->freshUntil)
            return this->fresh;
        return now < this->staleUntil ? this->stale : this->stopped;
    }
};

struct RolloutStatus {
    std::uint64_t currentVersion = 0;
    std::optional<Proposal> proposal;
    std::vector<NodeRecord> nodes;
    /// Nodes that acceptance of an open proposal waits for.
    std::vector<std::string> pendingNodes;
    /// Nodes that still run an older version than the current one.
    std::vector<std::string> outdatedNodes;
};

/// Proposes, accepts and abandons versions. Several coordinators may run; every write is conditional.
class RolloutCoordinator {
public:
    /// Empty error: done.
    using DoneHandler = std::function<void(std::optional<Error> error, std::uint64_t version)>;
    using StatusHandler = std::function<void(std::optional<RolloutStatus>)>;

    RolloutCoordinator(Platform platform, Clock clock, Random& random);

    /// Proposes a document that replaces version `base`. Throws ConfigError when the document is wrong.
    void propose(std::string document, std::uint64_t base, std::vector<std::string> excluded, DoneHandler handler);
    /// Ends an open proposal unless it has been accepted.
    void abandon(std::uint64_t version, DoneHandler handler);
    void status(StatusHandler handler);
    /// Accepts an open proposal when every node that counts holds it. Call it several times a second.
    void tick();

private:
    struct Survey;
    struct PendingProposal;
    using SurveyHandler = std::function<void(std::optional<Survey>)>;

    void survey(SurveyHandler handler);
    std::vector<std::string> waitingFor(const Survey& survey);
    void storeObject(const Proposal& proposal, std::function<void(bool)> handler);
    void accept(const Survey& survey);
    void prepareProposal(const std::shared_ptr<PendingProposal>& pending, const std::vector<Row>& rows);
    void commitProposal(const std::shared_ptr<PendingProposal>& pending);
    void resolveProposal(const std::shared_ptr<PendingProposal>& pending);
    void finishStep() { this->busySince.reset(); }

    Platform platform;
    Clock clock;
    Random* random;
    std::optional<TimePoint> busySince;
    // The open proposal that this coordinator has seen, and since when.
    std::uint64_t seenVersion = 0;
    TimePoint seenSince;
    std::uint64_t storedVersion = 0;
    // Handlers hold it weakly and do nothing once this object is gone.
    std::shared_ptr<char> alive = std::make_shared<char>();
};

/// The highest versions that a node runs and holds; part of every heartbeat.
struct ConfigVersions {
    std::uint64_t active = 0;
    std::uint64_t prepared = 0;
};

struct FollowerSettings {
    NodeId node;
    std::string dataCentre;
    Isolation isolation = Isolation::Serve;
    Duration pollInterval = std::chrono::seconds(1);
};

/// Keeps the configuration of one entry VM up to date.
class ConfigFollower {
public:
    struct Hooks {
        /// What the node grants has changed or was confirmed.
        std::function<void(std::shared_ptr<const GrantedConfig>)> publish;
        /// Sends a question to a few peers; each gives it to answer() and sends the result back to onAnswer().
        std::function<void(std::string question)> askPeers;
    };

    ConfigFollower(FollowerSettings settings, Platform platform, Clock clock, Random& random, Hooks hooks);

    /// Polls when it is time. Call it several times a second.
    void tick();
    /// Whether no poll was attempted for `staleTimeout`, as after a pause. Keyed requests then wait for tick() and the
    /// answer to its poll.
    bool needsRefresh() const;

    ConfigVersions versions() const;
    /// What a heartbeat of a peer says.
    void onPeerVersions(ConfigVersions versions);
    /// Answers a peer's question; empty when this node knows nothing.
    std::string answer(std::string_view question) const;
    void onAnswer(std::string_view answer);

    std::shared_ptr<const GrantedConfig> granted() const { return this->grants; }

private:
    struct Content {
        std::uint64_t version = 0;
        std::string document;
        std::shared_ptr<const Config> config;
    };
    struct Poll;

    void poll();
    void onRows(const std::shared_ptr<Poll>& poll, const std::vector<Row>& rows);
    void followCurrent(const std::shared_ptr<Poll>& poll);
    void followProposal(const std::shared_ptr<Poll>& poll);
    void confirm(const std::shared_ptr<Poll>& poll);
    void writeRow(const std::shared_ptr<Poll>& poll);
    void fetch(std::uint64_t version, std::function<void(std::optional<Content>)> handler);
    std::optional<Content> load(std::uint64_t version, const std::string& document) const;
    const Content* known(std::uint64_t version) const;
    std::uint64_t heldVersion() const { return std::max(this->held.version, this->inForce.version); }
    void putInForce(Content content);
    void hold(Content content);
    void ask();
    void publish();
    void finishPoll() { this->busySince.reset(); }

    FollowerSettings settings;
    Platform platform;
    Clock clock;
    Random* random;
    Hooks hooks;

    Content inForce;
    // The acknowledged proposal; counts only while its version is above the one in force. Set before the
    // acknowledgement is sent, so that a lost answer cannot hide it.
    Content held;
    // The highest version known to be accepted; its document may not have arrived yet.
    std::uint64_t accepted = 0;
    // At this time the version in force was the accepted one.
    std::optional<TimePoint> confirmedAt;
    // Acceptance waits for this process: its row is in the table.
    bool registered = false;
    // A later process with the same name has registered.
    bool superseded = false;

    TimePoint nextPoll;
    TimePoint nextQuestion;
    TimePoint lastAttempt;
    std::optional<TimePoint> busySince;
    std::map<std::uint64_t, TimePoint> questions;
    std::uint64_t lastQuestion = 0;
    std::shared_ptr<const Config> common;
    std::shared_ptr<const GrantedConfig> grants;
    std::shared_ptr<char> alive = std::make_shared<char>();
};

} // namespace waxwinglug
