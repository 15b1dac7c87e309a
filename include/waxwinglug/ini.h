// INI reader with line numbers, and parsers of the values in settings and documents.
#pragma once

#include <waxwinglug/base.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglug {

struct IniEntry {
    std::string section;
    // Empty for the section header itself, so that sections without keys are reported too.
    std::string key;
    std::string value;
    // Counts from 1.
    int line = 0;
};

// A problem in a file, and how to correct it.
struct Problem {
    std::string file;
    int line = 0;
    std::string value;
    std::string description;
    std::string remedy;

    // Returns "file:line: description (value 'x'); remedy".
    std::string message() const;
};

// Splits INI text into entries in file order. Appends syntax errors to `problems`; `file` is used in their messages.
std::vector<IniEntry> readIni(std::string_view text, std::string_view file, std::vector<Problem>& problems);

// Parses "250ms", "2s", "5m", "8h" or "3d". Empty when the text has another format or exceeds ten years.
std::optional<Duration> parseDuration(std::string_view text);
// Parses "512", "64KiB", "1MiB" or "2GiB" into bytes. Empty above 1 PiB.
std::optional<std::uint64_t> parseSize(std::string_view text);
// Parses "80%" or "0.8" into 0.8. Empty outside 0 to 1.
std::optional<double> parseFraction(std::string_view text);
// Parses an integer within the bounds, both included.
std::optional<std::int64_t> parseInteger(std::string_view text, std::int64_t min, std::int64_t max);
// Parses "yes" or "no".
std::optional<bool> parseFlag(std::string_view text);
// "host:port" with an IPv4 address or a bracketed IPv6 address.
struct Endpoint {
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint&) const = default;
};
std::optional<Endpoint> parseEndpoint(std::string_view text);
// Splits a comma-separated list and trims its items; empty items are dropped.
std::vector<std::string> parseList(std::string_view text);

} // namespace waxwinglug
