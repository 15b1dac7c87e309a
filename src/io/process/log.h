// Structured log lines: one line per event with a fixed prefix per component and key=value pairs. A fault that repeats
// the same event cannot flood the log: each event kind has a limit per second, and dropped lines are counted.
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

// Sets up the process-wide output; call once at start. Lines below `minLevel` are not written. The stream must outlive
// all logging.
void startLogging(std::ostream& output, LogLevel minLevel = LogLevel::Info);
// The same for daemons: a thread writes the lines from a bounded queue, so that a full pipe never holds up the caller.
// Lines that find the queue full are lost.
void startQueuedLogging(std::ostream& output, LogLevel minLevel = LogLevel::Info);
// Ends the output that startLogging() set up and writes out what is buffered.
void stopLogging();

// The log of one component. All functions may be called from several threads.
class Log {
public:
    // Usual bound on the lines of one event kind per second; further lines of that second are counted and dropped.
    static constexpr int defaultMaxLinesPerSecond = 10;
    // Further event kinds share one limit, so that generated event texts cannot fill the memory.
    static constexpr std::size_t maxEventKinds = 256;

    explicit Log(std::string_view component, Clock clock, int maxLinesPerSecond = defaultMaxLinesPerSecond);

    // `event` is a fixed short sentence and identifies the kind; what varies goes into the fields.
    void info(std::string_view event, std::initializer_list<LogField> fields = {});
    void warning(std::string_view event, std::initializer_list<LogField> fields = {});
    void error(std::string_view event, std::initializer_list<LogField> fields = {});

    // Writes a line for each kind whose lines were dropped in a second that is over. Call about once a second.
    void reportDroppedLines();
    // Lines dropped since the start.
    std::uint64_t droppedLineCount() const;

private:
    struct Kind {
        LogLevel level = LogLevel::Info;
        TimePoint windowStart;
        int written = 0;
        std::uint64_t dropped = 0; // not yet reported
    };

    void write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

    const std::string prefix;
    const Clock clock;
    const int maxLinesPerSecond; // of one event kind per second
    mutable std::mutex mutex;
    std::map<std::string, Kind, std::less<>> kinds;
    std::uint64_t droppedTotal = 0;
};

} // namespace waxwinglug
