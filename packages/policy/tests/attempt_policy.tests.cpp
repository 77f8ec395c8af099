#include "citronwick/policy/attempt_policy.hpp"

#include <array>
#include <doctest/doctest.h>
#include <ranges>

using namespace citronwick;

namespace {

constexpr std::array kinds{request_kind::idempotent, request_kind::non_idempotent, request_kind::stream,
                           request_kind::resumable_stream};
constexpr std::array outcomes{attempt_outcome::not_sent, attempt_outcome::not_run,
                              attempt_outcome::may_have_run, attempt_outcome::failed_run,
                              attempt_outcome::answered};
constexpr std::array flags{false, true};

/// Calls a function for every state that an attempt can leave a request in.
template <class Function>
void for_each_state(Function check) {
    for (const request_kind kind : kinds) {
        for (const attempt_outcome last : outcomes) {
            for (const int bits : std::views::iota(0, 16)) {
                for (const std::uint32_t sent : {0U, 1U, 2U}) {
                    check(attempt_state{.kind = kind,
                                        .last = last,
                                        .ran_before = (bits & 1) != 0,
                                        .answer_begun = (bits & 2) != 0,
                                        .sent = sent,
                                        .attempts = 2,
                                        .time_left = (bits & 4) != 0,
                                        .caller_present = (bits & 8) != 0});
                }
            }
        }
    }
}

} // namespace

TEST_CASE("a request that runs at most once goes elsewhere only where it certainly has not run") {
    for_each_state([](const attempt_state& state) {
        if (!is_repeatable(state.kind) && may_try_elsewhere(state)) {
            const bool certainly_not_run =
                state.last == attempt_outcome::not_sent || state.last == attempt_outcome::not_run;
            CHECK(certainly_not_run);
        }
    });
}

TEST_CASE("a caller is told that a request has not run only where that is certain") {
    for_each_state([](const attempt_state& state) {
        for (const bool granted : flags) {
            if (choose_next_step(state, granted) == next_step::refuse) {
                CHECK_FALSE(state.ran_before);
                CHECK_FALSE(state.answer_begun);
                CHECK(state.last != attempt_outcome::may_have_run);
                CHECK(state.last != attempt_outcome::failed_run);
            }
        }
    });
}

TEST_CASE("nothing is tried elsewhere without time, a caller, a budget or an attempt left") {
    for_each_state([](const attempt_state& state) {
        const bool exhausted = !state.time_left || !state.caller_present || state.sent >= state.attempts;
        if (exhausted) {
            CHECK_FALSE(may_try_elsewhere(state));
        }
        CHECK(choose_next_step(state, false) != next_step::try_elsewhere);
    });
}

TEST_CASE("an answer that has begun goes on elsewhere only where the stream may be resumed") {
    for_each_state([](const attempt_state& state) {
        if (state.answer_begun && may_try_elsewhere(state)) {
            CHECK(state.kind == request_kind::resumable_stream);
        }
    });
}

TEST_CASE("answers are delivered whatever the budget says") {
    for_each_state([](const attempt_state& state) {
        if (state.last == attempt_outcome::answered) {
            CHECK(choose_next_step(state, false) == next_step::deliver);
            CHECK(choose_next_step(state, true) == next_step::deliver);
        }
    });
}

TEST_CASE("rejections are bounded") {
    attempt_state state{.last = attempt_outcome::not_run, .rejections = most_rejections, .attempts = 1};
    CHECK(may_try_elsewhere(state));
    ++state.rejections;
    CHECK_FALSE(may_try_elsewhere(state));
    CHECK(choose_next_step(state, true) == next_step::refuse);
}
