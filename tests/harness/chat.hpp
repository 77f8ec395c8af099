#ifndef CITRONWICK_TESTS_HARNESS_CHAT_HPP_INCLUDED
#define CITRONWICK_TESTS_HARNESS_CHAT_HPP_INCLUDED

#include "http_call.hpp"

#include <string>

namespace citronwick::harness {

/// Parameters of a chat completion request.
struct chat_call {
    std::string chat = "chat-1";
    std::string prompt = "dent on the rim";
    std::int64_t tokens = 4;
    bool stream = true;
    std::string hint{};
    std::string team = "hanbit-north";
    std::string model = "repair-draft";
};

/// Parsed response to a chat completion request.
struct chat_reply {
    reply raw;
    std::string text;            ///< generated tokens
    bool mode_matches = true;    ///< the response is a stream exactly if one was requested
    bool has_done_event = false; ///< the final [DONE] event or the whole JSON body arrived
    bool error_event = false;
    double prompt_tokens = 0.0;
    double cached_tokens = 0.0;

    /// Whether the response is complete: framing, final event and all tokens.
    bool is_complete(std::int64_t tokens) const;
};

/// Builds the HTTP request of a chat completion.
call to_call(const chat_call& request);

/// Sends a chat completion request and parses the response.
chat_reply chat(const endpoint& router, const chat_call& request);

/// Parses an event stream or a JSON response.
chat_reply parse_chat(reply raw);

} // namespace citronwick::harness

#endif
