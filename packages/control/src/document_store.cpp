#include "citronwick/control/document_store.hpp"

#include "citronwick/core/hash.hpp"
#include "citronwick/io/json_text.hpp"

#include <algorithm>
#include <set>

namespace citronwick {

std::vector<std::string> digests_of(std::string_view header) {
    const auto object = parse_json_object(header);
    return object ? string_array_member(*object, "chunks") : std::vector<std::string>{};
}

const document* document_store::current(wire::document_kind kind) const {
    const auto index = static_cast<std::size_t>(kind);
    // A later landing may ask for a kind that this one does not know.
    const bool is_held = index < documents_.size() && documents_.at(index);
    return is_held ? &*documents_.at(index) : nullptr;
}

std::uint64_t document_store::generation(wire::document_kind kind) const {
    const document* const held = current(kind);
    return held == nullptr ? 0 : held->generation;
}

std::vector<std::string> document_store::missing(std::string_view header) const {
    auto digests = digests_of(header);
    std::erase_if(digests, [this](const std::string& digest) { return chunks_.contains(digest); });
    return digests;
}

void document_store::add_chunk(std::string content) {
    std::string digest = sha256_hex(content);
    chunks_.emplace(std::move(digest), std::move(content));
}

const std::string* document_store::find_chunk(std::string_view digest) const {
    const auto found = chunks_.find(digest);
    return found == chunks_.end() ? nullptr : &found->second;
}

bool document_store::accept(wire::document_kind kind, std::uint64_t generation, std::string header) {
    if (generation <= this->generation(kind) || !missing(header).empty()) {
        return false;
    }
    auto digests = digests_of(header);
    documents_.at(static_cast<std::size_t>(kind)) =
        document{generation, std::move(header), std::move(digests)};
    drop_unused_chunks();
    return true;
}

void document_store::drop_unused_chunks() {
    std::set<std::string_view> used;
    for (const auto& held : documents_) {
        if (held) {
            used.insert(held->digests.begin(), held->digests.end());
        }
    }
    std::erase_if(chunks_, [&used](const auto& chunk) { return !used.contains(chunk.first); });
}

std::string document_store::text(wire::document_kind kind) const {
    std::string joined;
    if (const document* const held = current(kind)) {
        std::ranges::for_each(held->digests,
                              [&](const std::string& digest) { joined += *find_chunk(digest); });
    }
    return joined;
}

} // namespace citronwick
