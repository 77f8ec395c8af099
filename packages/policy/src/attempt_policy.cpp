#include "citronwick/policy/attempt_policy.hpp"

#include <algorithm>
#include <array>

namespace citronwick {

namespace {

/// Whether a request may be sent to another upstream after an outcome.
struct retry_rule {
    attempt_outcome outcome;
    bool repeatable;     ///< for requests that may run more than once
    bool non_repeatable; ///< for requests that run at most once
};

constexpr std::array retry_rules{
    retry_rule{attempt_outcome::not_sent, true, true},
    retry_rule{attempt_outcome::not_run, true, true},
    retry_rule{attempt_outcome::may_have_run, true, false},
    retry_rule{attempt_outcome::unproved_end, true, false},
    retry_rule{attempt_outcome::failed_run, true, false},
    retry_rule{attempt_outcome::answered, false, false},
};

bool outcome_allows_retry(const attempt_state& state) {
    const auto rule = std::ranges::find(retry_rules, state.last_outcome, &retry_rule::outcome);
    return is_repeatable(state.kind) ? rule->repeatable : rule->non_repeatable;
}

} // namespace

std::string_view to_text(attempt_outcome value) {
    constexpr std::array<std::string_view, 6> names{"not-sent",     "not-run",    "may-have-run",
                                                    "unproved-end", "failed-run", "answered"};
    return names.at(static_cast<std::size_t>(value));
}

std::string_view to_text(next_step value) {
    constexpr std::array<std::string_view, 5> names{"deliver", "try-elsewhere", "confirm-end", "refuse",
                                                    "fail-as-unknown"};
    return names.at(static_cast<std::size_t>(value));
}

bool promises_not_run(unsigned status) {
    constexpr std::array<unsigned, 4> statuses{408, 421, 429, 503};
    return std::ranges::find(statuses, status) != statuses.end();
}

bool reports_failure(unsigned status) {
    constexpr unsigned first_server_error = 500;
    return status >= first_server_error || promises_not_run(status);
}

bool may_try_elsewhere(const attempt_state& state) {
    const bool was_rejected =
        state.last_outcome == attempt_outcome::not_sent || state.last_outcome == attempt_outcome::not_run;
    const bool attempts_left = state.sent < state.max_attempts;
    const bool rejections_left = !was_rejected || state.rejections <= max_rejections;
    const bool response_allows = !state.response_started ||
                                 (state.kind == request_kind::resumable_stream && state.stream_is_resumable);
    return outcome_allows_retry(state) && attempts_left && rejections_left && response_allows &&
           state.time_left && state.caller_connected;
}

bool may_confirm_end(const attempt_state& state) {
    return state.last_outcome == attempt_outcome::unproved_end &&
           state.kind == request_kind::resumable_stream && state.stream_is_resumable && state.time_left &&
           state.caller_connected;
}

next_step choose_next_step(const attempt_state& state, bool retry_granted) {
    if (state.last_outcome == attempt_outcome::answered) {
        return next_step::deliver;
    }
    if (retry_granted && may_confirm_end(state)) {
        return next_step::confirm_end;
    }
    if (retry_granted && may_try_elsewhere(state)) {
        return next_step::try_elsewhere;
    }
    if (state.last_outcome == attempt_outcome::failed_run) {
        return next_step::deliver;
    }
    const bool has_not_run = state.last_outcome != attempt_outcome::may_have_run &&
                             state.last_outcome != attempt_outcome::unproved_end &&
                             !state.may_have_run_before;
    return has_not_run && !state.response_started ? next_step::refuse : next_step::fail_as_unknown;
}

} // namespace citronwick
