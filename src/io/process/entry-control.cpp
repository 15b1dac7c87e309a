// Request handling, backend configuration and status of the entry daemon.
#include "io/process/entry-control.h"

#include "io/connection/gateway.h"

#include <sodium.h>

#include <algorithm>

namespace waxwinglug::io {
namespace {

    std::uint64_t secureRandomNumber()
    {
        std::uint64_t number = 0;
        randombytes_buf(&number, sizeof number);
        return number;
    }

    std::string teamResource(std::string_view team) { return std::string("team/").append(team); }

    AttemptReport toAttemptReport(const BackendResult& result)
    {
        switch (result.kind) {
        case BackendResult::Kind::ConnectionRefused:
            return AttemptReport::ConnectionRefused;
        case BackendResult::Kind::NotSent:
            return AttemptReport::ConnectFailed;
        case BackendResult::Kind::Withdrawn:
            return AttemptReport::Withdrawn;
        case BackendResult::Kind::Broken:
            return AttemptReport::Broken;
        case BackendResult::Kind::Overdue:
            return AttemptReport::Overdue;
        case BackendResult::Kind::Answered:
            break;
        }
        if (result.response.status == 503 && findHeader(result.response.headers, "Waxwing-Draining") == "yes")
            return AttemptReport::Draining;
        return result.response.status >= 500 ? AttemptReport::ServerError : AttemptReport::Answered;
    }

    // Builds the request for the backend server. The caller's Waxwing headers, which include the team's key, are not
    // forwarded.
    HttpRequest backendRequest(const Exchange& exchange)
    {
        HttpRequest request { exchange.request.method, exchange.caller.backendPath, {}, exchange.request.body };
        for (const auto& header : exchange.request.headers) {
            if (!header.first.starts_with("Waxwing-") && !header.first.starts_with("waxwing-"))
                request.headers.push_back(header);
        }
        request.headers.emplace_back("Waxwing-Request-Id", exchange.id.text());
        request.headers.emplace_back("Waxwing-Team", exchange.team);
        return request;
    }

} // namespace

EntryControl::EntryControl(const EntrySettings& entrySettings, const NodeId& node, Clock controlClock,
    Platform hooksOfPlatform, Metrics& registry, EntryControlHooks controlHooks)
    : settings(entrySettings)
    , clock(std::move(controlClock))
    , self(node)
    , platform(std::move(hooksOfPlatform))
    , metrics(registry)
    , hooks(std::move(controlHooks))
    , log("entry", clock)
    , allotments(self, {}, clock, platform.table,
          { [this](const NodeId& other) { return this->isGone(other); }, hooks.sendUnitRequest, hooks.sendUnitLoan })
    , vmRows(platform.table, entrySettings.dataCentre,
          [this] {
              std::vector<std::string> names;
              for (const auto& [name, vm] : this->config->vms) {
                  if (vm.dataCentre == this->settings.dataCentre)
                      names.push_back(name);
              }
              return names;
          })
    , reporter(self, entrySettings.dataCentre, platform.table, clock)
    , guard(self, clock, platform.table, secureRandomNumber, duplicateGuardHooks())
    , random(secureRandomNumber())
{
    this->vmRows.onChange = [this](const std::string& vm, const VmRow&) { this->applyVmRow(vm); };
}

DuplicateGuardHooks EntryControl::duplicateGuardHooks()
{
    DuplicateGuardHooks result;
    result.run = [this](const std::shared_ptr<Exchange>& exchange) { this->submit(exchange); };
    result.refuse = [this](const Exchange& exchange, Refusal refusal) { this->refuse(exchange, refusal); };
    result.resolveAtHome = this->hooks.resolveAtHome;
    result.callAfter = this->hooks.callAfter;
    result.claimsWhenDown = [this](const std::string& service) {
        const auto found = this->config->services.find(service);
        return found == this->config->services.end() ? ClaimsWhenDown::Refuse : found->second.claimsWhenDown;
    };
    return result;
}

DispatcherHooks EntryControl::dispatcherHooks(const std::string& service)
{
    DispatcherHooks result;
    result.send = [this, service](const Attempt& attempt) { this->sendAttempt(service, attempt); };
    result.onEnded = [this, service](WorkHandle work, Outcome outcome, std::optional<Refusal> refusal) {
        this->onWorkEnded(service, work, outcome, refusal);
    };
    result.hasFreeUnit = [this](std::string_view team) {
        return team == anonymousTeam || this->allotments.holdsFreeUnit(teamResource(team));
    };
    result.takeUnit = [this](std::string_view team) {
        if (team != anonymousTeam)
            this->allotments.acquire(teamResource(team));
    };
    result.releaseUnit = [this](std::string_view team) {
        if (team != anonymousTeam)
            this->allotments.release(teamResource(team));
    };
    result.after = this->hooks.callAfter;
    return result;
}

EntryControl::ServiceState& EntryControl::serviceState(const Service& service)
{
    auto& state = this->services[service.name];
    if (!state.dispatcher) {
        state.slotResource = "slots/" + this->settings.dataCentre + '/' + service.name;
        state.dispatcher = std::make_shared<Dispatcher>(
            service, 0, this->clock, this->random(), this->dispatcherHooks(service.name));
    }
    state.dispatcher->setService(service);
    return state;
}

void EntryControl::applyConfig(std::shared_ptr<const Config> accepted)
{
    this->config = std::move(accepted);
    for (const auto& [name, team] : this->config->teams)
        this->allotments.setLimit(teamResource(name), team.limit, this->config->version);
    for (const auto& [name, service] : this->config->services) {
        auto& state = this->serviceState(service);
        std::vector<TeamShare> shares;
        for (const auto& [teamName, team] : this->config->teams) {
            if (std::find(team.services.begin(), team.services.end(), name) != team.services.end())
                shares.push_back({ teamName, team.sharePercent });
        }
        if (service.allowsAnonymous)
            shares.push_back({ std::string(anonymousTeam), 0 });
        state.dispatcher->setTeams(shares);
        this->setBackends(name, state);
    }
    this->vmRows.requestFullRead();
    this->log.info("Configuration is active.", { { "version", this->config->version } });
}

void EntryControl::setBackends(const std::string& service, ServiceState& state)
{
    std::vector<BackendSpec> specs;
    int slotCount = 0;
    for (const auto& [name, vm] : this->config->vms) {
        if (vm.dataCentre != this->settings.dataCentre)
            continue;
        const auto* row = this->vmRows.find(name);
        const auto& pool = row ? row->pool : vm.pool;
        const auto found = this->config->pools.find(pool);
        if (found == this->config->pools.end() || found->second.service != service)
            continue;
        specs.push_back({ name, pool, vm.rack, vm.address, vm.slots, vm.maxConnections });
        slotCount += vm.slots;
    }
    auto& backends = state.dispatcher->backends();
    backends.setBackends(specs);
    for (const auto& spec : specs) {
        const auto* row = this->vmRows.find(spec.vm);
        backends.setCordoned(spec.vm, row && row->phase != VmPhase::Serving && row->phase != VmPhase::SlowStart);
    }
    state.slotCount = slotCount;
    this->allotments.setLimit(state.slotResource, slotCount, this->config->version);
}

void EntryControl::applyVmRow(const std::string& vm)
{
    // A pool move affects two services. Rows change only a few times per minute, so all services are updated.
    for (auto& [name, state] : this->services)
        this->setBackends(name, state);
    this->log.info("VM row changed.", { { "vm", vm } });
}

void EntryControl::applyVmList(const std::vector<VmStatus>& list)
{
    this->vmStatuses.clear();
    for (const auto& status : list)
        this->vmStatuses.emplace(status.name, status);
    for (auto& [name, state] : this->services)
        state.dispatcher->backends().applyVmList(list);
}

bool EntryControl::isGone(const NodeId& node) const
{
    // A process binds its ports before it sends messages or writes rows, so an earlier process of this name has ended.
    if (node.name == this->self.name)
        return node.incarnation < this->self.incarnation;
    if (this->hooks.hasNewerIncarnation(node))
        return true;
    const auto found = this->vmStatuses.find(node.name);
    return found != this->vmStatuses.end() && found->second.state == VmState::Gone;
}

void EntryControl::updateReport()
{
    std::map<std::string, int> work;
    for (const auto& [service, state] : this->services) {
        auto& backends = state.dispatcher->backends();
        for (const auto& [vm, settingsOfVm] : this->config->vms) {
            const auto* row = this->vmRows.find(vm);
            const auto server = backends.find(vm);
            if (server && row && row->phase != VmPhase::Serving && row->phase != VmPhase::SlowStart)
                work[vm] += backends.activeRequests(*server);
        }
    }
    this->reporter.update(this->vmRows.appliedSequence(), std::move(work));
    this->reporter.tick();
}

void EntryControl::accept(const std::shared_ptr<Exchange>& exchange) { this->guard.admit(exchange); }

void EntryControl::submit(const std::shared_ptr<Exchange>& exchange)
{
    const auto found = this->services.find(exchange->caller.service);
    if (found == this->services.end()) {
        this->guard.endWithoutAnswer(exchange, Outcome::NotRun, Refusal::UnknownQueue);
        return;
    }
    auto& state = found->second;
    const auto submitted = state.dispatcher->submit(
        { exchange->id, exchange->team, exchange->workClass, exchange->caller.idempotent, exchange->deadline });
    if (submitted.refusal) {
        this->guard.endWithoutAnswer(exchange, Outcome::NotRun, *submitted.refusal);
        return;
    }
    exchange->workHandle = submitted.work;
    state.exchanges.emplace(submitted.work, exchange);
    state.dispatcher->pump();
}

void EntryControl::cancel(const std::shared_ptr<Exchange>& exchange)
{
    const auto found = this->services.find(exchange->caller.service);
    if (found != this->services.end() && exchange->workHandle != 0)
        found->second.dispatcher->cancel(exchange->workHandle, Refusal::NoCapacity);
}

void EntryControl::tick(int liveEntryVms)
{
    this->allotments.tick();
    this->guard.tick(liveEntryVms);
    for (auto& [name, state] : this->services) {
        auto& scheduler = state.dispatcher->scheduler();
        this->allotments.setWaiting(state.slotResource, static_cast<int>(scheduler.waitingCount()));
        state.dispatcher->setSlots(this->allotments.heldUnits(state.slotResource));
        state.dispatcher->backends().tick();
        state.dispatcher->pump();
    }
    if (!this->config)
        return;
    for (const auto& [team, settingsOfTeam] : this->config->teams) {
        std::size_t waiting = 0;
        for (const auto& [name, state] : this->services)
            waiting += state.dispatcher->scheduler().waitingCount(team);
        this->allotments.setWaiting(teamResource(team), static_cast<int>(waiting));
    }
}

void EntryControl::pollPlatform()
{
    if (this->config) {
        this->vmRows.poll();
        this->updateReport();
    }
    if (this->isListingVms)
        return;
    this->isListingVms = true;
    this->platform.vms.list([this](std::optional<std::vector<VmStatus>> list) {
        this->isListingVms = false;
        if (list)
            this->applyVmList(*list);
    });
}

void EntryControl::cancelAll(Refusal reason)
{
    for (auto& [name, state] : this->services) {
        std::vector<WorkHandle> handles;
        handles.reserve(state.exchanges.size());
        for (const auto& [work, exchange] : state.exchanges)
            handles.push_back(work);
        for (const auto work : handles)
            state.dispatcher->cancel(work, reason);
    }
}

std::size_t EntryControl::openRequestCount() const
{
    std::size_t open = 0;
    for (const auto& [name, state] : this->services)
        open += state.dispatcher->activeCount();
    return open;
}

void EntryControl::sendAttempt(const std::string& service, const Attempt& attempt)
{
    const auto& exchange = this->services.at(service).exchanges.at(attempt.work);
    BackendCall call;
    call.server = attempt.server->address;
    call.request = backendRequest(*exchange);
    call.idempotent = attempt.idempotent;
    call.answerTimeout = attempt.answerTimeout;
    this->hooks.callBackend(
        std::move(call), [gate = attempt.gate] { return gate->markSent(); },
        [this, service, work = attempt.work, number = attempt.number](
            BackendResult result) { this->onAttemptEnded(service, work, number, std::move(result)); });
}

void EntryControl::onAttemptEnded(const std::string& service, WorkHandle work, int attempt, BackendResult result)
{
    auto& state = this->services.at(service);
    const auto report = toAttemptReport(result);
    if (report != AttemptReport::Answered)
        this->log.warning("Attempt failed.",
            { { "service", service }, { "reason", result.problem }, { "status", result.response.status } });
    const auto verdict = state.dispatcher->attemptEnded(work, attempt, report);
    if (verdict.deliver) {
        const auto exchange = state.exchanges.at(work);
        state.exchanges.erase(work);
        setAnsweredHeaders(result.response, exchange->id.text());
        this->metrics.record(exchange->team, exchange->workClass,
            { verdict.wait, verdict.run, this->clock.now() - exchange->receivedAt });
        this->guard.recordAnswer(*exchange, result.response);
        exchange->respond(std::move(result.response));
    }
    state.dispatcher->pump();
}

void EntryControl::onWorkEnded(
    const std::string& service, WorkHandle work, Outcome outcome, std::optional<Refusal> refusal)
{
    auto& exchanges = this->services.at(service).exchanges;
    const auto exchange = exchanges.at(work);
    exchanges.erase(work);
    this->guard.endWithoutAnswer(exchange, outcome, refusal.value_or(Refusal::NoCapacity));
}

void EntryControl::refuse(const Exchange& exchange, Refusal refusal)
{
    this->metrics.countRefusal(refusal);
    const auto id = exchange.id.text();
    exchange.respond(toResponse(refusalAnswer(refusal, id), id));
}

Json EntryControl::status() const
{
    Json status = { { "node", this->settings.name }, { "dataCentre", this->settings.dataCentre },
        { "version", this->config ? this->config->version : 0 }, { "openRequests", this->openRequestCount() } };
    for (const auto& [name, state] : this->services) {
        status["services"][name] = { { "waiting", state.dispatcher->scheduler().waitingCount() },
            { "slots", this->allotments.heldUnits(state.slotResource) },
            { "occupied", state.dispatcher->scheduler().occupiedSlots() } };
    }
    if (this->config) {
        for (const auto& [name, team] : this->config->teams) {
            const auto resource = teamResource(name);
            status["teams"][name] = { { "units", this->allotments.heldUnits(resource) },
                { "running", this->allotments.runningCount(resource) }, { "limit", team.limit } };
        }
    }
    return status;
}

} // namespace waxwinglug::io
