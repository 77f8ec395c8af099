// Upstreams that name how many requests a second they take from all routers together.

#include "routed_fleet.hpp"
#include "steady_load.hpp"
#include "waiting.hpp"

#include "citronwick/core/time.hpp"

#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

/// Time after which a router that has just started has its part of the limits.
constexpr auto permit_share_delay = 2s;

std::int64_t milliseconds_now() {
    return clock::now().time_since_epoch() / 1ms;
}

/// Largest number of arrivals from `begin` on within any four seconds.
std::int64_t most_in_window(std::vector<std::int64_t> arrivals, std::int64_t begin) {
    constexpr std::int64_t window = 4'000;
    std::erase_if(arrivals, [begin](std::int64_t at) { return at < begin; });
    std::int64_t most = 0;
    for (const std::int64_t first : arrivals) {
        most = std::max(most, static_cast<std::int64_t>(std::ranges::count_if(arrivals, [&](std::int64_t at) {
                            return at >= first && at < first + window;
                        })));
    }
    return most;
}

/// What an upstream may get within four seconds, by the users' rule.
constexpr double allowed(double limit) {
    return 1.5 * 4.0 * limit + 5.0;
}

} // namespace

TEST_CASE("proof: an upstream that names a limit gets no more from six routers together") {
    routed_fleet fleet{{.routers = 6, .plain_workers = 3, .engines = 0, .failure_domains = 3}};
    REQUIRE(fleet.wait_ready());
    steady_load load{fleet, 30ms};
    std::this_thread::sleep_for(2s);
    set_fault(fleet.plain_workers()[0], R"({"limit":"3.2"})");
    set_fault(fleet.plain_workers()[1], R"({"limit":"0.8"})");
    std::this_thread::sleep_for(1s);
    const auto known_at = milliseconds_now();
    std::this_thread::sleep_for(3s);
    fleet.routers()[1].process->signal(SIGKILL);
    fleet.restart_router(fleet.routers()[1]);
    std::this_thread::sleep_for(5s);
    CHECK(most_in_window(arrivals_at(fleet.plain_workers()[0]), known_at) <= allowed(3.2));
    CHECK(most_in_window(arrivals_at(fleet.plain_workers()[1]), known_at) <= allowed(0.8));
    // What the limited upstreams still take is used, and the others serve the rest.
    CHECK(most_in_window(arrivals_at(fleet.plain_workers()[0]), known_at) >= 4);
    CHECK(load.served() > 500);
}

TEST_CASE("proof: the end of a limit is noticed, and the upstream gets its part again") {
    routed_fleet fleet{{.routers = 2, .plain_workers = 2, .engines = 0}};
    REQUIRE(fleet.wait_ready());
    steady_load load{fleet, 20ms};
    set_fault(fleet.plain_workers()[0], R"({"limit":"1"})");
    std::this_thread::sleep_for(3s);
    set_fault(fleet.plain_workers()[0], "{}");
    const auto ended_at = milliseconds_now();
    CHECK(wait_until([&] { return most_in_window(arrivals_at(fleet.plain_workers()[0]), ended_at) > 60; }));
    CHECK(milliseconds_now() - ended_at < 6'000);
}

TEST_CASE("proof: what limited upstreams cannot take is refused at once, with a time to return") {
    routed_fleet fleet{{.routers = 2, .plain_workers = 2, .engines = 0}};
    REQUIRE(fleet.wait_ready());
    set_faults(fleet.plain_workers(), R"({"limit":"2"})");
    steady_load load{fleet, 20ms};
    std::this_thread::sleep_for(2s);
    int refused = 0;
    for (int count = 0; count < 30; ++count) {
        const auto begin = milliseconds_now();
        const auto answer =
            fleet.ask(fleet.routers()[0], "/book/1", "b" + std::to_string(count), {}, "a cup");
        if (answer.status == 503) {
            ++refused;
            CHECK(milliseconds_now() - begin < 300);
            CHECK(answer.header("retry-after") != "");
            CHECK(runs_of(fleet.plain_workers(), "b" + std::to_string(count)) == 0);
        }
        std::this_thread::sleep_for(20ms);
    }
    CHECK(refused > 10);
}

TEST_CASE(
    "contract: limits that cannot be used are ignored, and a limit of 0 stops all but single requests") {
    routed_fleet fleet{{.routers = 1, .plain_workers = 1, .engines = 0}};
    REQUIRE(fleet.wait_ready());
    std::this_thread::sleep_for(permit_share_delay);
    for (const char* const limit : {"many", "-1", "nan", "inf", "1,2", "1e300"}) {
        set_fault(fleet.plain_workers()[0], std::string{R"({"limit":")"} + limit + "\"}");
        for (int count = 0; count < 4; ++count) {
            CHECK_MESSAGE(
                fleet.ask(fleet.routers()[0], "/read/1", limit + std::to_string(count)).status == 200, limit);
        }
    }
    set_fault(fleet.plain_workers()[0], R"({"limit":"0"})");
    fleet.ask(fleet.routers()[0], "/read/1", "first");
    int served = 0;
    for (int count = 0; count < 50; ++count) {
        served += fleet.ask(fleet.routers()[0], "/read/1", "z" + std::to_string(count)).status == 200 ? 1 : 0;
    }
    CHECK(served <= 1);
}
