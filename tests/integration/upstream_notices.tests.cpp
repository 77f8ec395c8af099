// What upstreams say about themselves in their responses.

#include "routed_fleet.hpp"
#include "waiting.hpp"

#include <algorithm>
#include <chrono>
#include <doctest/doctest.h>
#include <thread>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

TEST_CASE(
    "proof: a worker that says in a response that it is leaving gets no new requests from that router") {
    routed_fleet system{{.routers = 1, .plain_workers = 2, .engines = 0}};
    REQUIRE(system.wait_ready());
    const node& router = system.routers()[0];
    const node& leaving = system.plain_workers()[0];
    set_fault(leaving, R"({"leaving":"yes"})");
    int count = 0;
    const auto ask = [&] { return system.ask(router, "/read/1", "r" + std::to_string(++count)); };
    REQUIRE(wait_until([&] {
        const auto answer = ask();
        CHECK(answer.status == 200);
        CHECK(answer.header("Server-Leaving").empty());
        return !arrivals_at(leaving).empty();
    }));
    std::this_thread::sleep_for(100ms); // the view follows the response
    const auto arrivals = arrivals_at(leaving).size();
    SUBCASE("although its entry says that it is ready") {}
    SUBCASE("also if its entry lapses and comes back") {
        system.unregister_worker(leaving);
        std::this_thread::sleep_for(100ms);
        system.register_worker(leaving, "desk");
        std::this_thread::sleep_for(500ms);
    }
    for (int each = 0; each < 20; ++each) {
        CHECK(ask().status == 200);
    }
    CHECK(arrivals_at(leaving).size() == arrivals);
}
