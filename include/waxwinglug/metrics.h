// Metrics of a daemon: histograms of wait, run and total time per team and class, counters and gauges, rendered in the
// text exposition format. Does not expose Boost.Histogram.
#pragma once

#include <waxwinglug/base.h>
#include <waxwinglug/config.h>
#include <waxwinglug/request.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <string_view>

namespace waxwinglug {

// Durations of one request. Requests that never ran are not recorded, because they have no run time.
struct RequestTimes {
    std::chrono::microseconds wait { 0 };
    std::chrono::microseconds run { 0 };
    std::chrono::microseconds total { 0 };
};

namespace detail {
    struct TimeHistogram;
}

// Histograms of one team and class. Owned by Metrics; references stay valid for its lifetime.
class RequestSeries {
public:
    RequestSeries();
    ~RequestSeries();

    // Lock-free and without allocation; may be called from several threads.
    void record(const RequestTimes& times);

private:
    friend class Metrics;
    std::array<std::unique_ptr<detail::TimeHistogram>, 3> histograms; // wait, run, total
};

// Monotonic counter. Owned by Metrics; references stay valid for its lifetime.
class Counter {
public:
    void add(std::uint64_t amount = 1) { this->number.fetch_add(amount, std::memory_order_relaxed); }
    std::uint64_t value() const { return this->number.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> number { 0 };
};

// All functions may be called from several threads.
class Metrics {
public:
    // Teams beyond this number share the team label "other", which bounds the memory for labels.
    static constexpr std::size_t maxTeams = 256;

    // Returns the histograms of a team and class. Callers on the request path should keep the reference.
    RequestSeries& series(std::string_view team, WorkClass workClass);
    void record(std::string_view team, WorkClass workClass, const RequestTimes& times)
    {
        this->series(team, workClass).record(times);
    }

    void countRefusal(Refusal kind) { this->refusals[static_cast<std::size_t>(kind)].add(); }
    std::uint64_t refusalCount(Refusal kind) const { return this->refusals[static_cast<std::size_t>(kind)].value(); }

    // Returns the counter `waxwing_<name>_total`; callers should keep the reference. Name and help text are constants:
    // the name in [a-z_], the help text on one line.
    Counter& counter(std::string_view name, std::string_view help);
    // Sets the gauge `waxwing_<name>`.
    void setGauge(std::string_view name, std::string_view help, double value);

    // Returns all metrics in the text exposition format, version 0.0.4.
    std::string exposition() const;

private:
    struct NamedCounter {
        std::string help;
        Counter counter;
    };
    struct Gauge {
        std::string help;
        double value = 0;
    };
    using TeamSeries = std::array<std::unique_ptr<RequestSeries>, 2>; // by class; null until first used

    mutable std::shared_mutex seriesMutex;
    std::map<std::string, TeamSeries, std::less<>> teams;
    std::array<Counter, refusalKindCount> refusals;
    mutable std::mutex namedMutex;
    std::map<std::string, NamedCounter, std::less<>> counters;
    std::map<std::string, Gauge, std::less<>> gauges;
};

} // namespace waxwinglug
