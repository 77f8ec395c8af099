#include "prefix_cache.hpp"

#include "citronwick/core/hash.hpp"

namespace citronwick::standin {

namespace {

constexpr std::size_t characters_per_token = 4;
constexpr std::size_t block_tokens = 16;
constexpr std::size_t block_characters = block_tokens * characters_per_token;

} // namespace

std::size_t token_count(std::string_view text) {
    return (text.size() + characters_per_token - 1) / characters_per_token;
}

prefix_cache::prefix_cache(std::size_t capacity) : capacity_blocks_{capacity / block_tokens} {}

std::vector<std::uint64_t> prefix_cache::block_hashes(std::string_view prompt) {
    std::vector<std::uint64_t> blocks;
    std::uint64_t block_hash = 0;
    while (prompt.size() >= block_characters) {
        block_hash = hash64(prompt.substr(0, block_characters), block_hash);
        blocks.push_back(block_hash);
        prompt.remove_prefix(block_characters);
    }
    return blocks;
}

void prefix_cache::touch(std::uint64_t block) {
    const auto found = positions_.find(block);
    if (found != positions_.end()) {
        by_recency_.splice(by_recency_.begin(), by_recency_, found->second);
        return;
    }
    by_recency_.push_front(block);
    positions_.emplace(block, by_recency_.begin());
    while (positions_.size() > capacity_blocks_) {
        positions_.erase(by_recency_.back());
        by_recency_.pop_back();
    }
}

std::size_t prefix_cache::lookup(std::string_view prompt) {
    std::size_t cached = 0;
    for (const std::uint64_t block : block_hashes(prompt)) {
        if (!positions_.contains(block)) {
            break;
        }
        touch(block);
        cached += block_tokens;
    }
    return cached;
}

void prefix_cache::insert(std::string_view prompt) {
    for (const std::uint64_t block : block_hashes(prompt)) {
        touch(block);
    }
}

void prefix_cache::clear() {
    by_recency_.clear();
    positions_.clear();
}

} // namespace citronwick::standin
