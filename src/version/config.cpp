// Parser of configuration documents. All sections are read and all checks run before problems are reported, so
// operators see every problem of a document at once.
#include <waxwinglug/config.h>

#include "version/config-checks.h"
#include "version/config-rules.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace waxwinglug {
namespace {

    struct Section {
        IniEntry header;
        std::string kind;
        std::string name;
        std::vector<IniEntry> entries;
    };

    class DocumentReader {
    public:
        DocumentReader(std::string_view text, std::string_view fileName)
            : file(fileName)
        {
            for (auto& entry : readIni(text, fileName, this->problems))
                this->addEntry(std::move(entry));
        }

        Config read()
        {
            for (const auto& section : this->sections)
                this->readSection(section);
            if (!this->singleSections.contains("document"))
                this->addProblem(1, "", "section [document] is missing", "add [document] with a name");
            detail::checkDocument(this->config,
                [this](std::string_view section, std::string_view key, std::string_view value,
                    std::string_view description, std::string_view remedy) {
                    this->addProblem(this->findLine(section, key), value, description, remedy);
                });
            if (!this->problems.empty())
                throw ConfigError(std::move(this->problems));
            return std::move(this->config);
        }

    private:
        void addProblem(int line, std::string_view value, std::string_view description, std::string_view remedy)
        {
            this->problems.push_back(
                { this->file, line, std::string(value), std::string(description), std::string(remedy) });
        }

        int findLine(std::string_view section, std::string_view key) const
        {
            auto found = this->lineNumbers.find({ std::string(section), std::string(key) });
            if (found == this->lineNumbers.end())
                found = this->lineNumbers.find({ std::string(section), "" });
            return found == this->lineNumbers.end() ? 1 : found->second;
        }

        void addEntry(IniEntry entry)
        {
            this->lineNumbers.try_emplace({ entry.section, entry.key }, entry.line);
            if (!entry.key.empty()) {
                if (this->sections.empty())
                    this->addProblem(entry.line, entry.key, "key outside a section", "write [section] above it");
                else
                    this->sections.back().entries.push_back(std::move(entry));
                return;
            }
            const auto space = std::min(entry.section.find_first_of(" \t"), entry.section.size());
            const auto name = std::min(entry.section.find_first_not_of(" \t", space), entry.section.size());
            Section section { entry, entry.section.substr(0, space), entry.section.substr(name), {} };
            this->sections.push_back(std::move(section));
        }

        void readSection(const Section& section)
        {
            if (section.kind == "document")
                this->readSingle(section, this->config, detail::documentRules());
            else if (section.kind == "clock")
                this->readSingle(section, this->config.clock, detail::clockRules());
            else if (section.kind == "weights")
                this->readSingle(section, this->config.weights, detail::weightsRules());
            else if (section.kind == "service")
                this->readNamed(section, this->config.services, detail::serviceRules());
            else if (section.kind == "pool")
                this->readNamed(section, this->config.pools, detail::poolRules());
            else if (section.kind == "vm")
                this->readVm(section);
            else if (section.kind == "team")
                this->readNamed(section, this->config.teams, detail::teamRules());
            else if (section.kind == "wave")
                this->readNamed(section, this->config.waves, detail::waveRules());
            else if (section.kind == "window")
                this->readNamed(section, this->config.windows, detail::windowRules());
            else {
                this->addProblem(section.header.line, section.header.section, "unknown section",
                    "use document, service, pool, vm, team, wave, window, clock or weights");
            }
        }

        template <typename T> void readSingle(const Section& section, T& target, const detail::KeyRules<T>& rules)
        {
            if (!section.name.empty())
                this->addProblem(section.header.line, section.name, "section takes no name", "remove the name");
            if (!this->singleSections.insert(section.kind).second)
                this->addProblem(
                    section.header.line, section.header.section, "section occurs twice", "merge the sections");
            this->readKeys(section, target, rules);
        }

        template <typename T> T* readNamed(const Section& section, ByName<T>& targets, const detail::KeyRules<T>& rules)
        {
            T target;
            target.name = section.name;
            if (!detail::isValidName(section.name)) {
                this->addProblem(section.header.line, section.name, "section without a valid name",
                    fmt::format("write [{} NAME] with letters, digits, '.', '_' and '-'", section.kind));
            }
            this->readKeys(section, target, rules);
            const auto [position, added] = targets.try_emplace(section.name, target);
            if (!added) {
                if constexpr (std::is_same_v<T, Vm>) {
                    if (position->second.pool != target.pool) {
                        this->addProblem(section.header.line, section.name,
                            fmt::format("VM is in two pools, {} and {}", position->second.pool, target.pool),
                            "keep it in one pool");
                        return nullptr;
                    }
                }
                this->addProblem(
                    section.header.line, section.header.section, "section occurs twice", "merge the sections");
            }
            return &position->second;
        }

        void readVm(const Section& section)
        {
            for (const auto& entry : section.entries) {
                if (entry.key == "pool" && parseList(entry.value).size() > 1)
                    this->addProblem(entry.line, entry.value, "VM is in two pools", "keep it in one pool");
            }
            this->readNamed(section, this->config.vms, detail::vmRules());
        }

        template <typename T> void readKeys(const Section& section, T& target, const detail::KeyRules<T>& rules)
        {
            std::set<std::string_view> seen;
            for (const auto& entry : section.entries) {
                const auto rule
                    = std::find_if(rules.begin(), rules.end(), [&](const auto& each) { return each.key == entry.key; });
                if (rule == rules.end()) {
                    std::string known;
                    for (const auto& each : rules)
                        known.append(known.empty() ? "" : ", ").append(each.key);
                    this->addProblem(entry.line, entry.key, fmt::format("unknown key in [{}]", entry.section),
                        fmt::format("use {}", known));
                    continue;
                }
                if (!seen.insert(rule->key).second && !rule->repeatable) {
                    this->addProblem(entry.line, entry.key, "key occurs twice", "keep one of them");
                    continue;
                }
                if (!rule->set(target, entry.value))
                    this->addProblem(
                        entry.line, entry.value, fmt::format("wrong value of {}", entry.key), rule->format);
            }
            for (const auto& rule : rules) {
                if (rule.required && !seen.contains(rule.key)) {
                    this->addProblem(section.header.line, section.header.section,
                        fmt::format("key {} is missing", rule.key), rule.format);
                }
            }
        }

        std::string file;
        std::vector<Problem> problems;
        std::vector<Section> sections;
        // Line of the first occurrence of each section (with an empty key) and of each key.
        std::map<std::pair<std::string, std::string>, int> lineNumbers;
        std::set<std::string, std::less<>> singleSections;
        Config config;
    };

    std::string describe(const std::vector<Problem>& problems)
    {
        std::string text = fmt::format("document has {} problem{}:", problems.size(), problems.size() == 1 ? "" : "s");
        for (const auto& problem : problems)
            text.append("\n").append(problem.message());
        return text;
    }

} // namespace

ConfigError::ConfigError(std::vector<Problem> problems)
    : Error(ErrorKind::Invalid, describe(problems), "correct the document and try again")
    , problemList(std::move(problems))
{
}

Config parseConfig(std::string_view text, std::string_view file) { return DocumentReader(text, file).read(); }

} // namespace waxwinglug
