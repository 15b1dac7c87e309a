// Metrics on top of Boost.Histogram with atomic bins.
#include <waxwinglug/metrics.h>

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <vector>

namespace waxwinglug {
namespace detail {

    namespace histogram = boost::histogram;

    // 0.5 ms is below the network latency between data centres; 120 s is twice the longest default run time. With 18
    // logarithmic bins each bin is twice as wide as the one before, which separates a 2 s deadline from a 4 s one.
    constexpr int binCount = 18;
    constexpr double minBinSeconds = 0.0005;
    constexpr double maxBinSeconds = minBinSeconds * (1 << binCount);

    struct TimeHistogram {
        using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
        using Storage = histogram::dense_storage<histogram::accumulators::count<std::uint64_t, true>>;

        void record(std::chrono::microseconds time)
        {
            const auto microseconds = std::max<std::int64_t>(time.count(), 0);
            this->bins(static_cast<double>(microseconds) / 1e6);
            this->sum.add(static_cast<std::uint64_t>(microseconds));
        }

        histogram::histogram<std::tuple<Axis>, Storage> bins
            = histogram::make_histogram_with(Storage(), Axis(binCount, minBinSeconds, maxBinSeconds));
        Counter sum; // microseconds
    };

    std::string escapeLabel(std::string_view value)
    {
        std::string text;
        for (const char c : value) {
            if (c == '\\' || c == '"')
                text += '\\';
            if (c == '\n')
                text += "\\n";
            else
                text += c;
        }
        return text;
    }

    void append(std::string& text, std::string_view name, std::string_view labels, const TimeHistogram& histogram)
    {
        const auto& axis = histogram.bins.axis();
        std::uint64_t cumulative = 0;
        // Index -1 is the underflow bin.
        for (int bin = -1; bin < binCount; ++bin) {
            cumulative += histogram.bins.at(bin).value();
            fmt::format_to(std::back_inserter(text), "{}_bucket{{{},le=\"{:.6g}\"}} {}\n", name, labels,
                axis.value(bin + 1), cumulative);
        }
        // The count is the sum of the bins read above, so that it is never below a bucket while other threads record.
        cumulative += histogram.bins.at(binCount).value();
        fmt::format_to(std::back_inserter(text), "{0}_bucket{{{1},le=\"+Inf\"}} {2}\n{0}_sum{{{1}}} {3}\n", name,
            labels, cumulative, static_cast<double>(histogram.sum.value()) / 1e6);
        fmt::format_to(std::back_inserter(text), "{}_count{{{}}} {}\n", name, labels, cumulative);
    }

    void appendHead(std::string& text, std::string_view name, std::string_view help, std::string_view type)
    {
        fmt::format_to(std::back_inserter(text), "# HELP {0} {1}\n# TYPE {0} {2}\n", name, help, type);
    }

} // namespace detail

RequestSeries::RequestSeries()
{
    for (auto& histogram : this->histograms)
        histogram = std::make_unique<detail::TimeHistogram>();
}

RequestSeries::~RequestSeries() = default;

void RequestSeries::record(const RequestTimes& times)
{
    this->histograms[0]->record(times.wait);
    this->histograms[1]->record(times.run);
    this->histograms[2]->record(times.total);
}

RequestSeries& Metrics::series(std::string_view team, WorkClass workClass)
{
    const auto index = static_cast<std::size_t>(workClass);
    {
        const std::shared_lock lock(this->seriesMutex);
        const auto found = this->teams.find(team);
        if (found != this->teams.end() && found->second[index])
            return *found->second[index];
    }
    const std::unique_lock lock(this->seriesMutex);
    const bool full = this->teams.size() >= maxTeams && !this->teams.contains(team);
    auto& found = this->teams[full ? std::string("other") : std::string(team)][index];
    if (!found)
        found = std::make_unique<RequestSeries>();
    return *found;
}

Counter& Metrics::counter(std::string_view name, std::string_view help)
{
    const std::lock_guard lock(this->namedMutex);
    auto& named = this->counters[std::string(name)];
    named.help = help;
    return named.counter;
}

void Metrics::setGauge(std::string_view name, std::string_view help, double value)
{
    const std::lock_guard lock(this->namedMutex);
    auto found = this->gauges.find(name);
    if (found == this->gauges.end())
        found = this->gauges.emplace(std::string(name), Gauge { std::string(help), 0 }).first;
    found->second.value = value;
}

std::string Metrics::exposition() const
{
    static constexpr std::array<std::pair<std::string_view, std::string_view>, 3> times {
        { { "waxwing_request_wait_seconds", "Time from the arrival of a request to its dispatch." },
            { "waxwing_request_run_seconds", "Time from the dispatch of a request to its whole answer." },
            { "waxwing_request_total_seconds", "Time from the arrival of a request to its whole answer." } }
    };
    static constexpr std::array<std::string_view, 2> classNames { "interactive", "background" };
    std::string text;
    {
        const std::shared_lock lock(this->seriesMutex);
        for (std::size_t i = 0; i < times.size(); ++i) {
            detail::appendHead(text, times[i].first, times[i].second, "histogram");
            for (const auto& [team, classes] : this->teams) {
                const auto label = detail::escapeLabel(team);
                for (std::size_t c = 0; c < classes.size(); ++c) {
                    if (classes[c])
                        detail::append(text, times[i].first,
                            fmt::format("team=\"{}\",class=\"{}\"", label, classNames[c]), *classes[c]->histograms[i]);
                }
            }
        }
    }
    detail::appendHead(text, "waxwing_refused_total", "Requests that were refused and did not run.", "counter");
    for (std::size_t i = 0; i < refusalKindCount; ++i)
        text += fmt::format("waxwing_refused_total{{kind=\"{}\"}} {}\n", refusalInfo(static_cast<Refusal>(i)).name,
            this->refusals[i].value());
    const std::lock_guard lock(this->namedMutex);
    for (const auto& [name, named] : this->counters) {
        const auto full = fmt::format("waxwing_{}_total", name);
        detail::appendHead(text, full, named.help, "counter");
        text += fmt::format("{} {}\n", full, named.counter.value());
    }
    for (const auto& [name, gauge] : this->gauges) {
        const auto full = "waxwing_" + name;
        detail::appendHead(text, full, gauge.help, "gauge");
        text += fmt::format("{} {}\n", full, gauge.value);
    }
    return text;
}

} // namespace waxwinglug
