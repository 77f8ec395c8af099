// Every caller receives the complete response to its own request, or an explicit error.

#include "chat.hpp"
#include "fleet.hpp"
#include "routed_fleet.hpp"
#include "waiting.hpp"

#include "citronwick/io/json_text.hpp"

#include <csignal>
#include <doctest/doctest.h>
#include <future>
#include <set>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

node& engine_named(fleet& system, const std::string& name) {
    return *std::ranges::find(system.engines(), name, &node::name);
}

std::int64_t total_runs(fleet& system) {
    std::int64_t sum = 0;
    for (const node& engine : system.engines()) {
        sum += integer_member(stats(engine), "runs");
    }
    return sum;
}

/// Text that an engine without faults generates; it depends on the prompt alone.
std::string expected_text(fleet& system, const chat_call& request) {
    return chat(system.engines().front().addresses.front(), request).text;
}

/// Checks that an incomplete response lacks the closing event and is not reported as complete.
void check_marked_incomplete(const chat_reply& answer) {
    CAPTURE(answer.raw.body);
    CHECK_FALSE(answer.has_done_event);
    CHECK(answer.raw.header("Citronwick-Outcome") != "complete");
}

} // namespace

TEST_CASE("proof: a stream that is cut is resumed after the last whole event") {
    fleet system{{.routers = 1, .engines = 2, .service_workers = 0}};
    REQUIRE(system.wait_ready());
    const chat_call request{.chat = "cut", .tokens = 40};
    const std::string expected = expected_text(system, request);
    for (const node& engine : system.engines()) {
        set_fault(engine, R"({"cuts":1,"cut_after_events":10})");
    }
    const auto answer = chat(system.routers().front().callers(), request);
    CHECK(answer.is_complete(40));
    CHECK(answer.text == expected);
    const auto& engine = engine_named(system, answer.raw.header("Citronwick-Upstream"));
    CHECK(integer_member(stats(engine), "resumed") == 1);
}

TEST_CASE("proof: an engine killed in the middle of a stream ends it with an explicit error") {
    fleet system{{.routers = 1, .engines = 2, .service_workers = 0}};
    REQUIRE(system.wait_ready());
    auto call = std::async(std::launch::async, [&] {
        return chat(system.routers().front().callers(), {.chat = "killed", .tokens = 4'000});
    });
    REQUIRE(wait_until([&] { return total_runs(system) == 1; }));
    std::this_thread::sleep_for(100ms); // some events have passed
    for (node& engine : system.engines()) {
        if (integer_member(stats(engine), "runs") == 1) {
            engine.process->kill();
        }
    }
    const auto answer = call.get();
    check_marked_incomplete(answer);
    CHECK(answer.error_event);
    CHECK(answer.raw.header("Citronwick-Outcome") == "unknown");
}

TEST_CASE("proof: an engine killed before its first event does not affect the caller") {
    fleet system{{.routers = 1, .engines = 2, .service_workers = 0}};
    REQUIRE(system.wait_ready());
    const chat_call request{.chat = "early", .prompt = std::string(60'000, 'p')};
    auto call =
        std::async(std::launch::async, [&] { return chat(system.routers().front().callers(), request); });
    REQUIRE(wait_until([&] { return total_runs(system) == 1; }));
    const auto running = std::ranges::find_if(
        system.engines(), [](const node& engine) { return integer_member(stats(engine), "runs") == 1; });
    running->process->kill();
    CHECK(call.get().is_complete(4));
}

TEST_CASE("proof: an answer to another request is never passed on") {
    fleet system{{.routers = 1, .engines = 2, .service_workers = 0}};
    REQUIRE(system.wait_ready());
    const chat_call streamed{.chat = "swap"};
    const chat_call buffered{.chat = "swap", .stream = false};
    SUBCASE("one engine mixes answers up") {
        set_fault(system.engines()[0], R"({"wrong_id":1})");
        for (const auto& request : {streamed, buffered}) {
            CHECK(chat(system.routers().front().callers(), request).is_complete(4));
        }
    }
    SUBCASE("all engines do") {
        set_fault(system.engines()[0], R"({"wrong_id":1})");
        set_fault(system.engines()[1], R"({"wrong_id":1})");
        for (const auto& request : {streamed, buffered}) {
            check_marked_incomplete(chat(system.routers().front().callers(), request));
        }
    }
}

TEST_CASE("proof: a late answer never reaches the next request") {
    fleet system{
        {.routers = 1, .engines = 1, .service_workers = 0, .preset = "first_byte_timeout = \"300ms\""}};
    REQUIRE(system.wait_ready());
    auto& engine = system.engines().front();
    const auto& router = system.routers().front();
    CHECK(chat(router.callers(), {.chat = "warm"}).is_complete(4));
    set_fault(engine, R"({"freeze":1})");
    const auto late = chat(router.callers(), {.chat = "late", .prompt = "question one"});
    CHECK(late.raw.header("Citronwick-Outcome") == "unknown");
    set_fault(engine, "{}");
    const chat_call next{.chat = "next", .prompt = "question two"};
    REQUIRE(wait_until([&] { return chat(router.callers(), next).is_complete(4); }));
    const auto answer = chat(router.callers(), next);
    CHECK(answer.text == expected_text(system, next));
}

TEST_CASE("proof: a half-open connection is detected while new connections work") {
    fleet system{{.routers = 1,
                  .engines = 1,
                  .service_workers = 0,
                  .proxies = true,
                  .preset = "idle_timeout = \"300ms\"\nfirst_byte_timeout = \"400ms\""}};
    REQUIRE(system.wait_ready());
    auto& engine = system.engines().front();
    const auto& router = system.routers().front();
    SUBCASE("in the middle of a stream: it is resumed on a new connection") {
        const chat_call request{.chat = "silent", .tokens = 300};
        auto call = std::async(std::launch::async, [&] { return chat(router.callers(), request); });
        REQUIRE(wait_until([&] { return total_runs(system) == 1; }));
        std::this_thread::sleep_for(100ms); // some events have passed
        set_proxy_fault(engine, R"({"blackhole":1})");
        set_proxy_fault(engine, "{}");
        const auto answer = call.get();
        CHECK(answer.is_complete(300));
        CHECK(answer.text == expected_text(system, request));
    }
    SUBCASE("while it is pooled: the request is repeated on a new one") {
        CHECK(chat(router.callers(), {.chat = "pooled"}).is_complete(4));
        set_proxy_fault(engine, R"({"blackhole":1})");
        set_proxy_fault(engine, "{}");
        CHECK(chat(router.callers(), {.chat = "pooled"}).is_complete(4));
    }
}

TEST_CASE("proof: answers that arrive out of order reach their own callers") {
    fleet system{{.routers = 2, .engines = 3, .service_workers = 0}};
    REQUIRE(system.wait_ready());
    std::vector<std::future<bool>> calls;
    for (int index = 0; index < 60; ++index) {
        calls.push_back(std::async(std::launch::async, [&system, index] {
            const chat_call request{.chat = "chat-" + std::to_string(index),
                                    .prompt = std::string(static_cast<std::size_t>((60 - index) * 200), 'o') +
                                              std::to_string(index),
                                    .tokens = 3 + index % 7,
                                    .stream = index % 2 == 0};
            const auto& router = system.routers()[static_cast<std::size_t>(index) % 2];
            const auto answer = chat(router.callers(), request);
            return answer.is_complete(request.tokens) && answer.text == expected_text(system, request);
        }));
    }
    CHECK(std::ranges::all_of(calls, [](std::future<bool>& each) { return each.get(); }));
}

TEST_CASE("proof: what was told not-run did not run, wherever the connection is cut") {
    struct cut {
        std::string name;
        std::string fault;
    };
    const std::vector<cut> rows{
        {"refused", R"({"refuse":1})"},
        {"before any byte", R"({"cut_after_up":0})"},
        {"within the header", R"({"cut_after_up":40})"},
        {"within the body", R"({"cut_after_up":1000})"},
        {"within the answer's status line", R"({"cut_after_down":6})"},
        {"within the answer's header", R"({"cut_after_down":60})"},
        {"within the answer's body", R"({"cut_after_down":140})"},
        {"request forwarded, answer dropped", R"({"drop_answers":1})"},
    };
    fleet system{{.routers = 1,
                  .engines = 1,
                  .service_workers = 1,
                  .proxies = true,
                  .preset = "first_byte_timeout = \"400ms\"\nidle_timeout = \"400ms\""}};
    REQUIRE(system.wait_ready());
    const auto& router = system.routers().front();
    const node& worker = system.workers().front();
    int number = 0;
    for (const cut& row : rows) {
        CAPTURE(row.name);
        const std::string key = "order-" + std::to_string(number++);
        set_proxy_fault(worker, row.fault);
        const auto answer = http_call(
            router.callers(),
            {.method = "POST",
             .target = "/services/shop-desk/orders",
             .body = std::string(2'000, 'b'),
             .headers = {{"Authorization", "Bearer " + team_key("club")}, {"Idempotency-Key", key}}});
        set_proxy_fault(worker, "{}");
        const auto page = http_call(worker.addresses.front(), {.target = "/standin/runs"});
        const bool ran = page.body.find("\"" + key + "\"") != std::string::npos;
        const std::string outcome = answer.header("Citronwick-Outcome");
        CAPTURE(outcome);
        CAPTURE(answer.body);
        CHECK(answer.error.empty());
        CHECK((outcome == "not-run" || outcome == "unknown"));
        if (outcome == "not-run") {
            CHECK_FALSE(ran);
        }
        REQUIRE(wait_until([&] {
            const auto seen = system.view(router);
            const auto& desk = seen.at("services").as_object().at("shop-desk").as_array().front().as_object();
            return string_member(desk, "state") == "ready";
        }));
    }
}

// Guards against failures that reach callers with status 000 (MIXED).
TEST_CASE("proof: callers get an upstream's status also if the HTTP library has no name for it") {
    SUBCASE("behind a route") {
        routed_fleet system{{.routers = 1}};
        REQUIRE(system.wait_ready());
        for (const unsigned status : {404U, 418U, 425U, 500U, 520U, 529U, 599U}) {
            CAPTURE(status);
            const std::string text = std::to_string(status);
            const std::string fault = R"({"mode":"status","status":)" + text + "}";
            set_faults(system.plain_workers(), fault);
            set_faults(system.engines(), fault);
            for (const char* const path : {"/book/1", "/read/1", "/guide/stream/1"}) {
                const auto answer = system.ask(system.routers()[0], path, path + text);
                CHECK(answer.status == status);
                CHECK(answer.body == "failed");
                CHECK(answer.header("citronwick-server-stamp").starts_with("stamp."));
            }
        }
    }
    SUBCASE("of a plain service, also when the response is replayed") {
        fleet system{{.routers = 1, .engines = 1, .service_workers = 1}};
        REQUIRE(system.wait_ready());
        for (const unsigned status : {418U, 425U, 520U, 529U}) {
            CAPTURE(status);
            set_fault(system.workers().front(), R"({"status":)" + std::to_string(status) + "}");
            const call order{.method = "POST",
                             .target = "/services/shop-desk/orders",
                             .body = "a cup",
                             .headers = {{"Authorization", "Bearer " + team_key("club")},
                                         {"Idempotency-Key", "order-" + std::to_string(status)}}};
            CHECK(http_call(system.routers().front().callers(), order).status == status);
            CHECK(http_call(system.routers().front().callers(), order).status == status);
        }
    }
}

TEST_CASE("proof: a request refused while it waits never runs") {
    fleet system{{.routers = 1,
                  .engines = 1,
                  .service_workers = 0,
                  .preset = "engine_concurrency = 1\nqueue_timeout = \"200ms\"\nqueue_length = 2"}};
    REQUIRE(system.wait_ready());
    const auto& router = system.routers().front();
    auto busy = std::async(std::launch::async,
                           [&] { return chat(router.callers(), {.chat = "busy", .tokens = 400}); });
    REQUIRE(wait_until([&] { return total_runs(system) == 1; }));
    std::vector<std::future<chat_reply>> waiting;
    for (int index = 0; index < 5; ++index) {
        waiting.push_back(std::async(std::launch::async, [&, index] {
            return chat(router.callers(), {.chat = "waiting-" + std::to_string(index)});
        }));
    }
    std::multiset<std::string> types;
    for (auto& each : waiting) {
        const auto answer = each.get();
        CHECK(answer.raw.status == 503);
        CHECK(answer.raw.header("Citronwick-Outcome") == "not-run");
        CHECK_FALSE(answer.raw.header("Retry-After").empty());
        types.insert(string_member(parse_json_object(answer.raw.body).value(), "type"));
    }
    CHECK(types.count("urn:citronwick:problem:queue-full") == 3);
    CHECK(types.count("urn:citronwick:problem:queue-timeout") == 2);
    CHECK(busy.get().is_complete(400));
    CHECK(total_runs(system) == 1);
}
