// Moore-Hodgson selection by remaining work.
#include "job/on-time-selection.h"

#include <algorithm>
#include <numeric>
#include <queue>

namespace waxwinglug {

std::vector<bool> selectOnTimeJobs(std::span<const OnTimeCandidate> jobs, std::int64_t processor)
{
    std::vector<bool> chosen(jobs.size(), false);
    if (processor <= 0)
        return chosen;
    std::vector<std::size_t> order(jobs.size());
    std::iota(order.begin(), order.end(), std::size_t(0));
    std::ranges::stable_sort(order, {}, [&jobs](std::size_t index) { return jobs[index].timeLeft; });
    // Heap with the job with the most work on top.
    const auto smaller = [&jobs](std::size_t left, std::size_t right) { return jobs[left].work < jobs[right].work; };
    std::priority_queue<std::size_t, std::vector<std::size_t>, decltype(smaller)> largest(smaller);
    std::int64_t work = 0;
    for (const auto index : order) {
        const auto& job = jobs[index];
        if (job.criticalPath > job.timeLeft)
            continue; // cannot be on time even if it runs alone
        chosen[index] = true;
        largest.push(index);
        work += job.work;
        while (work / processor > job.timeLeft.count()) {
            const auto dropped = largest.top();
            largest.pop();
            chosen[dropped] = false;
            work -= jobs[dropped].work;
        }
    }
    return chosen;
}

} // namespace waxwinglug
