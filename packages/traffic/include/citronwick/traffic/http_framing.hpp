#ifndef CITRONWICK_TRAFFIC_HTTP_FRAMING_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_HTTP_FRAMING_HPP_INCLUDED

#include <boost/beast/http/fields.hpp>
#include <optional>
#include <string_view>

namespace citronwick {

/// Looks for what makes a request's end or its host ambiguous, so that an
/// upstream could read it as another request or as two.
/// @param raw header as it arrived, up to and with its empty line
/// @return what is wrong, none where the header is unambiguous
std::optional<std::string_view> find_header_fault(std::string_view raw);

/// As above, for the parsed fields.
std::optional<std::string_view> find_framing_fault(const boost::beast::http::fields& fields);

} // namespace citronwick

#endif
