// INI reader, and parsers of the values in settings and documents.
#include <waxwinglug/ini.h>

#include "cxxtools/ini-scanner.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <span>
#include <utility>

namespace waxwinglug {
namespace {

    std::string_view trim(std::string_view text)
    {
        const auto first = text.find_first_not_of(" \t\r");
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
    }

    // Returns the first line whose section header has no closing bracket, or 0. The scanner would continue to the next
    // bracket and report a later line.
    int findUnclosedSection(std::string_view text)
    {
        for (int line = 1; !text.empty(); ++line) {
            const auto end = std::min(text.find('\n'), text.size());
            const auto content = trim(text.substr(0, end));
            if (content.starts_with('[') && content.find(']') == std::string_view::npos)
                return line;
            text.remove_prefix(std::min(end + 1, text.size()));
        }
        return 0;
    }

    // A number and its unit, which may be empty.
    struct Quantity {
        std::uint64_t number = 0;
        std::string_view unit;
    };

    std::optional<Quantity> splitQuantity(std::string_view text)
    {
        Quantity quantity;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), quantity.number);
        if (error != std::errc {})
            return std::nullopt;
        quantity.unit = trim(text.substr(static_cast<std::size_t>(end - text.data())));
        return quantity;
    }

    std::optional<std::uint64_t> parseScaled(
        std::string_view text, std::span<const std::pair<std::string_view, std::uint64_t>> units, std::uint64_t max)
    {
        const auto quantity = splitQuantity(trim(text));
        if (!quantity)
            return std::nullopt;
        for (const auto& [unit, factor] : units) {
            if (unit == quantity->unit && quantity->number <= max / factor)
                return quantity->number * factor;
        }
        return std::nullopt;
    }

} // namespace

std::string Problem::message() const
{
    return fmt::format(
        "{}:{}: {} (value '{}'); {}", this->file, this->line, this->description, this->value, this->remedy);
}

std::vector<IniEntry> readIni(std::string_view text, std::string_view file, std::vector<Problem>& problems)
{
    std::vector<IniEntry> entries;
    if (const int line = findUnclosedSection(text)) {
        problems.push_back({ std::string(file), line, "", "section header without ']'", "write [section]" });
        return entries;
    }
    const auto result = detail::scanIni(
        text, [&entries](std::string_view section, std::string_view key, std::string_view value, int line) {
            entries.push_back({ std::string(trim(section)), std::string(trim(key)), std::string(trim(value)), line });
        });
    if (!result.isComplete) {
        problems.push_back({ std::string(file), result.errorLine, "", "not INI syntax in UTF-8",
            "write [section] or key = value, and save the file as UTF-8" });
    }
    return entries;
}

std::optional<Duration> parseDuration(std::string_view text)
{
    static constexpr std::pair<std::string_view, std::uint64_t> units[]
        = { { "ms", 1 }, { "s", 1000 }, { "m", 60'000 }, { "h", 3'600'000 }, { "d", 86'400'000 } };
    // Ten years, so that sums of a few durations cannot overflow.
    constexpr std::uint64_t maxMilliseconds = 10ULL * 365 * 86'400'000;
    const auto milliseconds = parseScaled(text, units, maxMilliseconds);
    return milliseconds ? std::optional(Duration(*milliseconds)) : std::nullopt;
}

std::optional<std::uint64_t> parseSize(std::string_view text)
{
    static constexpr std::pair<std::string_view, std::uint64_t> units[]
        = { { "", 1 }, { "B", 1 }, { "KiB", 1ULL << 10 }, { "MiB", 1ULL << 20 }, { "GiB", 1ULL << 30 } };
    return parseScaled(text, units, 1ULL << 50);
}

std::optional<double> parseFraction(std::string_view text)
{
    text = trim(text);
    const bool percent = !text.empty() && text.back() == '%';
    if (percent)
        text = trim(text.substr(0, text.size() - 1));
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    const double fraction = percent ? number / 100 : number;
    // The negated condition also rejects NaN.
    if (!(fraction >= 0 && fraction <= 1))
        return std::nullopt;
    return fraction;
}

std::optional<std::int64_t> parseInteger(std::string_view text, std::int64_t min, std::int64_t max)
{
    text = trim(text);
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc {} || end != text.data() + text.size() || number < min || number > max)
        return std::nullopt;
    return number;
}

std::optional<bool> parseFlag(std::string_view text)
{
    text = trim(text);
    if (text == "yes")
        return true;
    if (text == "no")
        return false;
    return std::nullopt;
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    text = trim(text);
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    const auto port = parseInteger(text.substr(colon + 1), 1, 65535);
    auto host = text.substr(0, colon);
    if (host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    else if (host.find(':') != std::string_view::npos)
        return std::nullopt;
    if (!port || host.empty() || host.find_first_not_of("0123456789abcdefABCDEF.:") != std::string_view::npos)
        return std::nullopt;
    return Endpoint { std::string(host), static_cast<std::uint16_t>(*port) };
}

std::vector<std::string> parseList(std::string_view text)
{
    std::vector<std::string> items;
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        const auto item = trim(text.substr(0, comma));
        if (!item.empty())
            items.emplace_back(item);
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return items;
}

} // namespace waxwinglug
