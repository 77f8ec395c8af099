#ifndef CITRONWICK_TRAFFIC_CHAT_REQUEST_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_CHAT_REQUEST_HPP_INCLUDED

#include "citronwick/core/failure.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace citronwick {

/// What routing needs of a chat completion request.
struct chat_request {
    std::string model;
    std::string chat; ///< identifier of the chat, unique within its team
    bool stream = false;
};

/// Reads a request body in the OpenAI chat completions format.
/// @param chat_header value of the header Citronwick-Chat, which goes before
///        `prompt_cache_key` of the body; a request with neither is a chat of
///        its own, known by its first message
result<chat_request> parse_chat_request(std::string_view body, std::string_view chat_header);

/// Hint that a caller returns with the next request of its chat.
struct placement_hint {
    std::uint64_t chat = 0;        ///< the chat that the hint belongs to
    std::uint64_t upstream = 0;    ///< hash of the upstream that holds the context
    std::uint64_t incarnation = 0; ///< of that upstream
};

std::string to_text(const placement_hint& hint);

/// @return nothing where the text is no hint
std::optional<placement_hint> parse_placement_hint(std::string_view text);

} // namespace citronwick

#endif
