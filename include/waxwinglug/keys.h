// Keys of teams. A document holds only hashes of keys; the key itself is shown once, when it is generated.
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
    std::string hash; // as a document stores it
};

/// Generates a key from the random source of the system.
GeneratedKey generateKey();

/// The hash of a key in lower-case hexadecimal digits. Keys are random, so a fast hash without salt is sufficient.
std::string hashKey(std::string_view key);

/// Adds a key to a team in the text of a document; comments and order stay. Throws Error (Invalid) when the document
/// has no such team or the team already has a key with this id.
std::string addTeamKey(std::string_view document, std::string_view team, std::string_view id, std::string_view hash);
/// Removes a key from a team in the text of a document. Throws Error (Invalid) when there is no such key.
std::string revokeTeamKey(std::string_view document, std::string_view team, std::string_view id);

enum class KeyCheckResult {
    Granted,
    WrongKey, // unknown team, or none of its keys
    UnknownService,
    ServiceNotGranted, // the key is right, but the team may not use the service
};

/// The keys and open queues of one configuration. Checks allocate nothing and do not change the ring, so threads share
/// it without a lock.
class KeyRing {
public:
    KeyRing() = default;
    explicit KeyRing(const Config& config);

    /// Whether the key is one of the team's keys. The time depends on neither the key nor the place of a match.
    bool authenticate(std::string_view team, std::string_view key) const;

    /// Whether work of this team for this service is accepted. Open queues accept work with or without a key.
    KeyCheckResult check(std::string_view team, std::string_view key, std::string_view service) const;

    /// Whether the service accepts work without a key.
    bool allowsAnonymous(std::string_view service) const;

private:
    using Hash = std::array<unsigned char, keyHashBytes>;
    struct TeamEntry {
        std::vector<Hash> hashes;
        std::vector<std::string> services;
    };

    ByName<TeamEntry> teams;
    ByName<bool> services; // whether the service is open
    // Compared for an unknown team, so that team names cannot be found by timing.
    TeamEntry noTeam { { Hash {} }, {} };
};

} // namespace waxwinglug
