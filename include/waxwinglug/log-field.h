// Key-value pair of a structured log line, and the hook through which components without I/O write log lines.
#pragma once

#include <fmt/format.h>

#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

namespace waxwinglug {

struct LogField {
    template <typename T>
    LogField(std::string_view name, const T& content)
        : key(name)
        , value(fmt::format("{}", content))
    {
    }

    std::string_view key;
    std::string value;
};

// `event` is a constant short text; variable data belongs in the fields.
using LogHook = std::function<void(std::string_view event, std::initializer_list<LogField> fields)>;

} // namespace waxwinglug
