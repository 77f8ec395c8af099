#ifndef CITRONWICK_TESTS_HARNESS_CHAT_HPP_INCLUDED
#define CITRONWICK_TESTS_HARNESS_CHAT_HPP_INCLUDED

#include "http_call.hpp"

#include <string>

namespace citronwick::harness {

/// One request of a chat.
struct chat_call {
    std::string chat = "chat-1";
    std::string prompt = "dent on the rim";
    std::int64_t tokens = 4;
    bool stream = true;
    std::string hint{};
    std::string team = "hanbit-north";
    std::string model = "repair-draft";
};

/// Answer to a chat request, read as a caller reads it.
struct chat_reply {
    reply raw;
    std::string text;     ///< generated tokens
    bool as_asked = true; ///< streamed if and only if the request asked for it
    bool done = false;    ///< the closing event arrived
    bool error_event = false;
    double prompt_tokens = 0.0;
    double cached_tokens = 0.0;

    /// Whether the answer is whole: framing, closing event and all tokens.
    bool whole(std::int64_t tokens) const;
};

/// The HTTP call of a chat request.
call to_call(const chat_call& request);

chat_reply chat(const endpoint& router, const chat_call& request);

/// Reads a stream or a whole answer.
chat_reply read_chat(reply raw);

} // namespace citronwick::harness

#endif
