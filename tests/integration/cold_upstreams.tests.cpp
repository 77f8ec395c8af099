// Upstreams that have started lately and bear few requests a second from all routers together.

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

constexpr double cold_rate = 4.0;
/// Requests that a cold worker may get in one second, by the users' rule.
constexpr std::int64_t most_allowed = 11;
/// Time after which all routers know what an entry says.
constexpr auto known_after = 500ms;

/// The most arrivals within any second between two times.
std::int64_t most_in_a_second(std::vector<std::int64_t> arrivals, time_point begin, time_point end) {
    const auto to_ms = [](time_point time) { return time.time_since_epoch() / 1ms; };
    std::erase_if(arrivals, [&](std::int64_t at) { return at < to_ms(begin) || at > to_ms(end); });
    std::int64_t most = 0;
    for (const std::int64_t first : arrivals) {
        const auto count = std::ranges::count_if(
            arrivals, [first](std::int64_t at) { return at >= first && at < first + 1'000; });
        most = std::max<std::int64_t>(most, count);
    }
    return most;
}

routed_options cold_options(std::size_t workers) {
    return {
        .routers = 6, .plain_workers = workers, .engines = 0, .failure_domains = 3, .cold_rate = cold_rate};
}

} // namespace

TEST_CASE("proof: a cold upstream gets no more than it bears from six routers, of which some end and pause") {
    routed_fleet fleet{cold_options(3)};
    REQUIRE(fleet.wait_ready());
    steady_load load{fleet, 20ms};
    const node& cold = fleet.plain_workers()[0];
    fleet.set_cold_time(cold, 11s);
    fleet.register_worker(cold, "desk", "ready", 2);
    const auto begin = clock::now() + known_after;
    std::this_thread::sleep_for(2s);
    fleet.routers()[1].process->kill();
    fleet.restart_router(fleet.routers()[1]);
    fleet.routers()[2].process->pause();
    std::this_thread::sleep_for(5s);
    fleet.routers()[2].process->signal(SIGCONT);
    std::this_thread::sleep_for(2s);
    const auto end = clock::now();
    CHECK(most_in_a_second(arrivals_at(cold), begin, end) <= most_allowed);
    CHECK(most_in_a_second(arrivals_at(cold), begin, end) > 0);
    const int served = load.served();
    CHECK(served > 0);
    // Once it is no longer cold, it takes its part of the load again.
    CHECK(wait_until(
        [&] { return most_in_a_second(arrivals_at(cold), end, clock::now()) > 2 * most_allowed; }, 8s));
}

TEST_CASE("proof: while all upstreams are cold, requests that find no place are refused at once") {
    routed_fleet fleet{cold_options(2)};
    REQUIRE(fleet.wait_ready());
    for (const node& worker : fleet.plain_workers()) {
        fleet.set_cold_time(worker, 20s);
        fleet.register_worker(worker, "desk", "ready", 2);
    }
    const auto begin = clock::now() + known_after;
    std::this_thread::sleep_for(known_after);
    int refused = 0;
    int answered = 0;
    for (int number = 0; number < 60; ++number) {
        const auto asked_at = clock::now();
        const auto response = fleet.ask(fleet.routers()[static_cast<std::size_t>(number % 6)], "/read/1",
                                        "c" + std::to_string(number));
        answered += response.status == 200 ? 1 : 0;
        if (response.status == 503) {
            ++refused;
            CHECK(response.headers.contains("retry-after"));
            CHECK(clock::now() - asked_at < 500ms);
        }
    }
    CHECK(answered > 0);
    CHECK(refused > 0);
    CHECK(answered + refused == 60);
    for (const node& worker : fleet.plain_workers()) {
        CHECK(most_in_a_second(arrivals_at(worker), begin, clock::now()) <= most_allowed);
    }
}
