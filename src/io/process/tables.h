// Tables and parts of the scheduler in the platform's store.
// A part processes its transactions one after another, and refuses further ones when those in the queue would take a
// second. The rows of the leader therefore have a part of their own, which callers cannot overload, and callers' jobs
// are spread over several parts.
#pragma once

#include "job/leadership.h"

#include <waxwinglug/fleet-platform.h>

#include <string>
#include <string_view>
#include <vector>

namespace waxwinglug::io::tables {

// Callers' jobs and cancellations, written by every entry VM.
inline constexpr const char* jobs = "job";
// Progress of each job, written by the leader.
inline constexpr const char* progress = "progress";
// Servers that a leader uses or has used.
inline constexpr const char* serverUse = "server-use";
// Machines whose maintenance is completed, by wave, and the initial sizes of the pools.
inline constexpr const char* maintenance = "upkeep";
// Key of the row with the initial pool sizes in this table; the other keys are wave numbers.
inline constexpr const char* poolSizesKey = "pools";
// Entry VMs, each written by its own process after its start.
inline constexpr const char* entryVms = "vm";
inline constexpr const char* entryVmPart = "";
// Number of pending jobs by queue, in a single row (`job/pending-summary.h`).
inline constexpr const char* summary = "summary";
inline constexpr const char* summaryKey = "pending";
// A cancellation has the key of its job with this suffix, so that both are read in one range.
inline constexpr std::string_view cancelSuffix = "/cancel";
// A slow store takes up to 0.4 s for a transaction; eight parts then still accept 20 jobs a second.
inline constexpr unsigned jobPartCount = 8;

inline std::string jobPart(std::string_view job)
{
    return std::to_string(job.empty() ? 0U : static_cast<unsigned char>(job.back()) % jobPartCount);
}

inline RowName jobRow(std::string_view job) { return { jobs, jobPart(job), std::string(job) }; }

inline RowName cancelRow(std::string_view job) { return { jobs, jobPart(job), std::string(job).append(cancelSuffix) }; }

inline std::vector<std::string> allJobParts()
{
    std::vector<std::string> parts;
    parts.reserve(jobPartCount);
    for (unsigned part = 0; part < jobPartCount; ++part)
        parts.push_back(std::to_string(part));
    return parts;
}

} // namespace waxwinglug::io::tables
