#include "citronwick/traffic/http_framing.hpp"

#include "citronwick/io/http_connection.hpp"

#include <boost/beast/core/string.hpp>
#include <iterator>

namespace citronwick {

namespace http = boost::beast::http;

std::optional<std::string_view> find_header_error(std::string_view raw) {
    if (raw.find('\0') != std::string_view::npos) {
        return "the header holds a zero byte";
    }
    if (raw.find("\r\n ") != std::string_view::npos || raw.find("\r\n\t") != std::string_view::npos) {
        return "a header line is folded";
    }
    for (auto end = raw.find('\n'); end != std::string_view::npos; end = raw.find('\n', end + 1)) {
        if (end == 0 || raw[end - 1] != '\r') {
            return "a header line ends without a carriage return";
        }
    }
    return std::nullopt;
}

bool has_overlong_line(std::string_view raw) {
    std::size_t begin = 0;
    for (auto end = raw.find('\n'); end != std::string_view::npos; end = raw.find('\n', begin)) {
        if (end - begin > max_read_buffer_bytes) {
            return true;
        }
        begin = end + 1;
    }
    return false;
}

std::optional<std::string_view> find_framing_error(const http::fields& fields) {
    if (fields.count(http::field::host) != 1) {
        return "there must be one Host field";
    }
    const auto lengths = fields.count(http::field::content_length);
    const auto codings = fields.count(http::field::transfer_encoding);
    if (lengths > 1 || codings > 1 || (lengths > 0 && codings > 0)) {
        return "the length of the body is given twice";
    }
    if (codings == 1 && !boost::beast::iequals(fields[http::field::transfer_encoding], "chunked")) {
        return "the only transfer coding is chunked";
    }
    return std::nullopt;
}

} // namespace citronwick
