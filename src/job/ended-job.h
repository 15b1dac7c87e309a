// The value that replaces the row of a job that has ended. The row must stay, so that a job submitted again with the
// same id is not run again, but a new leader reads the rows of all jobs, and most of them have ended.
//
// Invariant: such a value is stored only after the job's final state, so it is never the only sign of work to be done.
#pragma once

#include <waxwinglug/work.h>

#include <optional>
#include <string>
#include <string_view>

namespace waxwinglug {

std::string encodeEndedJob(JobStatus finalState);
// Returns the final state, or nothing for the value of a job that may not have ended.
std::optional<JobStatus> decodeEndedJob(std::string_view value);

} // namespace waxwinglug
