// Text form and age of the numbers of pending jobs.
#include "job/pending-summary.h"

#include <waxwinglug/json.h>

namespace waxwinglug {

std::string encodePendingSummary(const PendingSummary& summary)
{
    return Json { { "pending", summary.jobsByQueue }, { "as_of", summary.asOf }, { "fence", summary.fence } }.dump();
}

std::optional<PendingSummary> decodePendingSummary(std::string_view text)
{
    try {
        const auto json = Json::parse(text);
        return PendingSummary { json.at("pending").get<std::map<std::string, int>>(), json.at("as_of").get<StoreTime>(),
            json.at("fence").get<std::uint64_t>() };
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

std::optional<Duration> ageAt(const PendingSummary& summary, std::optional<StoreTime> moment)
{
    if (!moment || *moment < summary.asOf)
        return std::nullopt;
    return Duration(*moment - summary.asOf);
}

} // namespace waxwinglug
