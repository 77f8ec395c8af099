// Sending a routed request to an upstream, and passing its answer on.

#include "citronwick/fleet/routing_plane.hpp"
#include "citronwick/fleet/upstream_observations.hpp"
#include "citronwick/traffic/traffic_settings.hpp"
#include "route_context.hpp"
#include "route_exchange.hpp"
#include "upstream_exchange.hpp"

#include <algorithm>

namespace citronwick {

using namespace std::chrono_literals;

task<exchange_result> route_exchange::send(upstream_connection& connection, work_guard& work) {
    if (from_.hung_up()) {
        co_return exchange_result{attempt_outcome::not_sent, "the caller left"};
    }
    // Connecting may have taken long; a key is served only while it is confirmed.
    if (team_ != nullptr && !route_->anonymous) {
        late_refusal_ = check_keys();
        if (late_refusal_) {
            co_return exchange_result{attempt_outcome::not_sent, late_refusal_->detail};
        }
    }
    const auto now = clock::now();
    if (time_left(now) <= 0ms) {
        co_return exchange_result{attempt_outcome::not_sent, "the deadline has passed"};
    }
    thread_.plane.observations().record_prompt(question_.prefixes, placed_->upstream.hash, now);
    std::optional<std::uint64_t> answer_limit;
    if (!is_stream(route_->kind)) {
        answer_limit = thread_.settings.answer_bytes;
    }
    upstream_exchange exchange{connection, thread_.dialect, traits_.attempt_id};
    auto forwarded = forwarded_request();
    auto result = co_await exchange.run(std::move(forwarded), answer_limit, attempt_deadline(now));
    work.prompt_was_read();
    if (result.outcome == attempt_outcome::answered || result.outcome == attempt_outcome::failed_run) {
        const auto outcome_before = result.outcome;
        result = co_await deliver(connection);
        if (result.outcome == attempt_outcome::answered) {
            result.outcome = outcome_before;
        }
    } else if (result.outcome == attempt_outcome::not_run) {
        co_await connection.read_all(std::max(time_left(clock::now()), 1ms));
    }
    if (!exchange.reusable()) {
        connection.close();
    }
    co_return result;
}

http_response route_exchange::answer_head(const upstream_connection& connection) const {
    http_response head{http::int_to_status(connection.status()), 11};
    for (const auto& field : connection.header()) {
        head.insert(field.name(), field.name_string(), field.value());
    }
    thread_.dialect.prepare_response(head);
    return head;
}

task<exchange_result> route_exchange::deliver(upstream_connection& connection) {
    constexpr unsigned ok = 200;
    const bool is_events = is_stream(route_->kind) && connection.status() == ok;
    if (is_events) {
        co_return co_await deliver_events(connection);
    }
    co_return co_await deliver_whole(connection);
}

task<exchange_result> route_exchange::deliver_whole(upstream_connection& connection) {
    auto body = co_await connection.read_all(std::max(time_left(clock::now()), 1ms));
    if (body.has_error()) {
        co_return exchange_result{attempt_outcome::may_have_run, to_text(body.error()), true};
    }
    kept_answer_ = answer_head(connection);
    kept_answer_->body() = std::move(*body);
    co_return exchange_result{attempt_outcome::answered, "status " + std::to_string(connection.status())};
}

/// Forwards whole events, so that a stream which breaks off can go on
/// elsewhere after its last event.
task<exchange_result> route_exchange::deliver_events(upstream_connection& connection) {
    while (true) {
        auto piece = co_await connection.read_some(std::max(time_left(clock::now()), 1ms));
        if (piece.has_error()) {
            co_return exchange_result{attempt_outcome::may_have_run, to_text(piece.error()), true};
        }
        if (piece->empty()) {
            break;
        }
        std::string events = events_.push(*piece);
        if (!events.empty() && !co_await forward_events(connection, std::move(events))) {
            co_return exchange_result{attempt_outcome::may_have_run, "the caller left"};
        }
    }
    if (events_.pending() > 0) {
        co_return exchange_result{attempt_outcome::may_have_run, "the stream ended within an event", true};
    }
    if (!state_.response_started && !co_await forward_events(connection, {})) {
        co_return exchange_result{attempt_outcome::may_have_run, "the caller left"};
    }
    co_await from_.end_relay();
    co_return exchange_result{attempt_outcome::answered, "stream complete"};
}

task<bool> route_exchange::forward_events(upstream_connection& connection, std::string events) {
    if (!state_.response_started) {
        state_.response_started = true;
        auto head = answer_head(connection);
        if (!co_await from_.begin_relay(std::move(head))) {
            co_return false;
        }
    }
    co_return events.empty() || co_await from_.write_events(std::move(events));
}

} // namespace citronwick
