// Submission, status and cancellation of jobs.
#include "io/process/job-gateway.h"

#include "io/process/tables.h"
#include "job/ended-job.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace waxwinglug::io {
namespace {

    // Used when the caller gives no deadline.
    constexpr Duration defaultTimeout { 3000 };
    // Part of the caller's deadline that is reserved for sending the answer.
    constexpr Duration answerReserve { 150 };
    // Timeout of one store call; a slow store takes about 0.6 s.
    constexpr Duration attemptTimeout { 800 };
    // Delay before the first retry; it doubles with each further one, because retries add to the load of a store that
    // refuses calls under overload.
    constexpr Duration initialRetryDelay { 60 };
    constexpr int maxDelayDoublings = 3;
    // A store that fails or refuses calls recovers within seconds, and the balancer takes about as long to redirect
    // callers.
    constexpr std::string_view retryAfterSeconds = "1";
    // The next leader has loaded all rows after about this time.
    constexpr std::string_view leaderChangeSeconds = "2";
    // The leader writes the pending jobs more often than they become too old, so a summary that is only a little too
    // old is about to be written again. An older one has no leader that writes it.
    constexpr Duration maxRefreshedSummaryAge = maxPendingCountAge * 3 / 2;
    constexpr Duration summaryRefreshDelay { 250 };
    constexpr std::size_t maxJobIdLength = 64;
    constexpr std::string_view rejectedJob = "the store rejects the job";

    bool isValidJobId(std::string_view id)
    {
        const auto isAllowed = [](char c) {
            return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' || c == '_';
        };
        return !id.empty() && id.size() <= maxJobIdLength && std::ranges::all_of(id, isAllowed);
    }

    // Returns the smallest key after `key`, the exclusive end of a range that contains only `key`.
    std::string keyAfter(std::string_view key) { return std::string(key) + '\0'; }

    // Returns nothing for a progress row of another form.
    std::optional<JobStatus> decodeStoredState(std::string_view progress)
    {
        const auto json = Json::parse(progress, nullptr, false);
        const auto state = json.is_object() ? json.find("state") : json.end();
        return state != json.end() && state->is_string() ? parseJobStatus(state->get<std::string>()) : std::nullopt;
    }

    // Tells a caller why a job is never accepted. The text may hold bytes of the request.
    std::string encodeProblem(std::string_view problem)
    {
        return Json { { "problem", problem } }.dump(-1, ' ', false, Json::error_handler_t::replace);
    }

    std::string hostWithoutPort(std::string_view host) { return std::string(host.substr(0, host.find(':'))); }

} // namespace

struct JobGateway::Exchange {
    HttpRequest request;
    Respond respond;
    TimePoint startedAt;
    TimePoint deadline;
    std::shared_ptr<const FleetConfig> config;
    const QueueSpec* queue = nullptr;
    std::string team;
    std::string job;
    std::string jobValue; // encoded job, the value of its row
    // A write without an answer may still be carried out, so the job can no longer be rejected.
    bool mayBeStored = false;
    int retryCount = 0;
    std::string_view retryAfter = retryAfterSeconds;
    std::string_view source = "store"; // what the answer is based on
    std::optional<Duration> age; // upper bound of the age of the source; nothing: read for this answer, or unknown
};

JobGateway::JobGateway(
    const FleetPlatform& fleetPlatform, Clock source, Metrics& processMetrics, JobGatewayHooks gatewayHooks)
    : platform(fleetPlatform)
    , clock(std::move(source))
    , metrics(processMetrics)
    , hooks(std::move(gatewayHooks))
{
}

Duration JobGateway::timeLeft(const Exchange& exchange) const { return exchange.deadline - this->clock.now(); }

void JobGateway::handle(HttpRequest request, Respond respond)
{
    auto exchange = std::make_shared<Exchange>();
    exchange->request = std::move(request);
    exchange->respond = std::move(respond);
    exchange->startedAt = this->clock.now();
    auto timeout = defaultTimeout;
    const auto header = findHeader(exchange->request.headers, this->platform.formats.deadlineHeader);
    std::int64_t milliseconds = 0;
    if (std::from_chars(header.data(), header.data() + header.size(), milliseconds).ec == std::errc {})
        timeout = std::clamp(Duration(milliseconds), Duration(1), Duration(60'000));
    exchange->deadline = exchange->startedAt + std::max(timeout - answerReserve, timeout / 2);
    exchange->config = this->hooks.activeConfig();
    exchange->source = "configuration";
    if (!exchange->config)
        return this->answer(exchange, 503, "", "no configuration has been received yet");
    exchange->age = this->hooks.configAge();
    const auto host = hostWithoutPort(findHeader(exchange->request.headers, "Host"));
    const std::string_view target = exchange->request.target;
    const auto path = target.substr(0, target.find('?'));
    exchange->queue = exchange->config->findQueue(host, path);
    if (!exchange->queue)
        return this->answer(exchange, 404, "", "no queue has this host and path");
    const auto* team
        = exchange->config->teamOfKey(findHeader(exchange->request.headers, this->platform.formats.keyHeader));
    if (!team && !exchange->queue->allowsAnonymous)
        return this->answer(exchange, 401, "", "no team has this key");
    exchange->source = "store";
    exchange->age.reset();
    exchange->team = team ? team->name : "";
    exchange->job = path.substr(exchange->queue->pathPrefix.size());
    const auto& method = exchange->request.method;
    if (exchange->job.empty())
        return method == "GET" ? this->sendPendingCount(exchange)
                               : this->answer(exchange, 405, "", "a queue supports only GET");
    if (!isValidJobId(exchange->job))
        return this->answer(exchange, 404, "", "the job id is malformed");
    if (method == "POST")
        return this->submit(exchange);
    if (method == "GET")
        return this->sendStatus(exchange);
    if (method == "DELETE")
        return this->cancel(exchange);
    this->answer(exchange, 405, "", "a job supports only POST, GET and DELETE");
}

void JobGateway::submit(const ExchangePtr& exchange)
{
    try {
        auto job = this->platform.formats.decodeJob(exchange->request.body);
        job.id = exchange->job;
        job.queue = exchange->queue->name;
        job.team = exchange->team;
        job.service = exchange->queue->service;
        job.maxFailedRuns = exchange->queue->maxFailedRuns;
        job.acceptedAt = this->clock.wallNow();
        validateJob(job);
        exchange->jobValue = toJson(job);
        const auto limit = this->platform.store.maxRowBytes;
        if (exchange->jobValue.size() > limit)
            throw Error(ErrorKind::Invalid,
                fmt::format("the encoded job has {} bytes, and the store accepts {}", exchange->jobValue.size(), limit),
                "use fewer steps and shorter texts");
    } catch (const Error& error) {
        return this->answer(exchange, 400, encodeProblem(error.what()), error.what());
    }
    this->commitJob(exchange);
}

void JobGateway::commitJob(const ExchangePtr& exchange)
{
    if (!exchange->mayBeStored && !this->hooks.isStoreAvailable())
        return this->answer(exchange, 503, "", "the store does not answer; nothing was written");
    RowTransaction transaction;
    transaction.conditions.push_back({ tables::jobRow(exchange->job), 0 });
    transaction.writes.push_back({ tables::jobRow(exchange->job), exchange->jobValue });
    const auto deadline = std::min(attemptTimeout, this->timeLeft(*exchange));
    this->platform.store.commit(std::move(transaction), deadline, [this, exchange](const TransactionResult& result) {
        if (result.status == CommitStatus::Committed)
            return this->answer(exchange, 200, "", "stored");
        if (result.status == CommitStatus::Conflict)
            return this->answer(exchange, 200, "", "already stored");
        if (result.status == CommitStatus::Unknown) {
            exchange->mayBeStored = true;
            return this->readJobBack(exchange);
        }
        // The same row would be rejected again.
        if (result.status == CommitStatus::Rejected && !exchange->mayBeStored)
            return this->answer(exchange, 400, encodeProblem(rejectedJob), rejectedJob);
        if (this->timeLeft(*exchange) > initialRetryDelay * 2)
            return this->retryLater(exchange, &JobGateway::commitJob);
        if (exchange->mayBeStored)
            return this->answer(exchange, 504, "", "the store did not answer a write; the job may be stored");
        this->answer(exchange, 503, "", "the store refuses the write or cannot be reached");
    });
}

void JobGateway::readJobBack(const ExchangePtr& exchange)
{
    if (this->timeLeft(*exchange) < initialRetryDelay)
        return this->answer(exchange, 504, "", "the store did not answer a write; the job may be stored");
    this->read(exchange, tables::jobRow(exchange->job), keyAfter(exchange->job), &JobGateway::readJobBack,
        [this, exchange](const RowPage& page) {
            if (!page.rows.empty())
                return this->answer(exchange, 200, "", "stored; the first answer was lost");
            this->retryLater(exchange, &JobGateway::commitJob);
        });
}

void JobGateway::sendStatus(const ExchangePtr& exchange)
{
    if (this->timeLeft(*exchange) < Duration(1))
        return this->answer(exchange, 503, "", "the store does not answer");
    const RowName name { tables::progress, Leadership::part, exchange->job };
    this->read(exchange, name, keyAfter(exchange->job), &JobGateway::sendStatus, [this, exchange](const RowPage& page) {
        if (page.rows.empty())
            return this->sendUnrecordedStatus(exchange);
        const auto state = decodeStoredState(page.rows.front().value);
        if (!state)
            return this->answer(exchange, 503, "", "the progress row cannot be read");
        // A progress row proves that the job exists. A stored cancellation shows once the leader has processed it.
        this->answer(exchange, 200, this->platform.formats.encodeJobState(*state), jobStatusName(*state));
    });
}

// Answers for a job without a progress row: it is unknown, cancelled, or pending.
void JobGateway::sendUnrecordedStatus(const ExchangePtr& exchange)
{
    if (this->timeLeft(*exchange) < Duration(1))
        return this->answer(exchange, 503, "", "the store does not answer");
    this->read(exchange, tables::jobRow(exchange->job), keyAfter(tables::cancelRow(exchange->job).key),
        &JobGateway::sendUnrecordedStatus, [this, exchange](const RowPage& page) {
            if (page.rows.empty() || page.rows.front().name.key != exchange->job)
                return this->answer(exchange, 410, "", "no such job");
            const auto cancelKey = tables::cancelRow(exchange->job).key;
            const bool cancelled = std::ranges::any_of(
                page.rows, [&cancelKey](const StoredRow& row) { return row.name.key == cancelKey; });
            const auto ended = decodeEndedJob(page.rows.front().value);
            const auto state = ended.value_or(cancelled ? JobStatus::Cancelled : JobStatus::Running);
            this->answer(exchange, 200, this->platform.formats.encodeJobState(state), jobStatusName(state));
        });
}

void JobGateway::cancel(const ExchangePtr& exchange)
{
    if (this->timeLeft(*exchange) < Duration(1))
        return this->answer(exchange, 504, "", "the store does not answer; the job may be cancelled");
    this->read(exchange, tables::jobRow(exchange->job), keyAfter(exchange->job), &JobGateway::cancel,
        [this, exchange](const RowPage& page) {
            if (page.rows.empty())
                return this->answer(exchange, 410, "", "no such job");
            this->commitCancellation(exchange, page.rows.front().version);
        });
}

void JobGateway::commitCancellation(const ExchangePtr& exchange, std::uint64_t jobVersion)
{
    RowTransaction transaction;
    transaction.conditions.push_back({ tables::jobRow(exchange->job), jobVersion });
    transaction.writes.push_back({ tables::cancelRow(exchange->job), exchange->team });
    this->platform.store.commit(std::move(transaction),
        std::min(attemptTimeout, std::max(this->timeLeft(*exchange), initialRetryDelay)),
        [this, exchange](const TransactionResult& result) {
            if (result.status == CommitStatus::Committed)
                return this->answer(exchange, 200, "", "the cancellation is stored");
            // Writing the cancellation again does no harm, so every other outcome restarts at the first step.
            this->retryLater(exchange, &JobGateway::cancel);
        });
}

void JobGateway::sendPendingCount(const ExchangePtr& exchange)
{
    if (const auto counts = this->hooks.pendingJobs())
        return this->answerPendingCount(exchange, *counts, "memory of the leader");
    if (this->timeLeft(*exchange) < Duration(1))
        return this->answer(exchange, 503, "", "the store does not answer");
    const RowName name { tables::summary, Leadership::part, tables::summaryKey };
    this->read(exchange, name, keyAfter(name.key), &JobGateway::sendPendingCount,
        [this, exchange, requestedAt = this->clock.now()](
            const RowPage& page) { this->sendStoredPendingCount(exchange, page, requestedAt); });
}

void JobGateway::sendStoredPendingCount(const ExchangePtr& exchange, const RowPage& page, TimePoint requestedAt)
{
    exchange->source = "stored summary";
    const auto summary = page.rows.empty() ? std::nullopt : decodePendingSummary(page.rows.front().value);
    exchange->age = summary ? ageAt(*summary, page.time) : std::nullopt;
    if (exchange->age)
        *exchange->age += this->clock.now() - requestedAt;
    if (exchange->age && *exchange->age <= maxPendingCountAge)
        return this->answerPendingCount(exchange, { summary->jobsByQueue, *exchange->age }, exchange->source);
    const bool isAboutToBeWritten = exchange->age && *exchange->age <= maxRefreshedSummaryAge;
    if (isAboutToBeWritten && this->timeLeft(*exchange) > summaryRefreshDelay * 2)
        return this->hooks.runLater(summaryRefreshDelay, [this, exchange] { this->sendPendingCount(exchange); });
    exchange->retryAfter = leaderChangeSeconds;
    this->answer(exchange, 503, "",
        exchange->age ? "the stored number of pending jobs is too old"
                      : "the age of the stored number of pending jobs is unknown");
}

void JobGateway::answerPendingCount(const ExchangePtr& exchange, const PendingCounts& counts, std::string_view source)
{
    exchange->source = source;
    exchange->age = counts.age;
    const auto count = counts.jobsByQueue.find(exchange->queue->name);
    this->answer(exchange, 200,
        this->platform.formats.encodeWaitingCount(count == counts.jobsByQueue.end() ? 0 : count->second), "counted");
}

void JobGateway::read(const ExchangePtr& exchange, const RowName& from, std::string end,
    void (JobGateway::*step)(const ExchangePtr&), std::function<void(const RowPage&)> use)
{
    this->platform.store.list(from, std::move(end), std::min(attemptTimeout, this->timeLeft(*exchange)),
        [this, exchange, step, known = this->hooks.knownStoreVersion(), use = std::move(use)](
            const std::optional<RowPage>& page) {
            if (page && page->version >= known)
                use(*page);
            else
                this->retryLater(exchange, step);
        });
}

void JobGateway::retryLater(const ExchangePtr& exchange, void (JobGateway::*step)(const ExchangePtr&))
{
    const auto delay = initialRetryDelay * (1 << std::min(exchange->retryCount++, maxDelayDoublings));
    this->hooks.runLater(std::min(delay, std::max(this->timeLeft(*exchange), Duration(1))),
        [this, exchange, step] { (this->*step)(exchange); });
}

void JobGateway::answer(const ExchangePtr& exchange, int status, std::string body, std::string_view reason)
{
    HttpResponse response { status, {}, std::move(body) };
    if (!response.body.empty())
        response.headers.emplace_back("Content-Type", "application/json");
    if (status == 503)
        response.headers.emplace_back("Retry-After", std::string(exchange->retryAfter));
    const auto elapsed = this->clock.now() - exchange->startedAt;
    this->metrics.counter("answers", "Answers to callers.").add();
    if (status >= 400)
        this->metrics.counter("error_answers", "Answers to callers with a status of 400 and above.").add();
    this->metrics.record(exchange->team, WorkClass::Interactive, { std::chrono::microseconds(0), elapsed, elapsed });
    this->hooks.log(status < 400 ? "request answered" : "request not served",
        { { "method", exchange->request.method }, { "job", exchange->job },
            { "queue", exchange->queue ? std::string_view(exchange->queue->name) : std::string_view() },
            { "status", status }, { "reason", reason }, { "ms", elapsed.count() },
            { "config", exchange->config ? exchange->config->version : 0 }, { "source", exchange->source },
            { "age_ms", exchange->age ? std::to_string(exchange->age->count()) : "" } });
    exchange->respond(std::move(response));
}

} // namespace waxwinglug::io
