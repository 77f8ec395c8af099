#include "citronwick/io/superseded_changes.hpp"

#include <doctest/doctest.h>

using namespace citronwick;

TEST_CASE("of several values of a key the last one stays") {
    kv_changes seen{.changes = {{"a", "1", 1}, {"b", "1", 2}, {"a", "2", 3}, {"a", "3", 4}}, .revision = 4};
    drop_superseded(seen);
    REQUIRE(seen.changes.size() == 2);
    CHECK(seen.changes[0].key == "b");
    CHECK(seen.changes[1].value == "3");
    CHECK(seen.changes[1].revision == 4);
}

TEST_CASE("removals and the value before each of them stay") {
    kv_changes seen{
        .changes = {{"a", "ready", 1}, {"a", "leaving", 2}, {"a", std::nullopt, 3}, {"a", "new", 4}},
        .revision = 4};
    drop_superseded(seen);
    REQUIRE(seen.changes.size() == 3);
    CHECK(seen.changes[0].value == "leaving");
    CHECK_FALSE(seen.changes[1].value);
    CHECK(seen.changes[2].value == "new");
}
