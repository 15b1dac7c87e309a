// Reads INI text with line numbers, and the values that settings and documents use.
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
    // Empty for the section header itself, so that a section without keys is seen too.
    std::string key;
    std::string value;
    // The first line of a file is 1.
    int line = 0;
};

// One thing that is wrong in a file, and how to put it right.
struct Problem {
    std::string file;
    int line = 0;
    std::string value;
    std::string description;
    std::string remedy;

    // "file:line: text (value 'x'); remedy"
    std::string message() const;
};

// Splits INI text into entries in file order. Syntax errors are appended to `problems`.
std::vector<IniEntry> readIni(std::string_view text, std::string_view file, std::vector<Problem>& problems);

// "250ms", "2s", "5m", "8h", "3d". Nothing when the text has another form or does not fit.
std::optional<Duration> parseDuration(std::string_view text);
// "512", "64KiB", "1MiB", "2GiB", in bytes.
std::optional<std::uint64_t> parseSize(std::string_view text);
// "80%" or "0.8" give 0.8. Nothing outside 0 to 1.
std::optional<double> parseFraction(std::string_view text);
// A whole number within the bounds, both included.
std::optional<std::int64_t> parseInteger(std::string_view text, std::int64_t least, std::int64_t most);
// "yes" or "no".
std::optional<bool> parseFlag(std::string_view text);
// "host:port" with an IPv4 address or a bracketed IPv6 address.
struct Endpoint {
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint&) const = default;
};
std::optional<Endpoint> parseEndpoint(std::string_view text);
// Comma-separated names without surrounding spaces; empty items are dropped.
std::vector<std::string> parseList(std::string_view text);

} // namespace waxwinglug
