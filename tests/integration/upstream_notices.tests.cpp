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

TEST_CASE("proof: a worker that refused a request gets none from that router until the time that it named") {
    constexpr auto named = 2s;
    routed_fleet system{{.routers = 1, .plain_workers = 2, .engines = 0}};
    REQUIRE(system.wait_ready());
    const node& router = system.routers()[0];
    const node& busy = system.plain_workers()[0];
    int count = 0;
    const auto ask = [&] { return system.ask(router, "/read/1", "p" + std::to_string(++count)); };
    SUBCASE("the others serve meanwhile") {
        set_fault(busy, R"({"mode":"shed","retry_after":"2"})");
        REQUIRE(wait_until([&] {
            CHECK(ask().status == 200);
            return !arrivals_at(busy).empty();
        }));
        const auto refused_at = std::chrono::steady_clock::now();
        const auto arrivals = arrivals_at(busy).size();
        set_fault(busy, "{}");
        while (std::chrono::steady_clock::now() - refused_at < named - 300ms) {
            CHECK(ask().status == 200);
        }
        CHECK(arrivals_at(busy).size() == arrivals);
        CHECK(wait_until([&] {
            ask();
            return arrivals_at(busy).size() > arrivals;
        }));
    }
    SUBCASE("if all have refused, callers hear at once when to come back") {
        set_faults(system.plain_workers(), R"({"mode":"shed","retry_after":"1.5"})");
        CHECK(ask().status == 503);
        std::size_t arrivals = 0;
        for (const node& worker : system.plain_workers()) {
            arrivals += arrivals_at(worker).size();
        }
        CHECK(arrivals == 2);
        const auto asked_at = std::chrono::steady_clock::now();
        const auto answer = ask();
        CHECK(answer.status == 503);
        CHECK(std::chrono::steady_clock::now() - asked_at < 100ms);
        CHECK(answer.header("Retry-After") != "");
        CHECK(std::stod(answer.header("Retry-After")) > 1.0);
        for (const node& worker : system.plain_workers()) {
            arrivals -= arrivals_at(worker).size();
        }
        CHECK(arrivals == 0);
    }
}
