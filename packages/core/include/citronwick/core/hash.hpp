#ifndef CITRONWICK_CORE_HASH_HPP_INCLUDED
#define CITRONWICK_CORE_HASH_HPP_INCLUDED

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace citronwick {

/// XXH3 hash of a text. All VMs compute the same value.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// XXH3 hash of the concatenation of texts.
std::uint64_t hash64(std::initializer_list<std::string_view> parts);

/// Combines two 64-bit hashes into one; the order matters.
std::uint64_t hash_combine(std::uint64_t left, std::uint64_t right);

/// Lower 32 bits of a hash, as sent in messages between routers.
constexpr std::uint32_t short_hash(std::uint64_t hash) {
    return static_cast<std::uint32_t>(hash);
}

/// SHA-256 of a text as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view text);

/// HMAC-SHA-256 of a message under a key, as 32 raw bytes.
std::string hmac_sha256(std::string_view key, std::string_view message);

/// Compares two texts in a time that depends only on their lengths.
bool equal_constant_time(std::string_view left, std::string_view right);

/// Cryptographically random identifier of 32 hexadecimal digits.
std::string random_id();

} // namespace citronwick

#endif
