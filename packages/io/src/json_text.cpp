#include "citronwick/io/json_text.hpp"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <charconv>
#include <openssl/evp.h>

namespace citronwick {

std::optional<boost::json::object> parse_json_object(std::string_view text) {
    boost::system::error_code error;
    boost::json::value value = boost::json::parse(text, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.as_object());
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
