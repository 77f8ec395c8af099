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

/// Reads "127.0.0.1:8080"; IPv6 addresses stand in brackets.
std::optional<endpoint> parse_endpoint(std::string_view text);

/// Writes what `parse_endpoint` reads.
std::string to_text(const endpoint& value);

} // namespace citronwick

#endif
