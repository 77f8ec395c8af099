#include "citronwick/core/endpoint.hpp"
#include "citronwick/core/hash.hpp"
#include "citronwick/core/time.hpp"

#include <array>
#include <doctest/doctest.h>

using namespace std::chrono_literals;

TEST_CASE("durations need a number and a known unit") {
    CHECK(citronwick::parse_duration("250ms") == 250ms);
    CHECK(citronwick::parse_duration("3s") == 3s);
    CHECK(citronwick::parse_duration("2h") == 2h);
    for (const auto* const invalid : {"", "s", "3", "-1s", "3 s", "3d", "3ss"}) {
        CAPTURE(invalid);
        CHECK_FALSE(citronwick::parse_duration(invalid).has_value());
    }
    CHECK(citronwick::to_text(1500ms) == "1500ms");
    CHECK(citronwick::to_text(120s) == "2m");
}

TEST_CASE("endpoints take numeric addresses only") {
    CHECK(citronwick::parse_endpoint("127.0.0.1:80") == citronwick::endpoint{"127.0.0.1", 80});
    CHECK(citronwick::to_text(*citronwick::parse_endpoint("[::1]:80")) == "[::1]:80");
    for (const auto* const invalid :
         {"", "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:99999", "127.0.0.1:8x"}) {
        CAPTURE(invalid);
        CHECK_FALSE(citronwick::parse_endpoint(invalid).has_value());
    }
}

TEST_CASE("an endpoint has no scope, whose text need not be a number") {
    for (const auto* const invalid :
         {"[fe80::1%0\r\nX-Injected: yes]:80", "fe80::1%0\n:80", "[fe80::1%eth0]:80", "[::1%]:80"}) {
        CAPTURE(invalid);
        CHECK_FALSE(citronwick::parse_endpoint(invalid).has_value());
    }
}

TEST_CASE("digests match their published test vectors") {
    CHECK(citronwick::sha256_hex("abc") ==
          "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(citronwick::sha256_hex(citronwick::hmac_sha256("Jefe", "what do ya want for nothing?")).size() ==
          64);
    CHECK(citronwick::equal_constant_time("same", "same"));
    CHECK_FALSE(citronwick::equal_constant_time("same", "some"));
}

TEST_CASE("the hash of parts is that of their concatenation") {
    const std::string body(1'000, 'x');
    CHECK(citronwick::hash64({"POST", " ", "/a", body}) == citronwick::hash64("POST /a" + body));
    CHECK(citronwick::hash64({""}) == citronwick::hash64(""));
}
