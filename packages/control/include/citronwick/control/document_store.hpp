#ifndef CITRONWICK_CONTROL_DOCUMENT_STORE_HPP_INCLUDED
#define CITRONWICK_CONTROL_DOCUMENT_STORE_HPP_INCLUDED

#include "citronwick/wire/messages.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citronwick {

/// One generation of a document: a header that names its chunks.
struct document {
    std::uint64_t generation = 0;
    std::string header; ///< JSON with a list "chunks" of digests
    std::vector<std::string> digests;
};

/// Documents that routers pass on to each other: configuration and VM list.
///
/// A document is replaced by a higher generation only, whole or not at all.
class document_store {
public:
    /// @return null where none is held
    const document* current(wire::document_kind kind) const;

    std::uint64_t generation(wire::document_kind kind) const;

    /// Digests that a header names and the store does not hold.
    std::vector<std::string> missing(std::string_view header) const;

    /// Keeps a chunk that a coming document needs.
    void add_chunk(std::string content);

    /// @return null where the chunk is not held
    const std::string* find_chunk(std::string_view digest) const;

    /// Makes a generation the current one.
    /// @return false where it is not higher than the one held, or not complete
    bool accept(wire::document_kind kind, std::uint64_t generation, std::string header);

    /// Text of the current generation, its chunks joined.
    std::string text(wire::document_kind kind) const;

private:
    void drop_unused_chunks();

    std::array<std::optional<document>, 2> documents_;
    std::map<std::string, std::string, std::less<>> chunks_;
};

/// Digests that a document's header names.
std::vector<std::string> digests_of(std::string_view header);

} // namespace citronwick

#endif
