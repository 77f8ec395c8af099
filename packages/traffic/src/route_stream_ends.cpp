// Decides whether the end of a response is the end of its stream.

#include "citronwick/fleet/early_closers.hpp"
#include "citronwick/fleet/last_events.hpp"
#include "citronwick/fleet/routing_plane.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/traffic/route_metrics.hpp"
#include "route_context.hpp"
#include "route_exchange.hpp"
#include "upstream_exchange.hpp"

namespace citronwick {

using namespace std::chrono_literals;

/// Looks for what shows that the stream is whole. A response without length or chunks ends with
/// its connection, which the kernel closes in the same way if the upstream's process ends.
/// @return the result of the run if the end is not proved
task<std::optional<exchange_result>> route_exchange::check_end(const upstream_connection& connection) {
    if (connection.is_framed() || position_.is_final()) {
        stream_end_ = connection.is_framed() ? stream_end::framed : stream_end::final_event;
        co_return std::nullopt;
    }
    const bool had_nothing_to_add = is_confirmation_ && is_unproved_end();
    if (route_->kind == request_kind::resumable_stream && !had_nothing_to_add) {
        unproved_ = unproved_run{.number = runs_,
                                 .events = position_.events(),
                                 .id = placement_->upstream.entry.id,
                                 .upstream = placement_->upstream.hash,
                                 .peer = connection.peer(),
                                 .through = connection.through()};
        stream_end_ = stream_end::unproved;
        co_return exchange_result{attempt_outcome::unproved_end,
                                  "the connection was closed, which does not show the end"};
    }
    if (!had_nothing_to_add) {
        if (const auto age = context_.plane.early_closes().age(placement_->upstream.hash, clock::now())) {
            co_return end_run(stream_end::doubted, "the upstream closed another connection early " +
                                                       std::to_string(*age / 1ms) + " ms ago");
        }
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

/// Whether the caller has the events behind which a run ended without proof, and no others.
bool route_exchange::is_unproved_end() const {
    return unproved_ && unproved_->events == position_.events();
}

/// Notes that the upstream of the unproved run, which is asked again, has responded and stated no other
/// start. Where another way led to it, the end may have been that of the first way.
void route_exchange::note_response_of_process(const upstream_connection& connection) {
    if (is_confirmation_ && connection.through() == unproved_->through) {
        unproved_->process_has_responded = true;
    }
}

/// Records that events followed the unproved end of a run. Its upstream has closed the connection early
/// only if its process has responded since: the kernel closes those of one that ends.
void route_exchange::record_early_end(const unproved_run& earlier) {
    context_.counters.count_early_end(service_->name, earlier.process_has_responded);
    log_info("stream_ended_early", {{"request", caller_.request_id()},
                                    {"service", service_->name},
                                    {"upstream", earlier.id},
                                    {"events", std::to_string(earlier.events)},
                                    {"went_on_at", placement_->upstream.entry.id},
                                    {"process", earlier.process_has_responded ? "lives" : "unknown"}});
    if (earlier.process_has_responded) {
        context_.plane.early_closes().record(earlier.upstream, earlier.id, clock::now());
    }
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
    const bool has_no_other_run = is_unproved_end() && unproved_->number == runs_;
    if (!has_no_other_run || stream_is_complete_ || caller_.disconnected() ||
        context_.plane.early_closes().age(unproved_->upstream, clock::now())) {
        co_return;
    }
    const bool has_last_event =
        last_data_ && context_.plane.ends().is_last_event(run_version_, *last_data_, clock::now());
    if (!has_last_event) {
        co_return;
    }
    endpoint peer = unproved_->peer;
    auto through = unproved_->through;
    const bool is_alive = co_await upstream_accepts(std::move(peer), std::move(through));
    if (!is_alive) {
        stream_end_ = stream_end::upstream_gone;
        co_return;
    }
    stream_end_ = stream_end::known_last_event;
    stream_is_complete_ = co_await caller_.end_relay();
}

} // namespace citronwick
