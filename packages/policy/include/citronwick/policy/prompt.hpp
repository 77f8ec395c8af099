#ifndef CITRONWICK_POLICY_PROMPT_HPP_INCLUDED
#define CITRONWICK_POLICY_PROMPT_HPP_INCLUDED

#include <cstdint>
#include <string_view>
#include <vector>

namespace citronwick {

/// Part of a prompt. Requests that begin with the same parts share them in
/// an engine's cache.
struct prompt_part {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// Prompt of a request, as its caller describes it.
struct prompt {
    std::uint64_t model = 0;         ///< hash of the model's name
    std::vector<prompt_part> parts;  ///< in order; the last one is the request's own
    std::uint32_t output_tokens = 0; ///< most tokens that may be generated

    bool empty() const { return parts.empty(); }
    std::uint32_t tokens() const;
};

/// Beginning of a prompt that ends with one of its shared parts.
struct shared_prefix {
    std::uint64_t key = 0;    ///< hash of model and parts
    std::uint32_t tokens = 0; ///< of all its parts together
};

/// Shared beginnings of a prompt, shortest first; none where it has one part.
std::vector<shared_prefix> shared_prefixes(const prompt& whole);

} // namespace citronwick

#endif
