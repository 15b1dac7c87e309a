// Choice of relays by processor and data centre, and of the relay of each server by rendezvous hashing.
#include "job/relay-selection.h"

#include <algorithm>
#include <functional>

namespace waxwinglug {

void to_json(Json& json, const EntryVm& vm) // NOLINT(readability-identifier-naming)
{
    json = { { "data-centre", vm.dataCentre }, { "host", vm.peers.host }, { "port", vm.peers.port },
        { "processor", vm.processorMillicores } };
}

void from_json(const Json& json, EntryVm& vm) // NOLINT(readability-identifier-naming)
{
    vm.dataCentre = json.at("data-centre").get<std::string>();
    vm.peers = { json.at("host").get<std::string>(), json.at("port").get<std::uint16_t>() };
    vm.processorMillicores = json.at("processor").get<int>();
}

RelaySelection::RelaySelection(RelayRules relayRules, std::string leaderName, int millicores)
    : rules(relayRules)
    , leader(std::move(leaderName))
    , leaderMillicores(millicores)
{
}

void RelaySelection::setVm(EntryVm vm)
{
    const auto relay = this->relays.find(vm.name);
    // A VM with another address has been replaced and has to answer first.
    if (relay != this->relays.end() && relay->second.vm != vm)
        relay->second = { vm, false, Duration(0), {} };
    this->vms[vm.name] = std::move(vm);
}

void RelaySelection::removeVm(std::string_view name)
{
    if (const auto vm = this->vms.find(name); vm != this->vms.end())
        this->vms.erase(vm);
    if (const auto relay = this->relays.find(name); relay != this->relays.end())
        this->relays.erase(relay);
}

void RelaySelection::select(std::size_t serverCount)
{
    this->maxServerCount = std::max(this->maxServerCount, serverCount);
    const auto servers = static_cast<std::int64_t>(this->maxServerCount);
    std::map<std::string, std::vector<const EntryVm*>> candidates; // by data centre
    if (servers * 1000 > static_cast<std::int64_t>(this->rules.directServersPerCore) * this->leaderMillicores) {
        for (const auto& [name, vm] : this->vms) {
            if (name != this->leader
                && vm.processorMillicores * 100 >= this->leaderMillicores * this->rules.minProcessorPercent)
                candidates[vm.dataCentre].push_back(&vm);
        }
    }
    for (auto& [dataCentre, vmsThere] : candidates)
        std::ranges::stable_sort(vmsThere, std::greater {}, &EntryVm::processorMillicores);
    // One relay of each data centre in turn, so that the loss of a data centre leaves the others their relays.
    std::map<std::string, Relay, std::less<>> chosen;
    std::int64_t missing = servers * 1000;
    for (std::size_t round = 0; missing > 0; ++round) {
        bool found = false;
        for (const auto& [dataCentre, vmsThere] : candidates) {
            if (round >= vmsThere.size() || chosen.size() >= this->rules.maxRelays)
                continue;
            found = true;
            const auto& vm = *vmsThere[round];
            const auto known = this->relays.find(vm.name);
            chosen.emplace(vm.name, known == this->relays.end() ? Relay { vm, false, Duration(0), {} } : known->second);
            missing -= static_cast<std::int64_t>(this->rules.relayedServersPerCore) * vm.processorMillicores;
        }
        if (!found)
            break;
    }
    this->relays = std::move(chosen);
}

std::vector<EntryVm> RelaySelection::selected() const
{
    std::vector<EntryVm> result;
    result.reserve(this->relays.size());
    for (const auto& [name, relay] : this->relays)
        result.push_back(relay.vm);
    return result;
}

std::vector<EntryVm> RelaySelection::possibleLeaders() const
{
    std::vector<EntryVm> result;
    for (const auto& [name, vm] : this->vms) {
        if (name != this->leader
            && vm.processorMillicores * 100 >= this->leaderMillicores * this->rules.minProcessorPercent)
            result.push_back(vm);
    }
    std::ranges::stable_sort(result, std::greater {}, &EntryVm::processorMillicores);
    return result;
}

void RelaySelection::answered(const std::string& name)
{
    const auto relay = this->relays.find(name);
    if (relay == this->relays.end())
        return;
    relay->second.isUsed = true;
    relay->second.pause = Duration(0);
}

bool RelaySelection::failed(const std::string& name, TimePoint now)
{
    const auto place = this->relays.find(name);
    if (place == this->relays.end())
        return false;
    auto& relay = place->second;
    if (!relay.isUsed && now < relay.pausedUntil)
        return false;
    relay.isUsed = false;
    relay.pause = std::clamp(relay.pause * 2, this->rules.minFailurePause, this->rules.maxFailurePause);
    relay.pausedUntil = now + relay.pause;
    return true;
}

bool RelaySelection::mayCall(const std::string& name, TimePoint now) const
{
    const auto relay = this->relays.find(name);
    return relay != this->relays.end() && now >= relay->second.pausedUntil;
}

const EntryVm* RelaySelection::relayFor(std::string_view server, std::string_view dataCentre) const
{
    const Relay* best = nullptr;
    bool bestIsNear = false;
    std::size_t bestWeight = 0;
    for (const auto& [name, relay] : this->relays) {
        if (!relay.isUsed)
            continue;
        const bool isNear = relay.vm.dataCentre == dataCentre;
        if (best && bestIsNear && !isNear)
            continue;
        // The multiplier (2^64 divided by the golden ratio) spreads the combined hash over all bits.
        const auto weight = (std::hash<std::string_view> {}(server) ^ (std::hash<std::string_view> {}(name) << 1U))
            * 0x9e3779b97f4a7c15ULL;
        if (!best || (isNear && !bestIsNear) || weight > bestWeight) {
            best = &relay;
            bestIsNear = isNear;
            bestWeight = weight;
        }
    }
    return best ? &best->vm : nullptr;
}

} // namespace waxwinglug
