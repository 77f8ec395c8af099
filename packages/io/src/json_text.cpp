#include "citronwick/io/json_text.hpp"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <charconv>
#include <openssl/evp.h>

namespace citronwick {

namespace {

std::optional<boost::json::object> parse(std::string_view text, const boost::json::parse_options& options) {
    boost::system::error_code error;
    boost::json::value value = boost::json::parse(text, error, {}, options);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.as_object());
}

constexpr std::uint32_t first_surrogate = 0xd800;
constexpr std::uint32_t first_trailing_surrogate = 0xdc00;
constexpr std::uint32_t last_surrogate = 0xdfff;
/// Length of "\\uXXXX".
constexpr std::size_t unicode_escape_length = 6;

/// Number in the escape of a surrogate with which a text begins.
std::optional<std::uint32_t> surrogate_at_begin(std::string_view text) {
    constexpr int base = 16;
    if (text.size() < unicode_escape_length || !text.starts_with("\\u")) {
        return std::nullopt;
    }
    std::uint32_t number = 0;
    const char* const last = text.data() + unicode_escape_length;
    const auto [end, error] = std::from_chars(text.data() + 2, last, number, base);
    const bool is_surrogate = number >= first_surrogate && number <= last_surrogate;
    return error == std::errc{} && end == last && is_surrogate ? std::optional{number} : std::nullopt;
}

/// The three bytes that UTF-8 would have for a surrogate.
std::string encode_surrogate(std::uint32_t number) {
    constexpr std::uint32_t lead = 0xe0;
    constexpr std::uint32_t continuation = 0x80;
    constexpr std::uint32_t payload_mask = 0x3f;
    constexpr unsigned payload_bits = 6;
    return {static_cast<char>(lead | (number >> (2 * payload_bits))),
            static_cast<char>(continuation | ((number >> payload_bits) & payload_mask)),
            static_cast<char>(continuation | (number & payload_mask))};
}

/// Replaces the escapes of halves of surrogate pairs, which Boost.JSON refuses, by bytes.
std::string replace_unpaired_surrogates(std::string_view text) {
    std::string replaced;
    while (!text.empty()) {
        std::size_t length = text.starts_with('\\') ? std::min<std::size_t>(2, text.size()) : 1;
        const auto surrogate = surrogate_at_begin(text);
        if (surrogate) {
            const auto next = surrogate_at_begin(text.substr(unicode_escape_length));
            const bool is_pair =
                *surrogate < first_trailing_surrogate && next.value_or(0) >= first_trailing_surrogate;
            length = is_pair ? 2 * unicode_escape_length : unicode_escape_length;
            replaced += is_pair ? std::string{text.substr(0, length)} : encode_surrogate(*surrogate);
        } else {
            replaced += text.substr(0, length);
        }
        text.remove_prefix(length);
    }
    return replaced;
}

} // namespace

std::optional<boost::json::object> parse_json_object(std::string_view text) {
    return parse(text, {});
}

std::optional<boost::json::object> parse_json_object_of_bytes(std::string_view text) {
    boost::json::parse_options options;
    options.allow_invalid_utf8 = true;
    auto parsed = parse(text, options);
    return parsed ? std::move(parsed) : parse(replace_unpaired_surrogates(text), options);
}

std::string string_member(const boost::json::object& object, std::string_view name) {
    const auto* const value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string{value->as_string()} : std::string{};
}

std::int64_t integer_member(const boost::json::object& object, std::string_view name) {
    const auto* const value = object.if_contains(name);
    if (value == nullptr) {
        return 0;
    }
    if (value->is_string()) {
        const auto& text = value->as_string();
        std::int64_t number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }
    boost::system::error_code error;
    const auto number = value->to_number<std::int64_t>(error);
    return error ? 0 : number;
}

double number_member(const boost::json::object& object, std::string_view name) {
    const auto* const value = object.if_contains(name);
    if (value == nullptr) {
        return 0.0;
    }
    boost::system::error_code error;
    const auto number = value->to_number<double>(error);
    return error ? 0.0 : number;
}

const boost::json::object* object_member(const boost::json::object& object, std::string_view name) {
    const auto* const value = object.if_contains(name);
    return value == nullptr ? nullptr : value->if_object();
}

const boost::json::array* array_member(const boost::json::object& object, std::string_view name) {
    const auto* const value = object.if_contains(name);
    return value == nullptr ? nullptr : value->if_array();
}

std::vector<std::string> string_array_member(const boost::json::object& object, std::string_view name) {
    std::vector<std::string> strings;
    if (const auto* const array = array_member(object, name)) {
        std::ranges::transform(*array, std::back_inserter(strings), [](const boost::json::value& each) {
            return each.is_string() ? std::string{each.as_string()} : std::string{};
        });
    }
    return strings;
}

std::string base64_encode(std::string_view bytes) {
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::string> base64_decode(std::string_view text) {
    std::string bytes(3 * (text.size() / 4) + 3, '\0');
    const int length =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (length < 0) {
        return std::nullopt;
    }
    const std::size_t padding = text.ends_with("==") ? 2 : (text.ends_with('=') ? 1 : 0);
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

} // namespace citronwick
