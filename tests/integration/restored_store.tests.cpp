// The platform's store comes back from a copy that is some seconds old.

#include "routed_fleet.hpp"
#include "waiting.hpp"

#include "citronwick/io/json_text.hpp"

#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

std::int64_t calls_of(const node& store) {
    const auto status = http_call(store.address(), {.target = "/standin/status"});
    return integer_member(*parse_json_object(status.body), "calls");
}

bool all_serve(routed_fleet& fleet, const std::string& path, const std::string& key) {
    int count = 0;
    return std::ranges::all_of(fleet.routers(), [&](const node& router) {
        return fleet.ask(router, path, key + std::to_string(++count), {{"X-Api-Key", key}}).status == 200;
    });
}

} // namespace

TEST_CASE(
    "proof: a change that is written after the store came back from a copy is in force on all routers") {
    routed_fleet fleet{{.routers = 3}};
    REQUIRE(fleet.wait_ready());
    set_fault(fleet.store(), R"({"copy":1})");
    for (int version = 0; version < 4; ++version) {
        fleet.declare({"club-key"}, 1);
    }
    REQUIRE(fleet.wait_ready());
    set_fault(fleet.store(), R"({"restore":1})");
    std::this_thread::sleep_for(500ms);
    // The new versions are written at revisions that the store has given out before.
    fleet.declare({"club-key"}, 1);
    fleet.declare({"club-key", "second-key"}, 2);
    CHECK(wait_until([&] { return all_serve(fleet, "/more-1/x", "second-key"); }, 2s));
}

TEST_CASE("proof: a revoked key and an upstream that left stay out when the store comes back from a copy") {
    routed_fleet fleet{{.routers = 3}};
    fleet.declare({"club-key", "lost-key"});
    REQUIRE(fleet.wait_ready());
    set_fault(fleet.store(), R"({"copy":1})");
    fleet.declare({"club-key"});
    fleet.unregister_worker(fleet.plain_workers()[0]);
    REQUIRE(fleet.wait_ready());
    // A removal that the store loses before any router has read it cannot be kept.
    REQUIRE(wait_until([&] {
        return std::ranges::none_of(fleet.routers(), [](const node& router) {
            return find_log_lines(router, "event=upstream_entry_removed").empty();
        });
    }));
    set_fault(fleet.store(), R"({"restore":1})");
    for (int count = 0; count < 60; ++count) {
        const node& router = fleet.routers()[static_cast<std::size_t>(count) % 3];
        const std::string attempt = "c" + std::to_string(count);
        CHECK(fleet.ask(router, "/read/1", "k" + attempt, {{"X-Api-Key", "lost-key"}}).status == 401);
        CHECK(fleet.ask(router, "/read/1", attempt).status == 200);
        CHECK(runs_of(fleet.plain_workers()[0], attempt) == 0);
        std::this_thread::sleep_for(50ms);
    }
}

TEST_CASE("proof: callers are served and the store is not flooded when it comes back from a copy") {
    routed_fleet fleet{{.routers = 3}};
    REQUIRE(fleet.wait_ready());
    set_fault(fleet.store(), R"({"copy":1})");
    fleet.start_router();
    fleet.declare({"club-key"}, 1);
    REQUIRE(fleet.wait_ready());
    // Longer than keys are trusted without a confirmation.
    constexpr auto watched = 6s;
    const auto calm_begin = calls_of(fleet.store());
    std::this_thread::sleep_for(watched);
    const auto calm_calls = calls_of(fleet.store()) - calm_begin;
    set_fault(fleet.store(), R"({"restore":1})");
    const auto begin = calls_of(fleet.store());
    int refused = 0;
    const auto end = std::chrono::steady_clock::now() + watched;
    for (int count = 0; std::chrono::steady_clock::now() < end; ++count) {
        const node& router = fleet.routers()[static_cast<std::size_t>(count) % 4];
        refused += fleet.ask(router, "/read/1", "s" + std::to_string(count)).status == 200 ? 0 : 1;
        std::this_thread::sleep_for(20ms);
    }
    CHECK(refused == 0);
    // One listing of several pages each, and what the routers write again.
    constexpr std::int64_t calls_of_four_routers = 80;
    CHECK(calls_of(fleet.store()) - begin <= calm_calls + calls_of_four_routers);
}

TEST_CASE("proof: what a router wrote is there again after the store came back from a copy") {
    routed_fleet fleet{{.routers = 1}};
    REQUIRE(fleet.wait_ready());
    set_fault(fleet.store(), R"({"copy":1})");
    fleet.start_router();
    REQUIRE(fleet.wait_ready());
    set_fault(fleet.store(), R"({"restore":1})");
    std::this_thread::sleep_for(1s);
    // A router that starts now learns of the second one from the store alone.
    fleet.start_router();
    CHECK(fleet.wait_ready(5s));
    set_fault(fleet.store(), R"({"restore":1})");
    CHECK(fleet.wait_ready(5s));
}
