// Submission, status and cancellation of jobs.
#include "io/process/job-gateway.h"

#include "io/process/tables.h"

#include <boost/asio/steady_timer.hpp>
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
    constexpr std::size_t maxJobIdLength = 64;

    bool isValidJobId(std::string_view id)
    {
        const auto isAllowed = [](char c) {
            return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' || c == '_';
        };
        return !id.empty() && id.size() <= maxJobIdLength && std::ranges::all_of(id, isAllowed);
    }

    // Returns the smallest key after `key`, the exclusive end of a range that contains only `key`.
    std::string keyAfter(std::string_view key) { return std::string(key) + '\0'; }

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
};

JobGateway::JobGateway(boost::asio::io_context& io, const FleetPlatform& fleetPlatform, Clock source,
    Metrics& processMetrics, JobGatewayHooks gatewayHooks)
    : context(io)
    , platform(fleetPlatform)
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
    if (!exchange->config)
        return this->answer(exchange, 503, "", "no configuration has been received yet");
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
        job.acceptedAt = this->clock.wallNow();
        validateJob(job);
        exchange->jobValue = toJson(job);
    } catch (const Error& error) {
        return this->answer(exchange, 400, "", error.what());
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
    const auto deadline = std::min(attemptTimeout, this->timeLeft(*exchange));
    this->platform.store.list(tables::jobRow(exchange->job), keyAfter(exchange->job), deadline,
        [this, exchange](const std::optional<RowPage>& page) {
            if (page && !page->rows.empty())
                return this->answer(exchange, 200, "", "stored; the first answer was lost");
            this->retryLater(exchange, page ? &JobGateway::commitJob : &JobGateway::readJobBack);
        });
}

void JobGateway::sendStatus(const ExchangePtr& exchange)
{
    if (this->timeLeft(*exchange) < Duration(1))
        return this->answer(exchange, 503, "", "the store does not answer");
    const RowName name { tables::progress, Leadership::part, exchange->job };
    this->platform.store.list(name, keyAfter(exchange->job), std::min(attemptTimeout, this->timeLeft(*exchange)),
        [this, exchange](const std::optional<RowPage>& page) {
            if (!page)
                return this->retryLater(exchange, &JobGateway::sendStatus);
            if (page->rows.empty())
                return this->sendUnrecordedStatus(exchange);
            const auto json = Json::parse(page->rows.front().value, nullptr, false);
            const auto state = json.is_object() ? parseJobStatus(json.value("state", "")) : std::nullopt;
            if (!state)
                return this->answer(exchange, 500, "", "the progress row cannot be read");
            // A progress row proves that the job exists. A stored cancellation shows once the leader has processed it.
            this->answer(exchange, 200, this->platform.formats.encodeJobState(*state), jobStatusName(*state));
        });
}

// Answers for a job without a progress row: it is unknown, cancelled, or pending.
void JobGateway::sendUnrecordedStatus(const ExchangePtr& exchange)
{
    if (this->timeLeft(*exchange) < Duration(1))
        return this->answer(exchange, 503, "", "the store does not answer");
    this->platform.store.list(tables::jobRow(exchange->job), keyAfter(tables::cancelRow(exchange->job).key),
        std::min(attemptTimeout, this->timeLeft(*exchange)), [this, exchange](const std::optional<RowPage>& page) {
            if (!page)
                return this->retryLater(exchange, &JobGateway::sendUnrecordedStatus);
            if (page->rows.empty() || page->rows.front().name.key != exchange->job)
                return this->answer(exchange, 410, "", "no such job");
            const auto cancelKey = tables::cancelRow(exchange->job).key;
            const bool cancelled = std::ranges::any_of(
                page->rows, [&cancelKey](const StoredRow& row) { return row.name.key == cancelKey; });
            const auto state = cancelled ? JobStatus::Cancelled : JobStatus::Running;
            this->answer(exchange, 200, this->platform.formats.encodeJobState(state), jobStatusName(state));
        });
}

void JobGateway::cancel(const ExchangePtr& exchange)
{
    if (this->timeLeft(*exchange) < Duration(1))
        return this->answer(exchange, 504, "", "the store does not answer; the job may be cancelled");
    this->platform.store.list(tables::jobRow(exchange->job), keyAfter(exchange->job),
        std::min(attemptTimeout, this->timeLeft(*exchange)), [this, exchange](const std::optional<RowPage>& page) {
            if (!page)
                return this->retryLater(exchange, &JobGateway::cancel);
            if (page->rows.empty())
                return this->answer(exchange, 410, "", "no such job");
            this->commitCancellation(exchange, page->rows.front().version);
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
    const auto sendCount = [this, exchange](const std::map<std::string, int>& pending) {
        const auto count = pending.find(exchange->queue->name);
        this->answer(exchange, 200,
            this->platform.formats.encodeWaitingCount(count == pending.end() ? 0 : count->second), "counted");
    };
    if (const auto pending = this->hooks.pendingJobs())
        return sendCount(*pending);
    if (this->timeLeft(*exchange) < Duration(1))
        return this->answer(exchange, 503, "", "the store does not answer");
    const RowName name { tables::summary, Leadership::part, tables::summaryKey };
    this->platform.store.list(name, keyAfter(name.key), std::min(attemptTimeout, this->timeLeft(*exchange)),
        [this, exchange, sendCount](const std::optional<RowPage>& page) {
            if (!page)
                return this->retryLater(exchange, &JobGateway::sendPendingCount);
            const auto json
                = page->rows.empty() ? Json::object() : Json::parse(page->rows.front().value, nullptr, false);
            if (!json.is_object())
                return this->answer(exchange, 500, "", "the summary row cannot be read");
            sendCount(json.get<std::map<std::string, int>>());
        });
}

void JobGateway::retryLater(const ExchangePtr& exchange, void (JobGateway::*step)(const ExchangePtr&))
{
    const auto delay = initialRetryDelay * (1 << std::min(exchange->retryCount++, maxDelayDoublings));
    auto timer = std::make_shared<boost::asio::steady_timer>(
        this->context, std::min(delay, std::max(this->timeLeft(*exchange), Duration(1))));
    timer->async_wait([this, exchange, step, timer](const boost::system::error_code& error) {
        if (!error)
            (this->*step)(exchange);
    });
}

void JobGateway::answer(const ExchangePtr& exchange, int status, std::string body, std::string_view reason)
{
    HttpResponse response { status, {}, std::move(body) };
    if (!response.body.empty())
        response.headers.emplace_back("Content-Type", "application/json");
    if (status == 503)
        response.headers.emplace_back("Retry-After", std::string(retryAfterSeconds));
    const auto elapsed = this->clock.now() - exchange->startedAt;
    this->metrics.counter("answers", "Answers to callers.").add();
    if (status >= 400)
        this->metrics.counter("error_answers", "Answers to callers with a status of 400 and above.").add();
    this->metrics.record(exchange->team, WorkClass::Interactive, { std::chrono::microseconds(0), elapsed, elapsed });
    this->hooks.log(status < 400 ? "request answered" : "request not served",
        { { "method", exchange->request.method }, { "job", exchange->job },
            { "queue", exchange->queue ? std::string_view(exchange->queue->name) : std::string_view() },
            { "status", status }, { "reason", reason }, { "ms", elapsed.count() },
            { "config", exchange->config ? exchange->config->version : 0 } });
    exchange->respond(std::move(response));
}

} // namespace waxwinglug::io
