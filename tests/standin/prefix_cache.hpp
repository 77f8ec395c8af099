#ifndef CITRONWICK_TESTS_STANDIN_PREFIX_CACHE_HPP_INCLUDED
#define CITRONWICK_TESTS_STANDIN_PREFIX_CACHE_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace citronwick::standin {

/// Prompt tokens of a text: four characters each.
std::size_t token_count(std::string_view text);

/// Cache of prompt prefixes in blocks, with limited memory; the least recently
/// used blocks go first.
class prefix_cache {
public:
    /// @param capacity in tokens
    explicit prefix_cache(std::size_t capacity);

    /// Tokens of the prompt that are cached from its start; touches them.
    std::size_t lookup(std::string_view prompt);

    /// Adds a prompt's blocks.
    void insert(std::string_view prompt);

    void clear();

private:
    static std::vector<std::uint64_t> blocks_of(std::string_view prompt);
    void touch(std::uint64_t block);

    std::size_t capacity_blocks_;
    std::list<std::uint64_t> recent_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> held_;
};

} // namespace citronwick::standin

#endif
