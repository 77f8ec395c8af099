#include "citronwick/traffic/http_framing.hpp"

#include <doctest/doctest.h>
#include <string>

using namespace citronwick;

namespace {

boost::beast::http::fields make_fields(std::initializer_list<std::pair<const char*, const char*>> list) {
    boost::beast::http::fields fields;
    for (const auto& [name, value] : list) {
        fields.insert(name, value);
    }
    return fields;
}

} // namespace

TEST_CASE("ambiguous header syntax is rejected") {
    CHECK_FALSE(find_header_error("GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
    CHECK(find_header_error("GET / HTTP/1.1\r\nHost: a\r\n folded\r\n\r\n"));
    CHECK(find_header_error("GET / HTTP/1.1\r\nHost: a\r\n\tfolded\r\n\r\n"));
    CHECK(find_header_error("GET / HTTP/1.1\nHost: a\r\n\r\n"));
    std::string with_zero = "GET / HTTP/1.1\r\nHost: a b\r\n\r\n";
    with_zero[with_zero.find(" b")] = '\0';
    CHECK(find_header_error(with_zero));
}

TEST_CASE("lines that are too long for the HTTP library are found") {
    const std::string begin = "GET / HTTP/1.1\r\nHost: a\r\nX-Long: ";
    CHECK_FALSE(has_overlong_line(begin + std::string(60'000, 'x') + "\r\n\r\n"));
    CHECK(has_overlong_line(begin + std::string(65'600, 'x') + "\r\n\r\n"));
    CHECK(has_overlong_line("GET /" + std::string(65'600, 'x') + " HTTP/1.1\r\nHost: a\r\n\r\n"));
}

TEST_CASE("ambiguous body lengths and hosts are rejected") {
    CHECK_FALSE(find_framing_error(make_fields({{"Host", "a"}})));
    CHECK_FALSE(find_framing_error(make_fields({{"Host", "a"}, {"Content-Length", "3"}})));
    CHECK_FALSE(find_framing_error(make_fields({{"Host", "a"}, {"Transfer-Encoding", "Chunked"}})));
    CHECK(find_framing_error(make_fields({})));
    CHECK(find_framing_error(make_fields({{"Host", "a"}, {"Host", "b"}})));
    CHECK(find_framing_error(make_fields({{"Host", "a"}, {"Transfer-Encoding", "xchunked"}})));
    CHECK(find_framing_error(make_fields({{"Host", "a"}, {"Transfer-Encoding", "gzip, chunked"}})));
    CHECK(find_framing_error(
        make_fields({{"Host", "a"}, {"Transfer-Encoding", "chunked"}, {"Content-Length", "3"}})));
    CHECK(find_framing_error(make_fields({{"Host", "a"}, {"Content-Length", "3"}, {"Content-Length", "4"}})));
}
