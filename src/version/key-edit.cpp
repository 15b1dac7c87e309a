// Edits of team keys in the text of a document. Lines are inserted and removed, so comments and order stay.
#include <waxwinglug/keys.h>

#include <fmt/format.h>

#include <algorithm>

namespace waxwinglug {
namespace {

    std::vector<IniEntry> entriesOf(std::string_view document)
    {
        std::vector<Problem> problems;
        auto entries = readIni(document, "document", problems);
        if (!problems.empty())
            throw ConfigError(std::move(problems));
        return entries;
    }

    // Position of the first character of a line; the first line is 1.
    std::size_t lineStart(std::string_view text, int line)
    {
        std::size_t position = 0;
        for (; line > 1 && position < text.size(); --line)
            position = std::min(text.find('\n', position), text.size() - 1) + 1;
        return position;
    }

    // The line of the key, or 0.
    int lineOfKey(const std::vector<IniEntry>& entries, std::string_view team, std::string_view id)
    {
        const auto section = fmt::format("team {}", team);
        const auto prefix = fmt::format("{}:", id);
        for (const auto& entry : entries) {
            if (entry.section == section && entry.key == "key" && entry.value.starts_with(prefix))
                return entry.line;
        }
        return 0;
    }

} // namespace

std::string addTeamKey(std::string_view document, std::string_view team, std::string_view id, std::string_view hash)
{
    const auto entries = entriesOf(document);
    if (lineOfKey(entries, team, id) != 0)
        throw Error(ErrorKind::Invalid, fmt::format("team {} already has key {}", team, id), "choose another id");
    const auto header = std::find_if(entries.begin(), entries.end(),
        [&](const IniEntry& entry) { return entry.key.empty() && entry.section == fmt::format("team {}", team); });
    if (header == entries.end())
        throw Error(ErrorKind::Invalid, fmt::format("there is no team {}", team), "add the team with 'apply' first");
    std::string edited(document);
    if (!edited.ends_with('\n'))
        edited.push_back('\n');
    return edited.insert(lineStart(edited, header->line + 1), fmt::format("key = {}:{}\n", id, hash));
}

std::string revokeTeamKey(std::string_view document, std::string_view team, std::string_view id)
{
    const int line = lineOfKey(entriesOf(document), team, id);
    if (line == 0) {
        throw Error(ErrorKind::Invalid, fmt::format("team {} has no key {}", team, id),
            "see the current document for the ids of the keys");
    }
    std::string edited(document);
    const auto start = lineStart(edited, line);
    return edited.erase(start, lineStart(edited, line + 1) - start);
}

} // namespace waxwinglug
