// Routes declared in the platform's store, against stand-ins of the store and of workers.

#include "routed_fleet.hpp"
#include "waiting.hpp"

#include "citronwick/core/time.hpp"
#include "citronwick/io/json_text.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <future>
#include <thread>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;
using namespace std::string_literals;

namespace {

constexpr const char* six_events = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n"
                                   "id: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\nid: 6\ndata: piece 6\n\n";

/// Number of response bytes that the store has sent.
std::int64_t bytes_sent(const node& store) {
    const auto status = http_call(store.address(), {.target = "/standin/status"});
    return integer_member(*parse_json_object(status.body), "bytes_sent");
}

/// Header fields that workers received with a request, as one string.
std::string received_fields(const std::deque<node>& workers, const std::string& attempt) {
    std::string text;
    for (const node& worker : workers) {
        const auto page = parse_json_object(http_call(worker.address(), {.target = "/standin/runs"}).body);
        const auto* const run = object_member(*object_member(*page, "runs"), attempt);
        if (run != nullptr) {
            text += boost::json::serialize(*array_member(*run, "fields"));
        }
    }
    return text;
}

} // namespace

TEST_CASE("contract: routes serve each kind of request, with the team that holds the key") {
    routed_fleet system;
    REQUIRE(system.wait_ready());
    const node& router = system.routers()[0];

    const auto read = system.ask(router, "/read/1", "r1", {{"Citronwick-Tenant", "somebody else"}});
    CHECK(read.status == 200);
    CHECK(read.body.starts_with("done by desk-"));
    CHECK(read.header("citronwick-server-stamp").starts_with("stamp.desk-"));
    const auto fields = received_fields(system.plain_workers(), "r1");
    CHECK(fields.find("Citronwick-Tenant: club") != std::string::npos);
    CHECK(fields.find("somebody else") == std::string::npos);
    CHECK(fields.find("club-key") == std::string::npos);

    CHECK(system.ask(router, "/book/1", "b1", {}, "a cup").status == 200);
    CHECK(runs_of(system.plain_workers(), "b1") == 1);
    for (const char* const path : {"/quote/stream/1", "/guide/stream/1"}) {
        const auto streamed = system.ask(router, path, path);
        CHECK(streamed.status == 200);
        CHECK(streamed.body == six_events);
        CHECK(streamed.error.empty());
    }
    CHECK(system.ask(router, "/nowhere/", "n1").status == 404);
    CHECK(system.ask(router, "/read/../book/1", "n2").status == 400);
    CHECK(system.ask(router, "/read/1", "n3", {{"X-Api-Key", "wrong"}}).status == 401);
    CHECK(system.ask(router, "/read/1", "n4", {{"Host", "other.example"}}).status == 404);
}

TEST_CASE("contract: an ambiguous or malformed request is refused and never runs") {
    routed_fleet system{{.routers = 1}};
    REQUIRE(system.wait_ready());
    const endpoint front = system.routers()[0].address();
    const std::string start = "POST /book/1 HTTP/1.1\r\nX-Api-Key: club-key\r\nCitronwick-Attempt-Id: s\r\n";
    for (const std::string& rest :
         {std::string{"Host: shop.example\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"},
          std::string{"Host: shop.example\r\nContent-Length: 5\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
          std::string{"Host: shop.example\r\nHost: b\r\nContent-Length: 0\r\n\r\n"},
          std::string{"Content-Length: 0\r\n\r\n"},
          std::string{"Host: shop.example\r\nX: a\r\n b\r\nContent-Length: 0\r\n\r\n"}}) {
        CHECK(raw_call(front, start + rest).starts_with("HTTP/1.1 400"));
    }
    const std::string large(20'000, 'x');
    CHECK(raw_call(front, start + "Host: shop.example\r\nX: " + large + "\r\n\r\n")
              .starts_with("HTTP/1.1 431"));
    CHECK(runs_of(system.plain_workers(), "s") == 0);
}

TEST_CASE("proof: a request that runs at most once is not repeated, and 'not run' is true") {
    routed_fleet system;
    REQUIRE(system.wait_ready());
    const node& router = system.routers()[0];
    int count = 0;
    const auto book = [&] {
        const std::string attempt = "b" + std::to_string(++count);
        return std::pair{system.ask(router, "/book/1", attempt, {}, "a cup").status,
                         runs_of(system.plain_workers(), attempt)};
    };
    for (const char* const fault : {"lose_answer", "truncate", "garbage", "unmarked_503"}) {
        set_faults(system.plain_workers(), std::string{"{\"mode\":\""} + fault + "\"}");
        const auto [status, runs] = book();
        CHECK_MESSAGE(status == 502, fault);
        CHECK_MESSAGE(runs == 1, fault);
    }
    set_faults(system.plain_workers(), R"({"mode":"shed"})");
    const auto shed = book();
    CHECK(shed.first == 503);
    CHECK(shed.second == 0);
    set_faults(system.plain_workers(), R"({"mode":"silent","times":1})");
    const auto silent = book();
    CHECK(silent.first == 504);
    CHECK(silent.second == 1);
    set_faults(system.plain_workers(), "{}");
    CHECK(book() == std::pair{200U, std::int64_t{1}});
}

// Guards against bookings that callers repeat although they have run (REFUSED, TWICE).
TEST_CASE("proof: a status that promises 'not run' is withheld if a request that must not be repeated ran") {
    routed_fleet system{{.routers = 1}};
    REQUIRE(system.wait_ready());
    const node& router = system.routers()[0];
    for (const std::string& status : {"408"s, "421"s, "429"s, "503"s}) {
        CAPTURE(status);
        const std::string fault = R"({"mode":"status","status":)" + status + "}";
        set_faults(system.plain_workers(), fault);
        set_faults(system.engines(), fault);
        CHECK(system.ask(router, "/book/1", "b" + status, {}, "a cup").status == 502);
        CHECK(runs_of(system.plain_workers(), "b" + status) == 1);
        CHECK(system.ask(router, "/guide/stream/1", "g" + status).status == 502);
        CHECK(runs_of(system.engines(), "g" + status) == 1);
        // Callers may repeat this one in any case, so they get the worker's status.
        CHECK(system.ask(router, "/read/1", "r" + status).status == std::stoul(status));
    }
}

TEST_CASE("proof: an idempotent request goes to another worker after a lost answer") {
    routed_fleet system{{.platform_settings = "retry_extra = 100.0"}};
    REQUIRE(system.wait_ready());
    for (const char* const fault : {"lose_answer", "truncate", "garbage", "error", "silent"}) {
        set_fault(system.plain_workers()[0], std::string{"{\"mode\":\""} + fault + "\"}");
        for (int count = 0; count < 4; ++count) {
            const auto answer =
                system.ask(system.routers()[0], "/read/1", std::string{fault} + std::to_string(count));
            CHECK_MESSAGE(answer.status == 200, fault);
        }
        set_fault(system.plain_workers()[0], "{}");
    }
}

TEST_CASE("proof: an extra response on a reused connection reaches no other request") {
    routed_fleet system{{.routers = 1, .plain_workers = 1}};
    REQUIRE(system.wait_ready());
    set_faults(system.plain_workers(), R"({"mode":"extra"})");
    for (int count = 0; count < 20; ++count) {
        const auto answer = system.ask(system.routers()[0], "/read/1", "e" + std::to_string(count));
        CHECK(answer.status == 200);
        CHECK(answer.body == "done by desk-0");
    }
}

TEST_CASE("proof: a broken stream is resumed elsewhere if permitted, and otherwise never looks complete") {
    routed_fleet system;
    REQUIRE(system.wait_ready());
    set_fault(system.engines()[0], R"({"cut_after":2})");
    for (int count = 0; count < 6; ++count) {
        const std::string name = std::to_string(count);
        const auto resumed = system.ask(system.routers()[0], "/quote/stream/" + name, "q" + name);
        CHECK(resumed.body == six_events);
        CHECK(resumed.error.empty());
        const auto plain = system.ask(system.routers()[0], "/guide/stream/" + name, "g" + name);
        const bool is_whole = plain.body == six_events && plain.error.empty();
        const bool is_broken = !plain.error.empty() && std::string{six_events}.starts_with(plain.body);
        CHECK((is_whole || is_broken));
        CHECK(runs_of(system.engines(), "g" + name) == 1);
    }
}

TEST_CASE("proof: a revoked key serves nobody, even while the store is unreachable") {
    routed_fleet system;
    REQUIRE(system.wait_ready());
    const node& router = system.routers()[0];
    SUBCASE("the store reports the change") {
        system.declare({"new-key"});
        CHECK(wait_until([&] { return system.ask(router, "/read/1", "old").status == 401; }, 2s));
        CHECK(system.ask(router, "/read/1", "new", {{"X-Api-Key", "new-key"}}).status == 200);
    }
    SUBCASE("the store's history is compacted") {
        system.declare({"new-key"});
        set_fault(system.store(), R"({"forget_history":1})");
        CHECK(wait_until([&] { return system.ask(router, "/read/1", "old").status == 401; }, 3s));
    }
    SUBCASE("watches receive no events and the store's history is compacted") {
        set_fault(system.store(), R"({"deaf":1})");
        system.declare({"new-key"});
        set_fault(system.store(), R"({"deaf":1,"forget_history":1})");
        CHECK(wait_until([&] { return system.ask(router, "/read/1", "old").status == 401; }, 2s));
        CHECK(
            wait_until([&] { return system.ask(system.routers()[1], "/read/1", "old").status == 401; }, 2s));
    }
    for (const char* const mode : {"silent", "busy", "reset"}) {
        SUBCASE(mode) {
            set_fault(system.store(), std::string{"{\"mode\":\""} + mode + "\"}");
            std::this_thread::sleep_for(4500ms);
            const auto refused = system.ask(router, "/read/1", "cut");
            CHECK(refused.status == 503);
            CHECK_FALSE(refused.header("retry-after").empty());
            CHECK(runs_of(system.plain_workers(), "cut") == 0);
            set_fault(system.store(), "{}");
            CHECK(wait_until([&] { return system.ask(router, "/read/1", "again").status == 200; }, 3s));
        }
    }
    SUBCASE("the router was frozen meanwhile") {
        router.process->signal(SIGSTOP);
        std::this_thread::sleep_for(5s);
        system.declare({"new-key"});
        auto asked = std::async(std::launch::async, [&] { return system.ask(router, "/read/1", "frozen"); });
        std::this_thread::sleep_for(200ms);
        router.process->signal(SIGCONT);
        CHECK(asked.get().status != 200);
        CHECK(runs_of(system.plain_workers(), "frozen") == 0);
    }
}

TEST_CASE("proof: an unreadable or older declaration changes nothing") {
    routed_fleet system;
    system.declare({"club-key"});
    REQUIRE(system.wait_ready());
    system.put_key("op/config", "{\"version\":9,");
    system.put_key("op/config", R"({"version":1,"routes":[]})");
    std::this_thread::sleep_for(1s);
    CHECK(system.ask(system.routers()[0], "/read/1", "kept").status == 200);
    CHECK(system.ask(system.routers()[1], "/read/1", "kept").status == 200);
}

TEST_CASE("proof: a planned stop of a router that serves routes interrupts no request in flight") {
    routed_fleet system;
    REQUIRE(system.wait_ready());
    set_faults(system.plain_workers(), R"({"delay_ms":1200})");
    const node& router = system.routers()[0];
    auto slow = std::async(std::launch::async, [&] { return system.ask(router, "/book/1", "slow"); });
    std::this_thread::sleep_for(200ms);
    router.process->signal(SIGTERM);
    CHECK(slow.get().status == 200);
    CHECK(router.process->wait(5s) == 0);
    CHECK(runs_of(system.plain_workers(), "slow") == 1);
}

TEST_CASE("proof: a worker stops when its caller disconnects") {
    routed_fleet system{{.routers = 1, .plain_workers = 1}};
    REQUIRE(system.wait_ready());
    set_faults(system.plain_workers(), R"({"delay_ms":700})");
    const call request{.target = "/read/1",
                       .headers = {{"Host", "shop.example"},
                                   {"X-Api-Key", "club-key"},
                                   {"Citronwick-Attempt-Id", "left"},
                                   {"Citronwick-Deadline-Ms", "5000"}},
                       .timeout = 300ms};
    http_call(system.routers()[0].address(), request);
    CHECK(wait_until([&] {
        const auto page = parse_json_object(
            http_call(system.plain_workers()[0].address(), {.target = "/standin/runs"}).body);
        return page && integer_member(*page, "unfinished") == 1;
    }));
}

TEST_CASE("contract: SIGHUP reloads the settings, and the router keeps serving") {
    routed_fleet system{{.routers = 1}};
    REQUIRE(system.wait_ready());
    const node& router = system.routers()[0];
    router.process->signal(SIGHUP);
    CHECK(wait_until([&] { return !find_log_lines(router, "event=settings_reloaded").empty(); }));
    CHECK(system.ask(router, "/read/1", "after").status == 200);
}

TEST_CASE("contract: a router that starts while the store is down answers 503 and serves once it is back") {
    routed_fleet system{{.routers = 0}};
    set_fault(system.store(), R"({"mode":"busy"})");
    system.start_router();
    const node& router = system.routers()[0];
    const auto refused = system.ask(router, "/read/1", "early");
    CHECK(refused.status == 503);
    CHECK_FALSE(refused.header("retry-after").empty());
    CHECK(http_call(router.addresses.at(1), {.target = "/v1/readiness"}).status == 503);
    set_fault(system.store(), "{}");
    CHECK(wait_until([&] { return system.ask(router, "/read/1", "later").status == 200; }, 3s));
}

TEST_CASE("proof: a router on a narrow link catches up with a series of large declarations") {
    routed_fleet system{{.routers = 1}};
    REQUIRE(system.wait_ready());
    set_fault(system.store(), R"({"mode":"reset"})");
    std::this_thread::sleep_for(1500ms);
    constexpr std::size_t routes = 1'400;
    for (int version = 0; version < 8; ++version) {
        system.declare({"club-key"}, routes);
    }
    // One declaration takes 0.7 s on this link, which exceeds the timeout of a
    // call; reading all eight versions would take 6 s.
    set_fault(system.store(), R"({"mode":"up","bytes_per_second":500000})");
    CHECK(system.wait_ready(3s));
    CHECK(system.ask(system.routers()[0], "/read/1", "r1").status == 200);
}

TEST_CASE("proof: one router reads a large declaration for its failure domain") {
    routed_fleet system{{.routers = 4}};
    REQUIRE(system.wait_ready());
    const auto before = bytes_sent(system.store());
    system.declare({"club-key"}, 1'400);
    REQUIRE(system.wait_ready(3s));
    const auto size = bytes_sent(system.store()) - before;
    CHECK(size > 200'000);
    CHECK(size < 700'000);
}

TEST_CASE("contract: a router registers once although the store's response is lost") {
    routed_fleet system{{.routers = 0}};
    set_fault(system.store(), R"({"lose_answers":3})");
    system.start_router();
    system.start_router();
    CHECK(system.wait_ready());
}

TEST_CASE("proof: a stream whose resumption is answered with a failure ends broken, and at once") {
    routed_fleet fleet{{.routers = 1, .plain_workers = 1, .engines = 2}};
    REQUIRE(fleet.wait_ready());
    set_fault(fleet.engines()[0], R"({"cut_after":2})");
    set_fault(fleet.engines()[1], R"({"mode":"unmarked_503"})");
    int broken = 0;
    for (int count = 0; count < 20; ++count) {
        const auto begin = clock::now();
        const reply answer = fleet.ask(fleet.routers()[0], "/quote/stream/1", "r" + std::to_string(count));
        CHECK(clock::now() - begin < 1s);
        // No engine can complete the stream.
        CHECK((answer.status != 200 || !answer.error.empty()));
        broken += answer.status == 200 ? 1 : 0;
    }
    CHECK(broken > 0);
}
