#include "chat.hpp"

#include "citronwick/io/json_text.hpp"
#include "fleet.hpp"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <ranges>

namespace citronwick::harness {

namespace {

namespace json = boost::json;

void parse_usage(const json::object& data, chat_reply& result) {
    if (const auto* const usage = object_member(data, "usage")) {
        result.prompt_tokens = number_member(*usage, "prompt_tokens");
        const auto* const details = object_member(*usage, "prompt_tokens_details");
        result.cached_tokens = details == nullptr ? 0.0 : number_member(*details, "cached_tokens");
    }
}

void parse_choice(const json::object& data, std::string_view member, chat_reply& result) {
    const auto* const choices = array_member(data, "choices");
    if (choices != nullptr && !choices->empty()) {
        if (const auto* const part = object_member(choices->front().as_object(), member)) {
            result.text += string_member(*part, "content");
        }
    }
}

void parse_line(std::string_view line, chat_reply& result) {
    constexpr std::string_view data_field = "data:";
    result.error_event = result.error_event || line == "event: error";
    if (!line.starts_with(data_field)) {
        return;
    }
    line.remove_prefix(data_field.size());
    line.remove_prefix(line.starts_with(' ') ? 1 : 0);
    result.has_done_event = result.has_done_event || line == "[DONE]";
    if (const auto data = parse_json_object(line)) {
        parse_choice(*data, "delta", result);
        parse_usage(*data, result);
    }
}

} // namespace

bool chat_reply::is_complete(std::int64_t tokens) const {
    return raw.status == 200 && raw.error.empty() && mode_matches && has_done_event && !error_event &&
           std::ranges::count(text, ' ') == tokens && raw.header("Citronwick-Outcome") == "complete";
}

call to_call(const chat_call& request) {
    const json::object message{{"role", "user"}, {"content", request.prompt}};
    call result{.method = "POST",
                .target = "/v1/chat/completions",
                .body = json::serialize(json::object{{"model", request.model},
                                                     {"stream", request.stream},
                                                     {"max_tokens", request.tokens},
                                                     {"prompt_cache_key", request.chat},
                                                     {"messages", json::array{message}}}),
                .headers = {{"Authorization", "Bearer " + team_key(request.team)},
                            {"Content-Type", "application/json"}}};
    if (!request.hint.empty()) {
        result.headers.emplace_back("Citronwick-Context", request.hint);
    }
    return result;
}

chat_reply parse_chat(reply raw) {
    chat_reply result{.raw = std::move(raw)};
    if (result.raw.header("Content-Type").starts_with("text/event-stream")) {
        for (const auto part : result.raw.body | std::views::split('\n')) {
            parse_line({part.begin(), part.end()}, result);
        }
    } else if (const auto body = parse_json_object(result.raw.body)) {
        constexpr unsigned ok = 200;
        result.has_done_event = result.raw.error.empty() && result.raw.status == ok;
        parse_choice(*body, "message", result);
        parse_usage(*body, result);
    }
    return result;
}

chat_reply chat(const endpoint& router, const chat_call& request) {
    auto result = parse_chat(http_call(router, to_call(request)));
    result.mode_matches =
        result.raw.header("Content-Type").starts_with("text/event-stream") == request.stream;
    return result;
}

} // namespace citronwick::harness
