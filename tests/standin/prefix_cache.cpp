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

std::vector<std::uint64_t> prefix_cache::blocks_of(std::string_view prompt) {
    std::vector<std::uint64_t> blocks;
    std::uint64_t chain = 0;
    while (prompt.size() >= block_characters) {
        chain = hash64(prompt.substr(0, block_characters), chain);
        blocks.push_back(chain);
        prompt.remove_prefix(block_characters);
    }
    return blocks;
}

void prefix_cache::touch(std::uint64_t block) {
    const auto found = held_.find(block);
    if (found != held_.end()) {
        recent_.splice(recent_.begin(), recent_, found->second);
        return;
    }
    recent_.push_front(block);
    held_.emplace(block, recent_.begin());
    while (held_.size() > capacity_blocks_) {
        held_.erase(recent_.back());
        recent_.pop_back();
    }
}

std::size_t prefix_cache::lookup(std::string_view prompt) {
    std::size_t cached = 0;
    for (const std::uint64_t block : blocks_of(prompt)) {
        if (!held_.contains(block)) {
            break;
        }
        touch(block);
        cached += block_tokens;
    }
    return cached;
}

void prefix_cache::insert(std::string_view prompt) {
    for (const std::uint64_t block : blocks_of(prompt)) {
        touch(block);
    }
}

void prefix_cache::clear() {
    recent_.clear();
    held_.clear();
}

} // namespace citronwick::standin
