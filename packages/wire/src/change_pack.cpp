#include "citronwick/wire/change_pack.hpp"

#include "citronwick/wire/serialization.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>
#include <zlib.h>

namespace citronwick::wire {

namespace {

/// Largest accepted unpacked size. Values in the store are far smaller.
constexpr std::uint64_t max_unpacked_bytes = std::uint64_t{16} << 20U;

const Bytef* to_bytes(std::string_view text) {
    return reinterpret_cast<const Bytef*>(text.data()); // NOLINT(cppcoreguidelines-pro-type-reinterpret-cast)
}

Bytef* to_bytes(std::string& text) {
    return reinterpret_cast<Bytef*>(text.data()); // NOLINT(cppcoreguidelines-pro-type-reinterpret-cast)
}

std::string deflate(const std::string& plain) {
    uLongf size = compressBound(plain.size());
    std::string packed(size, '\0');
    if (compress2(to_bytes(packed), &size, to_bytes(std::string_view{plain}), plain.size(), Z_BEST_SPEED) !=
        Z_OK) {
        throw std::bad_alloc{}; // out of memory, the only error possible with a sufficient buffer
    }
    packed.resize(size);
    return packed;
}

std::string inflate(const std::string& packed, std::uint64_t plain_size) {
    if (plain_size > max_unpacked_bytes) {
        throw cereal::Exception{"too large"};
    }
    uLongf size = plain_size;
    std::string plain(plain_size, '\0');
    if (uncompress(to_bytes(plain), &size, to_bytes(std::string_view{packed}), packed.size()) != Z_OK ||
        size != plain_size) {
        throw cereal::Exception{"not decompressible"};
    }
    return plain;
}

} // namespace

std::string pack_changes(const std::vector<change_entry>& changes) {
    std::ostringstream plain;
    {
        cereal::PortableBinaryOutputArchive archive{plain};
        archive(changes);
    }
    const std::string text = std::move(plain).str();
    std::ostringstream packed;
    {
        cereal::PortableBinaryOutputArchive archive{packed};
        archive(std::uint64_t{text.size()}, deflate(text));
    }
    return std::move(packed).str();
}

result<std::vector<change_entry>> unpack_changes(std::string_view packed, const std::string& peer) {
    try {
        std::istringstream stream{std::string{packed}};
        cereal::PortableBinaryInputArchive archive{stream};
        std::uint64_t size = 0;
        std::string deflated;
        archive(size, deflated);
        std::istringstream plain{inflate(deflated, size)};
        cereal::PortableBinaryInputArchive plain_archive{plain};
        std::vector<change_entry> changes;
        plain_archive(changes);
        return changes;
    } catch (const std::exception& error) {
        return fail({"unpack changes", peer, error.what()});
    }
}

} // namespace citronwick::wire
