// The control state of the entry daemon: one dispatcher per service, the units this node holds, and the requests in
// between. All functions run on the control thread unless they say otherwise.
#pragma once

#include "io/connection/backend-client.h"
#include "io/process/log.h"
#include "io/request/duplicate-guard.h"

#include <waxwinglug/allotments.h>
#include <waxwinglug/dispatcher.h>
#include <waxwinglug/metrics.h>
#include <waxwinglug/node-reporter.h>
#include <waxwinglug/settings.h>
#include <waxwinglug/vm-rows.h>

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace waxwinglug::io {

struct EntryControlHooks {
    // Sends an attempt to a backend server; `done` runs on the control thread.
    std::function<void(BackendCall, BackendClient::BeforeSend, BackendClient::Done)> call;
    // Calls back on the control thread after a delay.
    std::function<void(Duration, std::function<void()>)> after;
    // Sends a message to another entry VM.
    std::function<void(const NodeId& to, const UnitRequest&)> sendUnitRequest;
    std::function<void(const NodeId& to, const UnitLoan&)> sendUnitLoan;
    // Asks the home node of a request what became of it.
    std::function<void(const RequestId&, const std::string& team, DuplicateGuardHooks::ResolveHandler)> resolveAtHome;
    // A later process of the same name is known.
    std::function<bool(const NodeId&)> newerIncarnation;
};

class EntryControl {
public:
    EntryControl(const EntrySettings& settings, const NodeId& self, Clock clock, Platform platform, Metrics& metrics,
        EntryControlHooks hooks);

    // Takes a checked request.
    void accept(const std::shared_ptr<Exchange>& exchange);
    void cancel(const std::shared_ptr<Exchange>& exchange);
    void applyConfig(std::shared_ptr<const Config> config);
    // Starts what may start. Called about every 50 ms.
    void tick(int liveEntryVms);
    // Reads the VM list and the VM journal. Called about once a second.
    void pollPlatform();

    DuplicateGuard& repeats() { return this->guard; }
    Allotments& units() { return this->allotments; }
    const VmView& vmView() const { return this->vms; }
    // Requests between arrival and answer.
    std::size_t openRequests() const;
    // Ends all open requests with their true outcome.
    void endAll(Refusal reason);
    // Begins to hand back what this node holds.
    void leave() { this->allotments.leave(); }
    bool left() const { return this->allotments.hasLeft(); }
    Json status() const;

private:
    // What lives as long as one service of the configuration.
    struct ServiceState {
        std::shared_ptr<Dispatcher> dispatcher;
        std::unordered_map<WorkHandle, std::shared_ptr<Exchange>> exchanges;
        std::string slotResource; // of the slots of this data centre
        int slots = 0;
    };

    DuplicateGuardHooks guardHooks();
    // Queues a request that may run.
    void submit(const std::shared_ptr<Exchange>& exchange);
    ServiceState& serviceState(const Service& service);
    DispatcherHooks dispatcherHooks(const std::string& service);
    void setBackends(const std::string& service, ServiceState& state);
    void applyVmRow(const std::string& vm);
    void applyVmList(const std::vector<VmStatus>& list);
    bool isGone(const NodeId& node) const;
    // Tells the maintainer what this node has applied and what it runs on VMs that take no new work.
    void report();

    void send(const std::string& service, const Attempt& attempt);
    void attemptEnded(const std::string& service, WorkHandle work, int attempt, BackendResult result);
    void ended(const std::string& service, WorkHandle work, Outcome outcome, std::optional<Refusal> refusal);
    void refuse(const Exchange& exchange, Refusal refusal);

    const EntrySettings settings;
    Clock clock;
    const NodeId self;
    Platform platform;
    Metrics& metrics;
    EntryControlHooks hooks;
    Log log;
    std::shared_ptr<const Config> config;
    Allotments allotments;
    VmView vms;
    NodeReporter reporter;
    // The platform's list as last read; by name.
    std::map<std::string, VmStatus, std::less<>> listed;
    std::map<std::string, ServiceState, std::less<>> services;
    DuplicateGuard guard;
    Random random;
    bool listing = false;
};

} // namespace waxwinglug::io
