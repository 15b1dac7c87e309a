// Team keys. A document contains only hashes of keys; the key itself is shown once, when it is generated.
#pragma once

#include <waxwinglug/config.h>

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglug {

inline constexpr std::size_t keyHashBytes = 32;

struct GeneratedKey {
    std::string key; // 256 random bits in URL-safe base 64
    std::string hash; // in the format that documents contain
};

/// Generates a key from the random source of the system. Throws Error (Unavailable) when there is none.
GeneratedKey generateKey();

/// Returns the hash of a key in lower-case hexadecimal digits. Keys are random, so a fast hash without salt is
/// sufficient.
std::string hashKey(std::string_view key);

/// Adds a key to a team in the text of a document and keeps comments and order. Throws Error (Invalid) when the
/// document has no such team or the team already has a key with this id.
std::string addTeamKey(std::string_view document, std::string_view team, std::string_view id, std::string_view hash);
/// Removes a key from a team in the text of a document. Throws Error (Invalid) when there is no such key.
std::string revokeTeamKey(std::string_view document, std::string_view team, std::string_view id);

enum class KeyCheckResult {
    Granted,
    WrongKey, // the team is unknown or has no such key
    UnknownService,
    ServiceNotGranted, // the key is valid, but the team may not use the service
};

/// Team keys of one configuration, and its services with anonymous access. Checks allocate no memory and do not modify
/// the ring, so threads share it without a lock.
class KeyRing {
public:
    KeyRing() = default;
    explicit KeyRing(const Config& config);

    /// Whether the key is one of the team's keys. The time depends neither on the key nor on the position of a match.
    bool authenticate(std::string_view team, std::string_view key) const;

    /// Whether a request of this team for this service is accepted. Services with anonymous access accept any key or
    /// none.
    KeyCheckResult check(std::string_view team, std::string_view key, std::string_view service) const;

    /// Whether the service exists and accepts requests without a key.
    bool allowsAnonymous(std::string_view service) const;

private:
    using Hash = std::array<unsigned char, keyHashBytes>;
    struct TeamEntry {
        std::vector<Hash> hashes;
        std::vector<std::string> services;
    };

    ByName<TeamEntry> teams;
    ByName<bool> anonymousAccess; // by service
    // Compared for an unknown team, so that response times do not reveal which team names exist.
    TeamEntry unknownTeam { { Hash {} }, {} };
};

} // namespace waxwinglug
