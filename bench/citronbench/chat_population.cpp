#include "chat_population.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <ranges>
#include <spdlog/fmt/fmt.h>

namespace citronwick::bench {

namespace {

constexpr std::array teams{"hanbit-north", "hanbit-south", "club"};
constexpr std::size_t block_characters = 64; ///< of an engine's prefix cache
constexpr std::size_t characters_per_token = 4;

std::vector<double> zipf_weights(std::size_t count, double exponent) {
    std::vector<double> weights(count);
    std::ranges::generate(weights,
                          [rank = 0.0, exponent]() mutable { return 1.0 / std::pow(++rank, exponent); });
    return weights;
}

/// Characters of the role and the line end that an engine adds to the prompt.
constexpr std::size_t frame_before = 5;

} // namespace

chat_population::chat_population(const load_shape& shape, std::uint32_t seed)
    : shape_{shape}, random_{seed}, chats_(shape.chats) {
    auto weights = zipf_weights(shape.chats, shape.popularity);
    for (std::size_t index = 0; index < chats_.size(); ++index) {
        chats_[index].team = teams.at(index % teams.size());
        weights[index] *= chats_[index].team == teams.front() ? shape.surge : 1.0;
        start_anew(chats_[index], index);
    }
    pick_ = {weights.begin(), weights.end()};
}

std::string chat_population::fresh_text(std::size_t characters) {
    std::string text;
    while (text.size() < characters) {
        text += fmt::format("{:016x}", random_());
    }
    text.resize(characters);
    return text;
}

void chat_population::start_anew(chat_state& chat, std::size_t index) {
    chat.id = fmt::format("chat-{}-{}", index, chat.restarts++);
    chat.prompt = fresh_text(shape_.first_prompt);
    chat.hint.clear();
    chat.held.clear();
}

planned_request chat_population::next() {
    std::size_t index = pick_(random_);
    while (chats_[index].busy) {
        index = (index + 1) % chats_.size();
    }
    chat_state& chat = chats_[index];
    const bool heavy = std::bernoulli_distribution{shape_.heavy_share}(random_);
    if (chat.prompt.size() > shape_.longest_prompt) {
        start_anew(chat, index);
    }
    chat.prompt += fresh_text(heavy ? shape_.heavy_prompt : shape_.growth);
    chat.busy = true;
    const auto holdings = chat.held | std::views::values;
    const std::size_t held = holdings.empty() ? 0 : std::ranges::max(holdings);
    const double blocks = std::floor(static_cast<double>(held + frame_before) / block_characters);
    std::uniform_int_distribution<std::int64_t> length{shape_.tokens / 2, shape_.tokens * 3 / 2};
    return {.chat = index,
            .chat_id = chat.id,
            .team = chat.team,
            .prompt = chat.prompt,
            .tokens = length(random_),
            .hint = chat.hint,
            .reusable_tokens = held == 0 ? 0.0 : blocks * block_characters / characters_per_token};
}

void chat_population::finished(const planned_request& request, const std::string& upstream,
                               const std::string& hint) {
    chat_state& chat = chats_[request.chat];
    chat.busy = false;
    if (!upstream.empty() && chat.id == request.chat_id) {
        chat.held[upstream] = request.prompt.size();
        chat.hint = hint;
    }
}

void chat_population::forget_engine(const std::string& upstream) {
    std::ranges::for_each(chats_, [&](chat_state& chat) { chat.held.erase(upstream); });
}

std::chrono::duration<double> chat_population::next_pause() {
    return std::chrono::duration<double>{
        std::exponential_distribution<double>{shape_.requests_per_second}(random_)};
}

} // namespace citronwick::bench
