// Checks and error answers that do not need the state of the control thread.
#include "io/connection/gateway.h"

#include <algorithm>

namespace waxwinglug::io {
namespace {

    std::vector<HeaderField> toHeaderFields(const HttpHeaders& headers)
    {
        std::vector<HeaderField> fields;
        fields.reserve(headers.size());
        for (const auto& [name, value] : headers)
            fields.push_back({ name, value });
        return fields;
    }

    // Returns the service in a target of the form /q/<service>/<rest>; empty for any other target.
    std::string_view serviceOf(std::string_view target)
    {
        constexpr std::string_view prefix = "/q/";
        if (!target.starts_with(prefix))
            return {};
        target.remove_prefix(prefix.size());
        return target.substr(0, target.find_first_of("/?"));
    }

    // Returns the team to charge. Throws RefusalError when the rights do not grant the work.
    std::string authorize(const Rights& rights, const CallerRequest& caller)
    {
        switch (rights.ring.check(caller.team, caller.key, caller.service)) {
        case KeyCheckResult::Granted:
            break;
        case KeyCheckResult::UnknownService:
            throw RefusalError(Refusal::UnknownQueue, "there is no queue with this name");
        case KeyCheckResult::WrongKey:
        case KeyCheckResult::ServiceNotGranted:
            throw RefusalError(Refusal::BadKey, "the key does not grant this queue to the team");
        }
        // A request on an open queue may name a team without its key; it is not charged to that team.
        return rights.ring.authenticate(caller.team, caller.key) ? caller.team : std::string(anonymousTeam);
    }

    Refusal refusalForStatus(int status)
    {
        switch (status) {
        case 413:
            return Refusal::BodyTooLarge;
        case 431:
            return Refusal::HeaderTooLarge;
        case 408:
            return Refusal::ShortBody;
        default:
            return Refusal::BadFraming;
        }
    }

} // namespace

HttpResponse toResponse(const ErrorAnswer& answer, std::string_view requestId)
{
    HttpResponse response { answer.httpStatus, {}, answer.body };
    response.headers.emplace_back("Content-Type", "application/json");
    response.headers.emplace_back("Waxwing-Outcome", std::string(outcomeText(answer.outcome)));
    if (!requestId.empty())
        response.headers.emplace_back("Waxwing-Request-Id", std::string(requestId));
    return response;
}

void setAnsweredHeaders(HttpResponse& response, std::string_view requestId)
{
    // Only the entry VM sets Waxwing- headers, so those of the backend server are removed.
    std::erase_if(response.headers, [](const auto& header) { return header.first.starts_with("Waxwing-"); });
    response.headers.emplace_back("Waxwing-Outcome", std::string(outcomeText(Outcome::Answered)));
    response.headers.emplace_back("Waxwing-Request-Id", std::string(requestId));
}

Gateway::Gateway(Clock gatewayClock, std::uint64_t limitBytes, Metrics& registry, GatewayHooks gatewayHooks)
    : clock(std::move(gatewayClock))
    , bodyLimitBytes(limitBytes)
    , metrics(registry)
    , hooks(std::move(gatewayHooks))
{
}

CallerHooks Gateway::callerHooks()
{
    return {
        [this](std::string_view target) { return this->bodyLimitFor(target); },
        [this](HttpRequest request, const Respond& respond) { return this->handle(std::move(request), respond); },
        [this](int status, std::string_view problem, std::string_view) { return this->reject(status, problem); },
    };
}

std::uint64_t Gateway::bodyLimitFor(std::string_view target) const
{
    const auto rights = this->currentRights();
    if (!rights)
        return this->bodyLimitBytes;
    const auto found = rights->config->services.find(serviceOf(target));
    if (found == rights->config->services.end())
        return this->bodyLimitBytes;
    return std::min(this->bodyLimitBytes, found->second.bodyLimitBytes);
}

std::function<void()> Gateway::handle(HttpRequest request, const Respond& respond)
{
    try {
        auto exchange = this->createExchange(std::move(request));
        exchange->respond = respond;
        this->hooks.accept(exchange);
        return [this, exchange] { this->hooks.cancel(exchange); };
    } catch (const RefusalError& error) {
        respond(this->refuse(error));
        return {};
    }
}

std::shared_ptr<Exchange> Gateway::createExchange(HttpRequest request)
{
    const auto fields = toHeaderFields(request.headers);
    auto exchange = std::make_shared<Exchange>();
    exchange->receivedAt = this->clock.now();
    exchange->caller = parseCallerRequest(request.method, request.target, fields);
    this->authorize(*exchange);
    exchange->request = std::move(request);
    return exchange;
}

void Gateway::authorize(Exchange& exchange) const
{
    const auto rights = this->currentRights();
    if (!rights)
        throw RefusalError(Refusal::NoCapacity, "this entry VM has no configuration yet");
    exchange.team = io::authorize(*rights, exchange.caller);
    const auto& service = rights->config->services.find(exchange.caller.service)->second;
    exchange.workClass = service.workClass;
    exchange.deadline = exchange.receivedAt + exchange.caller.deadline.value_or(service.deadline);
    exchange.rights = rights;
}

HttpResponse Gateway::refuse(const RefusalError& error)
{
    this->metrics.countRefusal(error.refusal());
    std::string_view problem = error.what();
    problem = problem.substr(0, problem.find(';'));
    return toResponse(refusalAnswer(error.refusal(), {}, problem), {});
}

HttpResponse Gateway::reject(int status, std::string_view problem)
{
    const auto refusal = refusalForStatus(status);
    this->metrics.countRefusal(refusal);
    auto answer = refusalAnswer(refusal, {}, problem);
    answer.httpStatus = status;
    return toResponse(answer, {});
}

} // namespace waxwinglug::io
