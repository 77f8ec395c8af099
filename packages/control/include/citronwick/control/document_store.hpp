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

/// One generation of a document: a header that lists the digests of its chunks.
struct document {
    std::uint64_t generation = 0;
    std::string header; ///< JSON object with an array "chunks" of digests
    std::vector<std::string> digests;
};

/// Content-addressed store of the documents that routers exchange: configuration
/// and VM list.
///
/// A document is replaced atomically, and only by a higher generation.
class document_store {
public:
    /// @return the current generation, null if there is none
    const document* current(wire::document_kind kind) const;

    /// @return the number of the current generation, 0 if there is none
    std::uint64_t generation(wire::document_kind kind) const;

    /// Digests listed in a header whose chunks are not in the store.
    std::vector<std::string> missing(std::string_view header) const;

    /// Adds a chunk of a document that is being fetched.
    void add_chunk(std::string content);

    /// @return null if the chunk is not in the store
    const std::string* find_chunk(std::string_view digest) const;

    /// Makes a generation current and removes chunks that are no longer used.
    /// @return false if the generation is not higher than the current one, or chunks are missing
    bool accept(wire::document_kind kind, std::uint64_t generation, std::string header);

    /// Text of the current generation, joined from its chunks.
    std::string text(wire::document_kind kind) const;

private:
    void drop_unused_chunks();

    std::array<std::optional<document>, 2> documents_;
    std::map<std::string, std::string, std::less<>> chunks_;
};

/// Digests listed in a document's header.
std::vector<std::string> digests_of(std::string_view header);

} // namespace citronwick

#endif
