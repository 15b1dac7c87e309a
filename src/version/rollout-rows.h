// Rows of a roll-out and their JSON.
#pragma once

#include <waxwinglug/json.h>
#include <waxwinglug/rollout.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace waxwinglug::detail {

inline constexpr std::string_view currentKey = "config/current";
inline constexpr std::string_view proposalKey = "config/proposal";
inline constexpr std::string_view nodePrefix = "node/";

// A platform call without an answer is abandoned after this time; the client answers within 2 s.
inline constexpr Duration callTimeout = std::chrono::seconds(5);

// Row `config/current`.
struct CurrentVersion {
    std::uint64_t version = 0;
    std::string applyId;
};

// Row `config/delta/<version>`.
struct Delta {
    std::uint64_t base = 0;
    std::string applyId;
    std::string hash; // of the resulting canonical document
    std::vector<ConfigChange> changes;
};

void to_json(
    Json& json, const CurrentVersion& current); // NOLINT(readability-identifier-naming): looked up by the library
void from_json(const Json& json, CurrentVersion& current); // NOLINT(readability-identifier-naming)
void to_json(Json& json, const Delta& delta); // NOLINT(readability-identifier-naming)
void from_json(const Json& json, Delta& delta); // NOLINT(readability-identifier-naming)

std::string deltaKey(std::uint64_t version);
std::string objectName(std::uint64_t version);

// Parses the JSON of a row; returns the default value for a row that does not exist.
template <typename T> T parseRow(const Row& row) { return row.version == 0 ? T {} : fromJson<T>(row.value); }

// Wraps a handler so that it does nothing once the owner of the token is destroyed.
template <typename Handler> auto whileAlive(const std::shared_ptr<char>& token, Handler handler)
{
    return [weak = std::weak_ptr<char>(token), handler = std::move(handler)](auto&&... arguments) mutable {
        if (const auto locked = weak.lock())
            handler(std::forward<decltype(arguments)>(arguments)...);
    };
}

} // namespace waxwinglug::detail

namespace waxwinglug {

void to_json(Json& json, const Proposal& proposal); // NOLINT(readability-identifier-naming)
void from_json(const Json& json, Proposal& proposal); // NOLINT(readability-identifier-naming)
void to_json(Json& json, const NodeRecord& node); // NOLINT(readability-identifier-naming)
void from_json(const Json& json, NodeRecord& node); // NOLINT(readability-identifier-naming)
void to_json(Json& json, const ConfigChange& change); // NOLINT(readability-identifier-naming)
void from_json(const Json& json, ConfigChange& change); // NOLINT(readability-identifier-naming)

} // namespace waxwinglug
