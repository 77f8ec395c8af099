// Decides whether the end of a response is the end of its stream.

#include "citronwick/fleet/last_events.hpp"
#include "citronwick/fleet/routing_plane.hpp"
#include "citronwick/traffic/route_metrics.hpp"
#include "route_context.hpp"
#include "route_exchange.hpp"
#include "upstream_exchange.hpp"

namespace citronwick {

using namespace std::chrono_literals;

namespace {

/// Time for which the streams of a service are not trusted to end with their connections after one
/// was found to go on.
constexpr duration early_end_memory = 10min;

} // namespace

/// Looks for what shows that the stream is whole. A response without length or chunks ends with
/// its connection, which the kernel closes in the same way if the upstream's process ends.
/// @return the result of the run if the end is not proved
task<std::optional<exchange_result>> route_exchange::check_end(const upstream_connection& connection) {
    if (connection.is_framed() || position_.is_final()) {
        stream_end_ = connection.is_framed() ? stream_end::framed : stream_end::final_event;
        co_return std::nullopt;
    }
    const bool had_nothing_to_add = is_confirmation_ && unproved_end_ == position_.events();
    if (route_->kind == request_kind::resumable_stream && !had_nothing_to_add) {
        unproved_end_ = position_.events();
        unproved_at_ = connection.peer();
        unproved_through_ = connection.through();
        unproved_run_ = runs_;
        stream_end_ = stream_end::unproved;
        co_return exchange_result{attempt_outcome::unproved_end,
                                  "the connection was closed, which does not show the end"};
    }
    if (!had_nothing_to_add && service_ends_early(clock::now())) {
        co_return end_run(stream_end::unproved, "the service has closed connections before the end lately");
    }
    endpoint peer = connection.peer();
    auto through = connection.through();
    const bool is_alive = co_await upstream_accepts(std::move(peer), std::move(through));
    if (!is_alive) {
        co_return end_run(stream_end::upstream_gone, "the upstream accepts no connection after its close");
    }
    stream_end_ = had_nothing_to_add ? stream_end::confirmed : stream_end::connection_closed;
    co_return std::nullopt;
}

bool route_exchange::service_ends_early(time_point now) const {
    const auto found = context_.early_ends.find(service_->name);
    return found != context_.early_ends.end() && now - found->second < early_end_memory;
}

/// Whether the upstream accepts a connection after it has closed one, so that its process has not ended.
/// The router that relayed the connection must not have ended either.
task<bool> route_exchange::upstream_accepts(endpoint peer, std::optional<fleet_peer> through) {
    const auto time_left = remaining_time(clock::now());
    if (time_left <= crash_probe::shortest_time) {
        co_return false;
    }
    const auto error = co_await crash_probe::connect_after_pause(std::move(peer), time_left,
                                                                 &context_.tunnels, std::move(through));
    // One beyond the limit of its connections resets some.
    co_return !error || error == asio::error::connection_reset;
}

/// Completes a stream whose end could not be confirmed by a second run if its last event proves it.
/// Otherwise it ends broken, and its caller may take it up.
task<void> route_exchange::accept_unproved_end() {
    const bool has_no_other_run = unproved_end_ == position_.events() && unproved_run_ == runs_;
    if (!has_no_other_run || stream_is_complete_ || caller_.disconnected() ||
        service_ends_early(clock::now())) {
        co_return;
    }
    const bool has_last_event =
        last_data_ && context_.plane.ends().is_last_event(run_version_, *last_data_, clock::now());
    if (!has_last_event) {
        co_return;
    }
    endpoint peer = unproved_at_;
    auto through = unproved_through_;
    const bool is_alive = co_await upstream_accepts(std::move(peer), std::move(through));
    if (!is_alive) {
        stream_end_ = stream_end::upstream_gone;
        co_return;
    }
    stream_end_ = stream_end::known_last_event;
    stream_is_complete_ = co_await caller_.end_relay();
}

} // namespace citronwick
