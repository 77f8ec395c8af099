// Prompts with a part that crashes every engine that begins to answer them.

#include "routed_fleet.hpp"
#include "waiting.hpp"

#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

constexpr const char* crashing_part = "bad0bad0";
constexpr auto stable_window = 3s;
constexpr std::size_t crashes_until_bound = 5;
/// Requests with the part that may still reach engines after the stable window.
constexpr std::size_t max_late_crashes = 3;

/// A stream whose prompt shares its first part with all others.
reply ask_stream(routed_fleet& system, const node& router, const std::string& attempt,
                 const std::string& second_part) {
    return system.ask(
        router, "/quote/stream/" + attempt, attempt,
        {{"Citronwick-Model", "m"},
         {"Citronwick-Token-Counts", "1000,20"},
         {"Citronwick-Prompt-Prefix", "5c1e07a2:600," + second_part + ":300," + attempt + ":100"}});
}

std::size_t crashed(const std::deque<node>& engines) {
    return static_cast<std::size_t>(
        std::ranges::count_if(engines, [](const node& engine) { return !engine.process->is_running(); }));
}

} // namespace

TEST_CASE("proof: a prompt part that crashes engines is refused on all routers, and only that part") {
    routed_fleet system{{.routers = 3, .engines = 14}};
    REQUIRE(system.wait_ready());
    set_faults(system.engines(), std::string{R"({"crash_on_part":")"} + crashing_part + "\"}");
    const auto ask_sound = [&](int count) {
        const std::string name = "a" + std::to_string(count);
        return ask_stream(system, system.routers()[static_cast<std::size_t>(count % 3)], name,
                          "c" + std::to_string(count % 4));
    };
    const auto ask_crashing = [&](int count) {
        const std::string name = "d" + std::to_string(count);
        return ask_stream(system, system.routers()[static_cast<std::size_t>(count % 3)], name, crashing_part);
    };
    int refused = 0;
    for (int count = 0; count < 30; ++count) {
        refused += ask_crashing(count).status == 422 ? 1 : 0;
        ask_sound(count);
        std::this_thread::sleep_for(150ms);
    }
    CHECK(crashed(system.engines()) <= crashes_until_bound + max_late_crashes);
    CHECK(refused >= 15);
    // The platform removes the entries of crashed workers.
    for (const node& engine : system.engines()) {
        if (!engine.process->is_running()) {
            system.unregister_worker(engine);
        }
    }
    std::this_thread::sleep_for(1s);
    for (int count = 30; count < 60; ++count) {
        CHECK(ask_sound(count).status == 200);
    }
    SUBCASE("a router that starts later learns of it") {
        system.start_router();
        REQUIRE(system.wait_ready());
        std::this_thread::sleep_for(stable_window);
        CHECK(ask_stream(system, system.routers().back(), "late", crashing_part).status == 422);
    }
}
