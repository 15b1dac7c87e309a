// Splits INI text with cxxtools::IniParser. This folder is compiled as C++17, because cxxtools/string.h uses allocator
// members that C++20 removed; its headers hold only types of the C++17 library.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace waxwinglug::detail {

struct IniScanResult {
    bool isComplete = true;
    int errorLine = 0; // where the scan stopped, when it is not complete
};

// Calls `onEntry(section, key, value, line)` for each section header (with an empty key) and each key.
using IniEntryHandler
    = std::function<void(std::string_view section, std::string_view key, std::string_view value, int line)>;

IniScanResult scanIni(std::string_view text, const IniEntryHandler& onEntry);

} // namespace waxwinglug::detail
