// Loading, orders and storing of the lead.
#include "io/process/lead-session.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace waxwinglug::io {
namespace {

    // How often the scheduler does what only time makes due.
    constexpr Duration tickInterval { 50 };
    // Events of this time are handled together.
    constexpr Duration reactDelay { 2 };
    // Deadline of a commit. A slow store takes about 0.6 s; past it the lead would not be valid any more.
    constexpr Duration commitDeadline { 1000 };
    constexpr Duration listDeadline { 900 };
    constexpr Duration retryPause { 100 };
    // A transaction holds 100 entries; each job takes a condition and a write, and a few rows of the lead are added.
    constexpr std::size_t jobsPerCommit = 45;
    constexpr std::size_t removalsPerCommit = 3; // jobs, of three rows each
    // Callers may see counts that are 2 s old.
    constexpr Duration summaryInterval { 700 };

    bool isCancel(std::string_view key) { return key.ends_with(tables::cancelSuffix); }

} // namespace

// Wraps a handler so that it is dropped when the session has ended.
template <typename Handler> auto LeadSession::guarded(Handler handler)
{
    return [weak = this->weak_from_this(), handler = std::move(handler)](auto&&... arguments) {
        const auto self = weak.lock();
        if (self && !self->over)
            handler(std::forward<decltype(arguments)>(arguments)...);
    };
}

LeadSession::LeadSession(boost::asio::io_context& io, const FleetPlatform& fleetPlatform, Leadership& lead,
    JobSchedulerRules rules, Clock source, std::shared_ptr<const FleetConfig> config, LeadHooks leadHooks)
    : context(io)
    , platform(fleetPlatform)
    , leadership(lead)
    , clock(source)
    , hooks(std::move(leadHooks))
    , jobScheduler(rules, source, this->schedulerHooks())
    , ticker(io)
    , reactor(io)
{
    this->jobScheduler.setConfig(std::move(config));
}

JobSchedulerHooks LeadSession::schedulerHooks()
{
    JobSchedulerHooks scheduler;
    scheduler.start = [this](const ServerRecord& server, const StartOrder& order) {
        this->platform.servers.start(
            server, order, this->guarded([this, id = server.id, task = order.task, run = order.run](OrderStatus status) {
                this->jobScheduler.startAnswered(id, task, run, status);
                this->poke();
            }));
    };
    scheduler.stop = [this](const ServerRecord& server, const StopOrder& order) {
        this->platform.servers.stop(
            server, order, this->guarded([this, id = server.id, task = order.task, run = order.run](OrderStatus status) {
                this->jobScheduler.stopAnswered(id, task, run, status);
                this->poke();
            }));
    };
    scheduler.pace = [this](const ServerRecord& server, const PaceOrder& order) {
        this->platform.servers.pace(server, order, [](OrderStatus) { /* the next report shows the effect */ });
    };
    scheduler.hold = [this](const ServerRecord& server, const HoldOrder& order) {
        this->platform.servers.hold(server, order,
            this->guarded([this, id = server.id, sentAt = this->clock.now()](
                              OrderStatus status, const HoldReport& report) {
                this->jobScheduler.holdAnswered(id, sentAt, status, report);
                this->poke();
            }));
    };
    scheduler.mayStart = [this] { return !this->over && this->leadership.isValid(); };
    scheduler.superseded = [this] { this->end("a backend server has seen a later lead"); };
    scheduler.log = this->hooks.log;
    return scheduler;
}

void LeadSession::start()
{
    const auto follower = [this](auto apply) {
        FollowerHooks follow;
        follow.whole = this->guarded([apply](std::span<const StoredRow> rows) { apply(rows, true); });
        follow.changes = this->guarded([apply](std::span<const StoredRow> rows) { apply(rows, false); });
        follow.heard = [] { /* the followers of the node watch the store */ };
        follow.log = this->hooks.log;
        return follow;
    };
    const auto least = this->leadership.condition().version;
    this->serverFollower = std::make_unique<TableFollower>(this->context, this->platform.store,
        RowName { this->platform.formats.serverTable, "", "" }, least,
        follower([this](auto rows, bool whole) { this->onServers(rows, whole); }));
    this->jobFollower = std::make_unique<TableFollower>(this->context, this->platform.store,
        RowName { tables::jobs, Leadership::part, "" }, least,
        follower([this](auto rows, bool whole) { this->onJobs(rows, whole); }));
    this->serverFollower->start();
    this->jobFollower->start();
    this->tick();
}

void LeadSession::setConfig(std::shared_ptr<const FleetConfig> config)
{
    this->jobScheduler.setConfig(std::move(config));
    this->poke();
}

void LeadSession::onServers(std::span<const StoredRow> rows, bool whole)
{
    std::set<std::string> present;
    for (const auto& row : rows) {
        auto server = this->platform.formats.server(row);
        if (!server) {
            if (!row.removed)
                this->hooks.log("server row cannot be read", { { "key", row.name.key }, { "version", row.version } });
            this->jobScheduler.removeServer(row.name.key);
            continue;
        }
        present.insert(server->id);
        this->jobScheduler.addServer(std::move(*server), !this->loaded);
    }
    if (whole) {
        for (const auto& [id, server] : this->jobScheduler.servers()) {
            if (!present.contains(id))
                this->jobScheduler.removeServer(id);
        }
    }
    this->serversLoaded = true;
    this->finishLoading();
    this->poke();
}

void LeadSession::onJobs(std::span<const StoredRow> rows, bool whole)
{
    for (const auto& row : rows) {
        if (row.removed)
            continue;
        if (isCancel(row.name.key)) {
            const auto job = row.name.key.substr(0, row.name.key.size() - tables::cancelSuffix.size());
            // Progress that is not loaded yet may say that the job has ended in another way.
            if (this->loaded)
                this->jobScheduler.cancelJob(job);
            else
                this->inheritedCancels.insert(job);
            continue;
        }
        try {
            this->jobScheduler.addJob(fromJson<JobSpec>(row.value), !this->loaded);
        } catch (const Error& error) {
            this->hooks.log("job row cannot be read", { { "key", row.name.key }, { "problem", error.what() } });
        }
    }
    if (whole && !this->jobsLoaded) {
        this->jobsLoaded = true;
        this->readProgress();
    }
    if (whole && this->loaded) {
        for (const auto& row : rows) {
            if (isCancel(row.name.key))
                this->jobScheduler.cancelJob(row.name.key.substr(0, row.name.key.size() - tables::cancelSuffix.size()));
        }
    }
    this->poke();
}

void LeadSession::readProgress()
{
    RowName from { tables::progress, Leadership::part, "" };
    if (!this->progressRows.empty())
        from.key = this->progressRows.back().name.key + '\0';
    this->platform.store.list(from, "", listDeadline, this->guarded([this](std::optional<RowPage> page) {
        if (!page || page->version < this->leadership.condition().version) {
            this->reactor.expires_after(retryPause);
            this->reactor.async_wait(this->guarded([this](const boost::system::error_code& error) {
                if (!error)
                    this->readProgress();
            }));
            return;
        }
        const bool more = page->more && !page->rows.empty();
        std::ranges::move(page->rows, std::back_inserter(this->progressRows));
        if (more)
            return this->readProgress();
        for (const auto& row : this->progressRows) {
            try {
                this->jobScheduler.loadProgress(row.name.key, row.value, row.version);
            } catch (const Error& error) {
                this->hooks.log("progress row cannot be read", { { "key", row.name.key }, { "problem", error.what() } });
            }
        }
        this->progressRows.clear();
        this->progressLoaded = true;
        this->finishLoading();
    }));
}

void LeadSession::finishLoading()
{
    if (this->loaded || !this->serversLoaded || !this->progressLoaded)
        return;
    this->loaded = true;
    for (const auto& job : this->inheritedCancels)
        this->jobScheduler.cancelJob(job);
    this->hooks.log("lead begins",
        { { "fence", this->leadership.fence() }, { "jobs", this->jobScheduler.jobs().all().size() },
            { "servers", this->jobScheduler.servers().size() } });
    this->poke();
}

void LeadSession::poke()
{
    if (this->over || this->reacting || !this->loaded)
        return;
    this->reacting = true;
    this->reactor.expires_after(reactDelay);
    this->reactor.async_wait(this->guarded([this](const boost::system::error_code& error) {
        if (!error)
            this->react();
    }));
}

void LeadSession::react()
{
    this->reacting = false;
    if (this->leadership.mayHold())
        this->jobScheduler.react();
    this->storeChanges();
}

void LeadSession::tick()
{
    if (this->over)
        return;
    this->ticker.expires_after(tickInterval);
    this->ticker.async_wait(this->guarded([this](const boost::system::error_code& error) {
        if (!error)
            this->tick();
    }));
    if (!this->leadership.leads())
        return this->end("another VM has the lead");
    if (this->loaded && this->leadership.mayHold())
        this->jobScheduler.tick();
    this->storeChanges();
}

bool LeadSession::addSummary(RowTransaction& transaction)
{
    if (!this->loaded || this->clock.now() - this->summaryAt < summaryInterval)
        return false;
    auto waiting = this->jobScheduler.waitingByQueue();
    if (waiting == this->storedSummary)
        return false;
    this->summaryAt = this->clock.now();
    transaction.writes.push_back(
        { { tables::summary, Leadership::part, tables::summaryKey }, Json(waiting).dump() });
    this->storedSummary = std::move(waiting);
    return true;
}

void LeadSession::storeChanges()
{
    if (this->over || this->committing)
        return;
    RowTransaction transaction;
    const bool summary = this->addSummary(transaction);
    if (!summary && !this->leadership.beatIsDue() && !(this->loaded && this->jobScheduler.hasUnsaved()))
        return;
    auto batch = this->loaded ? this->jobScheduler.takeUnsaved(jobsPerCommit) : std::vector<ProgressWrite> {};
    transaction.conditions.push_back(this->leadership.condition());
    for (const auto& write : batch) {
        const RowName name { tables::progress, Leadership::part, write.job };
        transaction.conditions.push_back({ name, write.expectedVersion });
        transaction.writes.push_back({ name, write.text });
    }
    if (this->loaded && batch.empty()) {
        for (const auto& job : this->jobScheduler.takeExpired(removalsPerCommit)) {
            for (const auto* table : { tables::jobs, tables::progress })
                transaction.removals.push_back({ table, Leadership::part, job });
            transaction.removals.push_back(
                { tables::jobs, Leadership::part, job + std::string(tables::cancelSuffix) });
        }
    }
    if (this->leadership.beatIsDue())
        transaction.writes.push_back(this->leadership.beat(false));
    this->committing = true;
    this->platform.store.commit(std::move(transaction), commitDeadline,
        this->guarded([this, sentAt = this->clock.now(), batch = std::move(batch)](const TransactionResult& result) {
            this->onCommit(result, sentAt, batch);
        }));
}

void LeadSession::onCommit(
    const TransactionResult& result, TimePoint sentAt, const std::vector<ProgressWrite>& batch)
{
    this->committing = false;
    if (result.status == CommitStatus::Committed) {
        this->leadership.confirmed(sentAt);
        this->jobScheduler.saved(batch, result.version);
        return this->poke();
    }
    this->hooks.log("progress was not stored",
        { { "status", static_cast<int>(result.status) }, { "jobs", batch.size() },
            { "age_ms", (this->clock.now() - sentAt).count() } });
    this->storedSummary.clear();
    if (result.status == CommitStatus::Conflict) {
        const auto condition = this->leadership.condition();
        std::map<std::string, std::uint64_t> versions;
        for (const auto& row : result.conflicts) {
            if (row.name == condition.name && row.version != condition.version)
                return this->end("another VM has taken the lead");
            versions[row.name.key] = row.version;
        }
        // A write whose answer was lost has changed the row; its version is taken over and the write repeated.
        for (const auto& write : batch)
            this->jobScheduler.progressVersion(write.job, versions[write.job]);
    }
    this->jobScheduler.notSaved(batch);
}

void LeadSession::release()
{
    if (this->over)
        return;
    RowTransaction transaction;
    transaction.conditions.push_back(this->leadership.condition());
    transaction.writes.push_back(this->leadership.beat(true));
    this->platform.store.commit(
        std::move(transaction), commitDeadline, [](const TransactionResult&) { /* without it, silence tells the same */ });
    this->end("the lead is handed over");
}

void LeadSession::end(std::string_view reason)
{
    if (std::exchange(this->over, true))
        return;
    this->hooks.log("lead ends", { { "fence", this->leadership.fence() }, { "reason", reason } });
    this->leadership.stepDown();
    // The session is still on the stack of its caller.
    boost::asio::post(this->context, [ended = this->hooks.ended] { ended(); });
}

} // namespace waxwinglug::io
