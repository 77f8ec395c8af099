// Places on upstreams that are brittle, short of room or cold: which requests wait for one, and which are
// refused at once.

#include "citronwick/core/hash.hpp"
#include "citronwick/fleet/borrowed_place.hpp"
#include "citronwick/fleet/routing_plane.hpp"
#include "citronwick/fleet/routing_settings.hpp"
#include "citronwick/fleet/upstream_limits.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/policy/brittle_places.hpp"
#include "citronwick/traffic/route_metrics.hpp"
#include "citronwick/traffic/traffic_settings.hpp"
#include "permit_waiter.hpp"
#include "place_queue.hpp"
#include "route_context.hpp"
#include "route_exchange.hpp"
#include "upstream_exchange.hpp"

#include <algorithm>
#include <atomic>
#include <iterator>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Longest wait for a place, as a multiple of the target latency.
constexpr int target_latencies = 2;
/// The same as a divisor of the time left.
constexpr int time_left_part = 3;
/// Requests that may wait for each place of this router.
constexpr std::int32_t waiting_per_place = 2;
/// Interval at which places are looked for that other threads or routers have left.
constexpr duration look_interval = 20ms;
/// Requests of a thread that may wait also where this router has hardly a place of its own.
constexpr std::size_t min_waiting = 2;
/// Routers that are asked for a place in one go.
constexpr int max_loan_requests = 6;
/// Time for which a router that did not reply is not asked again.
constexpr duration silent_lender_pause = 1s;
/// Time for which a request takes a place on a cold upstream.
constexpr duration cold_place_time = 1s;
/// Number of route priorities within each team priority.
constexpr std::uint32_t route_priority_levels = 3;
constexpr unsigned unavailable = 503;

void log_loan(std::string_view request, const routed_placement& wanted, std::uint64_t lender,
              const std::optional<std::shared_ptr<const borrowed_place>>& reply) {
    if (reply && !*reply) {
        return;
    }
    log_info(reply ? "place_borrowed" : "place_lender_silent", {{"request", std::string{request}},
                                                                {"upstream", wanted.upstream.entry.id},
                                                                {"lender_hash", std::to_string(lender)}});
}

} // namespace

/// Chooses the upstream of an attempt. While places of the service are divided and this router has none
/// free, the request waits for a while, or is not placed.
task<void> route_exchange::place_when_free(time_point started) {
    placement_request_.may_use_cold = context_.plane.keys_are_fresh(boot_now());
    places_ = places_on_brittle(placement_request_, *view_, context_.plane.limits(), started);
    are_places_cold_ = false;
    is_short_ = false;
    if (!places_) {
        co_await place(started);
        note_cold_places(started);
        if (are_places_cold_ && *places_ > 0) {
            co_await wait_for_place(started, {.priority = request_priority()});
        }
        co_return;
    }
    placement_.reset();
    is_short_ = is_short_of_room(started);
    const bool is_within_share = may_use_scarce_capacity(started);
    if (!is_within_share && !is_short_) {
        co_return;
    }
    const place_order order{.priority = request_priority(), .is_beyond_share = !is_within_share};
    if (!waiting_requests()->has_before(order)) {
        co_await place(started);
        if (!placement_) {
            co_await borrow_place();
        }
    }
    if (!placement_) {
        co_await wait_for_place(started, order);
    }
    if (!placement_ && is_short_) {
        renew_shortage(clock::now());
    }
}

/// Priority of the request among all of its service, that of its team first.
std::uint32_t route_exchange::request_priority() const {
    const std::uint32_t team_priority = team_ == nullptr ? 0 : team_->priority;
    return team_priority * route_priority_levels + std::min(route_->priority, route_priority_levels - 1);
}

/// Whether upstreams of the service are short of room, and none is brittle.
bool route_exchange::is_short_of_room(time_point now) const {
    const auto found = view_->upstreams.find(service_->name);
    if (found == view_->upstreams.end()) {
        return false;
    }
    std::vector<std::uint64_t> hashes;
    std::ranges::transform(found->second, std::back_inserter(hashes), &routed_upstream::hash);
    const auto limited = context_.plane.limits().summaries(hashes, now);
    return std::ranges::any_of(limited, &upstream_limits::summary::is_short);
}

/// Notes the places of this router if a request was not placed and only cold upstreams are left for it.
void route_exchange::note_cold_places(time_point now) {
    if (!placement_) {
        places_ = places_on_cold(placement_request_, *view_, now);
        are_places_cold_ = places_.has_value();
    }
}

/// What this router may send to the upstream of a placement, if that is cold by now.
std::optional<cold_allowance> route_exchange::cold_allowance_now(const routed_placement& placement) const {
    const routed_upstream* const upstream = view_->find(service_->name, placement.upstream.hash);
    return upstream != nullptr && upstream->is_cold(clock::now()) ? upstream->cold : std::nullopt;
}

/// A router that may have a place to lend on an upstream. Each request asks another one, since
/// nobody knows which places are free.
std::optional<std::uint64_t> route_exchange::choose_lender(const routed_placement& wanted, time_point now) {
    std::erase_if(context_.silent_lenders, [now](const auto& each) { return now >= each.second; });
    const auto& routers = view_->place_sharers(wanted.is_short);
    if (!are_places_lent(wanted.shared_places, routers.size())) {
        return std::nullopt;
    }
    auto lenders = place_holders(wanted.upstream.hash, wanted.shared_places, routers);
    std::erase_if(lenders, [this](std::uint64_t router) {
        return router == view_->self || context_.silent_lenders.contains(router);
    });
    if (lenders.empty()) {
        return std::nullopt;
    }
    return lenders[hash_combine(view_->self, ++context_.loan_requests) % lenders.size()];
}

/// Asks other routers for a place on one of the upstreams on which this one has none left, unless they
/// had none for the queue a moment ago.
task<void> route_exchange::borrow_place() {
    const auto queue = waiting_requests();
    if (!queue->may_borrow(clock::now())) {
        co_return;
    }
    co_await ask_lenders();
    queue->record_borrowing(placement_.has_value(), clock::now());
}

/// Asks routers in turn. One that does not reply ends this, as the request's time passes meanwhile.
task<void> route_exchange::ask_lenders() {
    routed_placement_request request = placement_request_;
    request.may_use_limited = false;
    request.borrows = true;
    for (int asked = 0; asked < max_loan_requests && !placement_; ++asked) {
        const auto now = clock::now();
        const auto choose = [&] {
            return choose_upstream(request, *view_, context_.plane.observations(), context_.plane.limits(),
                                   current_parameters(), context_.plane.settings().failure_domain, now);
        };
        auto wanted = choose();
        if (!wanted && !request.not_lent.empty()) {
            request.not_lent.clear();
            wanted = choose();
        }
        if (!wanted || !wanted->most_in_flight) {
            co_return;
        }
        request.not_lent.push_back(wanted->upstream.hash);
        const auto lender = choose_lender(*wanted, now);
        if (!lender) {
            continue;
        }
        const auto lifetime =
            remaining_time(now) + (is_stream(route_->kind) ? context_.settings.caller_write_timeout : 0ms);
        const auto reply = co_await acquire_place(context_.plane, *lender, wanted->upstream.hash, lifetime);
        log_loan(caller_.request_id(), *wanted, *lender, reply);
        if (!reply) {
            context_.silent_lenders[*lender] = clock::now() + silent_lender_pause;
            co_return;
        }
        if (*reply) {
            wanted->borrowed = *reply;
            wanted->reason = "borrowed place";
            placement_ = std::move(wanted);
        } else {
            co_await place(clock::now());
        }
    }
}

/// Time up to which the request may wait for a place. Where upstreams are short of room, a late response
/// is worth more to the caller than a refusal, after which it has less time left.
time_point route_exchange::last_wait(time_point now) const {
    const duration part = remaining_time(now) / time_left_part;
    return now + (is_short_ ? part : std::min<duration>(target_latencies * route_->target_latency, part));
}

/// Requests of this thread that may wait for a place until some time.
std::size_t route_exchange::most_waiting(duration wait, time_point now) {
    if (is_short_) {
        const std::chrono::duration<double> seconds = wait;
        const double served = waiting_requests()->served_per_second(now) * seconds.count();
        return std::max(static_cast<std::size_t>(served), min_waiting);
    }
    return std::max(static_cast<std::size_t>(*places_ * waiting_per_place) / context_.settings.threads,
                    min_waiting);
}

task<void> route_exchange::wait_for_place(time_point started, place_order order) {
    const auto queue = waiting_requests();
    const auto executor = co_await asio::this_coro::executor;
    {
        const auto until = last_wait(started);
        place_queue::ticket ticket{queue, executor, order, most_waiting(until - started, started)};
        const auto late_at = caller_.arrived() + route_->target_latency;
        for (auto now = started; !placement_ && ticket.is_queued() && now < until && !caller_.disconnected();
             now = clock::now()) {
            co_await ticket.wait(std::min(until, now + look_interval));
            if (clock::now() >= late_at) {
                ticket.mark_late();
            }
            if (ticket.is_next()) {
                view_ = context_.plane.view();
                co_await place(clock::now());
                if (!placement_) {
                    co_await borrow_place();
                }
            }
        }
    }
    queue->wake_next();
}

/// While places of the service are divided, records whether there was one for the request, and prepares its
/// refusal if there was none.
void route_exchange::refuse_if_full(time_point now) {
    if (!places_ || is_confirmation_) {
        return;
    }
    service_capacity& capacity = context_.capacities[service_->name];
    record_scarce_capacity(capacity, now);
    if (placement_ || refusal_before_send_ || state_.may_have_run_before) {
        return;
    }
    if (are_places_cold_) {
        context_.counters.count_cold_send(service_->name, "refused");
    }
    refusal_before_send_ = problem{503, are_places_cold_ ? "upstreams-cold" : "upstreams-full",
                                   "the upstreams have no place for more requests", outcome::not_run,
                                   capacity.returns.next(places_per_second(now), now)};
}

/// Requests a second for which this thread expects to have places.
double route_exchange::places_per_second(time_point now) {
    if (is_short_) {
        return waiting_requests()->served_per_second(now);
    }
    const std::chrono::duration<double> held =
        are_places_cold_ ? cold_place_time : waiting_requests()->mean_held();
    return std::max(*places_, 1) / std::max(held.count(), 1e-3) / context_.settings.threads;
}

/// Keeps upstreams that are short of room in that state, as a request has found no place on them.
void route_exchange::renew_shortage(time_point now) {
    const auto found = view_->upstreams.find(service_->name);
    if (found == view_->upstreams.end()) {
        return;
    }
    upstream_limits& limits = context_.plane.limits();
    for (const routed_upstream& each : found->second) {
        if (limits.summaries({each.hash}, now).front().is_short) {
            limits.record_shortage(each.hash, each.entry.id, now);
        }
    }
}

/// Records how long work takes on the upstream. A single report is true for a fraction of a second only, so
/// the average of the last ones counts.
void route_exchange::record_slowness(const response_traits& traits) const {
    constexpr double averaging_weight = 1.0 / 8.0;
    if (traits.load && traits.load->slowness) {
        std::atomic<double>& slowness = placement_->upstream.load->slowness;
        const double known = slowness.load(std::memory_order_relaxed);
        slowness.store(known + (*traits.load->slowness - known) * averaging_weight,
                       std::memory_order_relaxed);
    }
}

/// Records what a response says of how many refusals the upstream bears, and its refusal.
void route_exchange::record_brittle(const response_traits& traits, unsigned status, time_point sent_at) {
    upstream_limits& limits = context_.plane.limits();
    const routed_upstream& upstream = placement_->upstream;
    const auto now = clock::now();
    const bool lacks_room = traits.is_not_run && status == unavailable && !traits.retry_after;
    if (!traits.refusals_per_second && lacks_room && !service_->engine && remaining_time(now) > 0ms) {
        limits.record_shortage(upstream.hash, upstream.entry.id, now);
        return;
    }
    if (!traits.refusals_per_second && !limits.has_brittle()) {
        return;
    }
    limits.record_brittle(upstream.hash, upstream.entry.id, traits.refusals_per_second, sent_at, now);
    if (traits.refusals_per_second && traits.is_not_run && status == unavailable) {
        limits.record_refusal(upstream.hash, upstream.entry.id, now);
    }
}

/// Lets the next request have the place of an attempt that has ended.
void route_exchange::release_place() {
    placement_->borrowed.reset();
    waiting_requests()->wake_next();
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
