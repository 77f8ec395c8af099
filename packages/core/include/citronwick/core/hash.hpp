#ifndef CITRONWICK_CORE_HASH_HPP_INCLUDED
#define CITRONWICK_CORE_HASH_HPP_INCLUDED

#include <cstdint>
#include <string>
#include <string_view>

namespace citronwick {

/// 64-bit hash of a text, equal on every VM (XXH3).
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// Mixes two 64-bit values into one.
std::uint64_t hash_combine(std::uint64_t left, std::uint64_t right);

/// Hash of a name as messages between routers carry it.
constexpr std::uint32_t short_hash(std::uint64_t hash) {
    return static_cast<std::uint32_t>(hash);
}

/// SHA-256 of a text as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view text);

/// HMAC-SHA-256 of a message under a key, as 32 raw bytes.
std::string hmac_sha256(std::string_view key, std::string_view message);

/// Compares two texts in time that depends on their lengths alone.
bool equal_constant_time(std::string_view left, std::string_view right);

/// Unpredictable identifier of 32 hexadecimal digits.
std::string random_id();

} // namespace citronwick

#endif
