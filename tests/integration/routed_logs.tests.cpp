// Log lines of routers that serve routes, and what `citronctl explain` reports from them.

#include "routed_fleet.hpp"

#include "citronwick/io/json_text.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <fstream>
#include <iterator>
#include <thread>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

/// Whether docs/OPERATIONS.md documents a log event.
bool documents_event(const std::string& event) {
    std::ifstream page{CITRONWICK_SOURCE_DIR "/docs/OPERATIONS.md"};
    const std::string text{std::istreambuf_iterator<char>{page}, {}};
    return text.find("`" + event + "`") != std::string::npos;
}

} // namespace

TEST_CASE("contract: all log lines share one format, and a request's cause is found by its identifier") {
    routed_fleet system{{.log_format = "json"}};
    REQUIRE(system.wait_ready());
    const node& router = system.routers()[0];
    set_faults(system.plain_workers(), R"({"mode":"shed"})");
    CHECK(system.ask(router, "/book/1", "overload", {}, "a cup").status == 503);
    set_faults(system.plain_workers(), R"({"mode":"lose_answer"})");
    CHECK(system.ask(router, "/book/1", "reset", {}, "a cup").status == 502);
    set_faults(system.plain_workers(), R"({"mode":"ok"})");
    set_fault(system.store(), R"({"mode":"reset"})");
    std::this_thread::sleep_for(4'500ms);
    CHECK(system.ask(router, "/read/1", "stale").status == 503);
    std::this_thread::sleep_for(1'200ms); // the log is flushed every second

    for (const node& each : system.routers()) {
        std::ifstream log{each.log};
        std::string text;
        while (std::getline(log, text)) {
            const auto line = parse_json_object(text);
            REQUIRE_MESSAGE(line, text);
            CHECK(line->size() == 3);
            CHECK(string_member(*line, "time").size() == 23);
            CHECK(!string_member(*line, "level").empty());
            const auto* const fields = object_member(*line, "line");
            REQUIRE(fields != nullptr);
            CHECK(std::ranges::all_of(*fields, [](const auto& field) { return field.value().is_string(); }));
            CHECK_MESSAGE(documents_event(string_member(*fields, "event")), text);
        }
    }
    const auto explain = [&](const std::string& request) {
        std::vector<std::string> arguments{"explain", "--request", request};
        std::ranges::transform(system.routers(), std::back_inserter(arguments), &node::log);
        return run_citronctl(arguments, router.log + ".story").output;
    };
    const auto overload = explain("overload");
    CHECK(overload.find("outcome=not-run detail=status 503") != std::string::npos);
    CHECK(overload.find("ended: no-upstream") != std::string::npos);
    const auto reset = explain("reset");
    CHECK(reset.find("outcome=may-have-run") != std::string::npos);
    CHECK(reset.find("ended: upstream-failed") != std::string::npos);
    const auto stale = explain("stale");
    CHECK(stale.find("store_lost") != std::string::npos);
    CHECK(stale.find("keys_not_confirmed") != std::string::npos);
    CHECK(stale.find("ended: keys-not-confirmed") != std::string::npos);
}
