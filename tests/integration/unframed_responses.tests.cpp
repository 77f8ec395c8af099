// Responses that have neither a length nor chunks end with their connection. The kernel closes the
// connections of a process that ends in the same way, so that the end of the connection proves nothing.

#include "chat.hpp"
#include "citronwick/io/json_text.hpp"
#include "citronwick/io/task.hpp"
#include "fleet.hpp"
#include "held_callers.hpp"
#include "routed_fleet.hpp"
#include "scripted_worker.hpp"
#include "waiting.hpp"

#include <algorithm>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <doctest/doctest.h>
#include <future>
#include <string>
#include <thread>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

constexpr auto half_is_sent = 100ms;

/// The worker that runs a request, once there is one.
node& worker_running(routed_fleet& system, const std::string& attempt) {
    auto& workers = system.plain_workers();
    const auto runs = [&attempt](const node& worker) { return runs_of(worker, attempt) > 0; };
    REQUIRE(wait_until([&] { return std::ranges::any_of(workers, runs); }));
    return *std::ranges::find_if(workers, runs);
}

/// Asks, and kills the worker that runs the request once half of the body is sent.
reply ask_and_kill(routed_fleet& system, const std::string& path, const std::string& attempt) {
    auto asked =
        std::async(std::launch::async, [&] { return system.ask(system.routers()[0], path, attempt); });
    node& worker = worker_running(system, attempt);
    std::this_thread::sleep_for(half_is_sent);
    worker.process->kill();
    return asked.get();
}

/// Serves one connection after the other, and resets the one behind each response.
class resetting_worker {
public:
    resetting_worker() {
        acceptor_.listen();
        entry_.name = "desk-full";
        entry_.addresses = {to_endpoint(acceptor_.local_endpoint())};
        thread_ = std::jthread{[this] { serve(); }};
    }
    resetting_worker(const resetting_worker&) = delete;
    resetting_worker& operator=(const resetting_worker&) = delete;
    ~resetting_worker() {
        is_stopping_ = true;
        asio::ip::tcp::socket last{context_};
        boost::system::error_code ignored;
        last.connect(acceptor_.local_endpoint(), ignored); // ends the waiting `accept`
    }

    const node& entry() const { return entry_; }
    int resets() const { return resets_; }

private:
    void serve() {
        while (!is_stopping_) {
            asio::ip::tcp::socket connection{context_};
            acceptor_.accept(connection);
            if (resets_ < responses_) {
                connection.set_option(asio::socket_base::linger{true, 0});
                connection.close(); // the destructor would close it in order
                ++resets_;
                continue;
            }
            try {
                const std::string header = read_request(connection);
                ++responses_;
                asio::write(connection, asio::buffer(response_header(header) + "\r\ndone"));
            } catch (const boost::system::system_error&) {
                continue; // the router closed a connection without a request
            }
        }
    }

    asio::io_context context_{1};
    asio::ip::tcp::acceptor acceptor_{context_, {asio::ip::address_v4::loopback(), 0}};
    node entry_;
    std::atomic<bool> is_stopping_ = false;
    std::atomic<int> responses_ = 0;
    std::atomic<int> resets_ = 0;
    std::jthread thread_;
};

} // namespace

// Guards against the end of a process that looks like the end of its response (MIXED).
TEST_CASE("proof: a response without length or chunks whose worker is killed is not delivered") {
    routed_fleet system{{.routers = 1, .plain_workers = 3, .engines = 0}};
    REQUIRE(system.wait_ready());
    set_faults(system.plain_workers(), R"({"mode":"unframed_pause","event_gap_ms":400})");
    SUBCASE("a request that may be repeated runs elsewhere") {
        const auto answer = ask_and_kill(system, "/read/1", "read");
        CHECK(answer.status == 200);
        CHECK(answer.body.starts_with("done by desk-"));
        CHECK(answer.error.empty());
    }
    SUBCASE("the outcome of another is unknown") {
        const auto answer = ask_and_kill(system, "/book/1", "book");
        CHECK(answer.status == 502);
        CHECK(answer.header("Citronwick-Outcome") == "unknown");
        CHECK_FALSE(answer.body.starts_with("done"));
    }
    SUBCASE("also if the process has connections to close between that of the request and its listener") {
        constexpr std::size_t connections = 200;
        std::deque<held_callers> held;
        for (const node& worker : system.plain_workers()) {
            held.emplace_back(worker.addresses.front(), connections, "GET ");
        }
        const auto answer = ask_and_kill(system, "/book/1", "book");
        CHECK(answer.status == 502);
        CHECK_FALSE(answer.body.starts_with("done"));
    }
}

// Guards against a relay in front of a worker that is taken for the worker (MIXED, ORDER).
TEST_CASE("proof: a response without length or chunks is not complete if a relay outlives its worker") {
    routed_fleet system{{.routers = 1, .plain_workers = 1, .engines = 1, .proxies = true}};
    REQUIRE(system.wait_ready());
    SUBCASE("a body") {
        set_faults(system.plain_workers(), R"({"mode":"unframed_pause","event_gap_ms":400})");
        const auto answer = ask_and_kill(system, "/book/1", "book");
        CHECK(answer.status == 502);
        CHECK_FALSE(answer.body.starts_with("done"));
    }
    SUBCASE("a body of a request that may be repeated") {
        set_faults(system.plain_workers(), R"({"mode":"unframed_pause","event_gap_ms":400})");
        const auto answer = ask_and_kill(system, "/read/1", "read");
        CHECK(answer.status == 502);
        CHECK_FALSE(answer.body.starts_with("done"));
    }
    for (const std::string path : {"/guide/stream/1", "/quote/stream/1"}) {
        SUBCASE(path.c_str()) {
            node& engine = system.engines()[0];
            set_fault(engine, R"({"framing":"none","event_gap_ms":100})");
            auto asked = std::async(std::launch::async,
                                    [&] { return system.ask(system.routers()[0], path, "stream"); });
            REQUIRE(wait_until([&] { return runs_of(engine, "stream") == 1; }));
            std::this_thread::sleep_for(half_is_sent);
            engine.process->kill();
            const auto answer = asked.get();
            CHECK(answer.body.find("id: 6") == std::string::npos);
            CHECK_FALSE(answer.error.empty());
        }
    }
}

TEST_CASE("contract: a response without length or chunks of a process that lives on is delivered") {
    constexpr int requests = 20;
    routed_fleet system{{.routers = 1, .plain_workers = 2, .engines = 0}};
    REQUIRE(system.wait_ready());
    set_faults(system.plain_workers(), R"({"mode":"unframed"})");
    for (int count = 0; count < requests; ++count) {
        for (const std::string path : {"/read/", "/book/"}) {
            const std::string attempt = path + std::to_string(count);
            const auto answer = system.ask(system.routers()[0], path + "1", attempt);
            CHECK(answer.status == 200);
            CHECK(answer.body.starts_with("done by desk-"));
            CHECK(runs_of(system.plain_workers(), attempt) == 1);
        }
    }
}

// Guards against an upstream at the limit of its connections that is taken for one that has ended.
TEST_CASE("contract: a response without length or chunks is delivered if the next connection is reset") {
    resetting_worker worker;
    routed_fleet system{{.routers = 1, .plain_workers = 0, .engines = 0}};
    system.register_worker(worker.entry(), "desk");
    REQUIRE(system.wait_ready());
    REQUIRE(wait_until([&] { return system.ask(system.routers()[0], "/read/1", "ready").status == 200; }));
    for (const std::string path : {"/read/1", "/book/1"}) {
        const auto answer = system.ask(system.routers()[0], path, path);
        CHECK(answer.status == 200);
        CHECK(answer.body == "done");
    }
    CHECK(wait_until([&] { return worker.resets() == 3; }));
}

// Guards against the end of a process that looks like the end of its response.
TEST_CASE("proof: a response of a plain service whose process is killed is not delivered") {
    fleet system{{.routers = 1, .engines = 1, .service_workers = 2}};
    REQUIRE(system.wait_ready());
    for (const node& worker : system.workers()) {
        set_fault(worker, R"({"unframed_pause_ms":400})");
    }
    const auto runs_on = [](const node& worker) {
        const auto page =
            parse_json_object(http_call(worker.addresses.front(), {.target = "/standin/runs"}).body)
                .value_or(boost::json::object{});
        const auto* const runs = object_member(page, "runs");
        return integer_member(page, "reads") + (runs == nullptr ? 0 : std::ssize(*runs)) > 0;
    };
    const auto ask_and_kill_worker = [&](const call& request) {
        auto asked =
            std::async(std::launch::async, [&] { return http_call(system.routers()[0].callers(), request); });
        auto& workers = system.workers();
        REQUIRE(wait_until([&] { return std::ranges::any_of(workers, runs_on); }));
        std::this_thread::sleep_for(half_is_sent);
        std::ranges::find_if(workers, runs_on)->process->kill();
        return asked.get();
    };
    call request{.target = "/services/shop-desk/bookings",
                 .headers = {{"Authorization", "Bearer " + team_key("club")}}};
    SUBCASE("a request that may be repeated runs elsewhere") {
        const auto answer = ask_and_kill_worker(request);
        CHECK(answer.status == 200);
        CHECK(parse_json_object(answer.body));
    }
    SUBCASE("the outcome of another is unknown") {
        request.method = "POST";
        request.body = R"({"cup":"silver"})";
        SUBCASE("with a key") {
            request.headers.emplace_back("Idempotency-Key", "k1");
        }
        SUBCASE("without a key") {}
        const auto answer = ask_and_kill_worker(request);
        CHECK(answer.status == 502);
        CHECK(answer.header("Citronwick-Outcome") == "unknown");
    }
}

// Guards against the end of a process that looks like the end of its response.
TEST_CASE("proof: a chat that is no stream and whose engine is killed is answered by another one") {
    fleet system{{.routers = 1, .engines = 2, .service_workers = 0}};
    REQUIRE(system.wait_ready());
    for (const node& engine : system.engines()) {
        set_fault(engine, R"({"unframed_pause_ms":400})");
    }
    const auto runs_on = [](const node& engine) {
        const auto page = http_call(engine.addresses.front(), {.target = "/standin/stats"}).body;
        return integer_member(parse_json_object(page).value_or(boost::json::object{}), "runs") > 0;
    };
    auto asked = std::async(std::launch::async, [&] {
        return chat(system.routers()[0].callers(), {.chat = "killed", .stream = false});
    });
    auto& engines = system.engines();
    REQUIRE(wait_until([&] { return std::ranges::any_of(engines, runs_on); }));
    std::this_thread::sleep_for(half_is_sent);
    std::ranges::find_if(engines, runs_on)->process->kill();
    const auto answer = asked.get();
    CAPTURE(answer.raw.body);
    CHECK(answer.is_complete(4));
}
