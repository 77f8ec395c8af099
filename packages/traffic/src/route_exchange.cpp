#include "route_exchange.hpp"

#include "citronwick/control/suspect_registry.hpp"
#include "citronwick/core/hash.hpp"
#include "citronwick/fleet/reach_monitor.hpp"
#include "citronwick/fleet/routing_plane.hpp"
#include "citronwick/fleet/routing_settings.hpp"
#include "citronwick/fleet/upstream_observations.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/traffic/route_metrics.hpp"
#include "citronwick/traffic/traffic_settings.hpp"
#include "early_connection.hpp"
#include "place_queue.hpp"
#include "route_context.hpp"
#include "upstream_exchange.hpp"

#include <algorithm>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// A repeatable request is sent to another upstream if no response begins within
/// this multiple of its target latency.
constexpr int attempt_timeout_factor = 3;
constexpr std::chrono::milliseconds min_attempt_timeout = 400ms;

std::string milliseconds_text(duration value) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

} // namespace

route_exchange::route_exchange(route_context& context, caller& from, http_request request,
                               buffer_reservation& buffers)
    : context_{context}, caller_{from}, request_{std::move(request)}, buffers_{buffers},
      view_{context.plane.view()}, config_{view_->config}, events_{context.dialect.weight_event_field()} {}

std::chrono::milliseconds route_exchange::remaining_time(time_point now) const {
    return std::max(std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - now), 0ms);
}

task<void> route_exchange::run() {
    if (auto refusal = resolve_route()) {
        co_await refuse(std::move(*refusal));
        co_return;
    }
    body_ = std::make_shared<const std::string>(std::move(request_.body()));
    caller_.on_disconnect([this] {
        if (active_connection_ != nullptr) {
            active_connection_->close();
        }
    });
    context_.retry_windows[service_->name].record_request(clock::now());
    co_await run_attempts();
    co_await send_final_response();
    caller_.on_disconnect(nullptr);
}

std::optional<problem> route_exchange::resolve_route() {
    traits_ = context_.dialect.read_request(request_);
    if (!traits_.attempt_id.empty()) {
        caller_.set_request_id(traits_.attempt_id);
    }
    if (!config_) {
        return problem{503, "no-configuration", "no configuration is known yet", outcome::not_run, 500ms};
    }
    const std::string_view target = request_.target();
    if (!is_unambiguous_path(target)) {
        return problem{400, "bad-path", "the path is ambiguous"};
    }
    route_ = config_->routes().find(request_[http::field::host], target);
    if (route_ == nullptr) {
        return problem{404, "unknown-route", "no route leads there"};
    }
    if (auto refusal = authenticate_team()) {
        return refusal;
    }
    placement_request_.request_hash = hash64(caller_.request_id());
    const auto* const chosen = choose_service(*route_, hash64(stream_origin()));
    service_ = chosen == nullptr ? nullptr : config_->find_service(chosen->service);
    if (service_ == nullptr) {
        return problem{503, "unknown-service", "the route's service is not declared", outcome::not_run, 1s};
    }
    placement_request_.service = service_;
    placement_request_.prefixes = shared_prefixes(traits_.text);
    placement_request_.prompt_tokens = traits_.text.tokens();
    deadline_ = caller_.arrived() + std::min(route_->timeout, traits_.time_left.value_or(route_->timeout));
    state_.kind = route_->kind;
    if (takes_up_stream()) {
        position_ = stream_position{traits_.last_event_id};
    }
    state_.max_attempts = route_->attempts;
    const std::string method{request_.method_string()};
    fingerprint_ = hash64({method, " ", target, "\n", traits_.team_key, "\n", request_.body()});
    part_fingerprints_ = shared_part_fingerprints(traits_.text);
    return check_crashes(clock::now());
}

std::optional<problem> route_exchange::authenticate_team() {
    team_ = traits_.team_key.empty() ? nullptr : config_->find_team(traits_.team_key);
    if (route_->anonymous || config_->team_count() == 0) {
        return std::nullopt;
    }
    if (auto refusal = check_key_freshness()) {
        return refusal;
    }
    if (team_ == nullptr) {
        return problem{401, "unknown-team", "the key belongs to no team"};
    }
    return std::nullopt;
}

/// Refuses requests while the keys are unconfirmed, since a key may have been revoked
/// without this router's knowledge.
std::optional<problem> route_exchange::check_key_freshness() const {
    if (context_.plane.keys_are_fresh(boot_now())) {
        return std::nullopt;
    }
    return problem{503, "keys-not-confirmed", "the team keys could not be confirmed lately", outcome::not_run,
                   300ms};
}

task<void> route_exchange::run_attempts() {
    bool try_again = true;
    while (try_again) {
        try_again = co_await run_attempt();
    }
}

/// Whether there is an upstream to ask again, or others may be tried.
bool route_exchange::may_place() {
    const bool is_asked_again = next_step_ == next_step::confirm_end;
    is_confirmation_ = is_asked_again && view_->accepts_requests(service_->name, placement_->upstream.hash);
    if (is_confirmation_) {
        placement_->reason = "may have more events";
        placement_->fetch_from.reset();
        placement_->most_in_flight.reset();
        placement_->cold = cold_allowance_now(*placement_);
        placement_->uncached_tokens = 0;
        placement_->fetched_tokens = 0;
        placement_request_.has_permit = false;
    } else if (is_asked_again && !may_try_elsewhere(state_)) {
        last_attempt_detail_ = "the upstream left, and the end of its stream is not proved";
        next_step_ = next_step::fail_as_unknown;
        return false;
    }
    return true;
}

/// Attempts the request on one upstream.
/// @return whether to try another upstream
task<bool> route_exchange::run_attempt() {
    const auto started = clock::now();
    attempt_sent_at_ = started;
    refusal_before_send_ = check_crashes(started);
    if (refusal_before_send_) {
        next_step_ = next_step::refuse;
        co_return false;
    }
    view_ = context_.plane.view();
    co_await choose_version();
    if (refusal_before_send_) {
        next_step_ = state_.may_have_run_before ? next_step::fail_as_unknown : next_step::refuse;
        last_attempt_detail_ = refusal_before_send_->detail;
        co_return false;
    }
    if (!may_place()) {
        co_return false;
    }
    if (!is_confirmation_) {
        prefer_early_connection();
        co_await place_when_free(started);
    }
    refuse_if_late(clock::now());
    refuse_if_full(clock::now());
    record_capacity(clock::now());
    refuse_if_paused(clock::now());
    if (!placement_) {
        last_attempt_detail_ = "the service has no upstream left to try";
        next_step_ = state_.may_have_run_before ? next_step::fail_as_unknown : next_step::refuse;
        co_return false;
    }
    log_info(
        "request_placed",
        {{"request", caller_.request_id()},
         {"service", service_->name},
         {"upstream", placement_->upstream.entry.id},
         {"software", placement_->upstream.entry.version},
         {"reason", std::string{placement_->reason}},
         {"directly", needs_peer(*placement_) ? "no" : "yes"},
         {"prefix",
          std::to_string(placement_request_.prefixes.empty() ? 0 : placement_request_.prefixes.back().key)},
         {"in_flight", std::to_string(static_cast<int>(placement_->in_flight))},
         {"missing_tokens", std::to_string(placement_->uncached_tokens)},
         {"fetch_from", placement_->fetch_from ? placement_->fetch_from->id : "-"},
         {"fetch_tokens", std::to_string(placement_->fetched_tokens)},
         {"per_second", placement_->rate_limit ? std::to_string(*placement_->rate_limit) : "-"},
         {"expected_wait_ms", std::to_string(static_cast<int>(placement_->expected_wait_ms))},
         {"places", placement_->most_in_flight ? std::to_string(*placement_->most_in_flight) : "-"},
         {"cold_places", placement_->cold ? std::to_string(placement_->cold->places) : "-"},
         {"position", to_text(view_->position)}});
    log_suspicions(started);
    placement_request_.tried.push_back(placement_->upstream.hash);
    const auto placed_at = clock::now();
    exchange_result result;
    {
        in_flight_guard in_flight{*placement_, placed_at};
        if (!in_flight.has_place()) {
            result = {attempt_outcome::not_sent, "the place was taken meanwhile"};
        }
        auto connection = acquire_connection(started);
        active_connection_ = connection.get();
        if (in_flight.has_place()) {
            co_await connect_if_needed(*connection, result);
        }
        if (result.detail.empty()) {
            co_await check_identity(connection, result);
        }
        if (result.detail.empty()) {
            result = co_await send_request(*connection, in_flight);
        }
        active_connection_ = nullptr;
        release_connection(std::move(connection));
    }
    if (result.outcome == attempt_outcome::answered && (placement_->most_in_flight || !service_->engine)) {
        waiting_requests()->record_served(clock::now() - placed_at, clock::now());
    }
    if (placement_->most_in_flight) {
        release_place();
    }
    log_attempt(result, clock::now() - started);
    co_return record_attempt(result);
}

/// Time from which on the response is overdue. The caller has all events of a stream that is only
/// to be confirmed.
time_point route_exchange::attempt_deadline(time_point now) const {
    const bool may_retry = state_.sent + 1 < state_.max_attempts && is_repeatable(route_->kind);
    if (!may_retry && !is_confirmation_) {
        return deadline_;
    }
    const auto attempt_timeout =
        std::max(attempt_timeout_factor * route_->target_latency, min_attempt_timeout);
    return std::min(deadline_, now + attempt_timeout);
}

/// Chooses the upstream to which a connection was opened ahead, if it can take the request.
void route_exchange::prefer_early_connection() {
    placement_request_.preferred.reset();
    if (early_connection_ && early_connection_->is_ready()) {
        placement_request_.preferred = early_connection_->upstream();
    }
}

/// Whether a request whose response is overdue may be sent to another upstream. Without one, the
/// upstream is waited for, as giving it up would fail the request.
bool route_exchange::may_repeat_elsewhere(time_point now) {
    attempt_state given_up = state_;
    given_up.last_outcome = attempt_outcome::may_have_run;
    ++given_up.sent;
    given_up.time_left = remaining_time(now) > 0ms;
    given_up.caller_connected = !caller_.disconnected();
    return may_try_elsewhere(given_up) && has_untried_upstream() &&
           context_.retry_windows[service_->name].has_retry(context_.plane.settings().retries,
                                                            budget_sharers(), now);
}

/// Takes a repeat for a request whose response is overdue.
bool route_exchange::take_repeat() {
    has_taken_repeat_ = may_repeat_elsewhere(clock::now()) && spend_retry_budget();
    return has_taken_repeat_;
}

std::size_t route_exchange::budget_sharers() const {
    return view_->known_routers * context_.settings.threads;
}

bool route_exchange::spend_retry_budget() {
    const routing_settings& settings = context_.plane.settings();
    return context_.retry_windows[service_->name].take_retry(settings.retries, budget_sharers(),
                                                             clock::now());
}

/// Records the result of an attempt and chooses the next step.
/// @return whether to try another upstream
bool route_exchange::record_attempt(const exchange_result& result) {
    const auto now = clock::now();
    const std::uint64_t upstream = placement_->upstream.hash;
    const bool caller_disconnected = caller_.disconnected();
    last_attempt_detail_ = result.detail;
    events_.discard_pending();
    state_.last_outcome = result.outcome;
    state_.time_left = remaining_time(now) > 0ms;
    state_.caller_connected = !caller_disconnected;
    state_.stream_is_resumable = position_.is_resumable();
    const bool may_have_run =
        result.outcome != attempt_outcome::not_sent && result.outcome != attempt_outcome::not_run;
    state_.sent += may_have_run && !is_confirmation_ ? 1 : 0;
    state_.rejections += may_have_run ? 0 : 1;
    const bool tells_of_upstream =
        result.outcome != attempt_outcome::not_sent && result.outcome != attempt_outcome::unproved_end;
    // Failures on direct connections of a router that is cut say nothing about the upstream.
    const bool is_own_fault =
        !is_relayed_ && result.outcome != attempt_outcome::answered && context_.plane.reach().is_cut();
    if (tells_of_upstream && !result.is_local && !caller_disconnected && !is_own_fault) {
        context_.plane.observations().record_outcome(upstream, result.outcome == attempt_outcome::answered,
                                                     now);
    }
    if (result.outcome == attempt_outcome::answered) {
        record_served(now);
    }
    const bool was_not_reached =
        is_confirmation_ && result.outcome == attempt_outcome::not_sent && !result.is_local;
    const bool may_have_crashed = result.is_broken || was_not_reached;
    if (may_have_crashed && !caller_disconnected) {
        report_broken_connection(now);
    }
    const bool may_retry = !refusal_before_send_ && (may_try_elsewhere(state_) || may_confirm_end(state_));
    const bool uses_retry_budget = result.outcome != attempt_outcome::not_sent;
    const bool has_repeat = std::exchange(has_taken_repeat_, false);
    const bool granted = may_retry && (!uses_retry_budget || has_repeat || spend_retry_budget());
    next_step_ = choose_next_step(state_, granted);
    state_.may_have_run_before = state_.may_have_run_before || may_have_run;
    if (next_step_ == next_step::try_elsewhere) {
        log_info("request_sent_elsewhere", {{"request", caller_.request_id()},
                                            {"service", service_->name},
                                            {"after", std::string{to_text(result.outcome)}},
                                            {"sent", std::to_string(state_.sent)},
                                            {"last_event", last_event_text()}});
    }
    return next_step_ == next_step::try_elsewhere || next_step_ == next_step::confirm_end;
}

/// The problem reported for a request that got no response.
problem route_exchange::failure_problem(next_step step) const {
    if (step == next_step::refuse) {
        if (refusal_before_send_) {
            return *refusal_before_send_;
        }
        const bool deadline_passed = !state_.time_left;
        return {503, deadline_passed ? "deadline-passed" : "no-upstream", last_attempt_detail_,
                outcome::not_run, 500ms};
    }
    const bool deadline_passed = !state_.time_left;
    return {deadline_passed ? 504U : 502U, deadline_passed ? "upstream-timeout" : "upstream-failed",
            last_attempt_detail_, outcome::unknown};
}

/// Whether a response that the upstream gave after running the request is withheld from
/// the caller, who would take its status for the promise that the request has not run.
bool route_exchange::withholds_status(unsigned status) const {
    return promises_not_run(status) && !is_repeatable(route_->kind);
}

task<void> route_exchange::send_final_response() {
    const bool may_relay = buffered_response_ && !withholds_status(buffered_response_->result_int());
    if (state_.response_started) {
        co_await accept_unproved_end();
        if (!stream_is_complete_) {
            caller_.close_after_response();
        }
        log_request_end(stream_is_complete_ ? "answered" : "stream-broken");
        co_return;
    }
    if (may_relay && (next_step_ == next_step::deliver || state_.may_have_run_before)) {
        const unsigned status = buffered_response_->result_int();
        co_await caller_.relay(std::move(*buffered_response_));
        log_request_end(status < 400 ? "answered" : "upstream-error");
        co_return;
    }
    if (caller_.disconnected()) {
        caller_.close_after_response();
        log_request_end("caller-left");
        co_return;
    }
    auto failure =
        failure_problem(next_step_ == next_step::deliver ? next_step::fail_as_unknown : next_step_);
    co_await refuse(std::move(failure));
}

task<void> route_exchange::refuse(problem refusal) {
    const auto elapsed = clock::now() - caller_.arrived();
    const std::string service = service_ == nullptr ? "-" : service_->name;
    context_.counters.count_request(service, refusal.type, elapsed);
    const auto key_age = context_.plane.key_age(boot_now());
    log_info("request_refused", {{"request", caller_.request_id()},
                                 {"route", route_ == nullptr ? "-" : route_->name},
                                 {"service", service},
                                 {"team", team_ == nullptr ? "-" : team_->name},
                                 {"status", std::to_string(refusal.status)},
                                 {"type", std::string{refusal.type}},
                                 {"outcome", std::string{to_text(refusal.result)}},
                                 {"detail", refusal.detail},
                                 {"took_ms", milliseconds_text(elapsed)},
                                 {"key_age_ms", key_age ? milliseconds_text(*key_age) : "-"},
                                 {"version", config_ ? std::to_string(config_->version()) : "-"}});
    co_await caller_.refuse(std::move(refusal));
}

void route_exchange::log_attempt(const exchange_result& result, duration elapsed) const {
    context_.counters.count_attempt(service_->name, to_text(result.outcome), elapsed);
    log_info("attempt_ended", {{"request", caller_.request_id()},
                               {"upstream", placement_->upstream.entry.id},
                               {"outcome", std::string{to_text(result.outcome)}},
                               {"detail", result.detail},
                               {"took_ms", milliseconds_text(elapsed)}});
}

void route_exchange::log_request_end(std::string_view result) const {
    const auto elapsed = clock::now() - caller_.arrived();
    context_.counters.count_request(service_->name, result, elapsed);
    log_info("request_ended", {{"request", caller_.request_id()},
                               {"route", route_->name},
                               {"service", service_->name},
                               {"result", std::string{result}},
                               {"first_event", event_id_text(position_.first_event_id())},
                               {"last_event", last_event_text()},
                               {"events", std::to_string(position_.events())},
                               {"runs", std::to_string(runs_)},
                               {"end", runs_ > 0 ? std::string{to_text(stream_end_)} : "-"},
                               {"took_ms", milliseconds_text(elapsed)}});
}

} // namespace citronwick
