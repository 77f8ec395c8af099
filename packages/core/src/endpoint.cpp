#include "citronwick/core/endpoint.hpp"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace citronwick {

std::optional<endpoint> parse_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']')) {
        host = host.substr(1, host.size() - 2);
    }
    // Boost takes any text behind the sign for the scope of an address.
    if (host.find('%') != std::string_view::npos) {
        return std::nullopt;
    }
    boost::system::error_code address_error;
    boost::asio::ip::make_address(host, address_error);
    const std::string digits{text.substr(colon + 1)};
    endpoint parsed{std::string{host}};
    const char* const last = digits.data() + digits.size();
    const auto [end, error] = std::from_chars(digits.data(), last, parsed.port);
    if (address_error || error != std::errc{} || end != last) {
        return std::nullopt;
    }
    return parsed;
}

std::string to_text(const endpoint& value) {
    const bool is_v6 = value.ip.find(':') != std::string::npos;
    return (is_v6 ? "[" + value.ip + "]" : value.ip) + ":" + std::to_string(value.port);
}

} // namespace citronwick
