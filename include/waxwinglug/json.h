// JSON of rows and messages, with typed errors.
#pragma once

#include <waxwinglug/error.h>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace waxwinglug {

using Json = nlohmann::json;

// Converts a type that has nlohmann::json conversions. Throws Error (Invalid) on text of another form.
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
