#include "citronwick/io/superseded_changes.hpp"

#include <doctest/doctest.h>

using namespace citronwick;

TEST_CASE("of several values of a key only the last is kept") {
    kv_changes batch{.changes = {{"a", "1", {1}}, {"b", "1", {2}}, {"a", "2", {3}}, {"a", "3", {4}}},
                     .position = {4}};
    drop_superseded(batch);
    REQUIRE(batch.changes.size() == 2);
    CHECK(batch.changes[0].key == "b");
    CHECK(batch.changes[1].value == "3");
    CHECK(batch.changes[1].position.revision == 4);
}

TEST_CASE("removals and the last value before each are kept") {
    kv_changes batch{
        .changes = {{"a", "ready", {1}}, {"a", "leaving", {2}}, {"a", std::nullopt, {3}}, {"a", "new", {4}}},
        .position = {4}};
    drop_superseded(batch);
    REQUIRE(batch.changes.size() == 3);
    CHECK(batch.changes[0].value == "leaving");
    CHECK_FALSE(batch.changes[1].value);
    CHECK(batch.changes[2].value == "new");
}
