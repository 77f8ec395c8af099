// Contract of the callers' HTTP interface: each table row has one faulty input and its expected response.

#include "chat.hpp"
#include "fleet.hpp"
#include "waiting.hpp"

#include "citronwick/io/json_text.hpp"

#include <doctest/doctest.h>

using namespace citronwick;
using namespace citronwick::harness;

namespace {

struct invalid_request {
    const char* name;
    call request;
    unsigned status;
    const char* type;
};

struct malformed_request {
    const char* name;
    std::string bytes;
    const char* status_line;
};

const std::string bearer = "Bearer " + team_key("club");

call chat_with_body(std::string body) {
    return {.method = "POST",
            .target = "/v1/chat/completions",
            .body = std::move(body),
            .headers = {{"Authorization", bearer}}};
}

std::int64_t requests_on(const node& engine) {
    const auto engine_stats = stats(engine);
    return integer_member(engine_stats, "running") + integer_member(engine_stats, "waiting");
}

} // namespace

TEST_CASE("contract: bad input gets a clear refusal and never runs") {
    fleet system{{.routers = 1,
                  .engines = 1,
                  .service_workers = 1,
                  .service = "idempotency_key = \"required\"\nkey_pointer = \"/order\"",
                  .router_settings = "[limits]\nheader_bytes = 4096\nbody_bytes = 65536\n"}};
    REQUIRE(system.wait_ready());
    const auto& router = system.routers().front();
    const std::string good_body = to_call({}).body;

    SUBCASE("in well-formed HTTP") {
        const std::vector<invalid_request> rows{
            {"no key",
             {.method = "POST", .target = "/v1/chat/completions", .body = good_body},
             401,
             "unknown-team"},
            {"wrong key",
             {.method = "POST",
              .target = "/v1/chat/completions",
              .body = good_body,
              .headers = {{"Authorization", "Bearer wrong"}}},
             401,
             "unknown-team"},
            {"bad JSON", chat_with_body("{"), 400, "bad-request"},
            {"JSON of another type", chat_with_body("[1]"), 400, "bad-request"},
            {"no model", chat_with_body(R"({"messages":[{"role":"user","content":"x"}]})"), 400,
             "bad-request"},
            {"no messages", chat_with_body(R"({"model":"repair-draft"})"), 400, "bad-request"},
            {"unknown model", to_call({.model = "none"}), 404, "unknown-model"},
            {"unknown service",
             {.target = "/services/none/x", .headers = {{"Authorization", bearer}}},
             404,
             "unknown-service"},
            {"engine service called as a plain one",
             {.target = "/services/citron-bench/x", .headers = {{"Authorization", bearer}}},
             404,
             "unknown-service"},
            {"unknown path", {.target = "/x"}, 404, "unknown-path"},
            {"body too large", chat_with_body(std::string(100'000, 'x')), 413, "body-too-large"},
            {"header too large", {.headers = {{"X", std::string(8'000, 'x')}}}, 431, "header-too-large"},
            {"booking without a key",
             {.method = "POST", .target = "/services/shop-desk/b", .headers = {{"Authorization", bearer}}},
             400,
             "key-required"},
            {"booking with a long key",
             {.method = "POST",
              .target = "/services/shop-desk/b",
              .headers = {{"Authorization", bearer}, {"Idempotency-Key", std::string(300, 'k')}}},
             400,
             "bad-request"},
        };
        for (const auto& row : rows) {
            CAPTURE(row.name);
            const auto answer = http_call(router.callers(), row.request);
            CHECK(answer.status == row.status);
            CHECK(answer.error.empty());
            CHECK(answer.header("Content-Type") == "application/problem+json");
            CHECK(answer.header("Citronwick-Outcome") == "not-run");
            CHECK(answer.body.find(row.type) != std::string::npos);
        }
    }
    SUBCASE("in malformed HTTP") {
        const std::vector<malformed_request> rows{
            {"no HTTP at all", "hello\r\n\r\n", "HTTP/1.1 400"},
            {"both length and chunked encoding",
             "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: "
             "chunked\r\n\r\n0\r\n\r\n",
             "HTTP/1.1 400"},
            {"two lengths",
             "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: "
             "6\r\n\r\nhello",
             "HTTP/1.1 400"},
            {"bad length", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 400"},
            {"bad chunk", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
             "HTTP/1.1 400"},
        };
        for (const auto& row : rows) {
            CAPTURE(row.name);
            const auto answer = raw_call(router.callers(), row.bytes);
            CHECK(answer.starts_with(row.status_line));
            CHECK(answer.find("Citronwick-Outcome: not-run") != std::string::npos);
        }
    }
    CHECK(integer_member(stats(system.engines().front()), "runs") == 0);
    CHECK(chat(router.callers(), {}).is_complete(4));
}

TEST_CASE("contract: a refused request leaves the connection usable") {
    fleet system{{.routers = 1, .engines = 1, .service_workers = 0}};
    REQUIRE(system.wait_ready());
    const std::string pipelined =
        "GET /x HTTP/1.1\r\nHost: x\r\n\r\nGET /y HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    const auto answers = raw_call(system.routers().front().callers(), pipelined);
    const auto first = answers.find("HTTP/1.1 404");
    REQUIRE(first != std::string::npos);
    CHECK(answers.find("HTTP/1.1 404", first + 1) != std::string::npos);
}

TEST_CASE("contract: a caller that disconnects cancels the engine's work") {
    fleet system{{.routers = 1, .engines = 1, .service_workers = 0}};
    REQUIRE(system.wait_ready());
    const auto& engine = system.engines().front();
    SUBCASE("in the middle of a stream") {
        call_and_disconnect(system.routers().front().callers(), to_call({.tokens = 100'000}), 1'000);
    }
    SUBCASE("before the first byte of the answer") {
        auto request = to_call({.prompt = std::string(2'000'000, 'x')});
        request.timeout = std::chrono::milliseconds{300};
        call_and_disconnect(system.routers().front().callers(), request, 1);
    }
    CHECK(wait_until([&] { return integer_member(stats(engine), "cancelled") == 1; }));
    CHECK(requests_on(engine) == 0);
}

TEST_CASE("contract: a caller that stops reading is disconnected, and its buffer is bounded") {
    fleet system{{.routers = 1,
                  .engines = 1,
                  .service_workers = 0,
                  .engine_arguments = {"--decode-us", "20"},
                  .router_settings = "[limits]\ncaller_write_timeout = \"500ms\"\n"}};
    REQUIRE(system.wait_ready());
    const auto& engine = system.engines().front();
    stalled_caller caller{system.routers().front().callers(), to_call({.tokens = 10'000'000})};
    CHECK(wait_until([&] { return integer_member(stats(engine), "runs") == 1; }));
    CHECK(wait_until([&] { return integer_member(stats(engine), "cancelled") == 1; },
                     std::chrono::seconds{30}));
}
