// Forecasts when the demand of a service peaks next.
//
// Load pattern: the queues peak in turn, each for some seconds at several times its mean, and the turns repeat. A pool
// that grows when the peak has begun lacks machines for the first two seconds of it, because a move takes 1.5 s. Once
// one service has begun its second peak, the length of the cycle is known, and the others are expected one cycle after
// their last peak.
#pragma once

#include <waxwinglug/base.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace waxwinglug {

struct PeakForecastRules {
    // Window over which the rate of arriving work is measured.
    Duration window { 600 };
    // A peak begins above this percentage of the mean rate and ends below the mean rate.
    int peakPercent = 200;
    // Observed time before the first peak can be told from the mean.
    Duration minHistory { 3000 };
    // Shorter peaks are bursts, which do not repeat.
    Duration minPeak { 1500 };
    Duration minCycle { 6000 };
    Duration maxCycle { std::chrono::minutes(2) };
};

struct ExpectedPeak {
    TimePoint beginsAt;
    // Arriving work per millisecond in the latest peak, in thousandths of a core.
    std::int64_t millicores = 0;
};

class PeakForecast {
public:
    explicit PeakForecast(PeakForecastRules forecastRules)
        : rules(forecastRules)
    {
    }

    // Work of an arrived job, in thousandths of a core times milliseconds.
    void recordArrival(const std::string& service, std::int64_t work, TimePoint now);
    // Detects the begin and end of peaks. Call several times a second.
    void update(TimePoint now);
    // The next peak of the service, if it can be told. It may have been due a moment ago.
    std::optional<ExpectedPeak> nextPeak(std::string_view service) const;

private:
    struct Arrival {
        TimePoint at;
        std::int64_t work = 0;
    };
    struct Service {
        TimePoint firstAt;
        std::int64_t totalWork = 0;
        std::deque<Arrival> recent;
        std::int64_t recentWork = 0;
        bool isPeaking = false;
        bool isMeasured = false; // the current peak was long enough to tell the cycle
        TimePoint peakBeganAt;
        std::int64_t workAtBegin = 0; // totalWork when the current peak began
        // The latest peak that has ended and was long enough; TimePoint {}: none.
        TimePoint lastPeakBeganAt;
        std::int64_t lastPeakMillicores = 0;
    };

    void beginPeak(Service& service, TimePoint now) const;
    void measureCycle(Service& service);
    void endPeak(Service& service, TimePoint now) const;

    const PeakForecastRules rules;
    std::map<std::string, Service, std::less<>> services;
    Duration cycle { 0 }; // 0: not known yet
};

} // namespace waxwinglug
