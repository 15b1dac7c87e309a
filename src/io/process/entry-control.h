// Control state of the entry daemon: one dispatcher per service, the units this node holds, and the requests that have
// arrived but have no response yet. Not thread-safe: all functions run on the control thread.
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
    // Sends an attempt to a backend server. The completion handler runs on the control thread.
    std::function<void(BackendCall, BackendClient::BeforeSend, BackendClient::Done)> callBackend;
    // Runs the function on the control thread after the delay.
    std::function<void(Duration, std::function<void()>)> callAfter;
    // Send a message to another entry VM. Delivery is not guaranteed.
    std::function<void(const NodeId& to, const UnitRequest&)> sendUnitRequest;
    std::function<void(const NodeId& to, const UnitLoan&)> sendUnitLoan;
    // Asks the home node of a request for its outcome.
    std::function<void(const RequestId&, const std::string& team, DuplicateGuardHooks::ResolveHandler)> resolveAtHome;
    // Returns whether a later incarnation of the same node is known.
    std::function<bool(const NodeId&)> hasNewerIncarnation;
};

class EntryControl {
public:
    EntryControl(const EntrySettings& settings, const NodeId& self, Clock clock, Platform platform, Metrics& metrics,
        EntryControlHooks hooks);

    // Takes a request that has been authorized.
    void accept(const std::shared_ptr<Exchange>& exchange);
    // Cancels a request whose caller has closed its connection.
    void cancel(const std::shared_ptr<Exchange>& exchange);
    void applyConfig(std::shared_ptr<const Config> config);
    // Renews unit allotments, retries claims and dispatches waiting requests. Called about every 50 ms.
    void tick(int liveEntryVms);
    // Starts to read the VM list and the VM journal, and updates this node's report. Called about once per second.
    void pollPlatform();

    DuplicateGuard& duplicateGuard() { return this->guard; }
    Allotments& unitAllotments() { return this->allotments; }
    const VmView& vmView() const { return this->vmRows; }
    // Number of requests that a dispatcher has accepted and not yet completed.
    std::size_t openRequestCount() const;
    // Cancels all active requests. Each gets the outcome that is known of it: not run or unknown.
    void cancelAll(Refusal reason);
    // Starts to return all units of this node; no request starts afterwards. hasReturnedUnits() becomes true when no
    // request runs and the allotment rows no longer list this node.
    void returnUnits() { this->allotments.leave(); }
    bool hasReturnedUnits() const { return this->allotments.hasLeft(); }
    Json status() const;

private:
    // State of one service of the configuration.
    struct ServiceState {
        std::shared_ptr<Dispatcher> dispatcher;
        std::unordered_map<WorkHandle, std::shared_ptr<Exchange>> exchanges;
        std::string slotResource; // allotment resource for the service's slots in this data centre
        int slotCount = 0;
    };

    DuplicateGuardHooks duplicateGuardHooks();
    // Queues a request that the duplicate guard has admitted.
    void submit(const std::shared_ptr<Exchange>& exchange);
    ServiceState& serviceState(const Service& service);
    DispatcherHooks dispatcherHooks(const std::string& service);
    void setBackends(const std::string& service, ServiceState& state);
    void applyVmRow(const std::string& vm);
    void applyVmList(const std::vector<VmStatus>& list);
    bool isGone(const NodeId& node) const;
    // Reports to the maintainer the journal sequence that this node has applied and the requests that it still runs on
    // VMs without new work.
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
    // Result of the last VM list read, by VM name.
    std::map<std::string, VmStatus, std::less<>> vmStatuses;
    std::map<std::string, ServiceState, std::less<>> services;
    DuplicateGuard guard;
    Random random;
    bool isListingVms = false; // a VM list read is in progress
};

} // namespace waxwinglug::io
