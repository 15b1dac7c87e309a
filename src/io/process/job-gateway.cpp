// Submitting, asking for and cancelling jobs.
#include "io/process/job-gateway.h"

#include "io/process/tables.h"

#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace waxwinglug::io {
namespace {

    // Without a deadline from the caller.
    constexpr Duration usualDeadline { 3000 };
    // Kept back from the caller's deadline for the way of the answer.
    constexpr Duration answerReserve { 150 };
    // One attempt at the store; a slow store takes about 0.6 s.
    constexpr Duration attemptDeadline { 800 };
    // Pause before the first further attempt; each later one waits twice as long. Attempts that a store refuses for its
    // load would only add to it.
    constexpr Duration retryPause { 60 };
    constexpr int mostDoublings = 3;
    // A store that is down or refuses is back after seconds; the balancer takes about as long to move callers.
    constexpr std::string_view retryAfterSeconds = "1";
    constexpr std::size_t mostIdLength = 64;

    bool isJobId(std::string_view id)
    {
        const auto isPlain = [](char c) {
            return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' || c == '_';
        };
        return !id.empty() && id.size() <= mostIdLength && std::ranges::all_of(id, isPlain);
    }

    // The end of the range that holds exactly one key.
    std::string after(std::string_view key) { return std::string(key) + '\0'; }

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
    std::string stored; // the row that is written
    // A write may still be carried out, so the request can no longer be refused.
    bool mayBeStored = false;
    int attempts = 0; // that were followed by another one
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

Duration JobGateway::left(const Exchange& exchange) const { return exchange.deadline - this->clock.now(); }

void JobGateway::handle(HttpRequest request, Respond respond)
{
    auto exchange = std::make_shared<Exchange>();
    exchange->request = std::move(request);
    exchange->respond = std::move(respond);
    exchange->startedAt = this->clock.now();
    auto allowed = usualDeadline;
    const auto header = findHeader(exchange->request.headers, this->platform.formats.deadlineHeader);
    std::int64_t milliseconds = 0;
    if (std::from_chars(header.data(), header.data() + header.size(), milliseconds).ec == std::errc {})
        allowed = std::clamp(Duration(milliseconds), Duration(1), Duration(60'000));
    exchange->deadline = exchange->startedAt + std::max(allowed - answerReserve, allowed / 2);
    exchange->config = this->hooks.config();
    if (!exchange->config)
        return this->answer(exchange, 503, "", "no configuration is known yet");
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
        return method == "GET" ? this->showWaiting(exchange) : this->answer(exchange, 405, "", "a queue only has GET");
    if (!isJobId(exchange->job))
        return this->answer(exchange, 404, "", "the job id has another form");
    if (method == "POST")
        return this->submit(exchange);
    if (method == "GET")
        return this->showState(exchange);
    if (method == "DELETE")
        return this->cancel(exchange);
    this->answer(exchange, 405, "", "a job has POST, GET and DELETE");
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
        exchange->stored = toJson(job);
    } catch (const Error& error) {
        return this->answer(exchange, 400, "", error.what());
    }
    this->commitJob(exchange);
}

void JobGateway::commitJob(const ExchangePtr& exchange)
{
    if (!exchange->mayBeStored && !this->hooks.storeAnswers())
        return this->answer(exchange, 503, "", "the store does not answer; nothing was written");
    RowTransaction transaction;
    transaction.conditions.push_back({ tables::jobRow(exchange->job), 0 });
    transaction.writes.push_back({ tables::jobRow(exchange->job), exchange->stored });
    const auto deadline = std::min(attemptDeadline, this->left(*exchange));
    this->platform.store.commit(std::move(transaction), deadline, [this, exchange](const TransactionResult& result) {
        if (result.status == CommitStatus::Committed)
            return this->answer(exchange, 200, "", "stored");
        if (result.status == CommitStatus::Conflict)
            return this->answer(exchange, 200, "", "stored before");
        if (result.status == CommitStatus::Unknown) {
            exchange->mayBeStored = true;
            return this->readBack(exchange);
        }
        if (this->left(*exchange) > retryPause * 2)
            return this->retryLater(exchange, &JobGateway::commitJob);
        if (exchange->mayBeStored)
            return this->answer(exchange, 504, "", "the store lost an answer; the job may be stored");
        this->answer(exchange, 503, "", "the store refuses or is not reached");
    });
}

void JobGateway::readBack(const ExchangePtr& exchange)
{
    if (this->left(*exchange) < retryPause)
        return this->answer(exchange, 504, "", "the store lost an answer; the job may be stored");
    const auto deadline = std::min(attemptDeadline, this->left(*exchange));
    this->platform.store.list(tables::jobRow(exchange->job), after(exchange->job), deadline,
        [this, exchange](const std::optional<RowPage>& page) {
            if (page && !page->rows.empty())
                return this->answer(exchange, 200, "", "stored; the first answer was lost");
            this->retryLater(exchange, page ? &JobGateway::commitJob : &JobGateway::readBack);
        });
}

void JobGateway::showState(const ExchangePtr& exchange)
{
    if (this->left(*exchange) < Duration(1))
        return this->answer(exchange, 503, "", "the store does not answer");
    const RowName name { tables::progress, Leadership::part, exchange->job };
    this->platform.store.list(name, after(exchange->job), std::min(attemptDeadline, this->left(*exchange)),
        [this, exchange](const std::optional<RowPage>& page) {
            if (!page)
                return this->retryLater(exchange, &JobGateway::showState);
            if (page->rows.empty())
                return this->showPending(exchange);
            const auto json = Json::parse(page->rows.front().value, nullptr, false);
            const auto state = json.is_object() ? parseJobStatus(json.value("state", "")) : std::nullopt;
            if (!state)
                return this->answer(exchange, 500, "", "the progress row cannot be read");
            // A cancellation that the lead has not seen yet shows when it has; the row says that the job is known.
            this->answer(exchange, 200, this->platform.formats.encodeJobState(*state), jobStatusName(*state));
        });
}

// The lead has recorded nothing of the job: it is unknown, cancelled, or waiting.
void JobGateway::showPending(const ExchangePtr& exchange)
{
    if (this->left(*exchange) < Duration(1))
        return this->answer(exchange, 503, "", "the store does not answer");
    this->platform.store.list(tables::jobRow(exchange->job), after(tables::cancelRow(exchange->job).key),
        std::min(attemptDeadline, this->left(*exchange)), [this, exchange](const std::optional<RowPage>& page) {
            if (!page)
                return this->retryLater(exchange, &JobGateway::showPending);
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
    if (this->left(*exchange) < Duration(1))
        return this->answer(exchange, 504, "", "the store does not answer; the job may be cancelled");
    this->platform.store.list(tables::jobRow(exchange->job), after(exchange->job),
        std::min(attemptDeadline, this->left(*exchange)), [this, exchange](const std::optional<RowPage>& page) {
            if (!page)
                return this->retryLater(exchange, &JobGateway::cancel);
            if (page->rows.empty())
                return this->answer(exchange, 410, "", "no such job");
            this->commitCancel(exchange, page->rows.front().version);
        });
}

void JobGateway::commitCancel(const ExchangePtr& exchange, std::uint64_t jobVersion)
{
    RowTransaction transaction;
    transaction.conditions.push_back({ tables::jobRow(exchange->job), jobVersion });
    transaction.writes.push_back({ tables::cancelRow(exchange->job), exchange->team });
    this->platform.store.commit(std::move(transaction),
        std::min(attemptDeadline, std::max(this->left(*exchange), retryPause)),
        [this, exchange](const TransactionResult& result) {
            if (result.status == CommitStatus::Committed)
                return this->answer(exchange, 200, "", "the cancellation is stored");
            // Writing it again does no harm, so every other outcome leads back to the first step.
            this->retryLater(exchange, &JobGateway::cancel);
        });
}

void JobGateway::showWaiting(const ExchangePtr& exchange)
{
    const auto show = [this, exchange](const std::map<std::string, int>& waiting) {
        const auto count = waiting.find(exchange->queue->name);
        this->answer(exchange, 200,
            this->platform.formats.encodeWaitingCount(count == waiting.end() ? 0 : count->second), "counted");
    };
    if (const auto waiting = this->hooks.waiting())
        return show(*waiting);
    if (this->left(*exchange) < Duration(1))
        return this->answer(exchange, 503, "", "the store does not answer");
    const RowName name { tables::summary, Leadership::part, tables::summaryKey };
    this->platform.store.list(name, after(name.key), std::min(attemptDeadline, this->left(*exchange)),
        [this, exchange, show](const std::optional<RowPage>& page) {
            if (!page)
                return this->retryLater(exchange, &JobGateway::showWaiting);
            const auto json
                = page->rows.empty() ? Json::object() : Json::parse(page->rows.front().value, nullptr, false);
            if (!json.is_object())
                return this->answer(exchange, 500, "", "the summary row cannot be read");
            show(json.get<std::map<std::string, int>>());
        });
}

void JobGateway::retryLater(const ExchangePtr& exchange, void (JobGateway::*step)(const ExchangePtr&))
{
    const auto pause = retryPause * (1 << std::min(exchange->attempts++, mostDoublings));
    auto timer = std::make_shared<boost::asio::steady_timer>(
        this->context, std::min(pause, std::max(this->left(*exchange), Duration(1))));
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
    const auto age = this->clock.now() - exchange->startedAt;
    this->metrics.counter("answers", "Answers to callers.").add();
    if (status >= 400)
        this->metrics.counter("error_answers", "Answers to callers with a status of 400 and above.").add();
    this->metrics.record(exchange->team, WorkClass::Interactive, { std::chrono::microseconds(0), age, age });
    this->hooks.log(status < 400 ? "request answered" : "request not served",
        { { "method", exchange->request.method }, { "job", exchange->job },
            { "queue", exchange->queue ? std::string_view(exchange->queue->name) : std::string_view() },
            { "status", status }, { "reason", reason }, { "ms", age.count() },
            { "config", exchange->config ? exchange->config->version : 0 } });
    exchange->respond(std::move(response));
}

} // namespace waxwinglug::io
