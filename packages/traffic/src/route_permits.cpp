// Chooses the upstream of an attempt, with a permit if it is rate-limited, or refuses a
// request that none can take in time.

#include "citronwick/core/hash.hpp"
#include "citronwick/fleet/routing_plane.hpp"
#include "citronwick/fleet/routing_settings.hpp"
#include "citronwick/fleet/upstream_limits.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/policy/queue_wait.hpp"
#include "citronwick/traffic/route_metrics.hpp"
#include "citronwick/traffic/traffic_settings.hpp"
#include "permit_waiter.hpp"
#include "route_context.hpp"
#include "route_exchange.hpp"

#include <algorithm>
#include <array>
#include <iterator>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Share of the target latency that the wait for the first token may take without
/// being noticed.
constexpr double acceptable_wait_share = 0.3;
/// Rate-limited upstreams for which one attempt requests a permit.
constexpr int max_permit_requests = 3;
/// Time for which no permits are requested from a coordinator that did not answer.
constexpr duration silent_coordinator_pause = 150ms;
/// Bounds of the time after which a caller is told to return.
constexpr std::chrono::milliseconds earliest_return{100};
constexpr std::chrono::milliseconds latest_return{2'000};
/// Weights of the route priorities in the division of scarce capacity.
constexpr std::array priority_weights{4.0, 2.0, 1.0};

std::string rejection_reason(const std::optional<permit_decision>& decision) {
    if (!decision) {
        return "coordinator silent";
    }
    return decision->wait > 0ms ? "limit reached" : "saves less than others";
}

/// When a refused caller should come back: the excess of the wait will have passed.
std::chrono::milliseconds return_time(duration excess) {
    return std::clamp(std::chrono::ceil<std::chrono::milliseconds>(excess), earliest_return, latest_return);
}

double priority_weight(std::uint32_t priority) {
    return priority_weights.at(std::min<std::size_t>(priority, priority_weights.size() - 1));
}

} // namespace

placement_parameters route_exchange::current_parameters() {
    placement_parameters parameters =
        adapt_to_fleet(context_.plane.settings().placement, view_->live_routers,
                       service_->engine ? duration::zero() : waiting_requests()->mean_held());
    parameters.acceptable_wait_ms =
        acceptable_wait_share * static_cast<double>(route_->target_latency.count());
    return parameters;
}

/// Chooses the upstream of an attempt. One with a rate limit is chosen only if the
/// permit coordinator admits the request; otherwise others are tried.
task<void> route_exchange::place(time_point started) {
    const routing_settings& settings = context_.plane.settings();
    const placement_parameters parameters = current_parameters();
    upstream_limits& limits = context_.plane.limits();
    bool may_use_limited = may_use_scarce_capacity(started);
    placement_request_.has_permit = false;
    for (int requests = 0; true; ++requests) {
        const auto now = clock::now();
        may_use_limited = may_use_limited && requests < max_permit_requests;
        placement_request_.may_use_limited = may_use_limited && now >= context_.permits_paused_until;
        placement_ = choose_upstream(placement_request_, *view_, context_.plane.observations(), limits,
                                     parameters, settings.failure_domain, now);
        if (!placement_ && placement_request_.preferred) {
            placement_request_.preferred.reset();
            continue;
        }
        if (!placement_ || !placement_->rate_limit) {
            co_return;
        }
        const std::uint64_t upstream = placement_->upstream.hash;
        const auto decision = co_await acquire_permit(context_.plane, upstream, placement_->saving_ms);
        const bool granted = decision && decision->granted;
        context_.counters.count_permit(service_->name, granted    ? "granted"
                                                       : decision ? "rejected"
                                                                  : "silent");
        if (decision) {
            limits.record_decision(upstream, *decision, clock::now());
        }
        if (granted) {
            placement_request_.has_permit = true;
            co_return;
        }
        if (!decision) {
            context_.permits_paused_until = clock::now() + silent_coordinator_pause;
        }
        log_info("permit_rejected", {{"request", caller_.request_id()},
                                     {"upstream", placement_->upstream.entry.id},
                                     {"per_second", std::to_string(*placement_->rate_limit)},
                                     {"reason", rejection_reason(decision)},
                                     {"saving_ms", std::to_string(placement_->saving_ms)},
                                     {"price_ms", decision ? std::to_string(decision->price_ms) : "-"},
                                     {"wait_ms", decision ? std::to_string(decision->wait / 1ms) : "-"}});
    }
}

/// Whether the request may use upstreams with a rate limit, in fairness to the
/// requests of other teams and routes.
bool route_exchange::may_use_scarce_capacity(time_point now) {
    service_capacity& capacity = context_.capacities[service_->name];
    const std::uint64_t team = hash64(team_ == nullptr ? std::string_view{} : team_->name);
    const std::uint64_t hash = placement_request_.request_hash;
    return capacity.by_team.may_admit(team, 1.0, hash, now) &&
           capacity.by_route.may_admit(hash64(route_->name), priority_weight(route_->priority),
                                       hash_combine(hash, team), now);
}

/// Refuses a request whose caller would give up before the chosen engine turns to it.
void route_exchange::refuse_if_late(time_point now) {
    if (!placement_ || !service_->engine || state_.sent > 0) {
        return;
    }
    const auto average_wait = std::chrono::duration<double, std::milli>{placement_->queue_wait_ms};
    const duration wait = queue_wait(std::chrono::duration_cast<duration>(average_wait), route_->priority);
    const duration patience = std::min(route_->patience, remaining_time(now));
    if (wait <= patience) {
        return;
    }
    refusal_before_send_ = problem{503, "upstreams-busy", "no upstream can begin its response in time",
                                   outcome::not_run, return_time(wait - patience)};
    placement_.reset();
}

/// Refuses a request at once if all upstreams that could take it have asked for a
/// pause, until the first of these ends.
void route_exchange::refuse_if_paused(time_point now) {
    const auto found = view_->upstreams.find(service_->name);
    if (placement_ || refusal_before_send_ || state_.may_have_run_before || found == view_->upstreams.end()) {
        return;
    }
    std::optional<time_point> first_end;
    for (const routed_upstream& each : found->second) {
        const auto end = context_.plane.limits().paused_until(each.hash, now);
        const bool may_be_chosen =
            !placement_request_.version || each.entry.version == *placement_request_.version;
        if (may_be_chosen && !end &&
            std::ranges::find(placement_request_.tried, each.hash) == placement_request_.tried.end()) {
            return;
        }
        if (may_be_chosen && end) {
            first_end = std::min(first_end.value_or(*end), *end);
        }
    }
    if (first_end) {
        refusal_before_send_ = problem{503, "upstreams-paused", "all upstreams asked for a pause",
                                       outcome::not_run, return_time(*first_end - now)};
    }
}

/// Records whether scarce capacity was found for the request.
void route_exchange::record_scarce_capacity(service_capacity& capacity, time_point now) const {
    const std::uint64_t team = hash64(team_ == nullptr ? std::string_view{} : team_->name);
    capacity.by_team.record(team, 1.0, placement_.has_value(), now);
    capacity.by_route.record(hash64(route_->name), priority_weight(route_->priority), placement_.has_value(),
                             now);
}

/// While upstreams of the service have rate limits, records whether it had capacity
/// for the request, and prepares its refusal if it had none.
void route_exchange::record_capacity(time_point now) {
    const auto found = view_->upstreams.find(service_->name);
    if (found == view_->upstreams.end()) {
        return;
    }
    std::vector<std::uint64_t> hashes;
    std::ranges::transform(found->second, std::back_inserter(hashes), &routed_upstream::hash);
    double limits_sum = 0.0;
    bool has_limits = false;
    for (const auto& each : context_.plane.limits().summaries(hashes, now)) {
        has_limits = has_limits || each.per_second.has_value();
        limits_sum += each.per_second.value_or(0.0);
    }
    if (!has_limits) {
        return;
    }
    service_capacity& capacity = context_.capacities[service_->name];
    if (!places_) {
        record_scarce_capacity(capacity, now);
    }
    if (!placement_ && !refusal_before_send_ && !state_.may_have_run_before) {
        const auto sharers = static_cast<double>(view_->known_routers * context_.settings.threads);
        refusal_before_send_ =
            problem{503, "upstreams-limited", "the upstreams take no more requests than they named",
                    outcome::not_run, capacity.returns.next(limits_sum / sharers, now)};
    }
}

} // namespace citronwick
