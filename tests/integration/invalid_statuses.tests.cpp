// Workers whose responses have a status outside of 100 to 599, which is none in HTTP.

#include "chat.hpp"
#include "fleet.hpp"
#include "routed_fleet.hpp"
#include "scripted_worker.hpp"
#include "waiting.hpp"

#include "citronwick/core/time.hpp"
#include "citronwick/io/task.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <string>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

constexpr unsigned bad_gateway = 502;
constexpr auto at_once = 350ms; ///< before a request whose response is overdue is sent elsewhere

/// Answers each request with a status line of its own and an empty body.
scripted_worker::script answer_with(const std::string& status) {
    return [status](asio::ip::tcp::socket& connection) {
        while (true) {
            std::string header = response_header(read_request(connection));
            header.replace(header.find(' ') + 1, 3, status);
            asio::write(connection, asio::buffer(header + "Content-Length: 0\r\n\r\n"));
        }
    };
}

} // namespace

TEST_CASE(
    "proof: a response whose status is none is not passed on, and an idempotent request goes elsewhere") {
    for (const char* const status : {"000", "099", "600", "999"}) {
        CAPTURE(status);
        routed_fleet system{{.routers = 1, .plain_workers = 0, .engines = 0}};
        const scripted_worker broken{"desk-broken", answer_with(status)};
        system.register_worker(broken.entry(), "desk");
        REQUIRE(system.wait_ready());
        REQUIRE(
            wait_until([&] { return system.ask(system.routers()[0], "/read/1", "known").status != 503; }));
        const auto asked_at = clock::now();
        const auto booked = system.ask(system.routers()[0], "/book/1", "b");
        CHECK(booked.status == bad_gateway);
        CHECK(system.ask(system.routers()[0], "/read/1", "r").status >= 500);
        CHECK(clock::now() - asked_at < at_once);
    }
}

TEST_CASE(
    "proof: an idempotent request whose first response has no valid status is served by another worker") {
    routed_fleet system{{.routers = 1, .plain_workers = 1, .engines = 0}};
    const scripted_worker broken{"desk-broken", answer_with("000")};
    system.register_worker(broken.entry(), "desk");
    REQUIRE(system.wait_ready());
    REQUIRE(wait_until([&] { return !find_log_lines(system.routers()[0], "upstream=desk-broken").empty(); }));
    for (int number = 0; number < 8; ++number) {
        const auto asked_at = clock::now();
        CHECK(system.ask(system.routers()[0], "/read/1", "r" + std::to_string(number)).status == 200);
        CHECK(clock::now() - asked_at < at_once);
    }
}

TEST_CASE("proof: a response whose status is none is not passed on by the product's own interface") {
    const scripted_worker desk{"desk-a", answer_with("000")};
    fleet system{{.routers = 1, .engines = 0, .service_workers = 0, .service = "repeatable = [\"GET\"]"}};
    node entry{.name = desk.entry().name, .failure_domain = "busan-a"};
    entry.addresses = desk.entry().addresses;
    system.workers().push_back(std::move(entry));
    system.publish_vms();
    REQUIRE(system.wait_ready());
    const call read{.target = "/services/shop-desk/cups",
                    .headers = {{"Authorization", "Bearer " + team_key("club")}}};
    REQUIRE(wait_until(
        [&] { return http_call(system.routers().front().callers(), read).status == bad_gateway; }));
}
