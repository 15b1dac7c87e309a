// Encoding of the records of servers in use.
#include "job/server-use.h"

#include <waxwinglug/json.h>

#include <algorithm>

namespace waxwinglug {
namespace {

    constexpr const char* leaseEndField = "leasesEndBy";
    constexpr const char* fenceField = "fence";
    constexpr const char* strayLeaseEndField = "strayLeasesEndBy";

} // namespace

std::string encodeServerUse(const ServerUse& use)
{
    Json json = use.server;
    if (use.leaseEnd) {
        json[leaseEndField] = *use.leaseEnd;
        json[fenceField] = use.fence;
    }
    if (use.strayLeaseEnd)
        json[strayLeaseEndField] = *use.strayLeaseEnd;
    return json.dump();
}

ServerUse decodeServerUse(std::string_view text)
{
    ServerUse use { fromJson<ServerRecord>(text), std::nullopt, 0 };
    const auto json = fromJson<Json>(text);
    const auto end = json.find(leaseEndField);
    const auto fence = json.find(fenceField);
    if (end != json.end() && end->is_number_integer() && fence != json.end() && fence->is_number_unsigned()) {
        use.leaseEnd = end->get<StoreTime>();
        use.fence = fence->get<std::uint64_t>();
    }
    const auto strayEnd = json.find(strayLeaseEndField);
    if (strayEnd != json.end() && strayEnd->is_number_integer())
        use.strayLeaseEnd = strayEnd->get<StoreTime>();
    return use;
}

Duration leaseTimeLeft(StoreTime leaseEnd, StoreTime now, Duration maxLeft)
{
    if (leaseEnd <= now)
        return Duration(0);
    // The difference of two such numbers fits into an unsigned one.
    const auto left = static_cast<std::uint64_t>(leaseEnd) - static_cast<std::uint64_t>(now);
    return Duration(std::min(left, static_cast<std::uint64_t>(maxLeft.count())));
}

} // namespace waxwinglug
