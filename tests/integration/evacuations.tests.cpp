// Failure domains to whose upstreams the operators want nothing sent until further notice.

#include "chat.hpp"
#include "fleet.hpp"
#include "routed_fleet.hpp"
#include "steady_load.hpp"
#include "waiting.hpp"

#include "citronwick/core/time.hpp"
#include "citronwick/io/json_text.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>
#include <string>
#include <thread>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

/// Time after which all routers know an order.
constexpr auto known_after = 700ms;

std::string evacuation_key(std::size_t domain) {
    return "op/evacuate/" + domain_name(domain);
}

std::ptrdiff_t arrivals_since(const node& worker, time_point begin) {
    const auto arrivals = arrivals_at(worker);
    return std::ranges::count_if(arrivals,
                                 [begin](std::int64_t at) { return at >= begin.time_since_epoch() / 1ms; });
}

routed_options options_with_two_domains() {
    return {.routers = 3, .plain_workers = 4, .engines = 0, .worker_domains = 2};
}

/// Workers of the second of two failure domains.
bool is_in_second(const node& worker) {
    return worker.failure_domain == domain_name(1);
}

} // namespace

TEST_CASE("proof: an evacuated failure domain gets nothing until that is taken back, and no request fails") {
    routed_fleet fleet{options_with_two_domains()};
    REQUIRE(fleet.wait_ready());
    steady_load load{fleet, 20ms};
    std::this_thread::sleep_for(500ms);
    fleet.put_key(evacuation_key(1), "");
    std::this_thread::sleep_for(known_after);
    const auto begin = clock::now();
    SUBCASE("routers that start learn of it before they send anything") {
        fleet.routers()[0].process->kill();
        fleet.restart_router(fleet.routers()[0]);
        std::this_thread::sleep_for(2s);
    }
    SUBCASE("workers that start are not used either") {
        node& worker = fleet.plain_workers()[1];
        worker.process->kill();
        fleet.restart_worker(worker, "desk", 2);
        std::this_thread::sleep_for(1s);
    }
    SUBCASE("an evacuation of a domain that does not exist changes nothing") {
        fleet.put_key("op/evacuate/nowhere", "");
        std::this_thread::sleep_for(1s);
    }
    for (const node& worker : fleet.plain_workers()) {
        CHECK((arrivals_since(worker, begin) > 0) == !is_in_second(worker));
    }
    fleet.remove_key(evacuation_key(1));
    CHECK(wait_until(
        [&] {
            return std::ranges::all_of(fleet.plain_workers(),
                                       [&](const node& each) { return arrivals_since(each, begin) > 0; });
        },
        5s));
}

TEST_CASE("proof: if all failure domains are evacuated, requests are refused at once") {
    routed_fleet fleet{options_with_two_domains()};
    REQUIRE(fleet.wait_ready());
    fleet.put_key(evacuation_key(0), "");
    fleet.put_key(evacuation_key(1), "");
    std::this_thread::sleep_for(known_after);
    for (const char* const path : {"/read/1", "/book/1"}) {
        const auto asked_at = clock::now();
        const auto response = fleet.ask(fleet.routers()[0], path, std::string{"all"} + path);
        CHECK(response.status == 503);
        CHECK(response.headers.contains("retry-after"));
        CHECK(clock::now() - asked_at < 500ms);
    }
    fleet.remove_key(evacuation_key(0));
    CHECK(wait_until([&] { return fleet.ask(fleet.routers()[0], "/read/1", "again").status == 200; }, 5s));
}

TEST_CASE("proof: an order that is taken back within a second, or given while the store is down, holds") {
    routed_fleet fleet{options_with_two_domains()};
    REQUIRE(fleet.wait_ready());
    fleet.put_key(evacuation_key(1), "");
    fleet.remove_key(evacuation_key(1));
    steady_load load{fleet, 20ms};
    CHECK(wait_until(
        [&] {
            return std::ranges::all_of(fleet.plain_workers(),
                                       [](const node& each) { return !arrivals_at(each).empty(); });
        },
        5s));
    set_fault(fleet.store(), R"({"mode":"unavailable"})");
    fleet.put_key(evacuation_key(1), "");
    std::this_thread::sleep_for(1s);
    set_fault(fleet.store(), R"({"mode":""})");
    std::this_thread::sleep_for(3s);
    const auto begin = clock::now();
    std::this_thread::sleep_for(1s);
    for (const node& worker : fleet.plain_workers()) {
        CHECK((arrivals_since(worker, begin) > 0) == !is_in_second(worker));
    }
}

TEST_CASE("proof: citronctl evacuates a failure domain on all routers, and restores it") {
    fleet system{
        {.routers = 2, .failure_domains = {"busan-a", "busan-b"}, .engines = 4, .service_workers = 0}};
    REQUIRE(system.wait_ready());
    const auto leaving_of = [&system](const router_node& router) {
        const auto view = system.view(router);
        const auto* const services = object_member(view, "services");
        std::set<std::string> leaving;
        for (const auto& service : services == nullptr ? boost::json::object{} : *services) {
            for (const auto& upstream : service.value().as_array()) {
                if (string_member(upstream.as_object(), "state") == "leaving") {
                    leaving.insert(string_member(upstream.as_object(), "failure_domain"));
                }
            }
        }
        return leaving;
    };
    const auto all_see = [&](const std::set<std::string>& leaving) {
        return wait_until([&] {
            return std::ranges::all_of(system.routers(),
                                       [&](const router_node& each) { return leaving_of(each) == leaving; });
        });
    };
    CHECK(system.ctl({"evacuate", "busan-b", "--reason", "works on the power supply"}).exit == 0);
    CHECK(all_see({"busan-b"}));
    CHECK(chat(system.routers()[0].callers(), {}).is_complete(4));
    const auto shown = system.ctl({"status", "--routers", to_text(system.routers()[0].operators())}, false);
    CHECK(shown.output.find("busan-b is evacuated") != std::string::npos);
    // Other changes keep the order.
    CHECK(system.ctl({"preset", "use", "peak"}).exit == 0);
    CHECK(all_see({"busan-b"}));
    CHECK(system.ctl({"restore", "busan-b"}).exit == 0);
    CHECK(all_see({}));
    CHECK(system.ctl({"restore", "busan-b"}).exit == 2);
}
