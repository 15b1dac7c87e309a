// Edits team keys in the text of a document. Only single lines are inserted or removed, which keeps comments and order.
#include <waxwinglug/keys.h>

#include <fmt/format.h>

#include <algorithm>

namespace waxwinglug {
namespace {

    std::vector<IniEntry> readEntries(std::string_view document)
    {
        std::vector<Problem> problems;
        auto entries = readIni(document, "document", problems);
        if (!problems.empty())
            throw ConfigError(std::move(problems));
        return entries;
    }

    // Offset of the first character of a line; lines count from 1.
    std::size_t lineOffset(std::string_view text, int line)
    {
        std::size_t position = 0;
        for (; line > 1 && position < text.size(); --line)
            position = std::min(text.find('\n', position), text.size() - 1) + 1;
        return position;
    }

    // Returns the line of a team's key with this id, or 0.
    int findKeyLine(const std::vector<IniEntry>& entries, std::string_view team, std::string_view id)
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
    const auto entries = readEntries(document);
    if (findKeyLine(entries, team, id) != 0)
        throw Error(ErrorKind::Invalid, fmt::format("team {} already has key {}", team, id), "choose another id");
    const auto header = std::find_if(entries.begin(), entries.end(),
        [&](const IniEntry& entry) { return entry.key.empty() && entry.section == fmt::format("team {}", team); });
    if (header == entries.end())
        throw Error(ErrorKind::Invalid, fmt::format("there is no team {}", team), "add the team with 'apply' first");
    std::string edited(document);
    if (!edited.ends_with('\n'))
        edited.push_back('\n');
    return edited.insert(lineOffset(edited, header->line + 1), fmt::format("key = {}:{}\n", id, hash));
}

std::string revokeTeamKey(std::string_view document, std::string_view team, std::string_view id)
{
    const int line = findKeyLine(readEntries(document), team, id);
    if (line == 0) {
        throw Error(ErrorKind::Invalid, fmt::format("team {} has no key {}", team, id),
            "see the current document for the ids of the keys");
    }
    std::string edited(document);
    const auto start = lineOffset(edited, line);
    return edited.erase(start, lineOffset(edited, line + 1) - start);
}

} // namespace waxwinglug
