#include "citronwick/core/store_position.hpp"

#include <doctest/doctest.h>

using namespace citronwick;

TEST_CASE("short sequence numbers rise with positions, also when the era rises or they wrap around") {
    const auto shortened = [](const store_position& position) {
        return shorten_sequence_number(to_sequence_number(position));
    };
    const auto rises = [&](const store_position& from, const store_position& to) {
        return static_cast<std::int32_t>(shortened(to) - shortened(from)) > 0;
    };
    CHECK(rises({24, 1}, {25, 1}));
    CHECK(rises({25, 1}, {23, 2}));
    CHECK(rises({(1 << 24) - 1, 3}, {1 << 24, 3}));
    CHECK(rises({25, 255}, {23, 256}));
}
