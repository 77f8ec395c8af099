#ifndef CITRONWICK_IO_JSON_TEXT_HPP_INCLUDED
#define CITRONWICK_IO_JSON_TEXT_HPP_INCLUDED

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citronwick {

/// Parses a JSON object.
/// @return nothing if the text is malformed or another kind of value
std::optional<boost::json::object> parse_json_object(std::string_view text);

/// Parses a JSON object whose strings need not be Unicode text. Invalid UTF-8 is kept as it is, and half of
/// a surrogate pair becomes the bytes that UTF-8 would have for its number.
/// @return nothing if the text is malformed or another kind of value
std::optional<boost::json::object> parse_json_object_of_bytes(std::string_view text);

/// Value of a string member, or an empty string if it is missing or of another type.
std::string string_member(const boost::json::object& object, std::string_view name);

/// Value of an integer member, or 0 if it is missing or of another type. Also accepts a
/// decimal string, as the JSON mapping of Protocol Buffers writes 64-bit integers that way.
std::int64_t integer_member(const boost::json::object& object, std::string_view name);

/// Value of a number member, or 0 if it is missing or of another type.
double number_member(const boost::json::object& object, std::string_view name);

/// Member object, or null if it is missing or of another type.
const boost::json::object* object_member(const boost::json::object& object, std::string_view name);

/// Member array, or null if it is missing or of another type.
const boost::json::array* array_member(const boost::json::object& object, std::string_view name);

/// Values of an array of strings; empty if the member is missing or no array, with an empty string for
/// each element of another type.
std::vector<std::string> string_array_member(const boost::json::object& object, std::string_view name);

/// Calls a function for each object in an array member; elements of other types are skipped.
template <class Function>
void for_each_object(const boost::json::object& object, std::string_view name, Function function) {
    const auto* const list = array_member(object, name);
    if (list == nullptr) {
        return;
    }
    for (const boost::json::value& each : *list) {
        if (each.is_object()) {
            function(each.as_object());
        }
    }
}

std::string base64_encode(std::string_view bytes);

/// @return nothing if the text is not base64
std::optional<std::string> base64_decode(std::string_view text);

} // namespace citronwick

#endif
