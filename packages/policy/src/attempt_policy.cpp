#include "citronwick/policy/attempt_policy.hpp"

#include <algorithm>
#include <array>

namespace citronwick {

namespace {

/// Whether an outcome allows another upstream, by what may be repeated.
struct repetition_rule {
    attempt_outcome outcome;
    bool repeatable;     ///< requests that may run again
    bool not_repeatable; ///< requests that run at most once
};

constexpr std::array repetition_rules{
    repetition_rule{attempt_outcome::not_sent, true, true},
    repetition_rule{attempt_outcome::not_run, true, true},
    repetition_rule{attempt_outcome::may_have_run, true, false},
    repetition_rule{attempt_outcome::failed_run, true, false},
    repetition_rule{attempt_outcome::answered, false, false},
};

bool allows_repetition(const attempt_state& state) {
    const auto rule = std::ranges::find(repetition_rules, state.last, &repetition_rule::outcome);
    return is_repeatable(state.kind) ? rule->repeatable : rule->not_repeatable;
}

} // namespace

std::string_view to_text(attempt_outcome value) {
    constexpr std::array<std::string_view, 5> names{"not-sent", "not-run", "may-have-run", "failed-run",
                                                    "answered"};
    return names.at(static_cast<std::size_t>(value));
}

std::string_view to_text(next_step value) {
    constexpr std::array<std::string_view, 4> names{"deliver", "try-elsewhere", "refuse", "fail-as-unknown"};
    return names.at(static_cast<std::size_t>(value));
}

bool may_try_elsewhere(const attempt_state& state) {
    const bool was_rejected =
        state.last == attempt_outcome::not_sent || state.last == attempt_outcome::not_run;
    const bool attempts_left = state.sent < state.attempts;
    const bool rejections_left = !was_rejected || state.rejections <= most_rejections;
    const bool answer_allows = !state.answer_begun || state.kind == request_kind::resumable_stream;
    return allows_repetition(state) && attempts_left && rejections_left && answer_allows && state.time_left &&
           state.caller_present;
}

next_step choose_next_step(const attempt_state& state, bool retry_granted) {
    if (state.last == attempt_outcome::answered) {
        return next_step::deliver;
    }
    if (retry_granted && may_try_elsewhere(state)) {
        return next_step::try_elsewhere;
    }
    if (state.last == attempt_outcome::failed_run) {
        return next_step::deliver;
    }
    const bool has_not_run = state.last != attempt_outcome::may_have_run && !state.ran_before;
    return has_not_run && !state.answer_begun ? next_step::refuse : next_step::fail_as_unknown;
}

} // namespace citronwick
