// Callers of a router that is cut from the upstreams are served through routers that reach them.

#include "upstream_cuts.hpp"
#include "waiting.hpp"

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

TEST_CASE("proof: callers of a router that is cut from all upstreams are served as at the others") {
    routed_fleet system{{.routers = 3, .plain_workers = 4, .proxies = true}};
    REQUIRE(system.wait_ready());
    const node& cut = system.routers()[0];
    for (int count = 0; count < 8; ++count) {
        REQUIRE(ask_once(system, cut, "/read/1", "warm" + std::to_string(count)).status == 200);
    }
    const char* how = nullptr;
    std::string path = "/read/1";
    SUBCASE("connections hang") {
        how = packets_dropped;
    }
    SUBCASE("connections hang, bookings") {
        how = packets_dropped;
        path = "/book/1";
    }
    SUBCASE("connections are reset") {
        how = connections_reset;
    }
    SUBCASE("open connections live on while new ones are reset") {
        how = new_connections_reset;
    }
    cut_off(system, {0}, how);
    failures_of(system, cut, path, "early", time_to_recover);
    CHECK(failures_of(system, cut, path, "late", 3s) == 0);
    CHECK(failures_of(system, system.routers()[1], path, "other", 1s) == 0);
    CHECK(find_log_lines(cut, "upstream_crashed").empty());
    cut_off(system, {}, how);
    CHECK(wait_until([&] { return !find_log_lines(cut, "cut_from_upstreams_ended").empty(); }));
    CHECK(failures_of(system, cut, path, "after", 1s) == 0);
}

TEST_CASE("proof: callers are served although most routers of a failure domain are cut from all upstreams") {
    routed_fleet system{
        {.routers = 9, .plain_workers = 3, .engines = 1, .proxies = true, .failure_domains = 3}};
    REQUIRE(system.wait_ready());
    cut_off(system, {0, 3, 6, 1, 4}, packets_dropped); // one whole domain and most of another
    std::vector<std::future<int>> calls;
    for (const std::size_t index : {0, 3, 6, 1, 4, 7}) {
        calls.push_back(std::async(std::launch::async, [&system, index] {
            const std::string name = std::to_string(index) + "-";
            failures_of(system, system.routers()[index], "/read/1", "early" + name, time_to_recover);
            return failures_of(system, system.routers()[index], "/read/1", "late" + name, 3s);
        }));
    }
    for (auto& each : calls) {
        CHECK(each.get() == 0);
    }
}

TEST_CASE("proof: streams and bookings through a router that is killed are whole and run at most once") {
    routed_fleet system{{.routers = 3, .plain_workers = 2, .engines = 2, .proxies = true}};
    REQUIRE(system.wait_ready());
    set_faults(system.engines(), R"({"event_gap_ms":60})");
    set_faults(system.plain_workers(), R"({"delay_ms":40})");
    const node& cut = system.routers()[0];
    cut_off(system, {0}, packets_dropped);
    failures_of(system, cut, "/read/1", "early", time_to_recover);
    auto streamed =
        std::async(std::launch::async, [&] { return system.ask(cut, "/quote/stream/1", "stream"); });
    std::vector<std::future<reply>> bookings;
    for (int count = 0; count < 30; ++count) {
        const std::string attempt = "booking" + std::to_string(count);
        bookings.push_back(
            std::async(std::launch::async, [&, attempt] { return system.ask(cut, "/book/1", attempt); }));
        std::this_thread::sleep_for(10ms);
        if (count == 15) {
            system.routers()[1].process->signal(SIGKILL);
        }
    }
    for (std::size_t count = 0; count < bookings.size(); ++count) {
        const unsigned status = bookings[count].get().status;
        const auto runs = runs_of(system.plain_workers(), "booking" + std::to_string(count));
        CAPTURE(status);
        CHECK(runs <= 1);
        CHECK((status != 200 || runs == 1));
        CHECK((status != 503 || runs == 0));
    }
    const reply whole = streamed.get();
    CHECK(whole.status == 200);
    CHECK(whole.error.empty());
    CHECK(whole.body.find("id: 6\n") != std::string::npos);
}
