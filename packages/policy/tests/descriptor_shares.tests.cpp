#include "citronwick/policy/descriptor_shares.hpp"

#include <doctest/doctest.h>

using namespace citronwick;

TEST_CASE("callers leave descriptors for upstreams, files and control") {
    constexpr std::size_t platform_files = 200;
    const auto shares = share_descriptors(4'100, 4'096);
    CHECK(shares.callers < 4'096);
    CHECK(shares.upstreams >= 900);
    CHECK(shares.callers + shares.refusals + shares.upstreams < 4'100 - platform_files);
}

TEST_CASE("the configured limit on callers holds where there are descriptors enough") {
    CHECK(share_descriptors(1'048'576, 4'096).callers == 4'096);
    CHECK(share_descriptors(4'100, 50).callers == 50);
}

TEST_CASE("a process with few descriptors still serves callers") {
    const auto shares = share_descriptors(200, 4'096);
    CHECK(shares.callers > 50);
    CHECK(shares.upstreams > 20);
    CHECK(shares.refusals > 0);
    CHECK(shares.callers + shares.refusals + shares.upstreams < 200);
    CHECK(share_descriptors(0, 4'096).callers == 0);
}
