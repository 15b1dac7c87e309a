// JSON conversion of rows and messages that reports errors as Error.
#pragma once

#include <waxwinglug/error.h>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace waxwinglug {

using Json = nlohmann::json;

// Parses JSON into a type with nlohmann::json conversions. Throws Error (Invalid) when the text does not match the
// type.
template <typename T> T fromJson(std::string_view text)
{
    try {
        return Json::parse(text).get<T>();
    } catch (const Json::exception& error) {
        throw Error(ErrorKind::Invalid, error.what(), "check that all nodes run the same version");
    }
}

template <typename T> std::string toJson(const T& value) { return Json(value).dump(); }

} // namespace waxwinglug
