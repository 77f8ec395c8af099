#include "chat_population.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <ranges>
#include <spdlog/fmt/fmt.h>

namespace citronwick::bench {

namespace {

constexpr std::array teams{"hanbit-north", "hanbit-south", "club"};
constexpr std::size_t block_characters = 64; ///< characters in a block of an engine's prefix cache
constexpr std::size_t characters_per_token = 4;

std::vector<double> zipf_weights(std::size_t count, double exponent) {
    std::vector<double> weights(count);
    std::ranges::generate(weights,
                          [rank = 0.0, exponent]() mutable { return 1.0 / std::pow(++rank, exponent); });
    return weights;
}

/// Characters that an engine adds to a prompt for the role and the end of the line.
constexpr std::size_t role_characters = 5;

} // namespace

chat_population::chat_population(const load_profile& profile, std::uint32_t seed)
    : profile_{profile}, random_{seed}, chats_(profile.chats) {
    auto weights = zipf_weights(profile.chats, profile.popularity);
    for (std::size_t index = 0; index < chats_.size(); ++index) {
        chats_[index].team = teams.at(index % teams.size());
        weights[index] *= chats_[index].team == teams.front() ? profile.surge : 1.0;
        restart_chat(chats_[index], index);
    }
    chat_distribution_ = {weights.begin(), weights.end()};
}

std::string chat_population::random_text(std::size_t characters) {
    std::string text;
    while (text.size() < characters) {
        text += fmt::format("{:016x}", random_());
    }
    text.resize(characters);
    return text;
}

void chat_population::restart_chat(chat_state& chat, std::size_t index) {
    chat.id = fmt::format("chat-{}-{}", index, chat.restarts++);
    chat.prompt = random_text(profile_.first_prompt);
    chat.hint.clear();
    chat.cached.clear();
}

planned_request chat_population::next() {
    std::size_t index = chat_distribution_(random_);
    while (chats_[index].request_in_flight) {
        index = (index + 1) % chats_.size();
    }
    chat_state& chat = chats_[index];
    const bool heavy = std::bernoulli_distribution{profile_.heavy_share}(random_);
    if (chat.prompt.size() > profile_.longest_prompt) {
        restart_chat(chat, index);
    }
    chat.prompt += random_text(heavy ? profile_.heavy_prompt : profile_.growth);
    chat.request_in_flight = true;
    const auto lengths = chat.cached | std::views::values;
    const std::size_t longest = lengths.empty() ? 0 : std::ranges::max(lengths);
    const double blocks = std::floor(static_cast<double>(longest + role_characters) / block_characters);
    std::uniform_int_distribution<std::int64_t> response_length{profile_.tokens / 2, profile_.tokens * 3 / 2};
    return {.chat = index,
            .chat_id = chat.id,
            .team = chat.team,
            .prompt = chat.prompt,
            .tokens = response_length(random_),
            .hint = chat.hint,
            .reusable_tokens = longest == 0 ? 0.0 : blocks * block_characters / characters_per_token};
}

void chat_population::record_result(const planned_request& request, const std::string& upstream,
                                    const std::string& hint) {
    chat_state& chat = chats_[request.chat];
    chat.request_in_flight = false;
    if (!upstream.empty() && chat.id == request.chat_id) {
        chat.cached[upstream] = request.prompt.size();
        chat.hint = hint;
    }
}

void chat_population::remove_engine(const std::string& upstream) {
    std::ranges::for_each(chats_, [&](chat_state& chat) { chat.cached.erase(upstream); });
}

std::chrono::duration<double> chat_population::next_interarrival_time() {
    return std::chrono::duration<double>{
        std::exponential_distribution<double>{profile_.requests_per_second}(random_)};
}

} // namespace citronwick::bench
