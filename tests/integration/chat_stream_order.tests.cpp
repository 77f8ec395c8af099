// A chat that is resumed is joined only to the run that it belongs to.

#include "chat.hpp"
#include "fleet.hpp"
#include "waiting.hpp"

#include "citronwick/io/json_text.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <future>
#include <iterator>
#include <ranges>
#include <string>
#include <vector>

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

std::vector<std::future<chat_reply>> start_chats(const endpoint& router) {
    std::vector<std::future<chat_reply>> started;
    std::ranges::transform(std::views::iota(0, chats), std::back_inserter(started), [&](int number) {
        return std::async(std::launch::async, [=] { return chat(router, numbered_chat(number)); });
    });
    return started;
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

// Guards against a chat whose text is of two processes, which choose its tokens apart (ORDER).
TEST_CASE("proof: a chat is not joined to the run of a process that replaced its engine") {
    fleet system{{.routers = 1, .engines = 1, .service_workers = 0, .proxies = true}};
    REQUIRE(system.wait_ready());
    node& engine = system.engines().front();
    const auto expected = chat(engine.addresses.front(), numbered_chat(0)).text;
    const auto events_before = integer_member(stats(engine), "events");
    const auto replacement = start_standin_in(system.directory(), "engine", "replacement", {});
    set_fault(replacement, R"({"resume_unknown":1})");
    set_fault(engine, R"({"stall":1})");
    auto calls = start_chats(system.routers().front().callers());
    REQUIRE(wait_until([&] { return integer_member(stats(engine), "events") == events_before + chats; }));
    set_proxy_target(*engine.proxy, replacement);
    engine.process->kill();
    for (auto& call : calls) {
        check_order(call.get(), expected);
    }
    CHECK(integer_member(stats(replacement), "resumed") == chats);
}
