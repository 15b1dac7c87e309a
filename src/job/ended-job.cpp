// Encoding of the rows of ended jobs.
#include "job/ended-job.h"

namespace waxwinglug {
namespace {

    // Distinguishes these values from jobs, whose objects hold other fields.
    constexpr std::string_view prefix = R"({"ended":")";
    constexpr std::string_view suffix = R"("})";

} // namespace

std::string encodeEndedJob(JobStatus finalState)
{
    return std::string(prefix).append(jobStatusName(finalState)).append(suffix);
}

std::optional<JobStatus> decodeEndedJob(std::string_view value)
{
    if (!value.starts_with(prefix) || !value.ends_with(suffix) || value.size() < prefix.size() + suffix.size())
        return std::nullopt;
    value.remove_prefix(prefix.size());
    value.remove_suffix(suffix.size());
    const auto state = parseJobStatus(value);
    return state && isFinal(*state) ? state : std::nullopt;
}

} // namespace waxwinglug
