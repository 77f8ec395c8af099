#include "citronwick/policy/prompt.hpp"

#include "citronwick/core/hash.hpp"

#include <numeric>

namespace citronwick {

std::uint32_t prompt::tokens() const {
    return std::accumulate(parts.begin(), parts.end(), std::uint32_t{0},
                           [](std::uint32_t sum, const prompt_part& part) { return sum + part.tokens; });
}

std::vector<shared_prefix> shared_prefixes(const prompt& whole) {
    std::vector<shared_prefix> prefixes;
    if (whole.parts.size() < 2) {
        return prefixes;
    }
    shared_prefix longest{whole.model, 0};
    for (auto part = whole.parts.begin(); part != whole.parts.end() - 1; ++part) {
        longest.key = hash_combine(longest.key, part->id);
        longest.tokens += part->tokens;
        prefixes.push_back(longest);
    }
    return prefixes;
}

} // namespace citronwick
