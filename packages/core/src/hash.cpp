#include "citronwick/core/hash.hpp"

#include <array>
#include <boost/algorithm/hex.hpp>
#include <iterator>
#include <memory>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <xxhash.h>

namespace citronwick {

namespace {

constexpr std::size_t sha256_bytes = 32;
constexpr std::size_t random_id_bytes = 16;

template <class Bytes>
std::string to_hex(const Bytes& bytes) {
    std::string text;
    boost::algorithm::hex_lower(bytes.begin(), bytes.end(), std::back_inserter(text));
    return text;
}

} // namespace

std::uint64_t hash64(std::string_view text, std::uint64_t seed) {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t hash64(std::initializer_list<std::string_view> parts) {
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state{XXH3_createState(), &XXH3_freeState};
    XXH3_64bits_reset(state.get());
    for (const std::string_view part : parts) {
        XXH3_64bits_update(state.get(), part.data(), part.size());
    }
    return XXH3_64bits_digest(state.get());
}

std::uint64_t hash_combine(std::uint64_t left, std::uint64_t right) {
    return XXH3_64bits_withSeed(&left, sizeof(left), right);
}

std::string sha256_hex(std::string_view text) {
    std::array<unsigned char, sha256_bytes> digest{};
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return to_hex(digest);
}

std::string hmac_sha256(std::string_view key, std::string_view message) {
    std::array<unsigned char, sha256_bytes> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(message.data()), message.size(), digest.data(), &size);
    return {digest.begin(), digest.end()};
}

bool equal_constant_time(std::string_view left, std::string_view right) {
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string random_id() {
    std::array<unsigned char, random_id_bytes> bytes{};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    return to_hex(bytes);
}

} // namespace citronwick
