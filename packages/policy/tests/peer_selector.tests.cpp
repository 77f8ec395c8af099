#include "citronwick/policy/peer_selector.hpp"

#include <doctest/doctest.h>
#include <set>

using namespace citronwick;
using namespace std::chrono_literals;

TEST_CASE("requests are spread over the routers, and those that failed lately come last") {
    constexpr time_point now{1h};
    peer_selector selector;
    const std::vector<std::uint64_t> peers{1, 2, 3};
    std::set<std::uint64_t> first;
    for (std::uint64_t request = 0; request < 100; ++request) {
        first.insert(selector.rank(peers, request, now).front());
    }
    CHECK(first.size() == peers.size());
    selector.record_failure(2, now);
    for (std::uint64_t request = 0; request < 100; ++request) {
        CHECK(selector.rank(peers, request, now + 900ms).back() == 2);
    }
    CHECK(selector.rank(peers, 7, now + 2s) == peer_selector{}.rank(peers, 7, now));
}
