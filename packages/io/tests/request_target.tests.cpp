#include "citronwick/io/request_target.hpp"

#include <doctest/doctest.h>

using namespace citronwick;

TEST_CASE("a target keeps what stands in its query apart") {
    CHECK(make_target("/v1/list", {}) == "/v1/list");
    CHECK(make_target("/v1/list", {{"prefix", ""}}) == "/v1/list?prefix=");
    CHECK(make_target("/v1/list", {{"prefix", "a/b"}, {"after", "c-d_e.f~0"}}) ==
          "/v1/list?prefix=a%2Fb&after=c-d_e.f~0");
    CHECK(make_target("/v1/list", {{"after", "&=+#% ?"}}) == "/v1/list?after=%26%3D%2B%23%25%20%3F");
    CHECK(make_target("/v1/list", {{"after", "\r\n\x7f\xc3\xa9\xff"}}) ==
          "/v1/list?after=%0D%0A%7F%C3%A9%FF");
    CHECK(make_target("/v1/list", {{"a&b", std::string_view{"\0", 1}}}) == "/v1/list?a%26b=%00");
}
