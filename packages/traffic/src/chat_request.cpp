#include "citronwick/traffic/chat_request.hpp"

#include "citronwick/io/json_text.hpp"

#include <array>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <spdlog/fmt/fmt.h>

namespace citronwick {

namespace {

failure bad_request(std::string detail) {
    return {"read chat request", "caller", std::move(detail)};
}

constexpr int hexadecimal_base = 16;

} // namespace

result<chat_request> parse_chat_request(std::string_view body, std::string_view chat_header) {
    const auto object = parse_json_object(body);
    if (!object) {
        return fail(bad_request("the body is not a JSON object"));
    }
    chat_request request{.model = string_member(*object, "model"), .chat_id = std::string{chat_header}};
    const auto* const messages = array_member(*object, "messages");
    if (request.model.empty()) {
        return fail(bad_request("\"model\" is missing or not a string"));
    }
    if (messages == nullptr || messages->empty()) {
        return fail(bad_request("\"messages\" is missing or empty"));
    }
    if (request.chat_id.empty()) {
        request.chat_id = string_member(*object, "prompt_cache_key");
    }
    if (request.chat_id.empty()) {
        request.chat_id = boost::json::serialize(messages->front());
    }
    const auto* const stream = object->if_contains("stream");
    request.stream = stream != nullptr && stream->is_bool() && stream->as_bool();
    return request;
}

std::string to_text(const placement_hint& hint) {
    return fmt::format("{:x}.{:x}.{:x}", hint.chat_hash, hint.upstream, hint.incarnation);
}

std::optional<placement_hint> parse_placement_hint(std::string_view text) {
    std::array<std::uint64_t, 3> numbers{};
    const char* next = text.data();
    const char* const end = text.data() + text.size();
    for (std::uint64_t& number : numbers) {
        const auto [rest, error] = std::from_chars(next, end, number, hexadecimal_base);
        if (error != std::errc{}) {
            return std::nullopt;
        }
        next = rest != end && *rest == '.' ? rest + 1 : rest;
    }
    if (next != end) {
        return std::nullopt;
    }
    return placement_hint{numbers[0], numbers[1], numbers[2]};
}

} // namespace citronwick
