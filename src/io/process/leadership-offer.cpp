// Requests between the leader and its possible successors.
#include "io/process/leadership-offer.h"

#include <algorithm>
#include <charconv>

namespace waxwinglug::io {
namespace {

    // The body of both requests is the number of the term.
    constexpr const char* offerTarget = "/leadership/offer";
    constexpr const char* takeTarget = "/leadership/take";
    constexpr std::size_t vmsPerOffer = 3;
    // An answer takes a round trip between data centres.
    constexpr Duration requestTimeout { 250 };
    constexpr Duration offerInterval { 300 };
    constexpr int lane = 4;

    std::uint64_t parseFence(std::string_view text)
    {
        std::uint64_t fence = 0; // no term has this number
        std::from_chars(text.data(), text.data() + text.size(), fence);
        return fence;
    }

    HttpRequest makeFenceRequest(const char* target, std::uint64_t fence)
    {
        return { "POST", target, { { "Content-Type", "text/plain" } }, std::to_string(fence) };
    }

} // namespace

LeadershipOffer::LeadershipOffer(
    AsyncHttpClient& httpClient, Clock source, std::uint64_t termFence, LeadershipOfferHooks offerHooks)
    : client(httpClient)
    , clock(std::move(source))
    , fence(termFence)
    , hooks(std::move(offerHooks))
{
}

void LeadershipOffer::offer(const std::vector<EntryVm>& vms)
{
    if (this->isHandedOver || vms.empty() || this->clock.now() < this->nextOfferAt)
        return;
    this->nextOfferAt = this->clock.now() + offerInterval;
    for (std::size_t count = 0; count < std::min(vmsPerOffer, vms.size()); ++count) {
        const auto& vm = vms[this->nextVm++ % vms.size()];
        this->client.call(vm.peers, makeFenceRequest(offerTarget, this->fence), { requestTimeout, lane, 1 },
            [weak = this->weak_from_this(), vm](const CallResult& result) {
                const auto self = weak.lock();
                if (self && result.status == CallStatus::Answered && result.response.status == 200)
                    self->onAccepted(vm);
            });
    }
}

void LeadershipOffer::onAccepted(const EntryVm& successor)
{
    if (this->isHandedOver || !this->hooks.mayHandOver())
        return;
    this->isHandedOver = true;
    this->hooks.stopLeading(successor.name);
    this->client.call(successor.peers, makeFenceRequest(takeTarget, this->fence), { requestTimeout, lane, 1 },
        [log = this->hooks.log, name = successor.name](const CallResult& result) {
            // The heartbeat timeout has the same effect later.
            if (result.status != CallStatus::Answered || result.response.status != 200)
                log("successor does not confirm the leadership", { { "successor", name } });
        });
}

bool answerLeadershipRequest(Leadership& leadership, const HttpRequest& request, const Respond& respond,
    const std::function<void()>& acquire, const LogHook& log)
{
    if (request.target == offerTarget) {
        respond({ leadership.acceptsLeadership(parseFence(request.body)) ? 200 : 409, {}, "" });
        return true;
    }
    if (request.target != takeTarget)
        return false;
    const auto fence = parseFence(request.body);
    const bool isLatest = leadership.takeOver(fence);
    log("leadership is received", { { "fence", fence }, { "latest", isLatest } });
    respond({ isLatest ? 200 : 409, {}, "" });
    if (isLatest)
        acquire();
    return true;
}

} // namespace waxwinglug::io
