#ifndef CITRONWICK_CORE_ENDPOINT_HPP_INCLUDED
#define CITRONWICK_CORE_ENDPOINT_HPP_INCLUDED

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace citronwick {

/// Numeric IP address and port.
struct endpoint {
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
};

/// Parses an endpoint such as "127.0.0.1:8080" or "[::1]:8080".
/// @return nullopt if the address is not numeric or has a scope, or the port is invalid
std::optional<endpoint> parse_endpoint(std::string_view text);

/// Formats an endpoint, with brackets around an IPv6 address.
std::string to_text(const endpoint& value);

} // namespace citronwick

#endif
