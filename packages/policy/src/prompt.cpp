#include "citronwick/policy/prompt.hpp"

#include "citronwick/core/hash.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace citronwick {

std::uint32_t prompt::tokens() const {
    return std::accumulate(parts.begin(), parts.end(), std::uint32_t{0},
                           [](std::uint32_t sum, const prompt_part& part) { return sum + part.tokens; });
}

std::vector<shared_prefix> shared_prefixes(const prompt& request_prompt) {
    std::vector<shared_prefix> prefixes;
    if (request_prompt.parts.size() < 2) {
        return prefixes;
    }
    shared_prefix longest{request_prompt.model, 0};
    for (auto part = request_prompt.parts.begin(); part != request_prompt.parts.end() - 1; ++part) {
        longest.key = hash_combine(longest.key, part->id);
        longest.tokens += part->tokens;
        prefixes.push_back(longest);
    }
    return prefixes;
}

std::vector<std::uint64_t> shared_part_fingerprints(const prompt& request_prompt) {
    // Distinguishes the fingerprints from those of whole requests.
    static const std::uint64_t kind = hash64("prompt part");
    std::vector<std::uint64_t> fingerprints;
    if (request_prompt.empty()) {
        return fingerprints;
    }
    std::transform(request_prompt.parts.begin(), std::prev(request_prompt.parts.end()),
                   std::back_inserter(fingerprints),
                   [](const prompt_part& part) { return hash_combine(kind, part.id); });
    return fingerprints;
}

} // namespace citronwick
