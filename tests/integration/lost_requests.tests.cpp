// No accepted request ends without a response.

#include "kept_connection.hpp"
#include "routed_fleet.hpp"
#include "scripted_worker.hpp"
#include "waiting.hpp"

#include "citronwick/io/json_text.hpp"
#include "citronwick/io/task.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/json/array.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <iterator>
#include <thread>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

std::string request_bytes(const std::string& method, const std::string& path, const std::string& attempt_id,
                          std::string body = {},
                          std::vector<std::pair<std::string, std::string>> headers = {}) {
    std::vector<std::pair<std::string, std::string>> all_headers{{"Host", "shop.example"},
                                                                 {"X-Api-Key", "club-key"},
                                                                 {"Citronwick-Attempt-Id", attempt_id},
                                                                 {"Citronwick-Deadline-Ms", "2900"}};
    std::ranges::move(headers, std::back_inserter(all_headers));
    return to_bytes(
        {.method = method, .target = path, .body = std::move(body), .headers = std::move(all_headers)});
}

bool ends_connection(const reply& answer) {
    return answer.header("Connection") == "close";
}

std::int64_t requests_in_flight(routed_fleet& system) {
    return integer_member(system.view(system.routers().front()), "requests_in_flight");
}

std::int64_t unfinished_runs(const node& worker) {
    const auto page =
        parse_json_object(http_call(worker.addresses.front(), {.target = "/standin/runs"}).body);
    return page ? integer_member(*page, "unfinished") : -1;
}

/// Waits until the router sends requests to a worker.
bool knows_worker(routed_fleet& system, const std::string& service) {
    return wait_until([&] {
        const auto seen = system.view(system.routers().front());
        const auto* const services = object_member(seen, "services");
        const auto* const list = services == nullptr ? nullptr : array_member(*services, service);
        return list != nullptr && !list->empty();
    });
}

/// Stops a router and waits until it has begun to drain.
void begin_stop(const node& router) {
    router.process->signal(SIGTERM);
    REQUIRE(wait_until([&] { return http_call(router.addresses[1], {.target = "/readyz"}).status == 503; }));
}

} // namespace

// Guards against responses that promise an open connection which the stop then closes, so that
// the caller's next request is lost (LOST).
TEST_CASE("proof: a planned stop ends a connection only after a response that says so") {
    routed_fleet system{{.routers = 1}};
    REQUIRE(system.wait_ready());
    const node& router = system.routers().front();
    set_faults(system.plain_workers(), R"({"delay_ms":1000})");
    set_faults(system.engines(), R"({"event_gap_ms":200})");
    struct row {
        std::string method;
        std::string path;
    };
    const std::vector<row> rows{
        {"GET", "/read/1"}, {"POST", "/book/1"}, {"POST", "/quote/stream/1"}, {"POST", "/guide/stream/1"}};
    std::deque<kept_connection> connections;
    for (const row& each : rows) {
        connections.emplace_back(router.address());
        REQUIRE(connections.back().send(request_bytes(each.method, each.path, each.path)));
    }
    REQUIRE(wait_until([&] { return requests_in_flight(system) == std::ssize(rows); }));
    begin_stop(router);
    for (std::size_t index = 0; index < rows.size(); ++index) {
        CAPTURE(rows[index].path);
        auto& connection = connections[index];
        const auto first = connection.read_reply();
        CHECK(first.error.empty());
        CHECK(first.status == 200);
        if (!ends_connection(first)) {
            const auto next = connection.ask(request_bytes("GET", "/read/2", "next" + std::to_string(index)));
            CHECK(next.error.empty());
            CHECK(next.status == 200);
            CHECK(ends_connection(next));
        }
    }
    CHECK(router.process->wait(10s) == 0);
}

// Guards against requests that a stopping router takes late and cuts at the end of its grace (LOST).
TEST_CASE("proof: a stopping router refuses requests that the end of its grace could cut") {
    routed_fleet system{{.routers = 1, .shutdown_settings = "grace = \"8s\"\n"}};
    REQUIRE(system.wait_ready());
    const node& router = system.routers().front();
    set_faults(system.engines(), R"({"event_gap_ms":400})");
    kept_connection connection{router.address()};
    REQUIRE(connection.send(request_bytes("POST", "/guide/stream/1", "first")));
    REQUIRE(wait_until([&] { return !find_log_lines(router, "event=request_placed").empty(); }));
    std::this_thread::sleep_for(800ms); // the response has begun
    begin_stop(router);
    const auto first = connection.read_reply();
    CHECK(first.error.empty());
    REQUIRE_FALSE(ends_connection(first));
    const auto next = connection.ask(request_bytes("GET", "/read/2", "next"));
    CHECK(next.status == 503);
    CHECK(next.header("Citronwick-Outcome") == "not-run");
    CHECK(ends_connection(next));
    CHECK(runs_of(system.plain_workers(), "next") == 0);
    CHECK(router.process->wait(10s) == 0);
}

// Guards against connections that the kernel has accepted and the closing listener resets (LOST).
TEST_CASE("proof: connections that wait while the listener closes are served") {
    constexpr auto balancer_lag = 1s;
    routed_fleet system{{.routers = 1, .balancer_lag = balancer_lag}};
    REQUIRE(system.wait_ready());
    const node& router = system.routers().front();
    begin_stop(router);
    router.process->signal(SIGSTOP);
    std::deque<kept_connection> connections;
    for (int count = 0; count < 40; ++count) {
        connections.emplace_back(router.address());
        REQUIRE(connections.back().send(request_bytes("GET", "/read/1", "w" + std::to_string(count))));
    }
    std::this_thread::sleep_for(balancer_lag + 500ms); // the listener is due to close
    router.process->signal(SIGCONT);
    for (auto& each : connections) {
        const auto answer = each.read_reply();
        CHECK(answer.error == "");
        CHECK(answer.status == 200);
    }
    CHECK(router.process->wait(10s) == 0);
}

// Guards against bodies after the header of a response to HEAD, which the caller takes for the
// next response (MIXED).
TEST_CASE("proof: a connection stays usable after any response to HEAD") {
    routed_fleet system{{.routers = 1}};
    REQUIRE(system.wait_ready());
    kept_connection connection{system.routers().front().address()};
    int number = 0;
    for (const std::string path : {"/read/1", "/nowhere/1", "/read/%2e%2e/x"}) {
        CAPTURE(path);
        const std::string attempt = "h" + std::to_string(number++);
        REQUIRE(connection.send(request_bytes("HEAD", path, attempt)));
        const auto head = connection.read_reply(true);
        CHECK(head.error == "");
        CHECK(head.status > 0);
        const auto next = connection.ask(request_bytes("GET", "/read/1", attempt + "next"));
        CHECK(next.error == "");
        CHECK(next.status == 200);
        CHECK(next.body.starts_with("done by "));
    }
}

// Guards against work for callers that left after they had sent more than one request (GONE).
TEST_CASE("proof: a caller that leaves is noticed although its next request has arrived") {
    constexpr auto bound = 500ms;
    routed_fleet system{{.routers = 1, .engines = 1}};
    REQUIRE(system.wait_ready());
    const node& engine = system.engines().front();
    set_fault(engine, R"({"event_gap_ms":300})");
    {
        kept_connection connection{system.routers().front().address()};
        REQUIRE(connection.send(request_bytes("POST", "/guide/stream/1", "first")));
        REQUIRE(wait_until([&] { return runs_of(engine, "first") == 1; }));
        REQUIRE(connection.send(request_bytes("POST", "/guide/stream/1", "second")));
        std::this_thread::sleep_for(100ms); // it has arrived
    }
    std::this_thread::sleep_for(bound);
    CHECK(requests_in_flight(system) == 0);
    CHECK(wait_until([&] { return unfinished_runs(engine) == 1; }));
}

TEST_CASE("proof: pipelined requests are answered in order, also when the router stops") {
    routed_fleet system{{.routers = 1}};
    REQUIRE(system.wait_ready());
    const node& router = system.routers().front();
    set_faults(system.plain_workers(), R"({"delay_ms":500})");
    kept_connection connection{router.address()};
    REQUIRE(connection.send(request_bytes("GET", "/read/1", "one") + request_bytes("POST", "/book/2", "two") +
                            request_bytes("GET", "/read/3", "three")));
    REQUIRE(wait_until([&] { return requests_in_flight(system) == 1; }));
    SUBCASE("without a stop") {}
    SUBCASE("with a stop") {
        begin_stop(router);
    }
    for (const std::string name : {"one", "two", "three"}) {
        CAPTURE(name);
        const auto answer = connection.read_reply();
        CHECK(answer.error == "");
        CHECK(answer.header("Citronwick-Attempt-Id") == name);
        CHECK(answer.status == 200);
    }
}

// Guards against sound requests that end because their worker reads slowly.
TEST_CASE("proof: a worker that pauses while it reads a long body gets the whole request") {
    constexpr int small_buffer = 4'096;
    static constexpr auto pause = 2s;
    scripted_worker slow{
        "desk-slow",
        [](asio::ip::tcp::socket& connection) {
            std::string rest;
            const auto header = read_request_header(connection, rest);
            std::this_thread::sleep_for(pause);
            std::size_t left = std::stoul(field_of(header, "Content-Length")) - rest.size();
            std::array<char, 4'096> part{};
            while (left > 0) {
                left -= connection.read_some(asio::buffer(part));
            }
            asio::write(connection, asio::buffer(response_header(header) + "Content-Length: 4\r\n\r\ndone"));
        },
        small_buffer};
    routed_fleet system{{.routers = 1, .plain_workers = 0, .engines = 0}};
    system.register_worker(slow.entry(), "desk");
    REQUIRE(system.wait_ready());
    REQUIRE(knows_worker(system, "desk"));
    kept_connection connection{system.routers().front().address()};
    const auto answer = connection.ask(request_bytes("POST", "/book/1", "long", std::string(60'000, 'b')));
    CHECK(answer.error == "");
    CAPTURE(answer.body);
    CHECK(answer.status == 200);
}

TEST_CASE("proof: any number of interim responses may come before the final one") {
    scripted_worker worker{"desk-interim", [](asio::ip::tcp::socket& connection) {
                               while (true) {
                                   const auto header = read_request(connection);
                                   std::string text;
                                   for (int count = 0; count < 5; ++count) {
                                       text += "HTTP/1.1 102 Processing\r\n\r\n";
                                   }
                                   text += response_header(header) + "Content-Length: 4\r\n\r\ndone";
                                   asio::write(connection, asio::buffer(text));
                               }
                           }};
    routed_fleet system{{.routers = 1, .plain_workers = 0, .engines = 0}};
    system.register_worker(worker.entry(), "desk");
    REQUIRE(system.wait_ready());
    REQUIRE(knows_worker(system, "desk"));
    for (const std::string path : {"/read/1", "/book/1"}) {
        CAPTURE(path);
        const auto answer = system.ask(system.routers().front(), path, path);
        CHECK(answer.error == "");
        CHECK(answer.status == 200);
        CHECK(answer.body == "done");
    }
}

// Guards against responses that are cut although their caller keeps reading.
TEST_CASE("proof: a caller that reads a long response slowly gets all of it") {
    constexpr std::size_t body_bytes = 12'000'000;
    scripted_worker worker{"desk-long", [](asio::ip::tcp::socket& connection) {
                               const auto header = read_request(connection);
                               asio::write(connection, asio::buffer(response_header(header) +
                                                                    "Content-Length: 12000000\r\n\r\n" +
                                                                    std::string(body_bytes, 'x')));
                           }};
    routed_fleet system{{.routers = 1,
                         .plain_workers = 0,
                         .engines = 0,
                         .limit_settings = "caller_write_timeout = \"500ms\"\n"}};
    system.register_worker(worker.entry(), "desk");
    REQUIRE(system.wait_ready());
    REQUIRE(knows_worker(system, "desk"));
    asio::io_context context{1};
    asio::ip::tcp::socket caller{context};
    caller.open(asio::ip::tcp::v4());
    caller.set_option(asio::socket_base::receive_buffer_size{65'536});
    caller.connect(to_tcp(system.routers().front().address()));
    asio::write(caller, asio::buffer(request_bytes("GET", "/read/1", "long")));
    std::string part(65'536, '\0');
    std::size_t received = 0;
    boost::system::error_code error;
    while (!error && received < body_bytes) {
        std::this_thread::sleep_for(10ms);
        received += caller.read_some(asio::buffer(part), error);
    }
    CHECK(error == boost::system::error_code{});
    CHECK(received >= body_bytes);
}
