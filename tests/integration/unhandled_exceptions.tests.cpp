// Input on which the router's code threw an exception.

#include "chat.hpp"
#include "fleet.hpp"
#include "routed_fleet.hpp"

#include <doctest/doctest.h>
#include <string>

using namespace citronwick;
using namespace citronwick::harness;

namespace {

/// The HTTP library stores lengths of fields in 16 bits.
constexpr std::size_t long_field_bytes = 70'000;

std::string metrics_of(const endpoint& operators) {
    return http_call(operators, {.target = "/metrics"}).body;
}

} // namespace

TEST_CASE("proof: a request with a body that its method rules out gets an answer") {
    routed_fleet system{{.routers = 1, .plain_workers = 1, .engines = 0}};
    REQUIRE(system.wait_ready());
    const node& router = system.routers()[0];
    const auto response =
        raw_call(router.address(), "TRACE /read/1 HTTP/1.1\r\nHost: shop.example\r\nX-Api-Key: club-key\r\n"
                                   "Citronwick-Attempt-Id: t1\r\nContent-Length: 2\r\n"
                                   "Connection: close\r\n\r\nok");
    CHECK(response.starts_with("HTTP/1.1 400 "));
    CHECK(response.find("Citronwick-Outcome: not-run\r\n") != std::string::npos);
    CHECK(runs_of(system.plain_workers(), "t1") == 0);
    CHECK(metrics_of(router.addresses.at(1)).find("citronwick_unhandled_exceptions_total{") ==
          std::string::npos);
    CHECK(metrics_of(router.addresses.at(1)).find("# TYPE citronwick_unhandled_exceptions_total counter") !=
          std::string::npos);
}

TEST_CASE("proof: a trailer that is too long for the HTTP library does not end a router") {
    routed_fleet system{{.routers = 1, .plain_workers = 1, .engines = 1}};
    REQUIRE(system.wait_ready());
    const node& router = system.routers()[0];
    SUBCASE("in a request") {
        const auto response =
            raw_call(router.address(), "POST /book/1 HTTP/1.1\r\nHost: shop.example\r\n"
                                       "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Long: " +
                                           std::string(long_field_bytes, 'x') + "\r\n\r\n");
        CHECK(response.starts_with("HTTP/1.1 431 "));
    }
    SUBCASE("in a request to the operators' address") {
        raw_call(router.addresses.at(1), "POST /metrics HTTP/1.1\r\nHost: a\r\n"
                                         "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Long: " +
                                             std::string(long_field_bytes, 'x') + "\r\n\r\n");
    }
    SUBCASE("in an upstream's response") {
        set_faults(system.plain_workers(), R"({"mode":"long_trailer"})");
        set_faults(system.engines(), R"({"mode":"long_trailer"})");
        CHECK(system.ask(router, "/book/1", "b1").status == 502);
        CHECK(system.ask(router, "/guide/stream/1", "s1").status == 502);
        set_faults(system.plain_workers(), "{}");
    }
    REQUIRE(router.process->is_running());
    CHECK(system.ask(router, "/read/1", "r1").status == 200);
    CHECK(metrics_of(router.addresses.at(1)).find("citronwick_unhandled_exceptions_total{") ==
          std::string::npos);
}

TEST_CASE("proof: a header field that is too long for the HTTP library is refused") {
    fleet system{{.routers = 1,
                  .engines = 1,
                  .service_workers = 0,
                  .router_settings = "[limits]\nheader_bytes = 200000\n"}};
    REQUIRE(system.wait_ready());
    const router_node& router = system.routers()[0];
    const auto response =
        raw_call(router.callers(),
                 "GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(long_field_bytes, 'x') + "\r\n\r\n");
    CHECK(response.starts_with("HTTP/1.1 431 "));
    CHECK(chat(router.callers(), {}).is_complete(4));
}
