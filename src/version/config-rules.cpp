// The keys of each section of a document.
#include "version/config-rules.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <optional>

namespace waxwinglug::detail {
namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t hashDigitCount = 64; // 32 bytes in hexadecimal
    constexpr int maxSlots = 10'000;
    constexpr int maxVms = 100'000;
    constexpr double maxWeight = 1'000'000;

    template <typename T> KeyRule<T> nameRule(std::string_view key, std::string T::*member, bool required)
    {
        const auto set = [member](T& object, const std::string& value) {
            object.*member = value;
            return isValidName(value);
        };
        return { key, "write one name of letters, digits, '.', '_' and '-'", set, required };
    }

    template <typename T> KeyRule<T> namesRule(std::string_view key, std::vector<std::string> T::*member)
    {
        const auto set = [member](T& object, const std::string& value) {
            auto names = parseList(value);
            const bool valid = !names.empty() && std::all_of(names.begin(), names.end(), isValidName);
            std::vector<std::string> sorted = names;
            std::sort(sorted.begin(), sorted.end());
            const bool unique = std::adjacent_find(sorted.begin(), sorted.end()) == sorted.end();
            object.*member = std::move(names);
            return valid && unique;
        };
        return { key, "write names separated by commas, each once", set, true };
    }

    template <typename T> KeyRule<T> integerRule(std::string_view key, int T::*member, int min, int max)
    {
        const auto set = [member, min, max](T& object, const std::string& value) {
            const auto number = parseInteger(value, min, max);
            object.*member = static_cast<int>(number.value_or(object.*member));
            return number.has_value();
        };
        return { key, fmt::format("write a whole number from {} to {}", min, max), set };
    }

    template <typename T> KeyRule<T> durationRule(std::string_view key, Duration T::*member, Duration min, Duration max)
    {
        const auto set = [member, min, max](T& object, const std::string& value) {
            const auto duration = parseDuration(value);
            if (!duration || *duration < min || *duration > max)
                return false;
            object.*member = *duration;
            return true;
        };
        return { key,
            fmt::format("write a duration such as 250ms, 2s, 5m or 8h, from {}ms to {}ms", min.count(), max.count()),
            set };
    }

    template <typename T> KeyRule<T> flagRule(std::string_view key, bool T::*member)
    {
        const auto set = [member](T& object, const std::string& value) {
            const auto flag = parseFlag(value);
            object.*member = flag.value_or(object.*member);
            return flag.has_value();
        };
        return { key, "write yes or no", set };
    }

    template <typename T, typename E>
    KeyRule<T> choiceRule(
        std::string_view key, E T::*member, std::string_view firstName, E first, std::string_view secondName, E second)
    {
        const auto set = [=, firstText = std::string(firstName), secondText = std::string(secondName)](
                             T& object, const std::string& value) {
            object.*member = value == secondText ? second : first;
            return value == firstText || value == secondText;
        };
        return { key, fmt::format("write {} or {}", firstName, secondName), set };
    }

    std::optional<double> parseNumber(const std::string& text, double max)
    {
        double number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        // The negated condition also rejects NaN.
        if (error != std::errc {} || end != text.data() + text.size() || !(number >= 0 && number <= max))
            return std::nullopt;
        return number;
    }

    template <typename T> KeyRule<T> numberRule(std::string_view key, double T::*member, double max)
    {
        const auto set = [member, max](T& object, const std::string& value) {
            const auto number = parseNumber(value, max);
            object.*member = number.value_or(object.*member);
            return number.has_value();
        };
        return { key, fmt::format("write a number from 0 to {:g}", max), set };
    }

    // Parses "08:30".
    std::optional<std::chrono::minutes> parseMinutes(std::string_view text, std::chrono::minutes max)
    {
        if (text.size() != 5 || text[2] != ':')
            return std::nullopt;
        const auto hours = parseInteger(text.substr(0, 2), 0, 23);
        const auto minutes = parseInteger(text.substr(3, 2), 0, 59);
        if (!hours || !minutes)
            return std::nullopt;
        const auto sum = std::chrono::hours(*hours) + std::chrono::minutes(*minutes);
        return sum <= max ? std::optional<std::chrono::minutes>(sum) : std::nullopt;
    }

    KeyRule<Window> timeRule(std::string_view key, std::chrono::minutes Window::*member)
    {
        const auto set = [member](Window& window, const std::string& value) {
            const auto time = parseMinutes(value, 23h + 59min);
            window.*member = time.value_or(0min);
            return time.has_value();
        };
        return { key, "write a local time such as 02:30", set, true };
    }

    // Parses "+08:00"; the UTC offsets in use are between -12:00 and +14:00.
    std::optional<std::chrono::minutes> parseOffset(std::string_view text)
    {
        if (text.empty() || (text.front() != '+' && text.front() != '-'))
            return std::nullopt;
        const auto minutes = parseMinutes(text.substr(1), 14h);
        if (!minutes)
            return std::nullopt;
        return text.front() == '-' ? -*minutes : *minutes;
    }

    // Parses "2026-03-29T01:00Z +03:00".
    std::optional<OffsetChange> parseOffsetChange(std::string_view text)
    {
        if (text.size() != 24 || text[4] != '-' || text[7] != '-' || text[10] != 'T' || text.substr(16, 2) != "Z ")
            return std::nullopt;
        const auto year = parseInteger(text.substr(0, 4), 2000, 2200);
        const auto month = parseInteger(text.substr(5, 2), 1, 12);
        const auto day = parseInteger(text.substr(8, 2), 1, 31);
        const auto time = parseMinutes(text.substr(11, 5), 23h + 59min);
        const auto offset = parseOffset(text.substr(18));
        if (!year || !month || !day || !time || !offset)
            return std::nullopt;
        const std::chrono::year_month_day date(std::chrono::year(static_cast<int>(*year)),
            std::chrono::month(static_cast<unsigned>(*month)), std::chrono::day(static_cast<unsigned>(*day)));
        if (!date.ok())
            return std::nullopt;
        return OffsetChange { std::chrono::sys_days(date) + *time, *offset };
    }

    bool setKey(Team& team, const std::string& value)
    {
        const auto colon = value.find(':');
        if (colon == std::string::npos)
            return false;
        TeamKey key { value.substr(0, colon), value.substr(colon + 1) };
        const bool valid = isValidName(key.id) && key.hash.size() == hashDigitCount
            && key.hash.find_first_not_of("0123456789abcdef") == std::string::npos;
        if (valid)
            team.keys.push_back(std::move(key));
        return valid;
    }

    bool setOffset(ClockRules& clock, const std::string& value)
    {
        const auto offset = parseOffset(value);
        clock.offset = offset.value_or(0min);
        return offset.has_value();
    }

    bool addOffsetChange(ClockRules& clock, const std::string& value)
    {
        const auto change = parseOffsetChange(value);
        if (!change)
            return false;
        const auto position = std::lower_bound(clock.changes.begin(), clock.changes.end(), *change,
            [](const OffsetChange& left, const OffsetChange& right) { return left.at < right.at; });
        // Two offsets from the same instant would make the local time ambiguous.
        if (position != clock.changes.end() && position->at == change->at)
            return false;
        clock.changes.insert(position, *change);
        return true;
    }

    bool setAddress(Vm& vm, const std::string& value)
    {
        const auto address = parseEndpoint(value);
        vm.address = address.value_or(Endpoint {});
        return address.has_value();
    }

    bool setBodyLimit(Service& service, const std::string& value)
    {
        const auto size = parseSize(value);
        service.bodyLimitBytes = size.value_or(service.bodyLimitBytes);
        return size && *size > 0 && *size <= (1ULL << 30);
    }

    bool setMinAvailable(Pool& pool, const std::string& value)
    {
        const auto fraction = parseFraction(value);
        pool.minAvailable = fraction.value_or(pool.minAvailable);
        return fraction.has_value();
    }

} // namespace

bool isValidName(std::string_view name)
{
    constexpr std::size_t maxLength = 64;
    return !name.empty() && name.size() <= maxLength
        && name.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-")
        == std::string_view::npos;
}

const KeyRules<Config>& documentRules()
{
    static const KeyRules<Config> rules { nameRule("name", &Config::name, true) };
    return rules;
}

const KeyRules<Service>& serviceRules()
{
    static const KeyRules<Service> rules {
        choiceRule(
            "class", &Service::workClass, "interactive", WorkClass::Interactive, "background", WorkClass::Background),
        flagRule("open", &Service::allowsAnonymous),
        durationRule("deadline", &Service::deadline, 1ms, 24h),
        durationRule("longest-run", &Service::maxRunTime, 1ms, 24h),
        { "body-limit", "write a size such as 64KiB or 1MiB, at most 1GiB", setBodyLimit },
        integerRule("queue-limit", &Service::queueLimit, 1, 1'000'000),
        choiceRule("claims-when-down", &Service::claimsWhenDown, "refuse", ClaimsWhenDown::Refuse, "home-only",
            ClaimsWhenDown::HomeOnly),
    };
    return rules;
}

const KeyRules<Pool>& poolRules()
{
    static const KeyRules<Pool> rules {
        nameRule("service", &Pool::service, true),
        { "min-available", "write a fraction such as 80% or 0.8", setMinAvailable },
        integerRule("max-racks-down", &Pool::maxRacksDown, 0, maxVms),
        integerRule("min-vms", &Pool::minVms, 0, maxVms),
        flagRule("spare", &Pool::isSpare),
    };
    return rules;
}

const KeyRules<Vm>& vmRules()
{
    static const KeyRules<Vm> rules {
        nameRule("pool", &Vm::pool, true),
        nameRule("data-centre", &Vm::dataCentre, true),
        nameRule("rack", &Vm::rack, true),
        { "address", "write an IP address and a port such as 10.0.0.1:9001", setAddress, true },
        integerRule("slots", &Vm::slots, 1, maxSlots),
        integerRule("connections", &Vm::maxConnections, 1, maxSlots),
        integerRule("accelerators", &Vm::accelerators, 0, 64),
    };
    return rules;
}

const KeyRules<Team>& teamRules()
{
    static const KeyRules<Team> rules {
        numberRule("share", &Team::sharePercent, 100),
        integerRule("limit", &Team::limit, 0, 10'000'000),
        namesRule("services", &Team::services),
        { "key", "write an id and the hash that 'waxwingctl key add' stores, as id:hash", setKey, false, true },
    };
    return rules;
}

const KeyRules<Wave>& waveRules()
{
    static const KeyRules<Wave> rules {
        namesRule("pools", &Wave::pools),
        nameRule("window", &Wave::window, true),
        integerRule("pause-after-failures", &Wave::pauseAfterFailures, 1, maxVms),
        durationRule("failure-window", &Wave::failureWindow, 1s, 24h * 7),
    };
    return rules;
}

const KeyRules<Window>& windowRules()
{
    static const KeyRules<Window> rules { timeRule("start", &Window::start), timeRule("end", &Window::end) };
    return rules;
}

const KeyRules<ClockRules>& clockRules()
{
    static const KeyRules<ClockRules> rules {
        { "offset", "write local time minus UTC such as +02:00, at most 14:00", setOffset, true },
        { "change", "write an instant in UTC and the new offset, such as 2026-03-29T01:00Z +03:00, each instant once",
            addOffsetChange, false, true },
    };
    return rules;
}

const KeyRules<Weights>& weightsRules()
{
    static const KeyRules<Weights> rules {
        numberRule("buffer-cost", &Weights::bufferCost, maxWeight),
        numberRule("roll-out-time", &Weights::rollOutTime, maxWeight),
        numberRule("moves", &Weights::moves, maxWeight),
        numberRule("share-error", &Weights::shareError, maxWeight),
    };
    return rules;
}

} // namespace waxwinglug::detail
