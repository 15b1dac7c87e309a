// INI scanning. IniParser reports no positions, so characters are fed one at a time and lines are counted here.
#include "cxxtools/ini-scanner.h"

#include <cxxtools/iniparser.h>
#include <cxxtools/utf8codec.h>

#include <exception>

namespace waxwinglug::detail {
namespace {

    class EntryForwarder : public cxxtools::IniParser::Event {
    public:
        explicit EntryForwarder(const IniEntryHandler& handler)
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
            this->hasFailed = true;
            return true;
        }

        int line = 1;
        bool hasFailed = false;

    private:
        const IniEntryHandler& onEntry;
        std::string section;
        std::string key;
        int keyLine = 1;
    };

} // namespace

IniScanResult scanIni(std::string_view text, const IniEntryHandler& onEntry)
{
    EntryForwarder forwarder(onEntry);
    cxxtools::IniParser parser(forwarder);
    try {
        const auto characters = cxxtools::Utf8Codec::decode(std::string(text));
        for (const auto character : characters) {
            parser.parse(character);
            if (forwarder.hasFailed)
                return { false, forwarder.line };
            if (character == cxxtools::Char('\n'))
                ++forwarder.line;
        }
        parser.end();
    } catch (const std::exception&) {
        // The text is not valid UTF-8, or it ends within an entry.
        return { false, forwarder.line };
    }
    return { !forwarder.hasFailed, forwarder.line };
}

} // namespace waxwinglug::detail
