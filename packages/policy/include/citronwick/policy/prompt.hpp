#ifndef CITRONWICK_POLICY_PROMPT_HPP_INCLUDED
#define CITRONWICK_POLICY_PROMPT_HPP_INCLUDED

#include <cstdint>
#include <string_view>
#include <vector>

namespace citronwick {

/// Part of a prompt. An engine can reuse its cache for requests whose prompts
/// begin with the same parts.
struct prompt_part {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// Prompt of a request as described by the caller.
struct prompt {
    std::uint64_t model = 0;         ///< hash of the model's name
    std::vector<prompt_part> parts;  ///< in order; the last part is not shared with other requests
    std::uint32_t output_tokens = 0; ///< maximum number of tokens to generate

    bool empty() const { return parts.empty(); }
    std::uint32_t tokens() const;
};

/// Prefix of a prompt that ends after one of its shared parts.
struct shared_prefix {
    std::uint64_t key = 0;    ///< hash of the model and the parts
    std::uint32_t tokens = 0; ///< total of all parts in the prefix
};

/// All shared prefixes of a prompt, shortest first; empty if it has fewer than two parts.
std::vector<shared_prefix> shared_prefixes(const prompt& request_prompt);

/// Fingerprints of the parts of a prompt that other requests may share, in order,
/// whatever precedes them; empty if it has fewer than two parts.
std::vector<std::uint64_t> shared_part_fingerprints(const prompt& request_prompt);

} // namespace citronwick

#endif
