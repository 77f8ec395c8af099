// Event streams are relayed and resumed in every form that text/event-stream allows.

#include "chat.hpp"
#include "fleet.hpp"
#include "routed_fleet.hpp"
#include "waiting.hpp"

#include "citronwick/io/json_text.hpp"

#include <doctest/doctest.h>

using namespace citronwick;
using namespace citronwick::harness;

namespace {

constexpr int event_count = 6;

/// The events that the stand-in worker sends.
std::string all_events(const std::string& separator, const std::string& line_end, bool names_id_behind) {
    std::string text;
    for (int id = 1; id <= event_count; ++id) {
        const std::string number = std::to_string(id);
        text.append("id").append(separator).append(number).append(line_end);
        text.append("data").append(separator).append("piece ").append(number).append(line_end + line_end);
        if (names_id_behind) {
            text.append("id").append(separator).append(number).append(line_end).append(line_end);
        }
    }
    return text;
}

} // namespace

// Guards against a stream that begins anew within its response (ORDER).
TEST_CASE("proof: a broken stream is resumed after its last event, however workers format events") {
    struct format {
        std::string name;
        std::string separator;
        std::string line_end;
        bool names_id_behind = false;
    };
    const std::vector<format> formats{{"", ": ", "\n"},
                                      {"compact", ":", "\n"},
                                      {"crlf", ": ", "\r\n"},
                                      {"cr", ": ", "\r"},
                                      {"id_behind", ": ", "\n", true}};
    for (const format& each : formats) {
        CAPTURE(each.name);
        routed_fleet system{{.routers = 1}}; // with a retry budget of its own
        REQUIRE(system.wait_ready());
        const std::string setting = R"("event_format":")" + each.name + "\"}";
        set_fault(system.engines()[0], R"({"cut_after":2,)" + setting);
        set_fault(system.engines()[1], "{" + setting);
        int resumed = 0;
        for (int count = 0; count < 6; ++count) {
            const std::string attempt = each.name + "-" + std::to_string(count);
            const auto answer = system.ask(system.routers()[0], "/quote/stream/1", attempt);
            CHECK(answer.error.empty());
            CHECK(answer.body == all_events(each.separator, each.line_end, each.names_id_behind));
            resumed += runs_of(system.engines(), attempt) > 1 ? 1 : 0;
        }
        CHECK(resumed > 0);
    }
}

// Guards against events that the caller gets twice because their position is not known (ORDER).
TEST_CASE("proof: a broken stream whose events have no ids ends broken and is not begun anew") {
    routed_fleet system{{.routers = 1}};
    REQUIRE(system.wait_ready());
    set_fault(system.engines()[0], R"({"cut_after":2,"event_format":"unnumbered"})");
    set_fault(system.engines()[1], R"({"event_format":"unnumbered"})");
    int broken = 0;
    for (int count = 0; count < 12; ++count) {
        const std::string attempt = "u" + std::to_string(count);
        const auto answer = system.ask(system.routers()[0], "/quote/stream/1", attempt);
        const bool is_whole = answer.error.empty() && answer.body.ends_with("data: piece 6\n\n");
        const bool is_broken = !answer.error.empty() && answer.body == "data: piece 1\n\ndata: piece 2\n\n";
        CHECK((is_whole || is_broken));
        CHECK(runs_of(system.engines(), attempt) == 1);
        broken += is_broken ? 1 : 0;
    }
    CHECK(broken > 0);
}

TEST_CASE("proof: a chat that is cut is resumed although its events lack the optional spaces") {
    fleet system{{.routers = 1, .engines = 2, .service_workers = 0}};
    REQUIRE(system.wait_ready());
    const chat_call request{.chat = "compact", .tokens = 40};
    const auto expected = chat(system.engines().front().addresses.front(), request).text;
    for (const node& engine : system.engines()) {
        set_fault(engine, R"({"cuts":1,"cut_after_events":10,"compact_events":1})");
    }
    const auto answer = chat(system.routers().front().callers(), request);
    CHECK(answer.is_complete(40));
    CHECK(answer.text == expected);
}
