#ifndef CITRONWICK_TESTS_STANDIN_PREFIX_CACHE_HPP_INCLUDED
#define CITRONWICK_TESTS_STANDIN_PREFIX_CACHE_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace citronwick::standin {

/// Number of prompt tokens in a text, at four characters per token.
std::size_t token_count(std::string_view text);

/// Cache of prompt prefixes in fixed-size blocks. Evicts the least recently used
/// block when it is full.
class prefix_cache {
public:
    /// @param capacity in tokens
    explicit prefix_cache(std::size_t capacity);

    /// Counts the leading tokens of the prompt that are cached, and marks their blocks as used.
    std::size_t lookup(std::string_view prompt);

    /// Adds the blocks of a prompt.
    void insert(std::string_view prompt);

    void clear();

private:
    /// Hashes of the full blocks, each chained to those before it.
    static std::vector<std::uint64_t> block_hashes(std::string_view prompt);
    void touch(std::uint64_t block);

    std::size_t capacity_blocks_;
    std::list<std::uint64_t> by_recency_; ///< most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions_;
};

} // namespace citronwick::standin

#endif
