#include "route_exchange.hpp"

#include "citronwick/control/suspect_registry.hpp"
#include "citronwick/core/hash.hpp"
#include "citronwick/fleet/routing_plane.hpp"
#include "citronwick/fleet/routing_settings.hpp"
#include "citronwick/fleet/upstream_observations.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/traffic/route_metrics.hpp"
#include "citronwick/traffic/traffic_settings.hpp"
#include "route_context.hpp"
#include "upstream_exchange.hpp"

#include <algorithm>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds connect_timeout = 300ms;
/// A repeatable request is sent elsewhere after this multiple of its target
/// without an answer.
constexpr int patience_multiple = 3;
constexpr std::chrono::milliseconds least_patience = 400ms;
/// Taken off the other end's idle timeout, for a request that is under way.
constexpr std::chrono::milliseconds idle_margin = 500ms;
/// Connections that were idle for longer carry no request that runs at most once.
constexpr duration fresh_connection_age = 4s;
constexpr std::uint32_t lowest_priority = 9;
/// Routers up to which each hears of a request elsewhere before it has ended.
constexpr std::size_t small_fleet = 9;
/// Load per slot that old counts are wrong by.
constexpr double tie_in_large_fleets = 0.5;
/// Part of the latency target that a wait for the first token may take unfelt.
constexpr double comfortable_share = 0.3;
/// Crashes after which a request is refused. One more than for chats: a
/// connection may break for other reasons just before an upstream ends.
constexpr std::uint8_t most_crashes = suspect_table::crash_limit + 1;
/// Ranks of routes within one rank of teams.
constexpr std::uint32_t route_ranks = 3;

std::string milliseconds_text(duration value) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

} // namespace

route_exchange::route_exchange(route_context& thread, caller& from, http_request request)
    : thread_{thread}, from_{from}, request_{std::move(request)}, view_{thread.plane.view()},
      config_{view_->config} {}

std::chrono::milliseconds route_exchange::time_left(time_point now) const {
    return std::max(std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - now), 0ms);
}

task<void> route_exchange::run() {
    if (auto refusal = prepare()) {
        co_await refuse(std::move(*refusal));
        co_return;
    }
    from_.on_hang_up([this] {
        if (open_connection_ != nullptr) {
            open_connection_->close();
        }
    });
    thread_.retries[service_->name].record_request(clock::now());
    co_await run_attempts();
    co_await finish();
    from_.on_hang_up(nullptr);
}

std::optional<problem> route_exchange::prepare() {
    traits_ = thread_.dialect.read_request(request_);
    if (!traits_.attempt_id.empty()) {
        from_.set_request_id(traits_.attempt_id);
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
    if (auto refusal = identify_team()) {
        return refusal;
    }
    question_.request = hash64(from_.request_id());
    const auto* const chosen = choose_service(*route_, question_.request);
    service_ = chosen == nullptr ? nullptr : config_->find_service(chosen->service);
    if (service_ == nullptr) {
        return problem{503, "unknown-service", "the route's service is not declared", outcome::not_run, 1s};
    }
    question_.service = service_;
    question_.prefixes = shared_prefixes(traits_.text);
    question_.prompt_tokens = traits_.text.tokens();
    deadline_ = from_.arrived() + std::min(route_->timeout, traits_.time_left.value_or(route_->timeout));
    state_.kind = route_->kind;
    state_.max_attempts = route_->attempts;
    const std::string method{request_.method_string()};
    fingerprint_ =
        hash64(method + " " + std::string{target} + "\n" + traits_.team_key + "\n" + request_.body());
    if (thread_.plane.suspects().crashes(fingerprint_, clock::now()) >= most_crashes) {
        return problem{422, "crashes-upstreams", "upstreams crashed each time that this request ran"};
    }
    return std::nullopt;
}

std::optional<problem> route_exchange::identify_team() {
    team_ = traits_.team_key.empty() ? nullptr : config_->find_team(traits_.team_key);
    if (route_->anonymous || config_->team_count() == 0) {
        return std::nullopt;
    }
    if (auto refusal = check_keys()) {
        return refusal;
    }
    if (team_ == nullptr) {
        return problem{401, "unknown-team", "the key belongs to no team"};
    }
    return std::nullopt;
}

/// A key may have been taken away while this router did not hear of it.
std::optional<problem> route_exchange::check_keys() const {
    if (thread_.plane.keys_are_fresh(boot_now())) {
        return std::nullopt;
    }
    return problem{503, "keys-not-confirmed", "the team keys could not be confirmed lately", outcome::not_run,
                   300ms};
}

task<void> route_exchange::run_attempts() {
    bool again = true;
    while (again) {
        again = co_await run_attempt();
    }
}

/// Sends the request to one upstream.
/// @return whether another one is to be tried
task<bool> route_exchange::run_attempt() {
    const auto started = clock::now();
    view_ = thread_.plane.view();
    const routing_settings& settings = thread_.plane.settings();
    placement_parameters limits = settings.placement;
    limits.acceptable_wait_ms = comfortable_share * static_cast<double>(route_->target_latency.count());
    limits.load_tie_threshold = view_->live_routers > small_fleet ? tie_in_large_fleets : 0.0;
    placed_ = place_request(question_, *view_, thread_.plane.observations(), limits, settings.failure_domain,
                            started);
    if (!placed_) {
        last_detail_ = "the service has no upstream left to try";
        step_ = state_.may_have_run_before ? next_step::fail_as_unknown : next_step::refuse;
        co_return false;
    }
    log_info("request_placed",
             {{"request", from_.request_id()},
              {"service", service_->name},
              {"upstream", placed_->upstream.entry.id},
              {"reason", std::string{placed_->reason}},
              {"prefix", std::to_string(question_.prefixes.empty() ? 0 : question_.prefixes.back().key)},
              {"in_flight", std::to_string(static_cast<int>(placed_->in_flight))},
              {"missing_tokens", std::to_string(placed_->missing_tokens)},
              {"expected_wait_ms", std::to_string(static_cast<int>(placed_->expected_wait_ms))},
              {"revision", std::to_string(view_->revision)}});
    question_.tried.push_back(placed_->upstream.hash);
    exchange_result result;
    {
        work_guard work{placed_->upstream.load, placed_->missing_tokens};
        const duration most_idle = is_repeatable(route_->kind) ? duration::max() : fresh_connection_age;
        auto connection = thread_.pool.take(placed_->upstream.entry.address, started, most_idle);
        open_connection_ = connection.get();
        co_await connect_if_needed(*connection, result);
        if (result.detail.empty()) {
            result = co_await send(*connection, work);
        }
        open_connection_ = nullptr;
        if (connection->reusable()) {
            const auto traits = thread_.dialect.read_response(connection->header());
            const duration idle_timeout =
                traits.idle_timeout ? duration{*traits.idle_timeout - idle_margin} : duration::max();
            thread_.pool.give_back(std::move(connection), clock::now(), idle_timeout);
        }
    }
    log_attempt(result, clock::now() - started);
    co_return settle(result);
}

task<void> route_exchange::connect_if_needed(upstream_connection& connection, exchange_result& result) {
    if (connection.is_open()) {
        co_return;
    }
    const auto now = clock::now();
    auto connected = co_await connection.connect(std::clamp(time_left(now), 1ms, connect_timeout));
    thread_.counters.count_connection(service_->name);
    if (connected.has_error()) {
        result = {attempt_outcome::not_sent, to_text(connected.error())};
        thread_.plane.observations().record_unreachable(placed_->upstream.hash, clock::now());
    }
}

/// Time until which an answer must have begun.
time_point route_exchange::attempt_deadline(time_point now) const {
    const bool has_other = state_.sent + 1 < state_.max_attempts && is_repeatable(route_->kind);
    if (!has_other) {
        return deadline_;
    }
    const auto patience = std::max(patience_multiple * route_->target_latency, least_patience);
    return std::min(deadline_, now + patience);
}

http_request route_exchange::forwarded_request() const {
    http_request forwarded = request_;
    forward_metadata note{.upstream = placed_->upstream.entry.id,
                          .team = team_ == nullptr ? std::string{} : team_->name,
                          .time_left = time_left(clock::now()),
                          .last_event_id = traits_.last_event_id};
    if (service_->engine) {
        const std::uint32_t team_rank = team_ == nullptr ? 0 : team_->priority;
        note.priority =
            std::min(team_rank * route_ranks + std::min(route_->priority, route_ranks - 1), lowest_priority);
    }
    if (!events_.last_event_id().empty()) {
        note.last_event_id = events_.last_event_id();
    }
    thread_.dialect.prepare_forward(forwarded, note);
    return forwarded;
}

bool route_exchange::take_retry() {
    const routing_settings& settings = thread_.plane.settings();
    const std::size_t sharers = view_->known_routers * thread_.settings.threads;
    return thread_.retries[service_->name].take_retry(settings.retries, sharers, clock::now());
}

/// Notes what an attempt has shown, and chooses what follows.
/// @return whether another upstream is to be tried
bool route_exchange::settle(const exchange_result& result) {
    const auto now = clock::now();
    const std::uint64_t upstream = placed_->upstream.hash;
    const bool caller_left = from_.hung_up();
    last_detail_ = result.detail;
    events_.discard_pending();
    state_.last_outcome = result.outcome;
    state_.time_left = time_left(now) > 0ms;
    state_.caller_connected = !caller_left;
    const bool has_run =
        result.outcome != attempt_outcome::not_sent && result.outcome != attempt_outcome::not_run;
    state_.sent += has_run ? 1 : 0;
    state_.rejections += has_run ? 0 : 1;
    if (result.outcome != attempt_outcome::not_sent && !caller_left) {
        thread_.plane.observations().record_answer(upstream, result.outcome == attempt_outcome::answered,
                                                   now);
    }
    if (result.outcome == attempt_outcome::answered) {
        thread_.plane.suspects().record_served(fingerprint_, now);
    }
    if (result.is_broken && !caller_left) {
        thread_.plane.report_broken_connection(fingerprint_, upstream);
    }
    const bool wants_other = !late_refusal_ && may_try_elsewhere(state_);
    const bool counts_as_retry = result.outcome != attempt_outcome::not_sent;
    const bool granted = wants_other && (!counts_as_retry || take_retry());
    step_ = choose_next_step(state_, granted);
    state_.may_have_run_before = state_.may_have_run_before || has_run;
    if (step_ == next_step::try_elsewhere) {
        log_info("request_sent_elsewhere", {{"request", from_.request_id()},
                                            {"service", service_->name},
                                            {"after", std::string{to_text(result.outcome)}},
                                            {"sent", std::to_string(state_.sent)},
                                            {"last_event", events_.last_event_id()}});
    }
    return step_ == next_step::try_elsewhere;
}

/// What a caller is told of a request that got no answer.
problem route_exchange::failure_to_tell(next_step step) const {
    if (step == next_step::refuse) {
        if (late_refusal_) {
            return *late_refusal_;
        }
        const bool is_late = !state_.time_left;
        return {503, is_late ? "deadline-passed" : "no-upstream", last_detail_, outcome::not_run, 500ms};
    }
    const bool is_late = !state_.time_left;
    return {is_late ? 504U : 502U, is_late ? "upstream-timeout" : "upstream-failed", last_detail_,
            outcome::unknown};
}

task<void> route_exchange::finish() {
    // An answer whose promise the upstream did not make is not passed on for a
    // request that runs at most once.
    constexpr unsigned unavailable = 503;
    const bool is_promise = kept_answer_ && kept_answer_->result_int() == unavailable;
    const bool may_relay = kept_answer_ && (!is_promise || is_repeatable(route_->kind));
    if (state_.response_started) {
        if (step_ != next_step::deliver) {
            from_.close_after_answer();
        }
        log_end(step_ == next_step::deliver ? "answered" : "stream-broken");
        co_return;
    }
    if (may_relay && (step_ == next_step::deliver || state_.may_have_run_before)) {
        const unsigned status = kept_answer_->result_int();
        co_await from_.relay(std::move(*kept_answer_));
        log_end(status < 400 ? "answered" : "upstream-error");
        co_return;
    }
    if (from_.hung_up()) {
        from_.close_after_answer();
        log_end("caller-left");
        co_return;
    }
    auto why = failure_to_tell(step_ == next_step::deliver ? next_step::fail_as_unknown : step_);
    co_await refuse(std::move(why));
}

task<void> route_exchange::refuse(problem why) {
    const auto took = clock::now() - from_.arrived();
    const std::string service = service_ == nullptr ? "-" : service_->name;
    thread_.counters.count_request(service, why.type, took);
    const auto key_age = thread_.plane.key_age(boot_now());
    log_info("request_refused", {{"request", from_.request_id()},
                                 {"route", route_ == nullptr ? "-" : route_->name},
                                 {"service", service},
                                 {"team", team_ == nullptr ? "-" : team_->name},
                                 {"status", std::to_string(why.status)},
                                 {"type", std::string{why.type}},
                                 {"outcome", std::string{to_text(why.result)}},
                                 {"detail", why.detail},
                                 {"took_ms", milliseconds_text(took)},
                                 {"key_age_ms", key_age ? milliseconds_text(*key_age) : "-"},
                                 {"version", config_ ? std::to_string(config_->version()) : "-"}});
    co_await from_.refuse(std::move(why));
}

void route_exchange::log_attempt(const exchange_result& result, duration took) const {
    thread_.counters.count_attempt(service_->name, to_text(result.outcome), took);
    log_info("attempt_ended", {{"request", from_.request_id()},
                               {"upstream", placed_->upstream.entry.id},
                               {"outcome", std::string{to_text(result.outcome)}},
                               {"detail", result.detail},
                               {"took_ms", milliseconds_text(took)}});
}

void route_exchange::log_end(std::string_view result) const {
    const auto took = clock::now() - from_.arrived();
    thread_.counters.count_request(service_->name, result, took);
    log_info("request_ended", {{"request", from_.request_id()},
                               {"route", route_->name},
                               {"service", service_->name},
                               {"result", std::string{result}},
                               {"took_ms", milliseconds_text(took)}});
}

} // namespace citronwick
