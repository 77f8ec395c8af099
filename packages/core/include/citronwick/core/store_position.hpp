#ifndef CITRONWICK_CORE_STORE_POSITION_HPP_INCLUDED
#define CITRONWICK_CORE_STORE_POSITION_HPP_INCLUDED

#include <compare>
#include <cstdint>
#include <string>

namespace citronwick {

/// Position in the history of the platform's store.
///
/// A store that comes back from a copy begins a new era, in which it gives out
/// revisions again that the era before had. Positions order by era first, so that
/// what was read before the copy never counts as newer than what was read after.
struct store_position {
    std::int64_t revision = 0;
    std::uint64_t era = 0; ///< number of the history; 0 if the store does not name it

    friend bool operator==(const store_position&, const store_position&) = default;
    friend std::strong_ordering operator<=>(const store_position& left, const store_position& right) {
        const auto by_era = left.era <=> right.era;
        return by_era == 0 ? left.revision <=> right.revision : by_era;
    }
};

/// Formats a position as "era:revision".
std::string to_text(const store_position& position);

/// Bits of a sequence number that hold the revision.
constexpr unsigned sequence_revision_bits = 40;

/// A number that orders as positions do, for up to 2^40 revisions in an era.
constexpr std::uint64_t to_sequence_number(const store_position& position) {
    return (position.era << sequence_revision_bits) + static_cast<std::uint64_t>(position.revision);
}

/// A sequence number in 32 bits. It wraps around: the sign of the difference of two
/// short numbers tells their order, if fewer than 2^24 revisions lie between them.
constexpr std::uint32_t shorten_sequence_number(std::uint64_t sequence_number) {
    constexpr unsigned short_revision_bits = 24;
    const std::uint64_t era = sequence_number >> sequence_revision_bits;
    const std::uint64_t revision = sequence_number - (era << sequence_revision_bits);
    return static_cast<std::uint32_t>((era << short_revision_bits) + revision);
}

} // namespace citronwick

#endif
