#ifndef CITRONWICK_TRAFFIC_HTTP_FRAMING_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_HTTP_FRAMING_HPP_INCLUDED

#include <boost/beast/http/fields.hpp>
#include <optional>
#include <string_view>

namespace citronwick {

/// Finds header syntax that HTTP parsers interpret differently. An upstream could
/// otherwise see a different request, or two requests in one (request smuggling).
/// @param raw header as received, up to and including its empty line
/// @return description of the error, none if the header is unambiguous
std::optional<std::string_view> find_header_error(std::string_view raw);

/// Whether a line of a header is too long for the HTTP library.
bool has_overlong_line(std::string_view raw);

/// Finds parsed fields that leave the host or the length of the body ambiguous.
/// @return description of the error, none if the fields are unambiguous
std::optional<std::string_view> find_framing_error(const boost::beast::http::fields& fields);

} // namespace citronwick

#endif
