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
    constexpr Duration platformInterval { 1000 };
    // The balancer counts as having stopped sending when no request has arrived for this time after the health probe
    // began to fail.
    constexpr Duration quietBeforeStop { 2000 };
    // A node that cannot hand its units back, because the table is down, leaves them to be reclaimed.
    constexpr Duration longestLeave { 3000 };

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
    void post(std::function<void()> work) { asio::post(this->control, std::move(work)); }
    void after(Duration delay, std::function<void()> work);
    GatewayHooks gatewayHooks();
    EntryControlHooks controlHooks();
    ConfigFollower::Hooks followerHooks();
    OperatorHooks operatorHooks();

    void tick();
    void applyGranted();
    void accept(const std::shared_ptr<Exchange>& exchange);
    void queue(const std::shared_ptr<Exchange>& exchange);
    void beginShutdown();
    void continueShutdown();
    std::string status();

    const EntrySettings settings;
    const Clock clock = systemClock();
    const NodeId self;
    Random random;
    asio::io_context control;
    asio::io_context traffic;
    asio::executor_work_guard<asio::io_context::executor_type> controlWork;
    asio::executor_work_guard<asio::io_context::executor_type> trafficWork;
    Log log;
    Metrics metrics;
    PlatformClient platform;
    Gateway gateway;
    BackendClient backends;
    EntryControl entry;
    ConfigFollower follower;
    CallerServer callers;
    OperatorServer operators;
    asio::signal_set signals;
    // The configuration that the control thread has applied.
    std::shared_ptr<const Config> applied;
    // Keyed requests that wait for the configuration to be confirmed after a pause of this process.
    std::vector<std::shared_ptr<Exchange>> waitingForRefresh;
    std::atomic<bool> healthy = true;
    bool stopping = false;
    bool leaving = false;
    TimePoint nextPlatformPoll;
    TimePoint lastArrival;
    TimePoint shutdownEnd;
    TimePoint leaveEnd;
    std::vector<std::thread> threads;
};

EntryDaemon::Impl::Impl(const EntrySettings& entrySettings)
    : settings(entrySettings)
    , self { entrySettings.name, static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count()) }
    , random(randomSeed())
    , controlWork(asio::make_work_guard(control))
    , trafficWork(asio::make_work_guard(traffic))
    , log("entry", clock)
    , platform(entrySettings.platform, [this](std::function<void()> work) { this->post(std::move(work)); })
    , gateway(clock, entrySettings.bodyLimitBytes, metrics, gatewayHooks())
    , backends(traffic, clock, {})
    , entry(entrySettings, self, clock, platform.platform(), metrics, controlHooks())
    , follower({ self, entrySettings.dataCentre, entrySettings.isolation }, platform.platform(), clock, random,
          followerHooks())
    , callers(traffic, entrySettings.callers,
          { static_cast<std::uint32_t>(entrySettings.headerLimitBytes),
              static_cast<std::size_t>(entrySettings.maxConnections) },
          gateway.callerHooks())
    , operators(entrySettings.operators, operatorHooks())
    , signals(control, SIGTERM, SIGINT)
{
}

EntryDaemon::Impl::~Impl()
{
    this->traffic.stop();
    this->control.stop();
    for (auto& thread : this->threads)
        thread.join();
}

void EntryDaemon::Impl::after(Duration delay, std::function<void()> work)
{
    auto timer = std::make_shared<asio::steady_timer>(this->control, delay);
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
            this->post([this, exchange = std::move(exchange)] { this->entry.cancel(exchange); });
        },
    };
}

EntryControlHooks EntryDaemon::Impl::controlHooks()
{
    EntryControlHooks hooks;
    hooks.call = [this](BackendCall call, BackendClient::BeforeSend beforeSend, BackendClient::Done done) {
        this->backends.call(
            std::move(call), std::move(beforeSend), [this, done = std::move(done)](BackendResult result) {
                this->post([done, result = std::move(result)]() mutable { done(std::move(result)); });
            });
    };
    hooks.after = [this](Duration delay, std::function<void()> work) { this->after(delay, std::move(work)); };
    hooks.sendUnitRequest = [](const NodeId&, const UnitRequest&) {};
    hooks.sendUnitLoan = [](const NodeId&, const UnitLoan&) {};
    hooks.resolveAtHome = [](const RequestId&, const std::string&, const DuplicateGuardHooks::ResolveHandler& handler) {
        handler(std::nullopt);
    };
    hooks.newerIncarnation = [](const NodeId&) { return false; };
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
        [this] { return this->healthy.load(); },
        [this] { return this->metrics.exposition(); },
        [this] { return this->status(); },
    };
}

std::string EntryDaemon::Impl::status()
{
    // Shared, so that a late control thread does not write to a promise that is gone.
    auto promise = std::make_shared<std::promise<std::string>>();
    auto result = promise->get_future();
    this->post([this, promise] {
        auto json = this->entry.status();
        json["incarnation"] = this->self.incarnation;
        promise->set_value(json.dump());
    });
    if (result.wait_for(std::chrono::seconds(1)) != std::future_status::ready)
        return R"({"error":"the control thread does not answer"})";
    return result.get();
}

void EntryDaemon::Impl::accept(const std::shared_ptr<Exchange>& exchange)
{
    this->lastArrival = this->clock.now();
    if (this->follower.needsRefresh()) {
        this->follower.tick();
        this->waitingForRefresh.push_back(exchange);
        return;
    }
    this->entry.accept(exchange);
}

// Checks a request again that waited for the configuration to be confirmed.
void EntryDaemon::Impl::queue(const std::shared_ptr<Exchange>& exchange)
{
    try {
        this->gateway.authorize(*exchange);
        this->entry.accept(exchange);
    } catch (const RefusalError& error) {
        this->metrics.countRefusal(error.refusal());
        exchange->respond(toResponse(refusalAnswer(error.refusal(), {}), {}));
    }
}

void EntryDaemon::Impl::applyGranted()
{
    const auto granted = this->follower.granted();
    if (!granted)
        return;
    const auto& config = granted->at(this->clock.now());
    if (!config || config == this->applied)
        return;
    this->applied = config;
    this->entry.applyConfig(config);
}

void EntryDaemon::Impl::tick()
{
    const auto now = this->clock.now();
    this->follower.tick();
    this->applyGranted();
    if (!this->follower.needsRefresh()) {
        for (const auto& exchange : std::exchange(this->waitingForRefresh, {}))
            this->queue(exchange);
    }
    this->entry.tick(1);
    if (now >= this->nextPlatformPoll) {
        this->nextPlatformPoll = now + platformInterval;
        this->entry.pollPlatform();
        this->log.reportDroppedLines();
    }
    if (this->stopping)
        this->continueShutdown();
    this->after(tickInterval, [this] { this->tick(); });
}

void EntryDaemon::Impl::beginShutdown()
{
    if (this->stopping)
        return;
    this->log.info("Shutdown begins.", { { "openRequests", this->callers.openRequestCount() } });
    this->stopping = true;
    this->healthy = false;
    this->lastArrival = this->clock.now();
    this->shutdownEnd = this->lastArrival + this->settings.shutdownGrace;
    this->callers.closeAfterAnswers();
}

void EntryDaemon::Impl::continueShutdown()
{
    const auto now = this->clock.now();
    const bool late = now >= this->shutdownEnd;
    if (now < this->lastArrival + quietBeforeStop && !late)
        return;
    this->callers.stopAccepting();
    if (late)
        this->entry.endAll(Refusal::ShuttingDown);
    if (this->callers.openRequestCount() > 0)
        return;
    if (!this->leaving) {
        this->leaving = true;
        this->leaveEnd = now + longestLeave;
        this->entry.leave();
    }
    if (!this->entry.left() && now < this->leaveEnd)
        return;
    this->log.info("Shutdown is complete.");
    this->control.stop();
}

void EntryDaemon::Impl::run()
{
    this->signals.async_wait([this](const auto& error, int) {
        if (!error)
            this->beginShutdown();
    });
    this->post([this] { this->tick(); });
    const unsigned count = std::max(2U, std::thread::hardware_concurrency() / 4);
    for (unsigned i = 0; i < count; ++i)
        this->threads.emplace_back([this] { this->traffic.run(); });
    this->log.info("Entry VM started.",
        { { "name", this->self.name }, { "incarnation", this->self.incarnation }, { "port", this->callers.port() } });
    this->control.run();
}

EntryDaemon::EntryDaemon(const EntrySettings& settings)
    : impl(std::make_unique<Impl>(settings))
{
}

EntryDaemon::~EntryDaemon() = default;

void EntryDaemon::run() { this->impl->run(); }

} // namespace waxwinglug::io
