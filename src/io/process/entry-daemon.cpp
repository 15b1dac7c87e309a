// Threads, timers and shutdown of the entry daemon.
#include "io/process/entry-daemon.h"

#include "io/connection/gateway.h"
#include "io/process/entry-control.h"
#include "io/process/operator-server.h"
#include "io/process/platform-client.h"

#include <waxwinglug/rollout.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <sodium.h>

#include <atomic>
#include <future>
#include <thread>
#include <vector>

namespace waxwinglug::io {
namespace {

    namespace asio = boost::asio;

    constexpr Duration tickInterval { 50 };
    constexpr Duration platformPollInterval { 1000 };
    // After the health check starts to fail, the daemon accepts connections until no request has arrived for this time.
    // By then the balancer is assumed to have noticed the failing check and to send no more requests.
    constexpr Duration balancerQuietTime { 2000 };
    // Limits the wait for the table when units are returned. Other nodes reclaim units that were not returned.
    constexpr Duration unitReturnTimeout { 3000 };

    std::uint64_t randomSeed()
    {
        std::uint64_t seed = 0;
        randombytes_buf(&seed, sizeof seed);
        return seed;
    }

    std::shared_ptr<const Rights> makeRights(const std::shared_ptr<const Config>& config)
    {
        return config ? std::make_shared<const Rights>(Rights { config, KeyRing(*config) }) : nullptr;
    }

    std::shared_ptr<const RightsSnapshot> makeSnapshot(const GrantedConfig& granted)
    {
        auto snapshot = std::make_shared<RightsSnapshot>();
        snapshot->fresh = makeRights(granted.fresh);
        snapshot->stale = granted.stale == granted.fresh ? snapshot->fresh : makeRights(granted.stale);
        snapshot->stopped = granted.stopped == granted.stale ? snapshot->stale : makeRights(granted.stopped);
        snapshot->freshUntil = granted.freshUntil;
        snapshot->staleUntil = granted.staleUntil;
        return snapshot;
    }

} // namespace

class EntryDaemon::Impl {
public:
    explicit Impl(const EntrySettings& entrySettings);
    ~Impl();

    void run();

private:
    void post(std::function<void()> work) { asio::post(this->controlContext, std::move(work)); }
    void callAfter(Duration delay, std::function<void()> work);
    GatewayHooks gatewayHooks();
    EntryControlHooks controlHooks();
    ConfigFollower::Hooks followerHooks();
    OperatorHooks operatorHooks();

    void tick();
    void applyGrantedConfig();
    void accept(const std::shared_ptr<Exchange>& exchange);
    void authorizeAndAccept(const std::shared_ptr<Exchange>& exchange);
    void beginShutdown();
    void continueShutdown();
    std::string status();

    const EntrySettings settings;
    const Clock clock = systemClock();
    const NodeId self;
    Random random;
    asio::io_context controlContext;
    asio::io_context trafficContext;
    asio::executor_work_guard<asio::io_context::executor_type> controlWork;
    asio::executor_work_guard<asio::io_context::executor_type> trafficWork;
    Log log;
    Metrics metrics;
    PlatformClient platformClient;
    Gateway gateway;
    BackendClient backendClient;
    EntryControl entryControl;
    ConfigFollower configFollower;
    CallerServer callerServer;
    OperatorServer operatorServer;
    asio::signal_set signals;
    // Configuration that the control thread has applied last.
    std::shared_ptr<const Config> appliedConfig;
    // Requests that arrived after a pause of this process and wait until the configuration is confirmed to be current.
    std::vector<std::shared_ptr<Exchange>> waitingForRefresh;
    std::atomic<bool> isHealthy = true;
    bool isStopping = false;
    bool isReturningUnits = false;
    TimePoint nextPlatformPollAt;
    TimePoint lastArrivalAt;
    TimePoint shutdownDeadline;
    TimePoint unitReturnDeadline;
    std::vector<std::thread> threads;
};

EntryDaemon::Impl::Impl(const EntrySettings& entrySettings)
    : settings(entrySettings)
    , self { entrySettings.name, static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count()) }
    , random(randomSeed())
    , controlWork(asio::make_work_guard(controlContext))
    , trafficWork(asio::make_work_guard(trafficContext))
    , log("entry", clock)
    , platformClient(entrySettings.platform, [this](std::function<void()> work) { this->post(std::move(work)); })
    , gateway(clock, entrySettings.bodyLimitBytes, metrics, gatewayHooks())
    , backendClient(trafficContext, clock, {})
    , entryControl(entrySettings, self, clock, platformClient.platform(), metrics, controlHooks())
    , configFollower({ self, entrySettings.dataCentre, entrySettings.isolation }, platformClient.platform(), clock,
          random, followerHooks())
    , callerServer(trafficContext, entrySettings.callers,
          { static_cast<std::uint32_t>(entrySettings.headerLimitBytes),
              static_cast<std::size_t>(entrySettings.maxConnections) },
          gateway.callerHooks())
    , operatorServer(entrySettings.operators, operatorHooks())
    , signals(controlContext, SIGTERM, SIGINT)
{
}

EntryDaemon::Impl::~Impl()
{
    this->trafficContext.stop();
    this->controlContext.stop();
    for (auto& thread : this->threads)
        thread.join();
}

void EntryDaemon::Impl::callAfter(Duration delay, std::function<void()> work)
{
    auto timer = std::make_shared<asio::steady_timer>(this->controlContext, delay);
    timer->async_wait([timer, work = std::move(work)](const auto& error) {
        if (!error)
            work();
    });
}

GatewayHooks EntryDaemon::Impl::gatewayHooks()
{
    return {
        [this](std::shared_ptr<Exchange> exchange) {
            this->post([this, exchange = std::move(exchange)] { this->accept(exchange); });
        },
        [this](std::shared_ptr<Exchange> exchange) {
            this->post([this, exchange = std::move(exchange)] { this->entryControl.cancel(exchange); });
        },
    };
}

EntryControlHooks EntryDaemon::Impl::controlHooks()
{
    EntryControlHooks hooks;
    hooks.callBackend = [this](BackendCall call, BackendClient::BeforeSend beforeSend, BackendClient::Done done) {
        this->backendClient.call(
            std::move(call), std::move(beforeSend), [this, done = std::move(done)](BackendResult result) {
                this->post([done, result = std::move(result)]() mutable { done(std::move(result)); });
            });
    };
    hooks.callAfter = [this](Duration delay, std::function<void()> work) { this->callAfter(delay, std::move(work)); };
    hooks.sendUnitRequest = [](const NodeId&, const UnitRequest&) {};
    hooks.sendUnitLoan = [](const NodeId&, const UnitLoan&) {};
    hooks.resolveAtHome = [](const RequestId&, const std::string&, const DuplicateGuardHooks::ResolveHandler& handler) {
        handler(std::nullopt);
    };
    hooks.hasNewerIncarnation = [](const NodeId&) { return false; };
    return hooks;
}

ConfigFollower::Hooks EntryDaemon::Impl::followerHooks()
{
    return {
        [this](std::shared_ptr<const GrantedConfig> granted) { this->gateway.publish(makeSnapshot(*granted)); },
        [](std::string) {},
    };
}

OperatorHooks EntryDaemon::Impl::operatorHooks()
{
    return {
        [this] { return this->isHealthy.load(); },
        [this] { return this->metrics.exposition(); },
        [this] { return this->status(); },
    };
}

std::string EntryDaemon::Impl::status()
{
    // The promise is shared because the control thread may set it after this function has timed out.
    auto promise = std::make_shared<std::promise<std::string>>();
    auto result = promise->get_future();
    this->post([this, promise] {
        auto json = this->entryControl.status();
        json["incarnation"] = this->self.incarnation;
        promise->set_value(json.dump());
    });
    if (result.wait_for(std::chrono::seconds(1)) != std::future_status::ready)
        return R"({"error":"the control thread does not answer"})";
    return result.get();
}

void EntryDaemon::Impl::accept(const std::shared_ptr<Exchange>& exchange)
{
    this->lastArrivalAt = this->clock.now();
    if (this->configFollower.needsRefresh()) {
        this->configFollower.tick();
        this->waitingForRefresh.push_back(exchange);
        return;
    }
    // After a pause, the poll that ends the wait may have changed the rights since a traffic thread applied them.
    if (!this->gateway.isAuthorized(*exchange))
        return this->authorizeAndAccept(exchange);
    this->entryControl.accept(exchange);
}

// Authorizes a request again, because the configuration may have changed while the request waited.
void EntryDaemon::Impl::authorizeAndAccept(const std::shared_ptr<Exchange>& exchange)
{
    try {
        this->gateway.authorize(*exchange);
        this->entryControl.accept(exchange);
    } catch (const RefusalError& error) {
        this->metrics.countRefusal(error.refusal());
        exchange->respond(toResponse(refusalAnswer(error.refusal(), {}), {}));
    }
}

void EntryDaemon::Impl::applyGrantedConfig()
{
    const auto granted = this->configFollower.granted();
    if (!granted)
        return;
    const auto& config = granted->at(this->clock.now());
    if (!config || config == this->appliedConfig)
        return;
    this->appliedConfig = config;
    this->entryControl.applyConfig(config);
}

void EntryDaemon::Impl::tick()
{
    const auto now = this->clock.now();
    this->configFollower.tick();
    this->applyGrantedConfig();
    if (!this->configFollower.needsRefresh()) {
        for (const auto& exchange : std::exchange(this->waitingForRefresh, {}))
            this->authorizeAndAccept(exchange);
    }
    this->entryControl.tick(1);
    if (now >= this->nextPlatformPollAt) {
        this->nextPlatformPollAt = now + platformPollInterval;
        this->entryControl.pollPlatform();
        this->log.reportDroppedLines();
    }
    if (this->isStopping)
        this->continueShutdown();
    this->callAfter(tickInterval, [this] { this->tick(); });
}

void EntryDaemon::Impl::beginShutdown()
{
    if (this->isStopping)
        return;
    this->log.info("Shutdown begins.", { { "openRequests", this->callerServer.openRequestCount() } });
    this->isStopping = true;
    this->isHealthy = false;
    this->lastArrivalAt = this->clock.now();
    this->shutdownDeadline = this->lastArrivalAt + this->settings.shutdownGrace;
    this->callerServer.closeAfterAnswers();
}

void EntryDaemon::Impl::continueShutdown()
{
    const auto now = this->clock.now();
    const bool isPastDeadline = now >= this->shutdownDeadline;
    if (now < this->lastArrivalAt + balancerQuietTime && !isPastDeadline)
        return;
    this->callerServer.stopAccepting();
    if (isPastDeadline)
        this->entryControl.cancelAll(Refusal::ShuttingDown);
    if (this->callerServer.openRequestCount() > 0)
        return;
    if (!this->isReturningUnits) {
        this->isReturningUnits = true;
        this->unitReturnDeadline = now + unitReturnTimeout;
        this->entryControl.returnUnits();
    }
    if (!this->entryControl.hasReturnedUnits() && now < this->unitReturnDeadline)
        return;
    this->log.info("Shutdown is complete.");
    this->controlContext.stop();
}

void EntryDaemon::Impl::run()
{
    this->signals.async_wait([this](const auto& error, int) {
        if (!error)
            this->beginShutdown();
    });
    this->post([this] { this->tick(); });
    const unsigned threadCount = std::max(2U, std::thread::hardware_concurrency() / 4);
    for (unsigned i = 0; i < threadCount; ++i)
        this->threads.emplace_back([this] { this->trafficContext.run(); });
    this->log.info("Entry VM started.",
        { { "name", this->self.name }, { "incarnation", this->self.incarnation },
            { "port", this->callerServer.port() } });
    this->controlContext.run();
}

EntryDaemon::EntryDaemon(const EntrySettings& settings)
    : impl(std::make_unique<Impl>(settings))
{
}

EntryDaemon::~EntryDaemon() = default;

void EntryDaemon::run() { this->impl->run(); }

} // namespace waxwinglug::io
