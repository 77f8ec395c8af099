#include "route_placer.hpp"

#include "citronwick/fleet/upstream_limits.hpp"
#include "citronwick/fleet/upstream_observations.hpp"
#include "citronwick/policy/brittle_places.hpp"
#include "citronwick/policy/room_shortage.hpp"

#include <algorithm>
#include <array>
#include <ranges>
#include <utility>

namespace citronwick {

namespace {

/// Which upstreams to exclude. If no candidate remains, the next, less strict
/// level is tried.
struct exclusion_rules {
    bool avoid_outliers;
    bool avoid_unreachable;
};

constexpr std::array exclusion_levels{exclusion_rules{true, true}, exclusion_rules{false, true},
                                      exclusion_rules{false, false}};

routed_candidate make_candidate(const routed_upstream& upstream,
                                const upstream_observations::summary& observed,
                                const routed_placement_request& request, std::string_view failure_domain) {
    const upstream_load& load = *upstream.load;
    const double remote_in_flight = load.remote_in_flight.load(std::memory_order_relaxed);
    const auto backlog =
        load.backlog.load(std::memory_order_relaxed) + load.remote_backlog.load(std::memory_order_relaxed);
    const auto cached = std::min(observed.cached_tokens, request.prompt_tokens);
    return {.hash = upstream.hash,
            .in_flight = load.in_flight.load(std::memory_order_relaxed) + remote_in_flight,
            .slots = static_cast<double>(upstream.entry.slots),
            .slowness = load.slowness.load(std::memory_order_relaxed),
            .backlog_tokens = static_cast<double>(backlog),
            .uncached_tokens = static_cast<double>(request.prompt_tokens - cached),
            .cached_tokens = static_cast<double>(cached),
            .same_failure_domain = upstream.entry.failure_domain == failure_domain};
}

std::vector<std::uint64_t> hashes_of(const std::vector<routed_upstream>& upstreams) {
    std::vector<std::uint64_t> hashes;
    std::ranges::transform(upstreams, std::back_inserter(hashes), &routed_upstream::hash);
    return hashes;
}

/// Places that the routers share on an upstream that is brittle or short of room.
std::uint32_t shared_places_of(const routed_upstream& upstream, const upstream_limits::summary& limits) {
    return limits.is_short ? places_while_short(upstream.entry.slots) : upstream.entry.slots;
}

/// Requests that this router may have in flight on an upstream, none if it is neither brittle nor
/// short of room.
std::optional<std::int32_t> most_in_flight(const routed_upstream& upstream,
                                           const upstream_limits::summary& limits, const routing_view& view) {
    if (!limits.refusals_per_second) {
        return std::nullopt;
    }
    if (limits.is_short) {
        constexpr double no_refusals = 0.0;
        return brittle_places{upstream.hash, shared_places_of(upstream, limits), no_refusals, view.self,
                              view.place_sharers(true)}
            .own();
    }
    const brittle_places places{upstream.hash, upstream.entry.slots, *limits.refusals_per_second, view.self,
                                view.active_routers};
    return places.allowed(
        {.remote_in_flight = upstream.load->remote_in_flight.load(std::memory_order_relaxed),
         .has_refused_lately = limits.has_refused_lately});
}

bool contains(const std::vector<std::uint64_t>& hashes, std::uint64_t hash) {
    return std::ranges::find(hashes, hash) != hashes.end();
}

bool was_tried(const routed_upstream& upstream, const routed_placement_request& request) {
    return contains(request.tried, upstream.hash);
}

/// Whether a cold upstream, or any that is not cold, has room for a request of this router.
bool has_cold_place(const routed_upstream& upstream, const routed_placement_request& request,
                    time_point now) {
    return !upstream.is_cold(now) ||
           (request.may_use_cold && upstream.load->cold_sends.has_room(*upstream.cold, now));
}

bool has_version(const routed_upstream& upstream, const routed_placement_request& request) {
    return !request.version || upstream.entry.version == *request.version;
}

/// Engines from which others can fetch parts of a prompt.
struct source_list {
    std::vector<cache_source> sources;
    std::vector<const routed_upstream*> upstreams; ///< in the same order

    void add(const routed_upstream& upstream, std::uint32_t tokens) {
        sources.push_back({upstream.hash, static_cast<double>(tokens)});
        upstreams.push_back(&upstream);
    }

    void add_reachable(const std::vector<routed_upstream>& from,
                       const std::vector<upstream_observations::summary>& summaries) {
        for (std::size_t index = 0; index < from.size(); ++index) {
            if (summaries[index].is_reachable && summaries[index].source_tokens > 0) {
                add(from[index], summaries[index].source_tokens);
            }
        }
    }
};

/// If no engine is known to have a prompt's shared prefix cached, treats the engine
/// that ranks first for it as if it had, so that all routers choose the same engine.
void assume_cached_on_first_ranked(const routed_placement_request& request, std::uint64_t affinity,
                                   const std::vector<routed_upstream>& upstreams,
                                   std::vector<routed_candidate>& candidates, source_list& sources) {
    if (!request.service->engine || request.prefixes.empty() ||
        std::ranges::any_of(sources.sources, [&](const cache_source& each) {
            return each.cached_tokens >= static_cast<double>(request.prefixes.back().tokens);
        })) {
        return;
    }
    const auto unshared_tokens = static_cast<double>(request.prompt_tokens - request.prefixes.back().tokens);
    const bool is_cached = std::ranges::any_of(candidates, [&](const routed_candidate& each) {
        return each.usable && each.uncached_tokens <= unshared_tokens;
    });
    const auto first_ranked = first_ranked_engine(affinity, candidates);
    if (is_cached || !first_ranked) {
        return;
    }
    routed_candidate& assumed = candidates[*first_ranked];
    assumed.uncached_tokens = unshared_tokens;
    assumed.cached_tokens = request.prefixes.back().tokens;
    sources.add(upstreams[*first_ranked], request.prefixes.back().tokens);
}

/// The engine that ranks first for a prompt among all others. It may have the prompt
/// cached although this router does not know, because the router has just started or
/// because the chosen engine joined later.
std::optional<std::size_t> first_ranked_other(std::size_t chosen, std::uint64_t affinity,
                                              std::vector<routed_candidate> candidates) {
    candidates[chosen].usable = false;
    return first_ranked_engine(affinity, candidates);
}

} // namespace

std::optional<routed_placement>
choose_upstream(const routed_placement_request& request, const routing_view& view,
                const upstream_observations& observations, const upstream_limits& limits,
                placement_parameters parameters, std::string_view failure_domain, time_point now) {
    const auto found = view.upstreams.find(request.service->name);
    if (found == view.upstreams.end()) {
        return std::nullopt;
    }
    const auto evacuated = view.evacuated.find(request.service->name);
    parameters.evacuated = evacuated == view.evacuated.end() ? 0 : evacuated->second;
    const auto& upstreams = found->second;
    const auto hashes = hashes_of(upstreams);
    const auto summaries = observations.summaries(hashes, request.prefixes, now);
    const auto limited = limits.summaries(hashes, now);
    source_list sources;
    const bool may_fetch =
        request.service->engine && !request.prefixes.empty() && parameters.fetch_cost < 1.0;
    if (may_fetch) {
        sources.add_reachable(upstreams, summaries);
        if (const auto leaving = view.leaving.find(request.service->name); leaving != view.leaving.end()) {
            sources.add_reachable(leaving->second,
                                  observations.summaries(hashes_of(leaving->second), request.prefixes, now));
        }
    }
    std::vector<routed_candidate> candidates;
    std::vector<std::optional<std::int32_t>> most;
    for (std::size_t index = 0; index < upstreams.size(); ++index) {
        most.push_back(most_in_flight(upstreams[index], limited[index], view));
        candidates.push_back(make_candidate(upstreams[index], summaries[index], request, failure_domain));
        // A cold engine has cached nothing yet, so that it is not assumed to hold a prefix.
        candidates.back().usable = has_version(upstreams[index], request) && !upstreams[index].is_cold(now);
        candidates.back().rate_limited = limited[index].per_second.has_value();
        candidates.back().permit_price_ms = limited[index].permit_price_ms;
    }
    const std::uint64_t affinity =
        request.prefixes.empty() ? request.request_hash : request.prefixes.back().key;
    assume_cached_on_first_ranked(request, affinity, upstreams, candidates, sources);
    for (const exclusion_rules& level : exclusion_levels) {
        bool is_full = false; // some upstream that may be chosen at this level lacks a place only
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            const bool may_send =
                !limited[index].is_paused && (!candidates[index].rate_limited ||
                                              (request.may_use_limited && limited[index].may_request_permit));
            const bool has_place = request.borrows
                                       ? !contains(request.not_lent, upstreams[index].hash)
                                       : !most[index] || upstreams[index].load->taken_places.load(
                                                             std::memory_order_relaxed) < *most[index];
            const bool has_any_place = has_place && has_cold_place(upstreams[index], request, now);
            const bool is_asked_for = !request.preferred || upstreams[index].hash == *request.preferred;
            candidates[index].usable = is_asked_for && has_version(upstreams[index], request) &&
                                       !was_tried(upstreams[index], request) && may_send &&
                                       (!level.avoid_outliers || !summaries[index].is_outlier) &&
                                       (!level.avoid_unreachable || summaries[index].is_reachable);
            is_full = is_full || (candidates[index].usable && !has_any_place);
            candidates[index].usable = candidates[index].usable && has_any_place;
        }
        const auto decision = request.service->engine
                                  ? place_on_engine(affinity, candidates, parameters, sources.sources)
                                  : place_on_plain_upstream(affinity, candidates, parameters);
        if (decision.index) {
            const routed_candidate& chosen = candidates[*decision.index];
            routed_placement placement{.upstream = upstreams[*decision.index],
                                       .uncached_tokens = static_cast<std::uint32_t>(chosen.uncached_tokens),
                                       .in_flight = chosen.in_flight,
                                       .expected_wait_ms = decision.expected_wait_ms,
                                       .reason = decision.reason,
                                       .is_reachable = summaries[*decision.index].is_reachable,
                                       .rate_limit = limited[*decision.index].per_second,
                                       .saving_ms = decision.saving_ms,
                                       .queue_wait_ms = decision.queue_wait_ms,
                                       .most_in_flight = most[*decision.index]};
            if (placement.most_in_flight) {
                placement.shared_places = shared_places_of(placement.upstream, limited[*decision.index]);
                placement.is_short = limited[*decision.index].is_short;
            }
            if (placement.upstream.is_cold(now)) {
                placement.cold = placement.upstream.cold;
            }
            if (decision.fetch) {
                placement.fetch_from = sources.upstreams[decision.fetch->source]->entry;
                placement.fetched_tokens = static_cast<std::uint32_t>(decision.fetch->tokens);
            } else if (may_fetch &&
                       summaries[*decision.index].cached_tokens < request.prefixes.back().tokens) {
                const auto other = first_ranked_other(*decision.index, affinity, candidates);
                placement.fetch_from = other ? std::optional{upstreams[*other].entry} : std::nullopt;
            }
            return placement;
        }
        if (is_full) {
            return std::nullopt;
        }
    }
    return std::nullopt;
}

std::optional<std::int32_t> places_on_brittle(const routed_placement_request& request,
                                              const routing_view& view, const upstream_limits& limits,
                                              time_point now) {
    const auto found = view.upstreams.find(request.service->name);
    if (!limits.has_brittle() || found == view.upstreams.end()) {
        return std::nullopt;
    }
    const auto& upstreams = found->second;
    const auto limited = limits.summaries(hashes_of(upstreams), now);
    std::optional<std::int32_t> places;
    for (std::size_t index = 0; index < upstreams.size(); ++index) {
        if (!has_version(upstreams[index], request) || was_tried(upstreams[index], request)) {
            continue;
        }
        if (const auto most = most_in_flight(upstreams[index], limited[index], view)) {
            places = places.value_or(0) + *most;
        }
    }
    return places;
}

std::optional<std::int32_t> places_on_cold(const routed_placement_request& request, const routing_view& view,
                                           time_point now) {
    const auto found = view.upstreams.find(request.service->name);
    if (found == view.upstreams.end()) {
        return std::nullopt;
    }
    std::optional<std::int32_t> places;
    for (const routed_upstream& each : found->second) {
        if (!has_version(each, request) || was_tried(each, request)) {
            continue;
        }
        if (!each.is_cold(now)) {
            return std::nullopt;
        }
        places = places.value_or(0) + each.cold->places;
    }
    return places;
}

in_flight_guard::in_flight_guard(const routed_placement& placement, time_point now)
    : load_{placement.upstream.load},
      unprocessed_tokens_{static_cast<std::int32_t>(placement.uncached_tokens - placement.fetched_tokens)} {
    if (!placement.borrowed) {
        place_.emplace(load_);
    }
    has_place_ = !placement.most_in_flight || !place_ || place_->taken_then() <= *placement.most_in_flight;
    if (placement.cold && has_place_) {
        has_cold_place_ = load_->cold_sends.reserve(*placement.cold, now);
        has_place_ = has_cold_place_;
    }
    load_->in_flight.fetch_add(1, std::memory_order_relaxed);
    load_->backlog.fetch_add(unprocessed_tokens_, std::memory_order_relaxed);
}

in_flight_guard::~in_flight_guard() {
    mark_prompt_processed();
    load_->in_flight.fetch_sub(1, std::memory_order_relaxed);
    if (has_cold_place_) {
        load_->cold_sends.release();
    }
}

bool in_flight_guard::begin_send(bool is_cold, time_point now) {
    if (std::exchange(has_cold_place_, false)) {
        load_->cold_sends.record_sent(now);
        return true;
    }
    return !is_cold;
}

void in_flight_guard::mark_prompt_processed() {
    load_->backlog.fetch_sub(std::exchange(unprocessed_tokens_, 0), std::memory_order_relaxed);
}

} // namespace citronwick
