// Generation and verification of team keys with libsodium.
#include <waxwinglug/keys.h>

#include <sodium.h>

#include <algorithm>

namespace waxwinglug {
namespace {

    constexpr std::size_t keyBytes = 32;

    void initializeSodium()
    {
        static const int ready = sodium_init();
        if (ready < 0)
            throw Error(ErrorKind::Unavailable, "libsodium found no random source", "start the process again");
    }

    void hashInto(std::array<unsigned char, keyHashBytes>& hash, std::string_view key)
    {
        crypto_generichash(
            hash.data(), hash.size(), reinterpret_cast<const unsigned char*>(key.data()), key.size(), nullptr, 0);
    }

} // namespace

GeneratedKey generateKey()
{
    initializeSodium();
    std::array<unsigned char, keyBytes> bytes {};
    randombytes_buf(bytes.data(), bytes.size());
    constexpr int variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;
    std::string key(sodium_base64_ENCODED_LEN(keyBytes, variant), '\0');
    sodium_bin2base64(key.data(), key.size(), bytes.data(), bytes.size(), variant);
    key.pop_back(); // the terminating null character
    sodium_memzero(bytes.data(), bytes.size());
    auto hash = hashKey(key);
    return { std::move(key), std::move(hash) };
}

std::string hashKey(std::string_view key)
{
    std::array<unsigned char, keyHashBytes> hash {};
    hashInto(hash, key);
    std::string digits(2 * keyHashBytes + 1, '\0');
    sodium_bin2hex(digits.data(), digits.size(), hash.data(), hash.size());
    digits.pop_back(); // the terminating null character
    return digits;
}

KeyRing::KeyRing(const Config& config)
{
    initializeSodium();
    for (const auto& [name, service] : config.services)
        this->anonymousAccess.emplace(name, service.allowsAnonymous);
    for (const auto& [name, team] : config.teams) {
        TeamEntry entry { {}, team.services };
        for (const auto& key : team.keys) {
            Hash hash {};
            std::size_t length = 0;
            const int wrong
                = sodium_hex2bin(hash.data(), hash.size(), key.hash.data(), key.hash.size(), nullptr, &length, nullptr);
            if (wrong != 0 || length != hash.size())
                throw Error(ErrorKind::Invalid, "hash of key " + key.id + " is not valid", "generate the key again");
            entry.hashes.push_back(hash);
        }
        this->teams.emplace(name, std::move(entry));
    }
}

bool KeyRing::authenticate(std::string_view team, std::string_view key) const
{
    const auto found = this->teams.find(team);
    const auto& entry = found == this->teams.end() ? this->unknownTeam : found->second;
    Hash hash {};
    hashInto(hash, key);
    // Every hash is compared: stopping at the first match would reveal its position.
    bool matched = false;
    for (const auto& candidate : entry.hashes)
        matched |= sodium_memcmp(candidate.data(), hash.data(), hash.size()) == 0;
    return matched && found != this->teams.end();
}

KeyCheckResult KeyRing::check(std::string_view team, std::string_view key, std::string_view service) const
{
    const auto known = this->anonymousAccess.find(service);
    if (known == this->anonymousAccess.end())
        return KeyCheckResult::UnknownService;
    if (known->second)
        return KeyCheckResult::Granted;
    if (!this->authenticate(team, key))
        return KeyCheckResult::WrongKey;
    const auto& granted = this->teams.find(team)->second.services;
    const bool listed = std::find(granted.begin(), granted.end(), service) != granted.end();
    return listed ? KeyCheckResult::Granted : KeyCheckResult::ServiceNotGranted;
}

bool KeyRing::allowsAnonymous(std::string_view service) const
{
    const auto found = this->anonymousAccess.find(service);
    return found != this->anonymousAccess.end() && found->second;
}

} // namespace waxwinglug
