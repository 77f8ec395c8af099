#include "citronwick/policy/attempt_policy.hpp"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <ranges>

using namespace citronwick;

namespace {

constexpr std::array kinds{request_kind::idempotent, request_kind::non_idempotent, request_kind::stream,
                           request_kind::resumable_stream};
constexpr std::array outcomes{attempt_outcome::not_sent,     attempt_outcome::not_run,
                              attempt_outcome::may_have_run, attempt_outcome::unproved_end,
                              attempt_outcome::failed_run,   attempt_outcome::answered};
constexpr std::array flags{false, true};

/// Calls the function for every combination of state after an attempt.
template <class Function>
void for_each_state(Function check) {
    for (const request_kind kind : kinds) {
        for (const attempt_outcome last_outcome : outcomes) {
            for (const int bits : std::views::iota(0, 32)) {
                for (const std::uint32_t sent : {0U, 1U, 2U}) {
                    check(attempt_state{.kind = kind,
                                        .last_outcome = last_outcome,
                                        .may_have_run_before = (bits & 1) != 0,
                                        .response_started = (bits & 2) != 0,
                                        .stream_is_resumable = (bits & 16) != 0,
                                        .sent = sent,
                                        .max_attempts = 2,
                                        .time_left = (bits & 4) != 0,
                                        .caller_connected = (bits & 8) != 0});
                }
            }
        }
    }
}

} // namespace

TEST_CASE("a request that runs at most once is sent to another upstream only if it certainly has not run") {
    for_each_state([](const attempt_state& state) {
        if (!is_repeatable(state.kind) && may_try_elsewhere(state)) {
            const bool certainly_not_run = state.last_outcome == attempt_outcome::not_sent ||
                                           state.last_outcome == attempt_outcome::not_run;
            CHECK(certainly_not_run);
        }
    });
}

TEST_CASE("a caller is told that a request has not run only if that is certain") {
    for_each_state([](const attempt_state& state) {
        for (const bool retry_granted : flags) {
            if (choose_next_step(state, retry_granted) == next_step::refuse) {
                CHECK_FALSE(state.may_have_run_before);
                CHECK_FALSE(state.response_started);
                CHECK(state.last_outcome != attempt_outcome::may_have_run);
                CHECK(state.last_outcome != attempt_outcome::unproved_end);
                CHECK(state.last_outcome != attempt_outcome::failed_run);
            }
        }
    });
}

TEST_CASE(
    "no other upstream is tried once time, attempts or retry budget are used up or the caller has left") {
    for_each_state([](const attempt_state& state) {
        const bool exhausted =
            !state.time_left || !state.caller_connected || state.sent >= state.max_attempts;
        if (exhausted) {
            CHECK_FALSE(may_try_elsewhere(state));
        }
        CHECK(choose_next_step(state, false) != next_step::try_elsewhere);
    });
}

TEST_CASE("a response that has started continues on another upstream only if the stream is resumable") {
    for_each_state([](const attempt_state& state) {
        if (state.response_started && may_try_elsewhere(state)) {
            CHECK(state.kind == request_kind::resumable_stream);
            CHECK(state.stream_is_resumable);
        }
    });
}

TEST_CASE("only a resumable stream's upstream is asked again, also if no other one may run the request") {
    for_each_state([](const attempt_state& state) {
        const bool is_asked = choose_next_step(state, true) == next_step::confirm_end;
        CHECK(choose_next_step(state, false) != next_step::confirm_end);
        CHECK(is_asked == (state.last_outcome == attempt_outcome::unproved_end &&
                           state.kind == request_kind::resumable_stream && state.stream_is_resumable &&
                           state.time_left && state.caller_connected));
    });
}

TEST_CASE("responses are delivered regardless of the retry budget") {
    for_each_state([](const attempt_state& state) {
        if (state.last_outcome == attempt_outcome::answered) {
            CHECK(choose_next_step(state, false) == next_step::deliver);
            CHECK(choose_next_step(state, true) == next_step::deliver);
        }
    });
}

TEST_CASE("the number of rejections is limited") {
    attempt_state state{
        .last_outcome = attempt_outcome::not_run, .rejections = max_rejections, .max_attempts = 1};
    CHECK(may_try_elsewhere(state));
    ++state.rejections;
    CHECK_FALSE(may_try_elsewhere(state));
    CHECK(choose_next_step(state, true) == next_step::refuse);
}

TEST_CASE("refusals and server errors report a failure, other responses do not") {
    CHECK(std::ranges::all_of(std::array{408U, 421U, 429U, 500U, 503U, 599U}, &reports_failure));
    CHECK(std::ranges::none_of(std::array{200U, 304U, 404U, 422U}, &reports_failure));
}
