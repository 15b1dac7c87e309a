// Detection of peaks and of the length of their cycle.
#include "job/peak-forecast.h"

#include <algorithm>

namespace waxwinglug {

void PeakForecast::recordArrival(const std::string& name, std::int64_t work, TimePoint now)
{
    auto& service = this->services[name];
    if (service.firstAt == TimePoint {})
        service.firstAt = now;
    service.totalWork += work;
    service.recent.push_back({ now, work });
    service.recentWork += work;
}

void PeakForecast::update(TimePoint now)
{
    for (auto& [name, service] : this->services) {
        while (!service.recent.empty() && now - service.recent.front().at > this->rules.window) {
            service.recentWork -= service.recent.front().work;
            service.recent.pop_front();
        }
        const auto observed = now - service.firstAt;
        if (observed < this->rules.minHistory)
            continue;
        const auto rate = service.recentWork / this->rules.window.count();
        const auto mean = service.totalWork / observed.count();
        if (!service.isPeaking && rate * 100 > mean * this->rules.peakPercent)
            this->beginPeak(service, now);
        else if (service.isPeaking && rate < mean)
            this->endPeak(service, now);
        else if (service.isPeaking && !service.isMeasured && now - service.peakBeganAt >= this->rules.minPeak)
            this->measureCycle(service);
    }
}

void PeakForecast::beginPeak(Service& service, TimePoint now) const
{
    service.isPeaking = true;
    service.isMeasured = false;
    // The rate passes the bound about half a window after the demand has risen.
    service.peakBeganAt = now - this->rules.window / 2;
    service.workAtBegin = service.totalWork - service.recentWork;
}

void PeakForecast::measureCycle(Service& service)
{
    service.isMeasured = true;
    if (service.lastPeakBeganAt == TimePoint {})
        return;
    const auto sinceLast = service.peakBeganAt - service.lastPeakBeganAt;
    if (sinceLast >= this->rules.minCycle && sinceLast <= this->rules.maxCycle)
        this->cycle = sinceLast;
}

void PeakForecast::endPeak(Service& service, TimePoint now) const
{
    service.isPeaking = false;
    const auto length = now - service.peakBeganAt;
    if (length < this->rules.minPeak)
        return;
    service.lastPeakBeganAt = service.peakBeganAt;
    service.lastPeakMillicores = (service.totalWork - service.workAtBegin) / length.count();
}

std::optional<ExpectedPeak> PeakForecast::nextPeak(std::string_view name) const
{
    const auto service = this->services.find(name);
    if (this->cycle == Duration(0) || service == this->services.end() || service->second.isPeaking
        || service->second.lastPeakBeganAt == TimePoint {})
        return std::nullopt;
    return ExpectedPeak { service->second.lastPeakBeganAt + this->cycle, service->second.lastPeakMillicores };
}

} // namespace waxwinglug
