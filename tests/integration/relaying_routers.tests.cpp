// Callers of a router that is cut from the upstreams, while routers that could relay for it stop or
// are cut themselves.

#include "upstream_cuts.hpp"
#include "waiting.hpp"

#include <atomic>
#include <chrono>
#include <csignal>
#include <doctest/doctest.h>
#include <future>
#include <string>
#include <thread>
#include <vector>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

/// Sends bookings at a fixed rate, each on a thread of its own.
std::vector<std::future<reply>> start_bookings(routed_fleet& system, const node& router,
                                               const std::string& name, int count,
                                               std::chrono::milliseconds interval) {
    std::vector<std::future<reply>> bookings;
    for (int number = 0; number < count; ++number) {
        const std::string attempt = name + std::to_string(number);
        bookings.push_back(std::async(std::launch::async, [&system, &router, attempt] {
            return system.ask(router, "/book/1", attempt);
        }));
        std::this_thread::sleep_for(interval);
    }
    return bookings;
}

int count_failures(std::vector<std::future<reply>>& requests) {
    int failures = 0;
    for (auto& each : requests) {
        const reply answer = each.get();
        failures += answer.status == 200 ? 0 : 1;
        if (answer.status != 200) {
            MESSAGE(answer.status, " ", answer.error, " ", answer.body.substr(0, 300));
        }
    }
    return failures;
}

} // namespace

TEST_CASE("proof: a planned stop of a router fails no request that it relays for a router that is cut") {
    routed_fleet system{{.routers = 3, .plain_workers = 4, .proxies = true}};
    REQUIRE(system.wait_ready());
    const node& cut = system.routers()[0];
    node& stopped = system.routers()[1];
    cut_off(system, {0}, packets_dropped);
    failures_of(system, cut, "/book/1", "early", time_to_recover);
    int failures = 0;
    SUBCASE("requests that last longer than its own callers stay") {
        set_faults(system.plain_workers(), R"({"delay_ms":1500})");
        auto before = start_bookings(system, cut, "before", 20, 10ms);
        stopped.process->signal(SIGTERM);
        auto after = start_bookings(system, cut, "after", 20, 40ms);
        failures = count_failures(before) + count_failures(after);
    }
    SUBCASE("requests in quick succession on idle connections") {
        std::atomic<bool> is_over{false};
        std::vector<std::future<int>> callers;
        for (int caller = 0; caller < 6; ++caller) {
            callers.push_back(std::async(std::launch::async, [&, caller] {
                int failed = 0;
                for (int count = 0; !is_over; ++count) {
                    const auto attempt = std::to_string(caller) + "-" + std::to_string(count);
                    failed += system.ask(cut, "/book/1", attempt).status == 200 ? 0 : 1;
                }
                return failed;
            }));
        }
        std::this_thread::sleep_for(300ms);
        stopped.process->signal(SIGTERM);
        CHECK(wait_until([&] { return !stopped.process->is_running(); }));
        is_over = true;
        for (auto& each : callers) {
            failures += each.get();
        }
    }
    CHECK(failures == 0);
    CHECK(stopped.process->wait(5s) == 0);
}

TEST_CASE("proof: a router that is cut and stops serves its last callers through other routers") {
    routed_fleet system{{.routers = 3, .plain_workers = 4, .proxies = true, .balancer_lag = 1s}};
    REQUIRE(system.wait_ready());
    node& cut = system.routers()[0];
    cut_off(system, {0}, packets_dropped);
    failures_of(system, cut, "/book/1", "early", time_to_recover);
    set_faults(system.plain_workers(), R"({"delay_ms":600})");
    cut.process->signal(SIGTERM);
    std::this_thread::sleep_for(100ms);
    auto late = start_bookings(system, cut, "late", 12, 10ms);
    CHECK(count_failures(late) == 0);
    CHECK(cut.process->wait(5s) == 0);
}

TEST_CASE("proof: an upstream that comes back does not make a router count as cut") {
    routed_fleet system{{.routers = 2, .plain_workers = 4, .engines = 1, .proxies = true}};
    REQUIRE(system.wait_ready());
    const node& router = system.routers()[0];
    const node& peer = system.routers()[1];
    for (int round = 0; round < 12; ++round) {
        const std::string name = "round" + std::to_string(round) + "-";
        ask_once(system, router, "/read/1", name + "before");
        cut_off(system, {0, 1}, connections_reset);
        REQUIRE(peer.process->pause());
        ask_once(system, router, "/read/1", name + "during");
        std::this_thread::sleep_for(200ms); // until the upstreams are probed and the other router is asked
        cut_off(system, {}, connections_reset);
        peer.process->signal(SIGCONT);
        std::this_thread::sleep_for(700ms);
    }
    CHECK(find_log_lines(router, "cut_from_upstreams").empty());
}

TEST_CASE("proof: first tries at cut routers are served although most of the fleet is cut") {
    routed_fleet system{
        {.routers = 9, .plain_workers = 3, .engines = 1, .proxies = true, .failure_domains = 3}};
    REQUIRE(system.wait_ready());
    const char* how = nullptr;
    SUBCASE("connections hang") {
        how = packets_dropped;
    }
    SUBCASE("connections are reset") {
        how = connections_reset;
    }
    SUBCASE("open connections live on while new ones are reset") {
        how = new_connections_reset;
    }
    cut_off(system, {0, 1, 2, 3, 4, 5, 6}, how);
    std::vector<std::future<int>> callers;
    for (std::size_t index = 0; index < 7; ++index) {
        callers.push_back(std::async(std::launch::async, [&system, index] {
            const std::string name = std::to_string(index) + "-";
            failures_of(system, system.routers()[index], "/read/1", "early" + name, time_to_recover);
            int failures = 0;
            // Rarely, so that what was learnt from one request is no longer known at the next.
            for (int count = 0; count < 4; ++count) {
                std::this_thread::sleep_for(1200ms);
                const auto attempt = "late" + name + std::to_string(count);
                const auto answer = ask_once(system, system.routers()[index], "/read/1", attempt);
                failures += answer.status == 200 ? 0 : 1;
            }
            return failures;
        }));
    }
    int failures = 0;
    for (auto& each : callers) {
        failures += each.get();
    }
    CHECK(failures == 0);
}

TEST_CASE("proof: a router that leaves does not count as silent while it serves its last requests") {
    routed_fleet system{{.routers = 3, .plain_workers = 4, .balancer_lag = 1s}};
    REQUIRE(system.wait_ready());
    node& leaving = system.routers()[0];
    const node& other = system.routers()[1];
    set_faults(system.plain_workers(), R"({"delay_ms":600})");
    leaving.process->signal(SIGTERM);
    auto last = start_bookings(system, leaving, "last", 12, 50ms);
    REQUIRE(wait_until([&] { return !find_log_lines(other, "leaving=yes").empty(); }));
    CHECK(count_failures(last) == 0);
    CHECK(find_log_lines(other, "router_silent").empty());
    CHECK(leaving.process->wait(5s) == 0);
}
