// A partitioned failure domain keeps serving what does not need the rest of the fleet.

#include "chat.hpp"
#include "fleet.hpp"
#include "waiting.hpp"

#include "citronwick/io/json_text.hpp"

#include <doctest/doctest.h>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

reply status_call(const router_node& router) {
    return http_call(router.callers(), {.target = "/services/shop-desk/bookings/1",
                                        .headers = {{"Authorization", "Bearer " + team_key("club")}}});
}

reply booking(const router_node& router, const std::string& key) {
    return http_call(router.callers(), {.method = "POST",
                                        .target = "/services/shop-desk/bookings",
                                        .headers = {{"Authorization", "Bearer " + team_key("club")},
                                                    {"Idempotency-Key", key}}});
}

std::int64_t generation(const fleet& system, const router_node& router) {
    return integer_member(system.view(router), "generation");
}

/// Number of routers that a router considers live.
std::int64_t live_routers(const fleet& system, const router_node& router) {
    return integer_member(system.view(router), "live_routers");
}

} // namespace

TEST_CASE("proof: a failure domain cut off from the others and the platform serves from its own upstreams") {
    fleet system{{.routers = 6,
                  .engines = 3,
                  .service_workers = 3,
                  .proxies = true,
                  .platform_settings = "timeout = \"400ms\""}};
    REQUIRE(system.wait_ready());
    auto& inside = system.routers()[2];  // ulsan-c
    auto& outside = system.routers()[0]; // busan-a
    system.isolate("ulsan-c");
    REQUIRE(
        wait_until([&] { return live_routers(system, inside) == 2 && live_routers(system, outside) == 4; }));

    CHECK(system.ctl({"preset", "use", "peak"}).exit == 0);
    CHECK(wait_until([&] { return generation(system, outside) == 2; }));
    CHECK(generation(system, inside) == 1);

    for (int index = 0; index < 12; ++index) {
        const chat_call request{.chat = "cut-" + std::to_string(index)};
        const auto answer = chat(inside.callers(), request);
        CHECK(answer.is_complete(4));
        CHECK(answer.raw.header("Citronwick-Upstream") == system.engines()[2].name);
        CHECK(chat(outside.callers(), request).is_complete(4));
    }
    CHECK(status_call(inside).status == 200);
    CHECK(status_call(outside).status == 200);
    const auto refused = booking(inside, "cut");
    CHECK(refused.status == 503);
    CHECK(refused.header("Citronwick-Outcome") == "not-run");
    CHECK(booking(outside, "cut").status == 201);

    SUBCASE("a router killed meanwhile starts again inside and waits for its configuration") {
        auto& restarted = system.routers()[5]; // ulsan-c
        system.restart_router(restarted);
        CHECK(wait_until([&] { return chat(restarted.callers(), {.chat = "again"}).is_complete(4); }));
        CHECK(generation(system, restarted) == 1);
    }
    SUBCASE("the key-value service fails too") {
        set_fault(system.key_value(), R"({"outage":1})");
    }

    system.clear_faults();
    CHECK(system.wait_generation(2, 13s));
    CHECK(
        wait_until([&] { return live_routers(system, inside) == 6 && live_routers(system, outside) == 6; }));
    set_fault(system.key_value(), "{}");
    CHECK(wait_until([&] { return booking(inside, "healed").status == 201; }));
}
