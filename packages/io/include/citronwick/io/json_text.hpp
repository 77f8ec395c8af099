#ifndef CITRONWICK_IO_JSON_TEXT_HPP_INCLUDED
#define CITRONWICK_IO_JSON_TEXT_HPP_INCLUDED

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citronwick {

/// Parses a JSON object; nothing where the text is another value or malformed.
std::optional<boost::json::object> parse_json_object(std::string_view text);

/// Member that is a string, else empty.
std::string string_member(const boost::json::object& object, std::string_view name);

/// Member that is an integer or a decimal text of one, else 0. The JSON form
/// of Protocol Buffers writes 64-bit integers as texts.
std::int64_t integer_member(const boost::json::object& object, std::string_view name);

/// Member that is a number, else 0.
double number_member(const boost::json::object& object, std::string_view name);

/// Member that is an object, else null.
const boost::json::object* object_member(const boost::json::object& object, std::string_view name);

/// Member that is an array, else null.
const boost::json::array* array_member(const boost::json::object& object, std::string_view name);

/// Member that is an array of strings, else empty.
std::vector<std::string> texts_member(const boost::json::object& object, std::string_view name);

std::string base64_encode(std::string_view bytes);

/// @return nothing where the text is not base64
std::optional<std::string> base64_decode(std::string_view text);

} // namespace citronwick

#endif
