#include "citronwick/policy/key_freshness.hpp"

#include <doctest/doctest.h>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

constexpr boot_time at(duration since_start) {
    return boot_time{std::chrono::nanoseconds{1h + since_start}.count()};
}

} // namespace

TEST_CASE("keys are not trusted before a confirmation and after its lifetime") {
    key_freshness keys{5s};
    CHECK_FALSE(keys.is_fresh(at(0s)));
    keys.confirm(at(1s));
    CHECK(keys.is_fresh(at(5900ms)));
    CHECK_FALSE(keys.is_fresh(at(6s)));
    CHECK(*keys.age(at(3s)) == 2s);
}

TEST_CASE("a router that was frozen does not trust what it confirmed before") {
    key_freshness keys{5s};
    keys.confirm(at(1s));
    // The clock goes on while the VM is suspended.
    CHECK_FALSE(keys.is_fresh(at(9s)));
}

TEST_CASE("a late answer confirms no more than the moment at which it was asked for") {
    key_freshness keys{5s};
    keys.confirm(at(3s));
    keys.confirm(at(1s));
    CHECK(*keys.age(at(4s)) == 1s);
}

TEST_CASE("a peer's answer is as old as its confirmation and its way back") {
    key_freshness keys{5s};
    CHECK(keys.confirm_by_peer(at(2s), 1s, 7, 7));
    CHECK(*keys.age(at(4s)) == 3s);
}

TEST_CASE("an answer that lay in a buffer while the router was frozen confirms nothing new") {
    key_freshness keys{5s};
    CHECK(keys.confirm_by_peer(at(0s), 100ms, 7, 7));
    CHECK_FALSE(keys.is_fresh(at(8s)));
}

TEST_CASE("a peer that knows of changes which this router lacks confirms nothing") {
    key_freshness keys{5s};
    CHECK_FALSE(keys.confirm_by_peer(at(2s), 1s, 8, 7));
    CHECK_FALSE(keys.is_fresh(at(2s)));
    CHECK_FALSE(keys.confirm_by_peer(at(2s), -1s, 7, 7));
}
