// Log output over Boost.Log.
#include "io/process/log.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include <fmt/chrono.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <optional>
#include <ostream>
#include <vector>

namespace waxwinglug {
namespace {

    using Backend = boost::log::sinks::text_ostream_backend;
    using SynchronousSink = boost::log::sinks::synchronous_sink<Backend>;
    // Lines queued while the output is slow, about 1 MB; further ones are dropped.
    constexpr std::size_t maxQueuedLines = 4000;
    using QueuedSink = boost::log::sinks::asynchronous_sink<Backend,
        boost::log::sinks::bounded_fifo_queue<maxQueuedLines, boost::log::sinks::drop_on_overflow>>;

    std::string_view levelName(LogLevel level)
    {
        switch (level) {
        case LogLevel::Info:
            return "info";
        case LogLevel::Warning:
            return "warning";
        case LogLevel::Error:
            return "error";
        }
        return "";
    }

    // Quotes and escapes a value where needed, so that external text cannot start a new line or break the key=value
    // format.
    std::string quoteIfNeeded(std::string_view value)
    {
        const auto isPlain = [](char c) { return c > ' ' && c != '"' && c != '=' && c != '\\' && c != '\x7f'; };
        if (!value.empty() && std::ranges::all_of(value, isPlain))
            return std::string(value);
        std::string text = "\"";
        for (const char c : value) {
            if (c == '"' || c == '\\')
                text.append(1, '\\').append(1, c);
            else if ((c >= 0 && c < ' ') || c == '\x7f')
                text += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
            else
                text += c;
        }
        return text + '"';
    }

    std::string formatLineStart(WallTime time, LogLevel level, std::string_view prefix)
    {
        // fmt 9 does not format fractions of a second.
        const auto milliseconds = time.time_since_epoch().count() % 1000;
        return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {}: ", std::chrono::floor<std::chrono::seconds>(time),
            milliseconds, levelName(level), prefix);
    }

    void emit(LogLevel level, const std::string& line)
    {
        boost::log::sources::severity_logger<LogLevel> logger(level);
        BOOST_LOG_SEV(logger, level) << line;
    }

    // Function that flushes and removes the current output; empty while there is none.
    std::function<void()>& outputShutdown()
    {
        static std::function<void()> shutdown;
        return shutdown;
    }

    boost::shared_ptr<Backend> makeBackend(std::ostream& output)
    {
        auto backend = boost::make_shared<Backend>();
        backend->add_stream(boost::shared_ptr<std::ostream>(&output, boost::null_deleter()));
        // Lines that have reached the backend are not lost when the process is killed.
        backend->auto_flush(true);
        return backend;
    }

    template <typename Sink> void addSink(const boost::shared_ptr<Sink>& sink, LogLevel minLevel)
    {
        sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
        sink->set_filter(boost::log::expressions::attr<LogLevel>("Severity") >= minLevel);
        boost::log::core::get()->add_sink(sink);
    }

} // namespace

void startLogging(std::ostream& output, LogLevel minLevel)
{
    stopLogging();
    const auto sink = boost::make_shared<SynchronousSink>(makeBackend(output));
    addSink(sink, minLevel);
    outputShutdown() = [sink] {
        boost::log::core::get()->remove_sink(sink);
        sink->flush();
    };
}

void startQueuedLogging(std::ostream& output, LogLevel minLevel)
{
    stopLogging();
    const auto sink = boost::make_shared<QueuedSink>(makeBackend(output));
    addSink(sink, minLevel);
    outputShutdown() = [sink] {
        boost::log::core::get()->remove_sink(sink);
        sink->stop();
        sink->flush();
    };
}

void stopLogging()
{
    if (const auto shutdown = std::exchange(outputShutdown(), nullptr))
        shutdown();
}

Log::Log(std::string_view component, Clock source, int lineLimit)
    : prefix(component)
    , clock(std::move(source))
    , maxLinesPerSecond(lineLimit)
{
}

void Log::info(std::string_view event, std::initializer_list<LogField> fields)
{
    this->write(LogLevel::Info, event, fields);
}

void Log::warning(std::string_view event, std::initializer_list<LogField> fields)
{
    this->write(LogLevel::Warning, event, fields);
}

void Log::error(std::string_view event, std::initializer_list<LogField> fields)
{
    this->write(LogLevel::Error, event, fields);
}

void Log::write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    std::uint64_t droppedCount = 0;
    {
        const std::lock_guard lock(this->mutex);
        auto kind = this->eventKinds.find(event);
        if (kind == this->eventKinds.end()) {
            const bool isFull = this->eventKinds.size() >= maxEventKinds;
            kind = this->eventKinds.try_emplace(isFull ? std::string("other events") : std::string(event)).first;
        }
        auto& state = kind->second;
        state.level = std::max(state.level, level);
        const auto now = this->clock.now();
        if (now - state.windowStart >= std::chrono::seconds(1)) {
            state.windowStart = now;
            state.writtenCount = 0;
            droppedCount = std::exchange(state.unreportedDropCount, 0);
        }
        if (state.writtenCount >= this->maxLinesPerSecond) {
            ++state.unreportedDropCount;
            ++this->droppedTotalCount;
            return;
        }
        ++state.writtenCount;
    }
    auto line = formatLineStart(this->clock.wallNow(), level, this->prefix) + std::string(event);
    for (const auto& field : fields)
        line += fmt::format(" {}={}", field.key, quoteIfNeeded(field.value));
    if (droppedCount > 0)
        line += fmt::format(" dropped={}", droppedCount);
    emit(level, line);
}

void Log::reportDroppedLines()
{
    struct Report {
        std::string event;
        LogLevel level;
        std::uint64_t droppedCount;
    };
    std::vector<Report> reports;
    {
        const std::lock_guard lock(this->mutex);
        const auto now = this->clock.now();
        for (auto& [event, kind] : this->eventKinds) {
            if (kind.unreportedDropCount > 0 && now - kind.windowStart >= std::chrono::seconds(1))
                reports.push_back({ event, kind.level, std::exchange(kind.unreportedDropCount, 0) });
        }
    }
    for (const auto& report : reports) {
        emit(report.level,
            fmt::format("{}{} dropped={}", formatLineStart(this->clock.wallNow(), report.level, this->prefix),
                report.event, report.droppedCount));
    }
}

std::uint64_t Log::droppedLineCount() const
{
    const std::lock_guard lock(this->mutex);
    return this->droppedTotalCount;
}

} // namespace waxwinglug
