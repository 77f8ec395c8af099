// Requests that are cut when a router ends.

#include "chat.hpp"
#include "fleet.hpp"
#include "routed_fleet.hpp"
#include "waiting.hpp"

#include "citronwick/io/json_text.hpp"

#include <csignal>
#include <doctest/doctest.h>
#include <string>
#include <thread>
#include <vector>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

constexpr const char* short_drain = "drain_limit = \"100ms\"\n";

std::string metrics_of(const endpoint& operators) {
    return http_call(operators, {.target = "/metrics"}).body;
}

/// Stops a router whose requests outlast the drain limit.
void check_cut(const node& router) {
    router.process->signal(SIGTERM);
    CHECK(router.process->wait(20s) == 0);
    CHECK(find_log_lines(router, "drain_limit_reached").size() == 1);
    CHECK(find_log_lines(router, "ERROR: AddressSanitizer").empty());
}

} // namespace

TEST_CASE("proof: a router that cuts routed requests at its drain limit ends with 0") {
    routed_fleet system{{.routers = 1, .plain_workers = 1, .engines = 1, .shutdown_settings = short_drain}};
    REQUIRE(system.wait_ready());
    const node& router = system.routers()[0];
    set_faults(system.plain_workers(), R"({"mode":"silent"})");
    set_faults(system.engines(), R"({"event_gap_ms":60000})");
    std::vector<std::jthread> callers;
    for (const char* const path : {"/read/1", "/book/1", "/quote/stream/1", "/guide/stream/1"}) {
        callers.emplace_back([&system, &router, path] { system.ask(router, path, path); });
    }
    REQUIRE(wait_until([&] { return integer_member(system.view(router), "requests_in_flight") == 4; }));
    check_cut(router);
}

TEST_CASE("proof: a router ends with 0 soon after a permit was not answered") {
    routed_fleet system{{.routers = 2, .plain_workers = 1, .engines = 0}};
    REQUIRE(system.wait_ready());
    set_faults(system.plain_workers(), R"({"limit":"1000"})");
    const std::string silent = "decision=\"silent\"";
    // One of the two is the other's coordinator.
    for (std::size_t index = 0; index < 2; ++index) {
        const node& router = system.routers()[index];
        const node& other = system.routers()[1 - index];
        REQUIRE(wait_until([&] { return system.ask(router, "/read/1", "warm").status == 200; }));
        other.process->signal(SIGSTOP);
        system.ask(router, "/read/1", "p" + std::to_string(index));
        const bool is_silent = metrics_of(router.addresses.at(1)).find(silent) != std::string::npos;
        router.process->signal(SIGTERM);
        CHECK(router.process->wait(20s) == 0);
        CHECK(find_log_lines(router, "ERROR: AddressSanitizer").empty());
        other.process->signal(SIGCONT);
        if (is_silent) {
            return;
        }
    }
    FAIL("no permit was left unanswered");
}

TEST_CASE("proof: a router that cuts a booking at its drain limit while it waits for a claim ends with 0") {
    fleet system{{.routers = 1,
                  .engines = 0,
                  .service_workers = 1,
                  .service = "idempotency_key = \"required\"",
                  .shutdown_settings = short_drain,
                  .platform_settings = "timeout = \"10s\""}};
    REQUIRE(system.wait_ready());
    const router_node& router = system.routers()[0];
    set_fault(system.key_value(), R"({"silence":1})");
    const std::jthread caller{[&router] {
        http_call(router.callers(),
                  {.method = "POST",
                   .target = "/services/shop-desk/bookings",
                   .body = "{}",
                   .headers = {{"Authorization", "Bearer " + team_key("club")}, {"Idempotency-Key", "b1"}}});
    }};
    REQUIRE(wait_until([&] { return integer_member(system.view(router), "requests_in_flight") == 1; }));
    check_cut(router);
}

TEST_CASE("proof: a router that cuts queued chats at its drain limit ends with 0") {
    fleet system{{.routers = 1,
                  .engines = 1,
                  .service_workers = 0,
                  .preset = "engine_concurrency = 1\nqueue_timeout = \"20s\"\nqueue_length = 8",
                  .shutdown_settings = short_drain}};
    REQUIRE(system.wait_ready());
    const router_node& router = system.routers()[0];
    set_fault(system.engines()[0], R"({"stall":1})");
    std::vector<std::jthread> callers;
    for (int count = 0; count < 6; ++count) {
        callers.emplace_back([&router, count] {
            chat(router.callers(), {.chat = "q" + std::to_string(count), .tokens = 40});
        });
    }
    REQUIRE(wait_until([&] { return integer_member(system.view(router), "requests_in_flight") == 6; }));
    check_cut(router);
}
