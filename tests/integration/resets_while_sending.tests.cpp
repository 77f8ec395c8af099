// The kernel reports the reset of a connection to one operation. While a request is still being
// written, that need not be the one that reads the response.

#include "citronwick/io/task.hpp"
#include "fleet.hpp"
#include "routed_fleet.hpp"
#include "scripted_worker.hpp"
#include "waiting.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <string>
#include <thread>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

constexpr int receive_buffer_bytes = 4'096;
/// More than the send buffer of a connection on loopback takes.
constexpr std::size_t body_bytes = 8'000'000;
constexpr auto pause = 200ms;

using tcp_socket = asio::ip::tcp::socket;

/// What a worker does behind the part of its response that it sends.
using ending = void (*)(tcp_socket& connection, std::size_t unread);

void reset(tcp_socket& connection, std::size_t /*unread*/) {
    connection.set_option(asio::socket_base::linger{true, 0});
}

void end_and_reset(tcp_socket& connection, std::size_t unread) {
    connection.shutdown(asio::socket_base::shutdown_send);
    std::this_thread::sleep_for(pause);
    reset(connection, unread);
}

void end_and_read(tcp_socket& connection, std::size_t unread) {
    connection.shutdown(asio::socket_base::shutdown_send);
    std::string rest(unread, '\0');
    asio::read(connection, asio::buffer(rest));
}

/// Answers requests with a body before it has read them, without length or chunks, and others whole.
scripted_worker::script answer_early(const std::string& part, ending end) {
    return [part, end](tcp_socket& connection) {
        std::string rest;
        const std::string header = read_request_header(connection, rest);
        const std::string length = field_of(header, "Content-Length");
        const std::size_t unread = (length.empty() ? 0 : std::stoul(length)) - rest.size();
        const std::string start = response_header(header) + "Content-Type: text/event-stream\r\n";
        if (unread == 0) {
            asio::write(connection, asio::buffer(start + "Content-Length: 0\r\n\r\n"));
            return;
        }
        const bool is_resumed = !field_of(header, "Last-Event-Id").empty();
        asio::write(connection, asio::buffer(start + "\r\n" + (is_resumed ? "" : part)));
        std::this_thread::sleep_for(pause);
        end(connection, unread);
    };
}

/// The response to a request whose body is larger than what the worker and the kernel take.
reply ask_with_long_body(routed_fleet& system, const scripted_worker& worker, const std::string& service,
                         const std::string& path) {
    system.register_worker(worker.entry(), service);
    REQUIRE(system.wait_ready());
    REQUIRE(wait_until([&] {
        static int asked = 0;
        return system.ask(system.routers()[0], path, "ready-" + std::to_string(asked++)).status == 200;
    }));
    return system.ask(system.routers()[0], path, "long", {}, std::string(body_bytes, 'x'));
}

routed_options one_router() {
    return {.routers = 1, .plain_workers = 0, .engines = 0, .body_bytes = 2 * body_bytes};
}

} // namespace

// Guards against a reset that the write of the request gets to know, and the read of the response does not
// (MIXED).
TEST_CASE("proof: a response that is reset while its request is being written is not complete") {
    for (const ending end : {reset, end_and_reset}) {
        CAPTURE(end == reset);
        for (const char* const path : {"/read/1", "/book/1"}) {
            CAPTURE(std::string{path});
            routed_fleet system{one_router()};
            const scripted_worker worker{"early", answer_early("half", end), receive_buffer_bytes};
            const auto answer = ask_with_long_body(system, worker, "desk", path);
            CHECK(answer.status == 502);
            CHECK(answer.body.find("half") == std::string::npos);
        }
    }
}

// Guards against the same of the events of a stream (ORDER).
TEST_CASE("proof: a stream that is reset while its request is being written does not end as complete") {
    for (const ending end : {reset, end_and_reset}) {
        CAPTURE(end == reset);
        for (const char* const path : {"/quote/stream/1", "/guide/stream/1"}) {
            CAPTURE(std::string{path});
            routed_fleet system{one_router()};
            const scripted_worker worker{"early", answer_early("id: 1\ndata: a\n\n", end),
                                         receive_buffer_bytes};
            const auto answer = ask_with_long_body(system, worker, "bench", path);
            CHECK(answer.status == 200);
            CHECK_FALSE(answer.error.empty());
        }
    }
}

TEST_CASE("contract: a response that ends while its request is being written is complete if that is read") {
    routed_fleet system{one_router()};
    SUBCASE("a body") {
        const scripted_worker worker{"early", answer_early("whole", end_and_read), receive_buffer_bytes};
        const auto answer = ask_with_long_body(system, worker, "desk", "/book/1");
        CHECK(answer.status == 200);
        CHECK(answer.body == "whole");
    }
    SUBCASE("a stream") {
        const scripted_worker worker{"early", answer_early("id: 1\ndata: a\n\n", end_and_read),
                                     receive_buffer_bytes};
        const auto answer = ask_with_long_body(system, worker, "bench", "/guide/stream/1");
        CHECK(answer.status == 200);
        CHECK(answer.error.empty());
        CHECK(answer.body == "id: 1\ndata: a\n\n");
    }
}

// Guards the product's own interface against the same (MIXED).
TEST_CASE("proof: a service's response that is reset while its request is being written is not complete") {
    for (const ending end : {reset, end_and_reset}) {
        CAPTURE(end == reset);
        const scripted_worker desk{"desk-a", answer_early("half", end), receive_buffer_bytes};
        fleet system{{.routers = 1,
                      .engines = 0,
                      .service_workers = 0,
                      .router_settings = "[limits]\nbody_bytes = " + std::to_string(2 * body_bytes) + "\n"}};
        node entry{.name = desk.entry().name, .failure_domain = "busan-a"};
        entry.addresses = desk.entry().addresses;
        system.workers().push_back(std::move(entry));
        system.publish_vms();
        REQUIRE(system.wait_ready());
        call upload{
            .method = "POST",
            .target = "/services/shop-desk/bookings",
            .headers = {{"Authorization", "Bearer " + team_key("club")}, {"Idempotency-Key", "ready"}}};
        const endpoint& router = system.routers().front().callers();
        REQUIRE(wait_until([&] { return http_call(router, upload).status == 200; }));
        upload.headers.back().second = "long";
        upload.body.assign(body_bytes, 'x');
        const auto answer = http_call(router, upload);
        CHECK(answer.status >= 500);
        CHECK(answer.body.find("half") == std::string::npos);
    }
}
