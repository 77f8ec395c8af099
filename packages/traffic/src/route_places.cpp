// Places on brittle upstreams: which requests wait for one, and which are refused at once.

#include "citronwick/fleet/routing_plane.hpp"
#include "citronwick/fleet/upstream_limits.hpp"
#include "citronwick/traffic/traffic_settings.hpp"
#include "place_queue.hpp"
#include "route_context.hpp"
#include "route_exchange.hpp"
#include "upstream_exchange.hpp"

#include <algorithm>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Longest wait for a place, as a multiple of the target latency and as a part of the time left.
constexpr int target_latencies = 2;
constexpr int time_left_part = 3;
/// Requests that may wait for each place of this router.
constexpr std::int32_t waiting_per_place = 2;
/// Interval at which places are looked for that other threads or routers have left.
constexpr duration look_interval = 20ms;
constexpr unsigned unavailable = 503;

} // namespace

/// Chooses the upstream of an attempt. While the upstreams are brittle and this router has no place
/// on them, the request waits for a short time, or is not placed.
task<void> route_exchange::place_when_free(time_point started) {
    places_ = places_on_brittle(placement_request_, *view_, context_.plane.limits(), started);
    if (!places_) {
        co_await place(started);
        co_return;
    }
    placement_.reset();
    if (!may_use_scarce_capacity(started)) {
        co_return;
    }
    if (!waiting_requests()->has_before(route_->priority)) {
        co_await place(started);
    }
    if (!placement_) {
        co_await wait_for_place(started);
    }
}

/// Time up to which the request may wait for a place.
time_point route_exchange::last_wait(time_point now) const {
    return now + std::min(target_latencies * route_->target_latency, remaining_time(now) / time_left_part);
}

task<void> route_exchange::wait_for_place(time_point started) {
    const auto queue = waiting_requests();
    const auto most = static_cast<std::size_t>(*places_ * waiting_per_place) / context_.settings.threads;
    const auto executor = co_await asio::this_coro::executor;
    {
        place_queue::ticket ticket{queue, executor, route_->priority, std::max<std::size_t>(most, 1)};
        const auto until = last_wait(started);
        for (auto now = started; !placement_ && ticket.is_queued() && now < until && !caller_.disconnected();
             now = clock::now()) {
            co_await ticket.wait(std::min(until, now + look_interval));
            if (ticket.is_next()) {
                view_ = context_.plane.view();
                co_await place(clock::now());
            }
        }
    }
    queue->wake_next();
}

/// While upstreams of the service are brittle, records whether they had a place for the request, and
/// prepares its refusal if they had none.
void route_exchange::refuse_if_full(time_point now) {
    if (!places_ || is_confirmation_) {
        return;
    }
    service_capacity& capacity = context_.capacities[service_->name];
    record_scarce_capacity(capacity, now);
    if (placement_ || refusal_before_send_ || state_.may_have_run_before) {
        return;
    }
    const std::chrono::duration<double> held = waiting_requests()->mean_held();
    const double rate = std::max(*places_, 1) / std::max(held.count(), 1e-3) / context_.settings.threads;
    refusal_before_send_ = problem{503, "upstreams-full", "the upstreams have no place for more requests",
                                   outcome::not_run, capacity.returns.next(rate, now)};
}

/// Records what a response says of how many refusals the upstream bears, and its refusal.
void route_exchange::record_brittle(const response_traits& traits, unsigned status, time_point sent_at) {
    upstream_limits& limits = context_.plane.limits();
    if (!traits.refusals_per_second && !limits.has_brittle()) {
        return;
    }
    const routed_upstream& upstream = placement_->upstream;
    const auto now = clock::now();
    limits.record_brittle(upstream.hash, upstream.entry.id, traits.refusals_per_second, sent_at, now);
    if (traits.refusals_per_second && traits.is_not_run && status == unavailable) {
        limits.record_refusal(upstream.hash, upstream.entry.id, now);
    }
}

/// Lets the next request have the place of an attempt that has ended.
void route_exchange::release_place(const exchange_result& result, duration held) {
    const auto queue = waiting_requests();
    if (result.outcome == attempt_outcome::answered) {
        queue->record_held(held);
    }
    queue->wake_next();
}

/// Requests of this thread that wait for a place on the service's upstreams.
std::shared_ptr<place_queue> route_exchange::waiting_requests() {
    auto& queue = context_.place_queues[service_->name];
    if (!queue) {
        queue = std::make_shared<place_queue>();
    }
    return queue;
}

} // namespace citronwick
