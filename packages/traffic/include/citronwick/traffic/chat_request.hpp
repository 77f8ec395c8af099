#ifndef CITRONWICK_TRAFFIC_CHAT_REQUEST_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_CHAT_REQUEST_HPP_INCLUDED

#include "citronwick/core/failure.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace citronwick {

/// The parts of a chat completion request that routing needs.
struct chat_request {
    std::string model;
    std::string chat_id; ///< unique within the team
    bool stream = false;
};

/// Reads a request body in the OpenAI chat completions format.
/// @param chat_header value of the header Citronwick-Chat, which takes precedence
///        over `prompt_cache_key` of the body; without either, the first
///        message identifies the chat
result<chat_request> parse_chat_request(std::string_view body, std::string_view chat_header);

/// Names the upstream that holds a chat's context. Sent with a response; the
/// caller returns it with the next request of the chat.
struct placement_hint {
    std::uint64_t chat_hash = 0;   ///< hash of team and chat
    std::uint64_t upstream = 0;    ///< hash of the upstream that holds the context
    std::uint64_t incarnation = 0; ///< incarnation of that upstream
};

std::string to_text(const placement_hint& hint);

/// @return nothing if the text is not a valid hint
std::optional<placement_hint> parse_placement_hint(std::string_view text);

} // namespace citronwick

#endif
