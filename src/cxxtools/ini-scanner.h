// Splits INI text with cxxtools::IniParser. This folder is compiled as C++17, because cxxtools/string.h uses allocator
// members that C++20 removed; its headers use only types of the C++17 library.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace waxwinglug::detail {

struct IniScanResult {
    bool isComplete = true; // false after a syntax error
    int errorLine = 0; // line of the syntax error, if `isComplete` is false
};

// Called for each section header (with an empty key and value) and for each key. Lines are counted from 1.
using IniEntryHandler
    = std::function<void(std::string_view section, std::string_view key, std::string_view value, int line)>;

// Scans UTF-8 text and calls `onEntry` for its entries in order. Stops at the first syntax error.
IniScanResult scanIni(std::string_view text, const IniEntryHandler& onEntry);

} // namespace waxwinglug::detail
