// Hands leadership to another entry VM when the store refuses the leader but not the others.
//
// Without it the others wait until the heartbeat has timed out. The leader first asks which VM reaches the store, stops
// leading, and only then tells that VM, so that the two never act at the same time. A message that is lost or delayed
// does no harm: it names the term, and after a later term has begun it has no effect.
#pragma once

#include "io/connection/async-http-client.h"
#include "io/connection/caller-server.h"
#include "job/leadership.h"
#include "job/relay-selection.h"

#include <waxwinglug/log-field.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace waxwinglug::io {

struct LeadershipOfferHooks {
    // The leader still has the reason for its offer.
    std::function<bool()> mayHandOver;
    // Ends the term in this process; no order is sent afterwards.
    std::function<void(const std::string& successor)> stopLeading;
    LogHook log;
};

// The leader's side. Lives for one term.
class LeadershipOffer : public std::enable_shared_from_this<LeadershipOffer> {
public:
    LeadershipOffer(AsyncHttpClient& client, Clock clock, std::uint64_t fence, LeadershipOfferHooks hooks);

    // Asks a few of these VMs, the next ones with each call. Does nothing while earlier questions are open.
    void offer(const std::vector<EntryVm>& vms);

private:
    void onAccepted(const EntryVm& successor);

    AsyncHttpClient& client;
    const Clock clock;
    const std::uint64_t fence;
    const LeadershipOfferHooks hooks;
    TimePoint nextOfferAt;
    std::size_t nextVm = 0;
    bool isHandedOver = false;
};

// The other side: answers a leader's request. Returns false if the request is not about leadership; `acquire` is called
// when this VM is to acquire leadership now.
bool answerLeadershipRequest(Leadership& leadership, const HttpRequest& request, const Respond& respond,
    const std::function<void()>& acquire, const LogHook& log);

} // namespace waxwinglug::io
