// Composition of the scheduler process on one event loop.
#include "io/process/fleet-node.h"

#include "io/connection/caller-server.h"
#include "io/process/job-gateway.h"
#include "io/process/lead-session.h"
#include "io/process/log.h"
#include "io/process/table-follower.h"
#include "job/leadership.h"

#include <waxwinglug/metrics.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <ctime>
#include <random>

namespace waxwinglug::io {
namespace {

    // How often shutdown, idle connections and the lead are looked after.
    constexpr Duration tickInterval { 100 };
    // A VM that has not heard the store for this long sends callers elsewhere.
    constexpr Duration storeSilence { 2500 };
    // The balancer asks once a second and takes a VM out after two misses; then no new connections come.
    constexpr Duration balancerDelay { 2300 };
    // Kept back from the grace for ending the process.
    constexpr Duration exitReserve { 700 };
    constexpr Duration takeDeadline { 800 };
    // Each decision about a request or a task gets a line, and a lead starts several hundred tasks a second. A line
    // takes about 10 us of a core.
    constexpr int logLinesPerSecond = 400;
    constexpr std::uint64_t usualBody = 256ULL * 1024;

    // A clock that goes on while the VM is suspended, unlike the usual steady one. A lead that wakes up after a
    // suspension must see that its lead has become old.
    Clock suspendAwareClock()
    {
        auto clock = systemClock();
        clock.now = [] {
            timespec time {};
            clock_gettime(CLOCK_BOOTTIME, &time);
            const auto sinceBoot = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
            return TimePoint(std::chrono::duration_cast<Duration>(sinceBoot));
        };
        return clock;
    }

    // Every kind of log line has a counter, which also counts the lines that are dropped.
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
    Impl(FleetNodeSettings nodeSettings, const std::function<FleetPlatform(HttpCaller&)>& connect)
        : settings(std::move(nodeSettings))
        , clock(suspendAwareClock())
        , log("scheduler", this->clock, logLinesPerSecond)
        , random(seededRandom())
        , caller(this->context, this->clock)
        , platform(connect(this->caller))
        , leadership({}, this->clock, this->settings.name, this->settings.processorMillicores, this->random)
        , gateway(this->context, this->platform, this->clock, this->metrics, this->gatewayHooks())
        , signals(this->context, SIGTERM, SIGINT, SIGHUP)
        , ticker(this->context)
        , heardAt(this->clock.now())
    {
    }

    void run()
    {
        this->log.info("starts", { { "node", this->settings.name }, { "store", this->settings.store.host } });
        this->listen();
        this->followConfig();
        this->followLead();
        this->waitForSignal();
        this->tick();
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
        hooks.config = [this] { return this->config; };
        hooks.waiting = [this]() -> std::optional<std::map<std::string, int>> {
            if (!this->session || !this->session->isLoaded() || !this->leadership.isValid())
                return std::nullopt;
            return this->session->scheduler().pendingJobsByQueue();
        };
        hooks.storeAnswers = [this] { return this->storeAnswers(); };
        hooks.log = this->logHook();
        return hooks;
    }

    CallerHooks serverHooks(std::function<void(HttpRequest, Respond)> handle)
    {
        CallerHooks hooks;
        hooks.bodyLimitBytes = [this](std::string_view) {
            return this->config && this->config->maxBodyBytes > 0 ? this->config->maxBodyBytes : usualBody;
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
        this->callers = std::make_unique<CallerServer>(this->context, this->settings.callers, CallerLimits {},
            this->serverHooks(
                [this](auto request, auto respond) { this->gateway.handle(std::move(request), std::move(respond)); }));
        const auto answerHealth = [this](const HttpRequest&, const Respond& respond) {
            respond({ this->isReady() ? 200 : 503, {}, "" });
        };
        this->health = std::make_unique<CallerServer>(
            this->context, this->settings.health, CallerLimits {}, this->serverHooks(answerHealth));
        const auto answerOperators
            = [this](const HttpRequest& request, const Respond& respond) { respond(this->answerOperator(request)); };
        this->operators = std::make_unique<CallerServer>(
            this->context, this->settings.operators, CallerLimits {}, this->serverHooks(answerOperators));
    }

    HttpResponse answerOperator(const HttpRequest& request)
    {
        if (request.target == "/metrics")
            return { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, this->metrics.exposition() };
        if (request.target == "/health")
            return { this->isReady() ? 200 : 503, {}, "" };
        return { 404, {}, "" };
    }

    bool isReady() const { return this->config && !this->stopping && this->clock.now() - this->heardAt < storeSilence; }

    FollowerHooks followerHooks(std::function<void(std::span<const StoredRow>)> apply)
    {
        FollowerHooks hooks;
        hooks.whole = apply;
        hooks.changes = std::move(apply);
        hooks.heard = [this] {
            this->heardAt = this->clock.now();
            this->leadership.storeAnswered();
        };
        hooks.silent = [this] {
            this->silentAt = this->clock.now();
            this->leadership.storeCallFailed();
        };
        hooks.log = this->logHook();
        return hooks;
    }

    // False from the first call without an answer until the next answer. The followers ask several times a second.
    bool storeAnswers() const { return this->silentAt <= this->heardAt; }

    void followConfig()
    {
        this->configFollower = std::make_unique<TableFollower>(this->context, this->platform.store,
            this->platform.formats.operatorTable, std::vector<std::string> { "" }, 0,
            this->followerHooks([this](std::span<const StoredRow> rows) { this->onOperatorRows(rows); }));
        this->configFollower->start();
    }

    void onOperatorRows(std::span<const StoredRow> rows)
    {
        for (const auto& row : rows) {
            if (auto next = this->platform.formats.decodeConfig(row))
                this->applyConfig(std::move(*next));
            else if (auto wave = this->platform.formats.decodeWave(row))
                this->applyWave(*wave);
            else if (!row.removed)
                this->log.warning("operator row is skipped", { { "key", row.name.key }, { "version", row.version } });
        }
    }

    // A version never goes back: after a lost history the store can show an older one for a while.
    void applyConfig(FleetConfig next)
    {
        if (this->config && next.version <= this->config->version)
            return;
        this->log.info("configuration is in force",
            { { "version", next.version }, { "queues", next.queues.size() }, { "teams", next.teams.size() } });
        this->config = std::make_shared<const FleetConfig>(std::move(next));
        if (this->session)
            this->session->setConfig(this->config);
    }

    void applyWave(const MachineWave& wave)
    {
        this->waves[wave.number] = wave;
        if (this->session)
            this->session->addWave(wave);
    }

    void followLead()
    {
        this->leadFollower = std::make_unique<TableFollower>(this->context, this->platform.store, Leadership::table,
            std::vector<std::string> { Leadership::part }, 0,
            this->followerHooks([this](std::span<const StoredRow> rows) {
                this->leadership.observe(rows);
                this->startSession();
            }));
        this->leadFollower->start();
    }

    void takeLead()
    {
        this->log.info("takes the lead",
            { { "after", this->leadership.leaderName() }, { "fence", this->leadership.fence() + 1 } });
        this->platform.store.commit(this->leadership.acquire(), takeDeadline, [this](const TransactionResult& result) {
            this->leadership.acquireAnswered(result);
            this->startSession();
        });
    }

    void startSession()
    {
        if (!this->leadership.isLeader() || !this->config || this->session || this->stopping)
            return;
        JobSchedulerRules rules;
        rules.fence = this->leadership.fence();
        rules.endedJobRetention = this->settings.endedJobRetention + std::chrono::minutes(1);
        rules.lease = std::min(rules.lease, this->settings.maxServerLease);
        rules.maxLease = this->settings.maxServerLease;
        MachineMaintenanceRules upkeepRules;
        if (this->leadership.hasPredecessorStopped())
            rules.assumeEarlierLeaderStopped();
        // The first lead of all has no predecessor whose orders it could cross, nor has one that follows itself.
        const bool alone = rules.fence == 1 || this->leadership.wasPredecessorSelf();
        upkeepRules.initialQuietPeriod = alone ? Duration(0) : this->settings.minOrderInterval;
        upkeepRules.maintenanceDuration = this->settings.maintenanceDuration;
        LeadHooks hooks;
        hooks.ended = [this] { this->session.reset(); };
        hooks.log = this->logHook();
        this->session = std::make_shared<LeadSession>(this->context, this->platform, this->leadership, rules,
            upkeepRules, this->clock, this->config, std::move(hooks));
        for (const auto& [number, wave] : this->waves)
            this->session->addWave(wave);
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
        this->stopping = true;
        this->stoppedAt = this->clock.now();
        this->log.info("is asked to stop", { { "open_requests", this->callers->openRequestCount() } });
        this->callers->closeAfterAnswers();
        if (this->session)
            this->session->release();
    }

    void tick()
    {
        this->ticker.expires_after(tickInterval);
        this->ticker.async_wait([this](const boost::system::error_code& error) {
            if (!error)
                this->tick();
        });
        const auto now = this->clock.now();
        if (this->stopping) {
            const auto waited = now - this->stoppedAt;
            const bool done = waited > balancerDelay && this->callers->openRequestCount() == 0;
            if (done || waited > this->settings.shutdownGrace - exitReserve)
                this->context.stop();
            return;
        }
        if (this->config && this->leadership.shouldAcquire())
            this->takeLead();
        if (now - this->caredAt >= std::chrono::seconds(1)) {
            this->caredAt = now;
            this->caller.closeIdle();
            this->log.reportDroppedLines();
        }
    }

    const FleetNodeSettings settings;
    const Clock clock;
    Log log;
    Metrics metrics;
    Random random;
    boost::asio::io_context context { 1 };
    HttpCaller caller;
    const FleetPlatform platform;
    Leadership leadership;
    JobGateway gateway;
    boost::asio::signal_set signals;
    boost::asio::steady_timer ticker;
    std::unique_ptr<CallerServer> callers;
    std::unique_ptr<CallerServer> health;
    std::unique_ptr<CallerServer> operators;
    std::unique_ptr<TableFollower> configFollower;
    std::unique_ptr<TableFollower> leadFollower;
    std::shared_ptr<LeadSession> session;
    std::shared_ptr<const FleetConfig> config;
    std::map<int, MachineWave> waves;
    TimePoint heardAt;
    TimePoint silentAt;
    TimePoint caredAt;
    TimePoint stoppedAt;
    bool stopping = false;
};

FleetNode::FleetNode(FleetNodeSettings settings, std::function<FleetPlatform(HttpCaller&)> connect)
    : impl(std::make_unique<Impl>(std::move(settings), connect))
{
}

FleetNode::~FleetNode() = default;

void FleetNode::run() { this->impl->run(); }

} // namespace waxwinglug::io
