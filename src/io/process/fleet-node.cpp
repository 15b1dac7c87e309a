// Connects the parts of the scheduler process on one event loop.
#include "io/process/fleet-node.h"

#include "io/connection/caller-server.h"
#include "io/process/job-gateway.h"
#include "io/process/leader-session.h"
#include "io/process/leadership-offer.h"
#include "io/process/log.h"
#include "io/process/loop-monitor.h"
#include "io/process/order-relay.h"
#include "io/process/suspend-aware-clock.h"
#include "io/process/table-ages.h"
#include "io/process/table-follower.h"
#include "io/process/tables.h"
#include "job/leadership.h"

#include <waxwinglug/metrics.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <fmt/ranges.h>

#include <array>
#include <cmath>
#include <csignal>
#include <random>
#include <set>

namespace waxwinglug::io {
namespace {

    // Interval of the checks of shutdown, idle connections and leadership.
    constexpr Duration tickInterval { 100 };
    // Without an answer from the store for this long the VM reports that it is not ready, and the balancer sends
    // callers to other VMs.
    constexpr Duration maxStoreAnswerAge { 2500 };
    // The balancer probes once a second and removes a VM after two failed probes; after this time no new connections
    // arrive.
    constexpr Duration balancerDrainTime { 2300 };
    // Part of the shutdown grace period that is reserved for ending the process.
    constexpr Duration exitReserve { 700 };
    constexpr Duration acquireTimeout { 800 };
    // Part of the limit of cancellations that is reserved for the way of a start order to its server.
    constexpr Duration startDelayReserve { 500 };
    // Upper bound of the random delay before a VM registers itself, and registers again after a failure.
    constexpr Duration maxRegistrationDelay { 1000 };
    // Limit per event. Each decision about a request or a task is logged, and a leader starts several hundred tasks a
    // second. A line takes about 10 us of processor time.
    constexpr int maxLogLinesPerSecond = 400;
    constexpr std::uint64_t defaultMaxBodyBytes = 256ULL * 1024;

    // Returns the metric name of a log event. The counter includes lines that the rate limit of the log drops.
    std::string counterName(std::string_view event)
    {
        std::string name("event_");
        for (const char c : event)
            name += c >= 'a' && c <= 'z' ? c : '_';
        return name;
    }

    Random seededRandom()
    {
        std::random_device device;
        return Random((static_cast<std::uint64_t>(device()) << 32) | device());
    }

} // namespace

class FleetNode::Impl {
public:
    Impl(FleetNodeSettings nodeSettings, const std::function<FleetPlatform(AsyncHttpClient&)>& connect)
        : settings(std::move(nodeSettings))
        , clock(suspendAwareClock())
        , log("scheduler", this->clock, maxLogLinesPerSecond)
        , random(seededRandom())
        , httpClient(this->context, this->clock)
        , platform(connect(this->httpClient))
        , relay(std::make_shared<OrderRelay>(
              this->context, this->platform.servers, this->settings.name, this->clock, this->logHook()))
        , leadership({}, this->clock, this->settings.name, this->settings.processorMillicores, this->random)
        , gateway(this->platform, this->clock, this->metrics, this->gatewayHooks())
        , signals(this->context, SIGTERM, SIGINT, SIGHUP)
        , tickTimer(this->context)
        , registrationTimer(this->context)
        , loopMonitor(this->context, this->clock, processProcessorTime,
              [this](const LoopUsage& usage) { this->reportUsage(usage); })
        , storeAnsweredAt(this->clock.now())
    {
    }

    void run()
    {
        this->log.info("starts", { { "node", this->settings.name }, { "store", this->settings.store.host } });
        this->listen();
        this->followConfig();
        this->followLeadership();
        this->waitForSignal();
        this->tick();
        this->loopMonitor.start();
        this->context.run();
        this->log.info("stops", { { "node", this->settings.name } });
    }

private:
    LogHook logHook()
    {
        return [this](std::string_view event, std::initializer_list<LogField> fields) {
            this->metrics.counter(counterName(event), event).add();
            this->log.info(event, fields);
        };
    }

    JobGatewayHooks gatewayHooks()
    {
        JobGatewayHooks hooks;
        hooks.activeConfig = [this] { return this->config; };
        hooks.configAge = [this] { return this->clock.now() - this->configMoment.requestedAt; };
        hooks.pendingJobs = [this] { return this->session ? this->session->pendingCounts() : std::nullopt; };
        hooks.isStoreAvailable = [this] { return this->isStoreAvailable(); };
        hooks.knownStoreVersion
            = [this] { return std::max(this->configMoment.version, this->leadershipMoment.version); };
        hooks.runLater = [this](Duration delay, std::function<void()> run) {
            auto timer = std::make_shared<boost::asio::steady_timer>(this->context, delay);
            timer->async_wait([timer, run = std::move(run)](const boost::system::error_code& error) {
                if (!error)
                    run();
            });
        };
        hooks.log = this->logHook();
        return hooks;
    }

    CallerHooks serverHooks(std::function<void(HttpRequest, Respond)> handle)
    {
        CallerHooks hooks;
        hooks.bodyLimitBytes = [this](std::string_view) {
            return this->config && this->config->maxBodyBytes > 0 ? this->config->maxBodyBytes : defaultMaxBodyBytes;
        };
        hooks.handle = [handle = std::move(handle)](HttpRequest request, Respond respond) {
            handle(std::move(request), std::move(respond));
            return std::function<void()>();
        };
        hooks.reject = [](int status, std::string_view problem, std::string_view remedy) {
            return HttpResponse { status, {}, std::string(problem).append("; ").append(remedy) };
        };
        return hooks;
    }

    void listen()
    {
        this->callerServer = std::make_unique<CallerServer>(this->context, this->settings.callers, CallerLimits {},
            this->serverHooks(
                [this](auto request, auto respond) { this->gateway.handle(std::move(request), std::move(respond)); }));
        const auto answerHealth = [this](const HttpRequest&, const Respond& respond) {
            respond({ this->isReady() ? 200 : 503, {}, "" });
        };
        this->healthServer = std::make_unique<CallerServer>(
            this->context, this->settings.health, CallerLimits {}, this->serverHooks(answerHealth));
        const auto answerOperators = [this](const HttpRequest& request, const Respond& respond) {
            const auto acquire = [this] {
                if (this->config && !this->isStopping && this->leadership.shouldAcquire())
                    this->acquireLeadership();
            };
            if (!this->relay->handle(request, respond)
                && !answerLeadershipRequest(this->leadership, request, respond, acquire, this->logHook()))
                respond(this->answerOperator(request));
        };
        auto operatorHooks = this->serverHooks(answerOperators);
        operatorHooks.bodyLimitBytes = [](std::string_view) { return maxRelayMessageBytes; };
        this->operatorServer = std::make_unique<CallerServer>(
            this->context, this->settings.operators, CallerLimits {}, std::move(operatorHooks));
    }

    HttpResponse answerOperator(const HttpRequest& request)
    {
        if (request.target == "/metrics")
            return { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, this->metrics.exposition() };
        if (request.target == "/health")
            return { this->isReady() ? 200 : 503, {}, "" };
        return { 404, {}, "" };
    }

    bool isReady() const
    {
        return this->config && !this->isStopping && this->clock.now() - this->storeAnsweredAt < maxStoreAnswerAge;
    }

    // `apply` learns whether the rows are all of the table or changes; `moment` becomes the latest one that they
    // describe.
    FollowerHooks followerHooks(
        TableMoment& moment, const std::function<void(std::span<const StoredRow>, bool isFullRead)>& apply)
    {
        FollowerHooks hooks;
        hooks.onCurrent = [&moment](const TableMoment& latest) { moment = latest; };
        hooks.onFullRead = [apply](std::span<const StoredRow> rows) { apply(rows, true); };
        hooks.onChanges = [apply](std::span<const StoredRow> rows) { apply(rows, false); };
        hooks.onAnswer = [this] {
            this->storeAnsweredAt = this->clock.now();
            this->leadership.storeAnswered();
        };
        hooks.onNoAnswer = [this] {
            this->storeFailedAt = this->clock.now();
            this->leadership.storeCallFailed();
        };
        hooks.log = this->logHook();
        return hooks;
    }

    // False from the first call without an answer until the next answer. The followers call the store several times a
    // second.
    bool isStoreAvailable() const { return this->storeFailedAt <= this->storeAnsweredAt; }

    void followConfig()
    {
        this->configFollower = std::make_unique<TableFollower>(followerTime(this->context, this->clock),
            this->platform.store, this->platform.formats.operatorTable, std::vector<std::string> { "" }, 0,
            this->followerHooks(this->configMoment,
                [this](std::span<const StoredRow> rows, bool isFullRead) { this->onOperatorRows(rows, isFullRead); }));
        this->configFollower->start();
    }

    void onOperatorRows(std::span<const StoredRow> rows, bool isFullRead)
    {
        // A request that was withdrawn while this process did not follow the table is missing from a full read.
        std::set<std::string, std::less<>> evacuated;
        if (!isFullRead)
            evacuated = this->evacuatedDataCentres;
        for (const auto& row : rows) {
            if (const auto evacuation = this->platform.formats.decodeEvacuation(row)) {
                if (evacuation->isActive)
                    evacuated.insert(evacuation->dataCentre);
                else
                    evacuated.erase(evacuation->dataCentre);
            }
        }
        this->applyEvacuations(std::move(evacuated));
        for (const auto& row : rows) {
            if (auto next = this->platform.formats.decodeConfig(row))
                this->applyConfig(std::move(*next));
            else if (auto wave = this->platform.formats.decodeWave(row))
                this->applyWave(*wave);
            else if (!row.removed && !this->platform.formats.decodeEvacuation(row))
                this->log.warning("operator row is skipped", { { "key", row.name.key }, { "version", row.version } });
        }
    }

    // Ignores older versions, which the store can return for a while after it has lost history.
    void applyConfig(FleetConfig next)
    {
        if (this->config && next.version <= this->config->version)
            return;
        this->log.info("configuration is in force",
            { { "version", next.version }, { "queues", next.queues.size() }, { "teams", next.teams.size() } });
        if (!this->config) {
            this->leadership.becomeCandidate();
            this->registerVm();
        }
        this->config = std::make_shared<const FleetConfig>(std::move(next));
        if (this->session)
            this->session->setConfig(this->config);
    }

    void applyEvacuations(std::set<std::string, std::less<>> next)
    {
        if (next == this->evacuatedDataCentres)
            return;
        this->log.info(
            "evacuated data centres change", { { "data_centres", fmt::format("{}", fmt::join(next, ",")) } });
        this->evacuatedDataCentres = std::move(next);
        if (this->session)
            this->session->setEvacuatedDataCentres(this->evacuatedDataCentres);
    }

    void applyWave(const MachineWave& wave)
    {
        this->waves[wave.number] = wave;
        if (this->session)
            this->session->addWave(wave);
    }

    // Registers this VM as a possible relay. Hundreds of VMs start at the same time, so each waits for a random time.
    void registerVm()
    {
        this->registrationTimer.expires_after(
            Duration(std::uniform_int_distribution<std::int64_t>(0, maxRegistrationDelay.count())(this->random)));
        this->registrationTimer.async_wait([this](const boost::system::error_code& error) {
            if (!error)
                this->writeVmRow();
        });
    }

    void writeVmRow()
    {
        const EntryVm vm { this->settings.name, this->settings.dataCentre, this->settings.operators,
            this->settings.processorMillicores };
        RowTransaction transaction;
        transaction.writes.push_back(
            { { tables::entryVms, tables::entryVmPart, this->settings.name }, Json(vm).dump() });
        this->platform.store.commit(std::move(transaction), acquireTimeout, [this](const TransactionResult& result) {
            if (result.status != CommitStatus::Committed && !this->isStopping)
                this->registerVm();
        });
    }

    void followLeadership()
    {
        this->leadershipFollower = std::make_unique<TableFollower>(followerTime(this->context, this->clock),
            this->platform.store, Leadership::table, std::vector<std::string> { Leadership::part }, 0,
            this->followerHooks(this->leadershipMoment, [this](std::span<const StoredRow> rows, bool) {
                this->leadership.observe(rows);
                this->startSession();
            }));
        this->leadershipFollower->start();
    }

    void acquireLeadership()
    {
        this->log.info("acquires leadership",
            { { "after", this->leadership.leaderName() }, { "fence", this->leadership.fence() + 1 } });
        this->platform.store.commit(
            this->leadership.acquire(), acquireTimeout, [this](const TransactionResult& result) {
                this->leadership.acquireAnswered(result);
                this->startSession();
            });
    }

    void startSession()
    {
        if (!this->leadership.isLeader() || !this->config || this->session || this->isStopping)
            return;
        JobSchedulerRules rules;
        rules.fence = this->leadership.fence();
        rules.endedJobRetention = this->settings.endedJobRetention + std::chrono::minutes(1);
        rules.lease = std::min(rules.lease, this->settings.maxServerLease);
        rules.maxLease = this->settings.maxServerLease;
        // The contract does not say whether the limit holds for a value or for its base64 encoding.
        rules.maxProgressBytes = this->platform.store.maxRowBytes / 4 * 3;
        rules.maxJobTableAge = this->settings.cancellationLimit - startDelayReserve;
        MachineMaintenanceRules maintenanceRules;
        if (this->leadership.hasPredecessorStopped())
            rules.assumeEarlierLeaderStopped();
        // The first leader of all has no predecessor whose orders could conflict with its own, nor has one that follows
        // itself.
        const bool hasNoOtherPredecessor = rules.fence == 1 || this->leadership.wasPredecessorSelf();
        maintenanceRules.initialQuietPeriod = hasNoOtherPredecessor ? Duration(0) : this->settings.minOrderInterval;
        maintenanceRules.maintenanceDuration = this->settings.maintenanceDuration;
        LeaderSessionHooks hooks;
        hooks.onEnded = [this] { this->session.reset(); };
        hooks.log = this->logHook();
        RelaySelection relays(RelayRules {}, this->settings.name, this->settings.processorMillicores);
        this->session = std::make_shared<LeaderSession>(this->context, this->httpClient, this->platform,
            std::move(relays), this->leadership, rules, maintenanceRules, this->clock, this->config, std::move(hooks));
        for (const auto& [number, wave] : this->waves)
            this->session->addWave(wave);
        this->session->setEvacuatedDataCentres(this->evacuatedDataCentres);
        this->lastWork = {};
        this->session->start();
    }

    void waitForSignal()
    {
        this->signals.async_wait([this](const boost::system::error_code& error, int signal) {
            if (error)
                return;
            if (signal == SIGHUP) {
                this->log.info("reloads", { { "node", this->settings.name } });
                return this->waitForSignal();
            }
            this->stop();
        });
    }

    void stop()
    {
        this->isStopping = true;
        this->stopRequestedAt = this->clock.now();
        this->log.info("is asked to stop", { { "open_requests", this->callerServer->openRequestCount() } });
        this->callerServer->closeAfterAnswers();
        if (this->session)
            this->session->releaseLeadership();
    }

    // Sets the gauges of this VM's load; a VM that leads or relays logs them too.
    void reportUsage(const LoopUsage& usage)
    {
        const auto processorShare
            = static_cast<double>(usage.processorTime.count()) * 1000 / static_cast<double>(usage.interval.count());
        this->metrics.setGauge("processor_millicores", "processor time used in the last second", processorShare);
        this->metrics.setGauge("loop_lateness_ms", "largest lateness of a timer in the last second",
            static_cast<double>(usage.maxLateness.count()));
        const auto relayed
            = this->relay->acceptedOrderCount() - std::exchange(this->relayedOrders, this->relay->acceptedOrderCount());
        if (relayed > 0)
            this->log.info("relay load",
                { { "millicores", std::lround(processorShare) }, { "late_max_ms", usage.maxLateness.count() },
                    { "late_mean_ms", usage.totalLateness.count() / usage.samples }, { "orders", relayed },
                    { "open_orders", this->relay->openOrderCount() }, { "results", this->relay->heldResultCount() } });
        if (!this->session || !this->session->isLoaded())
            return;
        const auto work = this->session->work();
        const auto last = std::exchange(this->lastWork, work);
        this->metrics.setGauge(
            "unsaved_jobs", "jobs with changes that are not stored", static_cast<double>(work.unsavedJobs));
        this->log.info("leader load",
            { { "fence", this->leadership.fence() }, { "millicores", std::lround(processorShare) },
                { "late_max_ms", usage.maxLateness.count() },
                { "late_mean_ms", usage.totalLateness.count() / usage.samples },
                { "starts", work.starts - last.starts }, { "reports", work.reports - last.reports },
                { "jobs", work.jobsReceived - last.jobsReceived }, { "unanswered", work.unansweredOrders },
                { "oldest_unsent_ms", work.oldestUnsentOrder.count() },
                { "oldest_report_ms", work.oldestReport.count() }, { "unsaved", work.unsavedJobs },
                { "commit_age_ms", work.commitAge.count() } });
    }

    void tick()
    {
        this->tickTimer.expires_after(tickInterval);
        this->tickTimer.async_wait([this](const boost::system::error_code& error) {
            if (!error)
                this->tick();
        });
        const auto now = this->clock.now();
        if (this->isStopping) {
            const auto elapsed = now - this->stopRequestedAt;
            const bool isDrained = elapsed > balancerDrainTime && this->callerServer->openRequestCount() == 0;
            if (isDrained || elapsed > this->settings.shutdownGrace - exitReserve)
                this->context.stop();
            return;
        }
        if (this->config && this->leadership.shouldAcquire())
            this->acquireLeadership();
        if (now - this->housekeepingAt >= std::chrono::seconds(1)) {
            this->housekeepingAt = now;
            this->httpClient.closeIdleConnections();
            this->reportAges();
            this->log.reportDroppedLines();
        }
    }

    std::optional<Duration> ageOf(const TableMoment& moment) const
    {
        return moment.version == 0 ? std::nullopt : std::optional(this->clock.now() - moment.requestedAt);
    }

    void reportAges()
    {
        const std::array<TableAge, 4> ages { {
            { "configuration", "configuration_age_ms", this->ageOf(this->configMoment) },
            { "lead", "leadership_age_ms", this->ageOf(this->leadershipMoment) },
            { "job", "job_table_age_ms", this->session ? this->session->jobTableAge() : std::nullopt },
            { "server", "server_table_age_ms", this->session ? this->session->serverTableAge() : std::nullopt },
        } };
        reportTableAges(ages, this->metrics, this->logHook());
    }

    const FleetNodeSettings settings;
    const Clock clock;
    Log log;
    Metrics metrics;
    Random random;
    boost::asio::io_context context { 1 };
    AsyncHttpClient httpClient;
    const FleetPlatform platform;
    const std::shared_ptr<OrderRelay> relay;
    Leadership leadership;
    JobGateway gateway;
    boost::asio::signal_set signals;
    boost::asio::steady_timer tickTimer;
    boost::asio::steady_timer registrationTimer;
    LoopMonitor loopMonitor;
    std::unique_ptr<CallerServer> callerServer;
    std::unique_ptr<CallerServer> healthServer;
    std::unique_ptr<CallerServer> operatorServer;
    std::unique_ptr<TableFollower> configFollower;
    std::unique_ptr<TableFollower> leadershipFollower;
    std::shared_ptr<LeaderSession> session;
    std::shared_ptr<const FleetConfig> config;
    std::map<int, MachineWave> waves;
    std::set<std::string, std::less<>> evacuatedDataCentres;
    TableMoment configMoment;
    TableMoment leadershipMoment;
    TimePoint storeAnsweredAt;
    TimePoint storeFailedAt;
    TimePoint housekeepingAt;
    TimePoint stopRequestedAt;
    std::uint64_t relayedOrders = 0; // accepted until the latest report of usage
    LeaderWork lastWork; // of this term, at the latest report of usage
    bool isStopping = false;
};

FleetNode::FleetNode(FleetNodeSettings settings, std::function<FleetPlatform(AsyncHttpClient&)> connect)
    : impl(std::make_unique<Impl>(std::move(settings), connect))
{
}

FleetNode::~FleetNode() = default;

void FleetNode::run() { this->impl->run(); }

} // namespace waxwinglug::io
