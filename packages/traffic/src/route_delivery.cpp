// Sends a routed request to an upstream, and relays responses that are no streams.

#include "citronwick/fleet/reach_monitor.hpp"
#include "citronwick/fleet/routing_plane.hpp"
#include "citronwick/fleet/upstream_limits.hpp"
#include "citronwick/fleet/upstream_observations.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/policy/buffer_reservation.hpp"
#include "citronwick/traffic/route_metrics.hpp"
#include "citronwick/traffic/traffic_settings.hpp"
#include "overdue_response.hpp"
#include "route_context.hpp"
#include "route_exchange.hpp"
#include "upstream_exchange.hpp"

#include <algorithm>

namespace citronwick {

using namespace std::chrono_literals;

namespace {

constexpr unsigned unavailable = 503;
constexpr unsigned misdirected = 421;
constexpr std::uint32_t lowest_priority = 9;

} // namespace

task<exchange_result> route_exchange::send_request(upstream_connection& connection,
                                                   in_flight_guard& in_flight) {
    if (caller_.disconnected()) {
        co_return exchange_result{attempt_outcome::not_sent, "the caller left"};
    }
    // Connecting may have taken long. A request is sent only while its key is
    // confirmed and the upstream accepts requests.
    if (route_->kind == request_kind::resumable_stream && !state_.response_started &&
        !context_.plane.keys_are_fresh(boot_now())) {
        co_return exchange_result{attempt_outcome::not_sent, "the versions are not confirmed any more"};
    }
    if (team_ != nullptr && !route_->anonymous) {
        refusal_before_send_ = check_key_freshness();
        if (refusal_before_send_) {
            co_return exchange_result{attempt_outcome::not_sent, refusal_before_send_->detail};
        }
    }
    view_ = context_.plane.view();
    const routed_upstream* const target = view_->find(service_->name, placement_->upstream.hash);
    if (target == nullptr) {
        co_return exchange_result{attempt_outcome::not_sent, "the upstream left meanwhile"};
    }
    const bool is_cold = target->is_cold(clock::now());
    upstream_limits& limits = context_.plane.limits();
    const std::uint64_t upstream = placement_->upstream.hash;
    if (!placement_request_.has_permit && limits.limit_of(upstream)) {
        co_return exchange_result{attempt_outcome::not_sent, "the upstream named a limit meanwhile"};
    }
    const auto now = clock::now();
    if (limits.paused_until(upstream, now)) {
        co_return exchange_result{attempt_outcome::not_sent, "the upstream asked for a pause meanwhile"};
    }
    if (remaining_time(now) <= 0ms) {
        co_return exchange_result{attempt_outcome::not_sent, "the deadline has passed"};
    }
    auto forwarded = make_forwarded_header();
    if (forwarded.has_error()) {
        co_return exchange_result{attempt_outcome::not_sent, to_text(forwarded.error()), false, true};
    }
    if (!in_flight.begin_send(is_cold, now)) {
        context_.counters.count_cold_send(service_->name, "no place");
        co_return exchange_result{attempt_outcome::not_sent, "the upstream has become cold meanwhile"};
    }
    if (is_cold) {
        context_.counters.count_cold_send(service_->name, "sent");
    }
    context_.plane.observations().record_prompt(placement_request_.prefixes, placement_->upstream.hash, now);
    if (placement_->fetch_from) {
        context_.counters.count_fetch(service_->name, placement_->fetched_tokens);
    }
    std::optional<std::uint64_t> max_body_bytes;
    if (!is_stream(route_->kind)) {
        max_body_bytes = context_.settings.answer_bytes;
    }
    if (!connection.through()) {
        context_.plane.reach().record_sent(now);
    }
    upstream_exchange exchange{connection, context_.dialect, traits_.attempt_id,
                               placement_request_.request_hash};
    const time_point overdue = attempt_deadline(now);
    const time_point latest = is_confirmation_ ? overdue : deadline_;
    exchange_result result;
    {
        const auto executor = co_await asio::this_coro::executor;
        const overdue_response watched{executor, overdue < latest ? overdue : time_point::max(),
                                       [this] { return open_early_connection(); },
                                       [&] { return give_up_response(connection); }};
        result = co_await exchange.run(std::move(*forwarded), body_, max_body_bytes, latest);
    }
    if (exchange.skipped_responses() > 0) {
        context_.counters.count_skipped_responses(service_->name, exchange.skipped_responses());
        log_info("responses_skipped", {{"request", caller_.request_id()},
                                       {"upstream", placement_->upstream.entry.id},
                                       {"count", std::to_string(exchange.skipped_responses())},
                                       {"last_response_to", exchange.last_skipped_id()}});
    }
    if (result.outcome == attempt_outcome::answered && withholds_status(connection.status())) {
        result.outcome = attempt_outcome::failed_run;
    }
    // A refusal for the sake of the weights says nothing of the upstream's health.
    result.is_local =
        result.is_local || (result.outcome == attempt_outcome::not_run && exchange.traits().is_not_run &&
                            connection.status() == misdirected && position_.weight_version().has_value());
    in_flight.mark_prompt_processed();
    if (!connection.through() && exchange.has_response()) {
        context_.plane.reach().record_received();
    }
    record_reach(connection, result);
    if (exchange.has_response()) {
        limits.record_response(upstream, placement_->upstream.entry.id, exchange.traits().rate_limit, now,
                               clock::now());
        record_brittle(exchange.traits(), connection.status(), now);
        record_slowness(exchange.traits());
        if (connection.status() == unavailable && exchange.traits().retry_after) {
            limits.record_pause(upstream, placement_->upstream.entry.id, *exchange.traits().retry_after,
                                clock::now());
        }
        if (exchange.traits().is_leaving) {
            context_.plane.report_leaving_upstream(upstream);
        }
    }
    if (result.outcome == attempt_outcome::answered || result.outcome == attempt_outcome::failed_run) {
        const auto outcome_before = result.outcome;
        result = co_await relay_response(connection);
        if (result.outcome == attempt_outcome::answered) {
            result.outcome = outcome_before;
        }
    } else if (result.outcome == attempt_outcome::not_run) {
        co_await connection.read_all(std::max(remaining_time(clock::now()), 1ms), deadline_);
    }
    if (!exchange.reusable()) {
        connection.close();
    }
    co_return result;
}

io_result<http::request_header<>> route_exchange::make_forwarded_header() const {
    http::request_header<> forwarded = request_.base();
    forward_metadata metadata{.upstream = placement_->upstream.entry.id,
                              .team = team_ == nullptr ? std::string{} : team_->name,
                              .time_left = remaining_time(clock::now()),
                              .last_event_id = traits_.last_event_id};
    if (service_->engine) {
        metadata.priority = std::min(request_priority(), lowest_priority);
    }
    if (!position_.last_event_id().empty()) {
        metadata.last_event_id = position_.last_event_id();
    }
    if (!is_confirmation_) {
        metadata.expected_weights = position_.weight_version();
    }
    if (placement_->fetch_from) {
        metadata.fetch_from = placement_->fetch_from->address;
    }
    const auto prepared = context_.dialect.prepare_forward(forwarded, metadata);
    using header_result = io_result<http::request_header<>>;
    return prepared.has_error() ? header_result{boost::system::in_place_error, prepared.error()}
                                : header_result{boost::system::in_place_value, std::move(forwarded)};
}

http_response route_exchange::make_response_head(const upstream_connection& connection) const {
    http_response head;
    head.version(11);
    head.result(connection.status());
    head.reason(connection.reason());
    for (const auto& field : connection.header()) {
        head.insert(field.name(), field.name_string(), field.value());
    }
    context_.dialect.prepare_response(head);
    return head;
}

task<exchange_result> route_exchange::relay_response(upstream_connection& connection) {
    constexpr unsigned ok = 200;
    const bool is_events = is_stream(route_->kind) && connection.status() == ok;
    if (is_events) {
        co_return co_await relay_event_stream(connection);
    }
    co_return co_await buffer_response(connection);
}

task<exchange_result> route_exchange::buffer_response(upstream_connection& connection) {
    upstream_connection::size_check may_buffer = [this](std::size_t bytes) {
        return may_buffer_response(bytes);
    };
    auto body = co_await connection.read_complete(std::max(remaining_time(clock::now()), 1ms), deadline_,
                                                  std::move(may_buffer));
    if (body.has_error()) {
        const bool is_local = body.error().step == upstream_connection::buffer_step;
        co_return exchange_result{attempt_outcome::may_have_run, to_text(body.error()), !is_local, is_local};
    }
    buffers_.resize(buffer_part::response, body->capacity());
    buffered_response_ = make_response_head(connection);
    buffered_response_->body() = std::move(*body);
    co_return exchange_result{attempt_outcome::answered, "status " + std::to_string(connection.status())};
}

/// Counts a response body that grows, beside the one that an earlier attempt may have left.
bool route_exchange::may_buffer_response(std::size_t bytes) {
    const std::size_t kept = buffered_response_ ? buffered_response_->body().capacity() : 0;
    return buffers_.resize(buffer_part::response, kept + bytes);
}

} // namespace citronwick
