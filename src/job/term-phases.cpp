// The times of the phases and their log line.
#include "job/term-phases.h"

#include <utility>

namespace waxwinglug {

TermPhases::TermPhases(Clock source, TimePoint seenAt, TimePoint sentAt)
    : clock(std::move(source))
    , predecessorSeenAt(seenAt)
    , acquireSentAt(sentAt)
    , acquiredAt(clock.now())
{
}

void TermPhases::setOnce(std::optional<TimePoint>& time) const
{
    if (!time)
        time = this->clock.now();
}

void TermPhases::loaded(std::size_t serverCount)
{
    this->setOnce(this->loadedAt);
    this->inheritedServers = serverCount;
}

void TermPhases::serversUnanswered(std::size_t count)
{
    if (!this->loadedAt || count > this->inheritedServers)
        return;
    for (std::size_t index = 0; index < shares.size(); ++index) {
        if ((this->inheritedServers - count) * 100 >= this->inheritedServers * shares[index])
            this->setOnce(this->answeredAt[index]);
    }
}

std::int64_t TermPhases::sinceSeen(const std::optional<TimePoint>& time) const
{
    return time ? (*time - this->predecessorSeenAt).count() : -1;
}

void TermPhases::log(const LogHook& hook, std::uint64_t fence) const
{
    hook("phases of the new term",
        { { "fence", fence }, { "acquire_ms", this->sinceSeen(this->acquireSentAt) },
            { "acquired_ms", this->sinceSeen(this->acquiredAt) }, { "rows_ms", this->sinceSeen(this->rowsReadAt) },
            { "begins_ms", this->sinceSeen(this->loadedAt) }, { "first_start_ms", this->sinceSeen(this->firstStartAt) },
            { "servers", this->inheritedServers }, { "answered_50_ms", this->sinceSeen(this->answeredAt[0]) },
            { "answered_95_ms", this->sinceSeen(this->answeredAt[1]) },
            { "answered_100_ms", this->sinceSeen(this->answeredAt[2]) },
            { "released_ms", this->sinceSeen(this->releasedAt) } });
}

} // namespace waxwinglug
