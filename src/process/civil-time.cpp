// Conversion between UTC and the operators' local time.
#include <waxwinglug/civil-time.h>

#include <algorithm>

namespace waxwinglug {
namespace {

    // Days searched around the current local day. An offset change shifts the local date by up to a day, and a window
    // across midnight starts on the day before.
    constexpr int searchDaysBack = 3;
    constexpr int searchDaysAhead = 366;

} // namespace

std::chrono::minutes CivilClock::utcOffsetAt(WallTime at) const
{
    const auto& changes = this->rules.changes;
    const auto next = std::upper_bound(changes.begin(), changes.end(), at,
        [](WallTime instant, const OffsetChange& change) { return instant < change.at; });
    return next == changes.begin() ? this->rules.offset : std::prev(next)->offset;
}

WallTime CivilClock::toUtc(CivilTime local) const
{
    const auto& changes = this->rules.changes;
    auto offset = this->rules.offset;
    std::optional<WallTime> skippedAt;
    for (const auto& change : changes) {
        const WallTime candidate(local.time_since_epoch() - offset);
        if (candidate < change.at && this->utcOffsetAt(candidate) == offset)
            return candidate;
        if (!skippedAt && candidate >= change.at && CivilTime(change.at.time_since_epoch() + change.offset) > local)
            skippedAt = change.at;
        offset = change.offset;
    }
    const WallTime last(local.time_since_epoch() - offset);
    if (changes.empty() || last >= changes.back().at)
        return last;
    return skippedAt.value_or(changes.back().at);
}

Interval CivilClock::windowOfDay(const Window& window, std::chrono::local_days day) const
{
    const auto endDay = window.end <= window.start ? day + std::chrono::days(1) : day;
    const auto start = this->toUtc(CivilTime(day) + window.start);
    // Two opposite clock changes within a day can place the end before the start; the window is then empty.
    return { start, std::max(start, this->toUtc(CivilTime(endDay) + window.end)) };
}

std::optional<Interval> CivilClock::nextWindow(const Window& window, WallTime from) const
{
    const auto today = std::chrono::floor<std::chrono::days>(this->toLocal(from));
    std::optional<Interval> first;
    for (int day = -searchDaysBack; day <= searchDaysAhead; ++day) {
        const auto interval = this->windowOfDay(window, today + std::chrono::days(day));
        if (interval.start == interval.end || interval.end <= from)
            continue;
        if (!first || interval.start < first->start)
            first = interval;
        // Windows of later days start later, except around a clock change, which searchDaysBack covers.
        if (day >= searchDaysBack)
            break;
    }
    return first;
}

Duration CivilClock::timeLeftInWindow(const Window& window, WallTime at) const
{
    const auto interval = this->nextWindow(window, at);
    return interval && interval->contains(at) ? interval->end - at : Duration(0);
}

WallTime CivilClock::nextTimeOfDay(std::chrono::minutes sinceMidnight, WallTime from) const
{
    const auto today = std::chrono::floor<std::chrono::days>(this->toLocal(from));
    auto first = WallTime::max();
    for (int day = -searchDaysBack; day <= searchDaysBack; ++day) {
        const auto at = this->toUtc(CivilTime(today + std::chrono::days(day)) + sinceMidnight);
        if (at > from)
            first = std::min(first, at);
    }
    return first;
}

bool nextWindowChanges(const ClockRules& before, const ClockRules& after, const Window& window, WallTime from)
{
    return CivilClock(before).nextWindow(window, from) != CivilClock(after).nextWindow(window, from);
}

} // namespace waxwinglug
