#include "citronwick/wire/sequence_window.hpp"

#include <doctest/doctest.h>

using namespace citronwick;

TEST_CASE("messages that overtake each other are accepted once, and replayed ones never") {
    wire::sequence_window window;
    CHECK(window.accept({1, 5, 10}));
    CHECK(window.accept({1, 5, 8}));
    CHECK_FALSE(window.accept({1, 5, 10}));
    CHECK_FALSE(window.accept({1, 5, 8}));
    CHECK(window.accept({2, 5, 10}));
    CHECK(window.accept({1, 5, 10 + wire::sequence_window::size}));
    CHECK_FALSE(window.accept({1, 5, 10}));
    CHECK_FALSE(window.accept({1, 5, 9}));
    CHECK(window.accept({1, 5, 11}));
    CHECK(window.accept({1, 6, 1}));
    CHECK_FALSE(window.accept({1, 5, 5'000}));
}
