#include "chat.hpp"
#include "fleet.hpp"
#include "waiting.hpp"

#include "citronwick/io/json_text.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace citronwick;
using namespace citronwick::harness;

TEST_CASE("contract: a request goes from a caller through a router to an engine and back") {
    fleet system{{.routers = 2, .engines = 3, .service_workers = 1}};
    REQUIRE(system.wait_ready());
    const auto& first = system.routers()[0];
    const auto& second = system.routers()[1];

    const auto streamed = chat(first.callers(), {.tokens = 8});
    CHECK(streamed.is_complete(8));
    const std::string engine = streamed.raw.header("Citronwick-Upstream");
    CHECK_FALSE(engine.empty());

    const std::string prompt(4'000, 'x');
    const auto before = chat(first.callers(), {.chat = "long", .prompt = prompt});
    const auto after = chat(second.callers(), {.chat = "long", .prompt = prompt + "more", .stream = false});
    CHECK(after.is_complete(4));
    CHECK(after.raw.header("Citronwick-Upstream") == before.raw.header("Citronwick-Upstream"));
    CHECK(before.cached_tokens == 0);
    CHECK(after.cached_tokens > 900);

    const auto booked = http_call(
        first.callers(),
        {.method = "POST",
         .target = "/services/shop-desk/bookings",
         .body = R"({"cup":"silver"})",
         .headers = {{"Authorization", "Bearer " + team_key("club")}, {"Idempotency-Key", "booking-1"}}});
    CHECK(booked.status == 201);
    CHECK(booked.header("Citronwick-Outcome") == "complete");
    const auto looked_up =
        http_call(second.callers(), {.target = "/services/shop-desk/bookings/1",
                                     .headers = {{"Authorization", "Bearer " + team_key("club")}}});
    CHECK(looked_up.status == 200);

    CHECK(wait_until([&] { return !system.log_lines(first, "event=placement").empty(); }));
    const auto line = system.log_lines(first, "event=placement").front();
    CHECK(line.find("team=hanbit-north") != std::string::npos);
    CHECK(line.find("upstream=" + engine) != std::string::npos);

    CHECK(system.ctl({"preset", "use", "peak"}).exit == 0);
    CHECK(system.wait_generation(2));
    CHECK(string_member(system.view(second), "preset") == "peak");
}
