// Structured log: one line per event with a fixed prefix per component and key=value pairs. Each kind of event has a
// limit of lines per second, so that a repeated fault cannot flood the log; dropped lines are counted.
#pragma once

#include <waxwinglug/base.h>
#include <waxwinglug/log-field.h>

#include <cstdint>
#include <initializer_list>
#include <iosfwd>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace waxwinglug {

enum class LogLevel {
    Info,
    Warning,
    Error,
};

// Sets the output of the process; call it once at the start. Lines below `minLevel` are not written. The stream must
// outlive all logging.
void startLogging(std::ostream& output, LogLevel minLevel = LogLevel::Info);
// Like startLogging(), for daemons: a thread writes the lines from a bounded queue, so that a full pipe never blocks
// the caller. Lines are dropped while the queue is full; droppedLineCount() does not include them.
void startQueuedLogging(std::ostream& output, LogLevel minLevel = LogLevel::Info);
// Writes the buffered lines and removes the output that startLogging() or startQueuedLogging() has set.
void stopLogging();

// The log of one component. Thread-safe.
class Log {
public:
    // Default limit for the lines of one event kind per second; further lines of that second are dropped and counted.
    static constexpr int defaultMaxLinesPerSecond = 10;
    // Event kinds beyond this number share one limit, so that generated event texts cannot exhaust the memory.
    static constexpr std::size_t maxEventKinds = 256;

    explicit Log(std::string_view component, Clock clock, int maxLinesPerSecond = defaultMaxLinesPerSecond);

    // `event` is a short fixed text that identifies the kind of event; variable values go into the fields.
    void info(std::string_view event, std::initializer_list<LogField> fields = {});
    void warning(std::string_view event, std::initializer_list<LogField> fields = {});
    void error(std::string_view event, std::initializer_list<LogField> fields = {});

    // Logs the number of dropped lines of each event kind whose current second has ended. Call about once a second.
    void reportDroppedLines();
    // Number of lines dropped by the rate limit since the start.
    std::uint64_t droppedLineCount() const;

private:
    struct EventKind {
        LogLevel level = LogLevel::Info;
        TimePoint windowStart;
        int writtenCount = 0;
        std::uint64_t unreportedDropCount = 0;
    };

    void write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

    const std::string prefix;
    const Clock clock;
    const int maxLinesPerSecond; // of one event kind per second
    mutable std::mutex mutex;
    std::map<std::string, EventKind, std::less<>> eventKinds;
    std::uint64_t droppedTotalCount = 0;
};

} // namespace waxwinglug
