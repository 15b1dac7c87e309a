// Roll-out of configurations as a two-phase commit: every registered entry VM acknowledges a proposal, one conditional
// write accepts it, and each node then activates it as a whole. Section 3.3 of the design page describes rows and
// rules.
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

/// What a node does when it cannot learn the outcome of proposals, neither from the table nor from peers.
enum class Isolation {
    Serve, // the node keeps serving with its active configuration; acceptance waits for it
    Stop, // the node stops granting after `stopTimeout`, so acceptance need not wait for it
};

/// Time without confirmation after which a node that has acknowledged a proposal grants only the common rights of the
/// active and the proposed version.
inline constexpr Duration staleTimeout = std::chrono::seconds(3);
/// Time without confirmation after which a node with Isolation::Stop grants nothing.
inline constexpr Duration stopTimeout = std::chrono::seconds(5);

enum class ProposalState {
    Open,
    Accepted,
    Abandoned,
};

/// Row `config/proposal`. It is never deleted, so that version numbers are not reused.
struct Proposal {
    std::uint64_t version = 0;
    std::uint64_t base = 0;
    std::string applyId;
    ProposalState state = ProposalState::Abandoned;
    std::vector<std::string> excluded; // data centres whose nodes acceptance does not wait for
};

/// Row `node/<name>`.
struct NodeRecord {
    std::string name;
    std::uint64_t incarnation = 0;
    std::string dataCentre;
    // The highest version that the node has acknowledged.
    std::uint64_t preparedVersion = 0;
    std::uint64_t activeVersion = 0;
    Isolation isolation = Isolation::Serve;

    bool operator==(const NodeRecord&) const = default;
};

/// Returns `active` reduced to the rights that both configurations grant: team keys, services of teams, the lower limit
/// and anonymous access.
Config commonRights(const Config& active, const Config& proposed);
/// Returns the configuration with the same services and teams but no rights.
Config withoutRights(const Config& config);

/// The configuration that a node grants, now and as its confirmation ages. Immutable, so traffic threads evaluate it
/// without synchronizing with the control thread.
struct GrantedConfig {
    // Until `freshUntil`, then until `staleUntil`, and after that.
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
    /// Nodes whose acknowledgement is missing for the acceptance of the open proposal.
    std::vector<std::string> pendingNodes;
    /// Nodes whose active version is older than the current one.
    std::vector<std::string> outdatedNodes;
};

/// Proposes, accepts and abandons versions. Several coordinators may run concurrently; every write is conditional.
class RolloutCoordinator {
public:
    /// Called without an error on success.
    using DoneHandler = std::function<void(std::optional<Error> error, std::uint64_t version)>;
    using StatusHandler = std::function<void(std::optional<RolloutStatus>)>;

    RolloutCoordinator(Platform platform, Clock clock, Random& random);

    /// Proposes a document that replaces version `base`. Throws ConfigError when the document is invalid. The handler
    /// gets Conflict when `base` is not the current version or another proposal is open.
    void propose(std::string document, std::uint64_t base, std::vector<std::string> excluded, DoneHandler handler);
    /// Abandons an open proposal unless it has already been accepted.
    void abandon(std::uint64_t version, DoneHandler handler);
    void status(StatusHandler handler);
    /// Accepts an open proposal once every required node has acknowledged it. Call it several times a second.
    void tick();

private:
    struct Snapshot;
    struct PendingProposal;
    using SnapshotHandler = std::function<void(std::optional<Snapshot>)>;

    void readSnapshot(SnapshotHandler handler);
    std::vector<std::string> findPendingNodes(const Snapshot& snapshot);
    void storeObject(const Proposal& proposal, std::function<void(bool)> handler);
    void accept(const Snapshot& snapshot);
    void prepareProposal(const std::shared_ptr<PendingProposal>& pending, const std::vector<Row>& rows);
    void commitProposal(const std::shared_ptr<PendingProposal>& pending);
    void resolveProposal(const std::shared_ptr<PendingProposal>& pending);
    void finishStep() { this->busySince.reset(); }

    Platform platform;
    Clock clock;
    Random* random;
    std::optional<TimePoint> busySince;
    // The open proposal that this coordinator observed last, and when it first observed it.
    std::uint64_t observedVersion = 0;
    TimePoint observedSince;
    std::uint64_t storedVersion = 0;
    // Lifetime token: handlers keep a weak reference and do nothing once this object is destroyed.
    std::shared_ptr<char> alive = std::make_shared<char>();
};

/// The versions that a node has activated and prepared; part of every heartbeat.
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
        /// Called when the granted configuration has changed or was confirmed.
        std::function<void(std::shared_ptr<const GrantedConfig>)> publish;
        /// Sends a question to a few peers; each passes it to answer(), and the result is passed to onAnswer() here.
        std::function<void(std::string question)> askPeers;
    };

    ConfigFollower(FollowerSettings settings, Platform platform, Clock clock, Random& random, Hooks hooks);

    /// Polls when it is time. Call it several times a second.
    void tick();
    /// Whether no poll has completed, successfully or not, within the last `staleTimeout`, for example after a pause of
    /// the process. Requests with a team key must then wait for tick() and the completion of its poll.
    bool needsRefresh() const;

    ConfigVersions versions() const;
    /// Processes the versions in a peer's heartbeat; polls and asks peers earlier when they are newer.
    void onPeerVersions(ConfigVersions versions);
    /// Returns the answer to a peer's question; empty when this node has no active version or is superseded.
    std::string answer(std::string_view question) const;
    void onAnswer(std::string_view answer);

    std::shared_ptr<const GrantedConfig> granted() const { return this->grantedConfig; }

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
    std::optional<Content> parseContent(std::uint64_t version, const std::string& document) const;
    const Content* findContent(std::uint64_t version) const;
    std::uint64_t preparedVersion() const { return std::max(this->prepared.version, this->active.version); }
    void activate(Content content);
    void prepare(Content content);
    void askPeers();
    void publish();
    void finishPoll() { this->busySince.reset(); }

    FollowerSettings settings;
    Platform platform;
    Clock clock;
    Random* random;
    Hooks hooks;

    Content active;
    // The acknowledged proposal; relevant only while its version is above the active one. Set before the
    // acknowledgement is written, because the write may take effect although its answer is lost.
    Content prepared;
    // The highest version known to be accepted; its document may not be loaded yet.
    std::uint64_t acceptedVersion = 0;
    // The latest time at which the active version was known to be the accepted one.
    std::optional<TimePoint> confirmedAt;
    // The row of this process is in the table, so acceptance takes it into account.
    bool isRegistered = false;
    // A process with the same name and a later incarnation has registered.
    bool isSuperseded = false;

    TimePoint nextPollAt;
    TimePoint nextQuestionAt;
    TimePoint lastPollAt;
    std::optional<TimePoint> busySince;
    std::map<std::uint64_t, TimePoint> questionTimes;
    std::uint64_t lastNonce = 0;
    std::shared_ptr<const Config> commonConfig;
    std::shared_ptr<const GrantedConfig> grantedConfig;
    std::shared_ptr<char> alive = std::make_shared<char>();
};

} // namespace waxwinglug
