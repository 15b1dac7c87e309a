// Threads, timers and hooks of the maintenance daemon.
//
// Each step surveys the fleet before it runs the maintainer's cycle: it reads the journals first, then the registered
// entry VMs and their reports. A drain with journal sequence s is confirmed only by a survey whose journal read
// returned s or a later sequence. An entry VM that registers after such a survey reads VM rows that already include the
// drain.
#include "io/process/maintain-daemon.h"

#include "io/process/log.h"
#include "io/process/operator-server.h"
#include "io/process/platform-client.h"

#include <waxwinglug/maintenance.h>
#include <waxwinglug/node-reporter.h>
#include <waxwinglug/rollout.h>

#include "version/rollout-rows.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <sodium.h>

#include <future>

namespace waxwinglug::io {
namespace {

    namespace asio = boost::asio;
    using asio::ip::tcp;

    constexpr Duration probeTimeout { 2000 };
    // Number of renewals within the lease duration. Two lost renewals do not end the lease.
    constexpr int renewalsPerLease = 5;

    std::uint64_t randomSeed()
    {
        std::uint64_t seed = 0;
        randombytes_buf(&seed, sizeof seed);
        return seed;
    }

    MaintenanceSettings maintenanceSettings(const MaintainSettings& settings)
    {
        MaintenanceSettings result;
        result.leaseDuration = settings.leaseDuration;
        result.renewInterval = settings.leaseDuration / renewalsPerLease;
        result.confirmTimeout = settings.confirmTimeout;
        result.slowStart = settings.slowStart;
        return result;
    }

    std::string_view waveStateName(WaveState state)
    {
        constexpr std::string_view names[] = { "running", "paused", "done", "cancelled" };
        return names[static_cast<std::size_t>(state)];
    }

    Json toStatus(const WaveProgress& wave)
    {
        Json json = { { "wave", wave.wave }, { "run", wave.run }, { "state", waveStateName(wave.state) },
            { "total", wave.totalVms }, { "done", wave.maintainedVms }, { "reason", wave.reason },
            { "waits", Json::array() } };
        for (const auto& wait : wave.waits)
            json["waits"].push_back(
                { { "vm", wait.vm }, { "phase", phaseName(wait.phase) }, { "reason", wait.reason } });
        if (wave.expectedEnd)
            json["expectedEndMs"] = wave.expectedEnd->time_since_epoch().count();
        return json;
    }

} // namespace

class MaintainDaemon::Impl {
public:
    explicit Impl(const MaintainSettings& maintainSettings);

    void run();

private:
    using RowsContinuation = std::function<void(std::vector<Row>)>;

    void post(std::function<void()> work) { asio::post(this->controlContext, std::move(work)); }
    MaintenanceHooks maintenanceHooks();
    OperatorHooks operatorHooks();
    void step();
    void loadConfig(std::uint64_t version);
    void applyConfig(std::uint64_t version, const std::string& document);
    void startSurvey();
    // Reads the node rows and reports; the sequences are those of the journal read before.
    void surveyNodes(std::map<std::string, std::uint64_t> sequences);
    void surveyVmList(const std::vector<NodeRecord>& nodes);
    // Returns a handler that calls `next` with the rows. Without an answer, or if a row is malformed, the step ends.
    RowsHandler endStepOnFailure(RowsContinuation next);
    void endStep();
    std::vector<UnconfirmedNode> unconfirmedNodes(std::string_view dataCentre, std::uint64_t sequence) const;
    std::optional<int> runningWorkCount(std::string_view vm) const;
    void probe(const std::string& vm, std::function<void(bool)> handler);
    Json status() const;
    std::string statusText();

    const MaintainSettings settings;
    const Clock clock = systemClock();
    const NodeId self;
    Random random;
    asio::io_context controlContext { 1 };
    Log log;
    PlatformClient platformClient;
    Platform platform;
    RolloutCoordinator coordinator;
    NodeReports reports;
    // Journal sequence by data centre, read before the last complete scan of the node rows.
    std::map<std::string, std::uint64_t, std::less<>> surveyedSequences;
    std::shared_ptr<const Config> config;
    Maintainer maintainer;
    OperatorServer operatorServer;
    asio::signal_set signals;
    asio::steady_timer stepTimer;
};

MaintainDaemon::Impl::Impl(const MaintainSettings& maintainSettings)
    : settings(maintainSettings)
    , self { maintainSettings.name, static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count()) }
    , random(randomSeed())
    , log("maintain", clock)
    , platformClient(maintainSettings.platform, [this](std::function<void()> work) { this->post(std::move(work)); })
    , platform(platformClient.platform())
    , coordinator(platform, clock, random)
    , maintainer(self, clock, platform, maintenanceHooks(), maintenanceSettings(maintainSettings))
    , operatorServer(maintainSettings.operators, operatorHooks())
    , signals(controlContext, SIGTERM, SIGINT)
    , stepTimer(controlContext)
{
}

MaintenanceHooks MaintainDaemon::Impl::maintenanceHooks()
{
    MaintenanceHooks hooks;
    hooks.unconfirmedNodes = [this](std::string_view dataCentre, std::uint64_t sequence) {
        return this->unconfirmedNodes(dataCentre, sequence);
    };
    hooks.runningWorkCount = [this](std::string_view vm) { return this->runningWorkCount(vm); };
    // Reports contain running work only for draining VMs, so no estimate is available before the drain.
    hooks.expectedWorkDuration = [](std::string_view) { return Duration(0); };
    hooks.probe
        = [this](const std::string& vm, std::function<void(bool)> handler) { this->probe(vm, std::move(handler)); };
    hooks.log = [this](std::string_view line) {
        constexpr std::string_view prefix = "maintain: ";
        this->log.info(
            "Maintenance step.", { { "step", line.starts_with(prefix) ? line.substr(prefix.size()) : line } });
    };
    return hooks;
}

OperatorHooks MaintainDaemon::Impl::operatorHooks()
{
    return {
        [] { return true; },
        [] { return std::string(); },
        [this] { return this->statusText(); },
    };
}

std::vector<UnconfirmedNode> MaintainDaemon::Impl::unconfirmedNodes(
    std::string_view dataCentre, std::uint64_t sequence) const
{
    const auto found = this->surveyedSequences.find(dataCentre);
    if (found == this->surveyedSequences.end() || found->second < sequence)
        return { { "of the next survey", false } };
    return this->reports.unconfirmedNodes(dataCentre, sequence);
}

std::optional<int> MaintainDaemon::Impl::runningWorkCount(std::string_view vm) const
{
    const auto found = this->config->vms.find(vm);
    if (found == this->config->vms.end())
        return std::nullopt;
    return this->reports.runningWorkCount(found->second.dataCentre, vm);
}

// Calls the handler with whether the backend server's address accepts a connection within probeTimeout.
void MaintainDaemon::Impl::probe(const std::string& vm, std::function<void(bool)> handler)
{
    const auto found = this->config->vms.find(vm);
    boost::system::error_code problem;
    const auto address = found == this->config->vms.end() ? asio::ip::address()
                                                          : asio::ip::make_address(found->second.address.host, problem);
    if (found == this->config->vms.end() || problem) {
        this->post([handler = std::move(handler)] { handler(false); });
        return;
    }
    auto socket = std::make_shared<tcp::socket>(this->controlContext);
    auto timer = std::make_shared<asio::steady_timer>(this->controlContext, probeTimeout);
    timer->async_wait([socket](const auto& error) {
        boost::system::error_code ignored;
        if (!error)
            socket->close(ignored);
    });
    socket->async_connect(
        { address, found->second.address.port }, [socket, timer, handler = std::move(handler)](const auto& error) {
            timer->cancel();
            handler(!error);
        });
}

RowsHandler MaintainDaemon::Impl::endStepOnFailure(RowsContinuation next)
{
    return [this, next = std::move(next)](std::optional<std::vector<Row>> rows) {
        if (!rows) {
            this->log.warning("The platform's table does not answer.");
            this->endStep();
            return;
        }
        try {
            next(std::move(*rows));
        } catch (const Error& error) {
            this->log.error("A row cannot be read.", { { "problem", error.what() } });
            this->endStep();
        }
    };
}

void MaintainDaemon::Impl::step()
{
    this->log.reportDroppedLines();
    if (this->maintainer.isActive())
        this->coordinator.tick();
    this->platform.table.read(
        { std::string(detail::currentKey) }, this->endStepOnFailure([this](const std::vector<Row>& rows) {
            const auto current = detail::parseRow<detail::CurrentVersion>(rows.at(0));
            if (current.version > (this->config ? this->config->version : 0))
                this->loadConfig(current.version);
            else if (this->config)
                this->startSurvey();
            else
                this->endStep();
        }));
}

void MaintainDaemon::Impl::loadConfig(std::uint64_t version)
{
    this->platform.objects.get(
        detail::objectName(version), [this, version](const std::optional<std::string>& document) {
            if (document)
                this->applyConfig(version, *document);
            else
                this->log.warning("The document is not available.", { { "version", version } });
            this->endStep();
        });
}

void MaintainDaemon::Impl::applyConfig(std::uint64_t version, const std::string& document)
{
    try {
        auto accepted = std::make_shared<Config>(parseConfig(document, detail::objectName(version)));
        accepted->version = version;
        this->config = std::move(accepted);
        this->maintainer.setConfig(this->config);
        this->log.info("Configuration is active.", { { "version", version } });
    } catch (const Error& error) {
        this->log.error("The document cannot be read.", { { "version", version }, { "problem", error.what() } });
    }
}

void MaintainDaemon::Impl::startSurvey()
{
    std::vector<std::string> names;
    for (const auto& [name, vm] : this->config->vms) {
        if (std::find(names.begin(), names.end(), vm.dataCentre) == names.end())
            names.push_back(vm.dataCentre);
    }
    std::vector<std::string> keys;
    keys.reserve(names.size());
    for (const auto& name : names)
        keys.push_back(journalKey(name));
    this->platform.table.read(std::move(keys), this->endStepOnFailure([this, names](const std::vector<Row>& rows) {
        std::map<std::string, std::uint64_t> sequences;
        for (std::size_t i = 0; i < rows.size() && i < names.size(); ++i)
            sequences[names[i]] = rows[i].version ? fromJson<JournalRow>(rows[i].value).sequence : 0;
        this->surveyNodes(std::move(sequences));
    }));
}

void MaintainDaemon::Impl::surveyNodes(std::map<std::string, std::uint64_t> sequences)
{
    this->platform.table.scan(std::string(detail::nodePrefix),
        this->endStepOnFailure([this, sequences = std::move(sequences)](const std::vector<Row>& rows) {
            std::vector<NodeRecord> nodes;
            std::map<std::string, std::string> registeredNodes;
            for (const auto& row : rows) {
                nodes.push_back(fromJson<NodeRecord>(row.value));
                registeredNodes[nodes.back().name] = nodes.back().dataCentre;
            }
            this->reports.setRegisteredNodes(std::move(registeredNodes));
            this->surveyedSequences = { sequences.begin(), sequences.end() };
            this->platform.table.scan(
                std::string(reportPrefix), this->endStepOnFailure([this, nodes](const auto& found) {
                    for (const auto& report : parseNodeReports(found))
                        this->reports.recordReport(report);
                    this->surveyVmList(nodes);
                }));
        }));
}

void MaintainDaemon::Impl::surveyVmList(const std::vector<NodeRecord>& nodes)
{
    // An entry VM that registered with a later incarnation than the one in its report has not confirmed any sequence.
    for (const auto& node : nodes)
        this->reports.recordIncarnation({ node.name, node.incarnation }, false);
    this->platform.vms.list([this](const std::optional<std::vector<VmStatus>>& list) {
        for (const auto& vm : list.value_or(std::vector<VmStatus>()))
            this->reports.recordIncarnation({ vm.name, vm.incarnation }, vm.state == VmState::Gone);
        this->endStep();
    });
}

void MaintainDaemon::Impl::endStep()
{
    this->maintainer.tick();
    this->stepTimer.expires_after(this->settings.stepInterval);
    this->stepTimer.async_wait([this](const auto& error) {
        if (!error)
            this->step();
    });
}

Json MaintainDaemon::Impl::status() const
{
    Json json = { { "node", this->self.name }, { "incarnation", this->self.incarnation },
        { "version", this->config ? this->config->version : 0 }, { "active", this->maintainer.isActive() },
        { "waves", Json::array() } };
    for (const auto& wave : this->maintainer.waveProgress())
        json["waves"].push_back(toStatus(wave));
    return json;
}

std::string MaintainDaemon::Impl::statusText()
{
    // The promise is shared because the control thread may set it after this function has timed out.
    auto promise = std::make_shared<std::promise<std::string>>();
    auto result = promise->get_future();
    this->post([this, promise] { promise->set_value(this->status().dump()); });
    if (result.wait_for(std::chrono::seconds(1)) != std::future_status::ready)
        return R"({"error":"the control thread does not answer"})";
    return result.get();
}

void MaintainDaemon::Impl::run()
{
    this->signals.async_wait([this](const auto& error, int) {
        if (!error)
            this->controlContext.stop();
    });
    this->post([this] { this->step(); });
    this->log.info(
        "Maintenance daemon started.", { { "name", this->self.name }, { "incarnation", this->self.incarnation } });
    const auto work = asio::make_work_guard(this->controlContext);
    this->controlContext.run();
    this->log.info("Shutdown is complete.");
}

MaintainDaemon::MaintainDaemon(const MaintainSettings& settings)
    : impl(std::make_unique<Impl>(settings))
{
}

MaintainDaemon::~MaintainDaemon() = default;

void MaintainDaemon::run() { this->impl->run(); }

} // namespace waxwinglug::io
