// INI scanning. IniParser reports no positions, so characters are fed one at a time and lines are counted here.
#include "cxxtools/ini-scanner.h"

#include <cxxtools/iniparser.h>
#include <cxxtools/utf8codec.h>

#include <exception>

namespace waxwinglug::detail {
namespace {

    class Collector : public cxxtools::IniParser::Event {
    public:
        explicit Collector(const IniEntryHandler& handler)
            : onEntry(handler)
        {
        }

        using Event::onKey;
        using Event::onSection;
        using Event::onValue;

        bool onSection(const std::string& name) override
        {
            this->section = name;
            this->onEntry(this->section, "", "", this->line);
            return false;
        }

        bool onKey(const std::string& name) override
        {
            this->key = name;
            this->keyLine = this->line;
            return false;
        }

        bool onValue(const std::string& value) override
        {
            this->onEntry(this->section, this->key, value, this->keyLine);
            return false;
        }

        bool onError() override
        {
            this->failed = true;
            return true;
        }

        int line = 1;
        bool failed = false;

    private:
        const IniEntryHandler& onEntry;
        std::string section;
        std::string key;
        int keyLine = 1;
    };

} // namespace

IniScanResult scanIni(std::string_view text, const IniEntryHandler& onEntry)
{
    Collector collector(onEntry);
    cxxtools::IniParser parser(collector);
    try {
        const auto characters = cxxtools::Utf8Codec::decode(std::string(text));
        for (const auto character : characters) {
            parser.parse(character);
            if (collector.failed)
                return { false, collector.line };
            if (character == cxxtools::Char('\n'))
                ++collector.line;
        }
        parser.end();
    } catch (const std::exception&) {
        // Wrong UTF-8, or an end of text that the parser cannot accept.
        return { false, collector.line };
    }
    return { !collector.failed, collector.line };
}

} // namespace waxwinglug::detail
