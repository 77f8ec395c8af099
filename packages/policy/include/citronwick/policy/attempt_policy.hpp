#ifndef CITRONWICK_POLICY_ATTEMPT_POLICY_HPP_INCLUDED
#define CITRONWICK_POLICY_ATTEMPT_POLICY_HPP_INCLUDED

#include "citronwick/policy/route.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace citronwick {

/// What is known about one attempt to send a request to an upstream.
enum class attempt_outcome : std::uint8_t {
    not_sent,     ///< no byte of the request was sent
    not_run,      ///< the upstream reported that it did not run the request
    may_have_run, ///< sent, but no complete response was received
    unproved_end, ///< a stream without events that follow, whose end nothing shows
    failed_run,   ///< the upstream ran the request and returned a server error
    answered,     ///< a complete response, or the start of a stream
};

std::string_view to_text(attempt_outcome value);

/// Action to take after an attempt.
enum class next_step : std::uint8_t {
    deliver,         ///< forward the response to the caller
    try_elsewhere,   ///< send the request to another upstream
    confirm_end,     ///< ask the same upstream whether an event follows
    refuse,          ///< report that the request has not run
    fail_as_unknown, ///< report that the request may have run
};

std::string_view to_text(next_step value);

/// State of a request after an attempt. `sent` counts against `max_attempts`;
/// `rejections` counts against `max_rejections` instead.
struct attempt_state {
    request_kind kind = request_kind::non_idempotent;
    attempt_outcome last_outcome = attempt_outcome::not_sent;
    bool may_have_run_before = false; ///< an earlier attempt may have run the request
    bool response_started = false;    ///< response bytes have been sent to the caller
    bool stream_is_resumable = true;  ///< it is known after which of the relayed events to go on
    std::uint32_t sent = 0;           ///< upstreams that may have run the request
    std::uint32_t rejections = 0;     ///< upstreams that did not receive the request or did not run it
    std::uint32_t max_attempts = 1;   ///< upstreams that the route allows to run the request
    bool time_left = true;            ///< the deadline has not passed
    bool caller_connected = true;
};

/// Whether the request may be sent to another upstream, provided that the retry budget allows it.
bool may_try_elsewhere(const attempt_state& state);

/// Whether the upstream of the last attempt may be asked whether an event follows, provided that
/// the retry budget allows it. This adds no upstream to those that run the request.
bool may_confirm_end(const attempt_state& state);

/// Chooses the action that follows an attempt.
/// @param retry_granted whether the retry budget allows another attempt
next_step choose_next_step(const attempt_state& state, bool retry_granted);

/// Whether a response status tells callers that the request has not run and never will:
/// 408, 421, 429 and 503.
bool promises_not_run(unsigned status);

/// Whether a response status says that the request was refused, or failed at the upstream.
bool reports_failure(unsigned status);

/// Number of rejections after which another upstream is still tried. One more ends the request.
constexpr std::uint32_t max_rejections = 2;

} // namespace citronwick

#endif
