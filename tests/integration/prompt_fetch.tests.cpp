// Engines that fetch prompt parts from the cache of another one.

#include "citronwick/io/json_text.hpp"
#include "routed_fleet.hpp"
#include "waiting.hpp"

#include <doctest/doctest.h>
#include <string>
#include <thread>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

/// A stream whose prompt shares all but its last part with the others.
reply ask_stream(routed_fleet& system, const node& router, const std::string& attempt) {
    return system.ask(router, "/guide/stream/" + attempt, attempt,
                      {{"Citronwick-Model", "m"},
                       {"Citronwick-Token-Counts", "9000,20"},
                       {"Citronwick-Prompt-Prefix", "5c1e07a2:600,77aa:8300," + attempt + ":100"},
                       {"Kv-Fetch", "127.0.0.1:9"}});
}

/// Value of the field with which an engine was told what to fetch from, in a run of the attempt.
std::string fetch_field(const node& engine, const std::string& attempt) {
    const auto page =
        parse_json_object(http_call(engine.addresses.front(), {.target = "/standin/runs"}).body);
    REQUIRE(page);
    const auto* const run = object_member(page->at("runs").as_object(), attempt);
    if (run == nullptr) {
        return "not run here";
    }
    constexpr std::string_view name = "Kv-Fetch: ";
    for (const auto& field : run->at("fields").as_array()) {
        const std::string_view text{field.as_string()};
        if (text.starts_with(name)) {
            return std::string{text.substr(name.size())};
        }
    }
    return "";
}

} // namespace

TEST_CASE("proof: an engine fetches a prompt from one that has it, also if that is leaving") {
    routed_fleet system{{.routers = 1, .plain_workers = 0, .engines = 2}};
    REQUIRE(system.wait_ready());
    const node& router = system.routers()[0];
    REQUIRE(ask_stream(system, router, "a1").status == 200);
    const bool is_first = runs_of(system.engines()[0], "a1") == 1;
    const node& holder = system.engines()[is_first ? 0 : 1];
    const node& other = system.engines()[is_first ? 1 : 0];
    // No router knows yet who has the prompt, so the other engine is named; a caller's
    // field is not passed on.
    CHECK(fetch_field(holder, "a1") == to_text(other.address()));
    std::this_thread::sleep_for(400ms); // the engine has processed the prompt
    REQUIRE(ask_stream(system, router, "a2").status == 200);
    CHECK(fetch_field(holder, "a2").empty());

    system.register_worker(holder, "bench", "draining");
    REQUIRE(wait_until([&] {
        static int count = 0;
        const std::string attempt = "b" + std::to_string(++count);
        REQUIRE(ask_stream(system, router, attempt).status == 200);
        if (runs_of(other, attempt) == 0) {
            return false;
        }
        CHECK(fetch_field(other, attempt) == to_text(holder.address()));
        return true;
    }));
    std::this_thread::sleep_for(400ms);
    REQUIRE(ask_stream(system, router, "c1").status == 200);
    CHECK(fetch_field(other, "c1").empty());
}
