#include "citronwick/policy/key_freshness.hpp"

#include <doctest/doctest.h>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

constexpr boot_time at(duration since_start) {
    return boot_time{std::chrono::nanoseconds{1h + since_start}.count()};
}

} // namespace

TEST_CASE("keys are trusted only after a confirmation and until it expires") {
    key_freshness keys{5s};
    CHECK_FALSE(keys.is_fresh(at(0s)));
    keys.confirm(at(1s));
    CHECK(keys.is_fresh(at(5900ms)));
    CHECK_FALSE(keys.is_fresh(at(6s)));
    CHECK(*keys.age(at(3s)) == 2s);
}

TEST_CASE("a router does not trust a confirmation from before it was suspended") {
    key_freshness keys{5s};
    keys.confirm(at(1s));
    // The clock keeps running while the VM is suspended.
    CHECK_FALSE(keys.is_fresh(at(9s)));
}

TEST_CASE("a delayed response confirms the keys only up to the time of its request") {
    key_freshness keys{5s};
    keys.confirm(at(3s));
    keys.confirm(at(1s));
    CHECK(*keys.age(at(4s)) == 1s);
}

TEST_CASE("a peer's confirmation ages from the time of the request") {
    key_freshness keys{5s};
    CHECK(keys.confirm_by_peer(at(2s), 1s, {7}, {7}));
    CHECK(*keys.age(at(4s)) == 3s);
}

TEST_CASE("a response that was buffered while the router was suspended does not make the keys fresh") {
    key_freshness keys{5s};
    CHECK(keys.confirm_by_peer(at(0s), 100ms, {7}, {7}));
    CHECK_FALSE(keys.is_fresh(at(8s)));
}

TEST_CASE("a response from a peer with a newer revision does not confirm the keys") {
    key_freshness keys{5s};
    CHECK_FALSE(keys.confirm_by_peer(at(2s), 1s, {8}, {7}));
    CHECK_FALSE(keys.is_fresh(at(2s)));
    CHECK_FALSE(keys.confirm_by_peer(at(2s), -1s, {7}, {7}));
}

TEST_CASE("a response from a peer with a newer revision confirms the keys once its changes have arrived") {
    key_freshness keys{5s};
    CHECK_FALSE(keys.confirm_by_peer(at(2s), 1s, {8}, {7}));
    CHECK_FALSE(keys.advance({7}));
    CHECK(keys.advance({9}));
    CHECK(*keys.age(at(3s)) == 2s);
    CHECK_FALSE(keys.advance({10}));
}

TEST_CASE("a confirmation of another history counts only once this router follows that history") {
    key_freshness keys{5s};
    CHECK_FALSE(keys.confirm_by_peer(at(2s), 1s, {3, 2}, {30, 1}));
    CHECK_FALSE(keys.advance({31, 1}));
    CHECK_FALSE(keys.is_fresh(at(2s)));
    CHECK(keys.advance({3, 2}));
    CHECK(keys.is_fresh(at(2s)));
}
