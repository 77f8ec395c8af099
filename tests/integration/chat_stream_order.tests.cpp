// A chat that is resumed is joined only to the run that it belongs to.

#include "chat.hpp"
#include "fleet.hpp"

#include "citronwick/io/json_text.hpp"

#include <doctest/doctest.h>
#include <ranges>
#include <string>

using namespace citronwick;
using namespace citronwick::harness;

namespace {

constexpr std::int64_t tokens = 40;
constexpr int chats = 6;

chat_call numbered_chat(int number) {
    return {.chat = "order-" + std::to_string(number), .tokens = tokens};
}

/// Checks that a chat is whole, or that it ends with an error behind a beginning of the expected text.
void check_order(const chat_reply& answer, const std::string& expected) {
    CAPTURE(answer.text);
    const bool is_whole = answer.is_complete(tokens) && answer.text == expected;
    const bool is_broken = answer.error_event && !answer.has_done_event &&
                           answer.raw.header("Citronwick-Outcome") == "unknown" &&
                           expected.starts_with(answer.text);
    CHECK((is_whole || is_broken));
}

} // namespace

// Guards against events that a caller gets twice in one complete chat (ORDER).
TEST_CASE("proof: a chat whose engine begins anew is not joined to the events before") {
    fleet system{{.routers = 1, .engines = 1, .service_workers = 0}};
    REQUIRE(system.wait_ready());
    const node& engine = system.engines().front();
    const auto expected = chat(engine.addresses.front(), numbered_chat(0)).text;
    for (const int number : std::views::iota(0, chats)) {
        set_fault(engine, R"({"cuts":1,"cut_after_events":10,"begin_anew":1})");
        check_order(chat(system.routers().front().callers(), numbered_chat(number)), expected);
    }
    CHECK(integer_member(stats(engine), "resumed") >= chats);
}
