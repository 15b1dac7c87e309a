// Records how the change to a new leader passes, for one log line.
//
// Everything that is not on time after a leader is lost was lost in one of these phases: its silence until another VM
// acquired leadership, the reading of rows, the wait for relays, or the wait for servers that may still run work of the
// earlier leader. No I/O: the events come in as calls.
#pragma once

#include <waxwinglug/base.h>
#include <waxwinglug/log-field.h>

#include <array>
#include <cstddef>
#include <optional>

namespace waxwinglug {

class TermPhases {
public:
    // `predecessorSeenAt` is when the last sign of the earlier leader was seen, and `acquireSentAt` the start of the
    // attempt that began this term.
    TermPhases(Clock clock, TimePoint predecessorSeenAt, TimePoint acquireSentAt);

    // Each of these is counted when it is first called.
    void rowsRead() { this->setOnce(this->rowsReadAt); }
    // All rows are applied, and orders may be sent.
    void loaded(std::size_t inheritedServers);
    void taskStarted() { this->setOnce(this->firstStartAt); }
    // Number of inherited servers that have not answered.
    void serversUnanswered(std::size_t count);
    // Nothing waits for servers of the earlier leader any more.
    void inheritedWorkReleased() { this->setOnce(this->releasedAt); }
    bool isOver() const { return this->releasedAt.has_value(); }

    // Writes all phases, in milliseconds since the predecessor was last seen; -1: not reached.
    void log(const LogHook& hook, std::uint64_t fence) const;

private:
    // Shares of the inherited servers that have answered, in percent.
    static constexpr std::array<std::size_t, 3> shares { 50, 95, 100 };

    void setOnce(std::optional<TimePoint>& time) const;
    std::int64_t sinceSeen(const std::optional<TimePoint>& time) const;

    const Clock clock;
    const TimePoint predecessorSeenAt;
    const TimePoint acquireSentAt;
    const TimePoint acquiredAt;
    std::optional<TimePoint> rowsReadAt;
    std::optional<TimePoint> loadedAt;
    std::optional<TimePoint> firstStartAt;
    std::optional<TimePoint> releasedAt;
    std::size_t inheritedServers = 0;
    std::array<std::optional<TimePoint>, shares.size()> answeredAt;
};

} // namespace waxwinglug
