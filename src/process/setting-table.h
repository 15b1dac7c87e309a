// Setting tables and the reader that validates a file against them. Shared by the settings of all programs.
#pragma once

#include <waxwinglug/settings.h>

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace waxwinglug::detail {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Names are part of row keys and log lines, so their length is limited.
inline constexpr std::size_t mostNameLength = 63;

template <typename T> struct Setting {
    SettingInfo info;
    // Parses and stores the value; returns false if its format or range is wrong.
    std::function<bool(T&, std::string_view value)> store;
};

template <typename V> bool assign(V& target, std::optional<V> value)
{
    if (!value)
        return false;
    target = std::move(*value);
    return true;
}

inline bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
}

template <typename T> auto nameInto(std::string T::*member)
{
    return [member](T& settings, std::string_view value) {
        if (value.empty() || value.size() > mostNameLength || !std::ranges::all_of(value, isNameCharacter))
            return false;
        settings.*member = value;
        return true;
    };
}

template <typename T> auto endpointInto(Endpoint T::*member)
{
    return [member](T& settings, std::string_view value) { return assign(settings.*member, parseEndpoint(value)); };
}

template <typename T> auto durationInto(Duration T::*member, Duration minValue, Duration maxValue)
{
    return [member, minValue, maxValue](T& settings, std::string_view value) {
        const auto duration = parseDuration(value);
        return duration && *duration >= minValue && *duration <= maxValue && assign(settings.*member, duration);
    };
}

template <typename T> auto sizeInto(std::uint64_t T::*member, std::uint64_t minValue, std::uint64_t maxValue)
{
    return [member, minValue, maxValue](T& settings, std::string_view value) {
        const auto size = parseSize(value);
        return size && *size >= minValue && *size <= maxValue && assign(settings.*member, size);
    };
}

inline constexpr std::string_view nameFormat = "name of letters, digits, '-' and '_', at most 63";
inline constexpr std::string_view endpointFormat = "IP address and port, for example 127.0.0.1:7000";

// Reads one file, validates it against a table and collects all problems.
template <typename T> class Reader {
public:
    Reader(const std::vector<Setting<T>>& settings, std::string_view fileName)
        : table(settings)
        , file(fileName)
    {
        for (const auto& setting : this->table) {
            if (!setting.info.defaultValue.empty())
                setting.store(this->result, setting.info.defaultValue);
        }
    }

    void read(std::string_view text)
    {
        for (const auto& entry : readIni(text, this->file, this->problems)) {
            if (entry.key.empty())
                this->addSection(entry);
            else
                this->addKey(entry);
        }
        for (const auto& setting : this->table) {
            const auto name = fmt::format("[{}] {}", setting.info.section, setting.info.key);
            if (setting.info.defaultValue.empty() && !this->lines.contains(name))
                this->report(0, "", name + " is missing", fmt::format("write {}", setting.info.format));
        }
    }

    void report(int line, std::string_view value, std::string text, std::string remedy)
    {
        this->problems.push_back(
            { std::string(this->file), line, std::string(value), std::move(text), std::move(remedy) });
    }

    // Returns 0 for a setting that the file does not contain.
    int lineOf(const std::string& name) const
    {
        const auto line = this->lines.find(name);
        return line == this->lines.end() ? 0 : line->second;
    }

    T takeResult()
    {
        if (!this->problems.empty())
            throw SettingsError(std::move(this->problems));
        return std::move(this->result);
    }

    T result;

private:
    bool isSection(std::string_view name) const
    {
        return std::ranges::any_of(this->table, [name](const auto& each) { return each.info.section == name; });
    }

    void addSection(const IniEntry& entry)
    {
        if (!this->isSection(entry.section)) {
            this->report(entry.line, entry.section, "unknown section", "use a section that --help lists");
        } else if (!this->sections.insert(entry.section).second) {
            this->report(entry.line, entry.section, "section appears twice", "put its settings into one section");
        }
    }

    void addKey(const IniEntry& entry)
    {
        const auto setting = std::ranges::find_if(this->table,
            [&entry](const auto& each) { return each.info.section == entry.section && each.info.key == entry.key; });
        if (setting == this->table.end()) {
            // The keys of an unknown section are covered by the report about the section.
            if (entry.section.empty() || this->isSection(entry.section))
                this->report(entry.line, entry.key, fmt::format("unknown setting in [{}]", entry.section),
                    "use a setting that --help lists for this section");
            return;
        }
        const auto name = fmt::format("[{}] {}", entry.section, entry.key);
        const std::string_view shown = setting->info.secret ? std::string_view("not shown") : entry.value;
        if (const auto [first, added] = this->lines.emplace(name, entry.line); !added) {
            this->report(entry.line, shown, fmt::format("{} was already set in line {}", name, first->second),
                "remove one of the two lines");
        } else if (!setting->store(this->result, entry.value)) {
            this->report(entry.line, shown, name + " has an invalid format or is out of range",
                fmt::format("write {}", setting->info.format));
        }
    }

    const std::vector<Setting<T>>& table;
    std::string_view file;
    std::vector<Problem> problems;
    std::set<std::string> sections;
    // Line of each setting that the file contains.
    std::map<std::string, int> lines;
};

template <typename T> std::vector<SettingInfo> settingInfos(const std::vector<Setting<T>>& table)
{
    std::vector<SettingInfo> list;
    list.reserve(table.size());
    for (const auto& setting : table)
        list.push_back(setting.info);
    return list;
}

} // namespace waxwinglug::detail
