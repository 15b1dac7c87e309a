// Differences between documents. Documents are compared as sorted sets of (section, key, value), so the delta that
// nodes receive contains neither comments nor the order of sections.
#include <waxwinglug/config.h>

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace waxwinglug {
namespace {

    // Values by section and key. An empty key with one empty value denotes the section header.
    using Values = std::set<std::string>;
    using Document = std::map<std::string, std::map<std::string, Values>>;

    Document readDocument(std::string_view text)
    {
        std::vector<Problem> problems;
        Document document;
        for (auto& entry : readIni(text, "document", problems))
            document[entry.section][entry.key].insert(std::move(entry.value));
        if (!problems.empty())
            throw ConfigError(std::move(problems));
        return document;
    }

    std::string render(const Document& document)
    {
        std::string text;
        for (const auto& [section, keys] : document) {
            text.append("[").append(section).append("]\n");
            for (const auto& [key, values] : keys) {
                for (const auto& value : values) {
                    if (!key.empty())
                        text.append(key).append(" = ").append(value).append("\n");
                }
            }
        }
        return text;
    }

    void diffValues(std::vector<ConfigChange>& changes, const std::string& section, const std::string& key,
        const Values& before, const Values& after)
    {
        using Kind = ConfigChange::Kind;
        if (before.size() == 1 && after.size() == 1) {
            if (before != after)
                changes.push_back({ Kind::Changed, section, key, *before.begin(), *after.begin() });
            return;
        }
        for (const auto& value : before) {
            if (!after.contains(value))
                changes.push_back({ Kind::Removed, section, key, value, "" });
        }
        for (const auto& value : after) {
            if (!before.contains(value))
                changes.push_back({ Kind::Added, section, key, "", value });
        }
    }

    // Returns the sorted union of the keys of both maps.
    template <typename Map> std::set<std::string> unionOfKeys(const Map& left, const Map& right)
    {
        std::set<std::string> keys;
        for (const auto& [key, value] : left)
            keys.insert(key);
        for (const auto& [key, value] : right)
            keys.insert(key);
        return keys;
    }

    template <typename Map> typename Map::mapped_type valueOrDefault(const Map& map, const std::string& key)
    {
        const auto found = map.find(key);
        return found == map.end() ? typename Map::mapped_type {} : found->second;
    }

    void applyChange(Document& document, const ConfigChange& change)
    {
        using Kind = ConfigChange::Kind;
        auto& values = document[change.section][change.key];
        const bool removed = change.kind == Kind::Added || values.erase(change.before) == 1;
        const bool added = change.kind == Kind::Removed || values.insert(change.after).second;
        if (!removed || !added) {
            throw Error(ErrorKind::Invalid,
                fmt::format("change of {} in [{}] does not fit the document", change.key, change.section),
                "load the whole document");
        }
        if (values.empty())
            document[change.section].erase(change.key);
        if (document[change.section].empty())
            document.erase(change.section);
    }

} // namespace

std::vector<ConfigChange> diffConfig(std::string_view before, std::string_view after)
{
    const auto left = readDocument(before);
    const auto right = readDocument(after);
    std::vector<ConfigChange> changes;
    for (const auto& section : unionOfKeys(left, right)) {
        const auto leftKeys = valueOrDefault(left, section);
        const auto rightKeys = valueOrDefault(right, section);
        for (const auto& key : unionOfKeys(leftKeys, rightKeys))
            diffValues(changes, section, key, valueOrDefault(leftKeys, key), valueOrDefault(rightKeys, key));
    }
    return changes;
}

std::string canonicalConfig(std::string_view text) { return render(readDocument(text)); }

std::string applyChanges(std::string_view before, const std::vector<ConfigChange>& changes)
{
    auto document = readDocument(before);
    for (const auto& change : changes)
        applyChange(document, change);
    return render(document);
}

} // namespace waxwinglug
