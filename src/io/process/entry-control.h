// The control state of the entry daemon: one dispatcher per service, the units this node holds, and the requests in
// between. All functions run on the control thread unless they say otherwise.
#pragma once

#include "io/connection/backend-client.h"
#include "io/process/log.h"
#include "io/request/repeat-guard.h"

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
    std::function<void(BackendCall, BackendClient::Sending, BackendClient::Done)> callBackend;
    // Calls back on the control thread after a delay.
    std::function<void(Duration, std::function<void()>)> callAfter;
    // Sends a message to another entry VM.
    std::function<void(const NodeId& to, const UnitRequest&)> sendUnitRequest;
    std::function<void(const NodeId& to, const UnitLoan&)> sendUnitLoan;
    // Asks the home node of a request what became of it.
    std::function<void(const RequestId&, const std::string& team, RepeatGuardHooks::ResolveHandler)> resolveAtHome;
    // A later process of the same name is known.
    std::function<bool(const NodeId&)> hasNewerIncarnation;
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

    RepeatGuard& duplicateGuard() { return this->guard; }
    Allotments& unitAllotments() { return this->allotments; }
    const VmView& vmView() const { return this->vmRows; }
    // Requests between arrival and answer.
    std::size_t openRequestCount() const;
    // Ends all open requests with their true outcome.
    void cancelAll(Refusal reason);
    // Begins to hand back what this node holds.
    void returnUnits() { this->allotments.leave(); }
    bool hasReturnedUnits() const { return this->allotments.hasLeft(); }
    Json status() const;

private:
    // What lives as long as one service of the configuration.
    struct ServiceState {
        std::shared_ptr<Dispatcher> dispatcher;
        std::unordered_map<WorkHandle, std::shared_ptr<Exchange>> exchanges;
        std::string slotResource; // of the slots of this data centre
        int slotCount = 0;
    };

    RepeatGuardHooks duplicateGuardHooks();
    // Queues a request that may run.
    void submit(const std::shared_ptr<Exchange>& exchange);
    ServiceState& serviceState(const Service& service);
    DispatcherHooks dispatcherHooks(const std::string& service);
    void setBackends(const std::string& service, ServiceState& state);
    void applyVmRow(const std::string& vm);
    void applyVmList(const std::vector<VmStatus>& list);
    bool isGone(const NodeId& node) const;
    // Tells the maintainer what this node has applied and what it runs on VMs that take no new work.
    void updateReport();

    void sendAttempt(const std::string& service, const Attempt& attempt);
    void onAttemptEnded(const std::string& service, WorkHandle work, int attempt, BackendResult result);
    void onWorkEnded(const std::string& service, WorkHandle work, Outcome outcome, std::optional<Refusal> refusal);
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
    VmView vmRows;
    NodeReporter reporter;
    // The platform's list as last read; by name.
    std::map<std::string, VmStatus, std::less<>> vmStatuses;
    std::map<std::string, ServiceState, std::less<>> services;
    RepeatGuard guard;
    Random random;
    bool isListingVms = false;
};

} // namespace waxwinglug::io
