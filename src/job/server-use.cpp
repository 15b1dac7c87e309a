// Encoding of the records of servers in use.
#include "job/server-use.h"

#include <waxwinglug/json.h>

#include <algorithm>

namespace waxwinglug {
namespace {

    constexpr const char* leaseEndField = "leasesEndBy";
    constexpr const char* fenceField = "fence";
    constexpr const char* strayLeaseEndField = "strayLeasesEndBy";
    constexpr const char* startsField = "unansweredStarts";

    // A start is [job, occurrence, step, index, run], and the time until which it counts, if that is known.
    Json encodeStart(const StoredStart& start)
    {
        Json json { start.task.job, start.task.occurrence, start.task.step, start.task.index, start.run };
        if (start.endsBy)
            json.push_back(*start.endsBy);
        return json;
    }

    std::optional<StoredStart> decodeStart(const Json& json)
    {
        if (!json.is_array() || json.size() < 5 || !json[0].is_string())
            return std::nullopt;
        const auto isNumber = [](const Json& each) { return each.is_number_integer(); };
        if (!std::all_of(json.begin() + 1, json.end(), isNumber))
            return std::nullopt;
        StoredStart start;
        start.task = { json[0].get<std::string>(), json[1].get<int>(), json[2].get<int>(), json[3].get<int>() };
        start.run = json[4].get<int>();
        if (json.size() > 5)
            start.endsBy = json[5].get<StoreTime>();
        return start;
    }

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
    for (const auto& start : use.unansweredStarts)
        json[startsField].push_back(encodeStart(start));
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
    const auto starts = json.find(startsField);
    if (starts == json.end() || !starts->is_array())
        return use;
    for (const auto& each : *starts) {
        if (auto start = decodeStart(each))
            use.unansweredStarts.push_back(std::move(*start));
    }
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
