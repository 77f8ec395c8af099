#ifndef CITRONWICK_IO_REQUEST_TARGET_HPP_INCLUDED
#define CITRONWICK_IO_REQUEST_TARGET_HPP_INCLUDED

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace citronwick {

/// Name and value of a parameter in a query; any bytes.
using query_parameter = std::pair<std::string_view, std::string_view>;

/// Builds the target of a request from a path and the parameters of its query. Names and values are
/// percent-encoded, so that servers that read queries as URIs or as forms read them alike.
std::string make_target(std::string_view path, std::initializer_list<query_parameter> parameters);

} // namespace citronwick

#endif
