#include "citronwick/fleet/routing_view.hpp"

#include <doctest/doctest.h>

using namespace citronwick;

TEST_CASE("an upstream that has left since it was chosen does not accept the request any more") {
    routing_view chosen_on;
    chosen_on.upstreams["drafts"] = {{.hash = 1}, {.hash = 2}};
    routing_view newest;
    newest.upstreams["drafts"] = {{.hash = 2}};
    CHECK(chosen_on.accepts_requests("drafts", 1));
    CHECK_FALSE(newest.accepts_requests("drafts", 1));
    CHECK(newest.accepts_requests("drafts", 2));
    CHECK_FALSE(newest.accepts_requests("orders", 2));
}
