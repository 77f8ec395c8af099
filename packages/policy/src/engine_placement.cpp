#include "citronwick/policy/engine_placement.hpp"

#include "citronwick/core/hash.hpp"
#include "citronwick/policy/even_choice.hpp"
#include "citronwick/policy/rendezvous_ranking.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <numeric>
#include <ranges>
#include <utility>
#include <vector>

namespace citronwick {

namespace {

/// Cost of one millisecond of prefill, in milliseconds of waiting. Prefill is
/// charged in addition to the wait, because it also delays the requests that run
/// concurrently.
constexpr double prefill_weight = 1.0;
/// Cost of one millisecond of waiting within the acceptable wait. It is above 0 so
/// that the less busy of two engines that hold the prefix is preferred.
constexpr double acceptable_wait_weight = 0.2;
/// Milliseconds that the concurrent requests of a fully occupied engine add to the
/// time to first token.
constexpr double full_engine_delay_ms = 60.0;
/// Difference in cost up to which engines count as equal. Routers with slightly
/// different load counts then make the same choice.
constexpr double tie_threshold_ms = 6.0;
/// Largest fleet in which routers learn of each other's requests before these have
/// ended.
constexpr std::size_t max_small_fleet_routers = 9;
/// Age of the load counts in larger fleets.
constexpr std::chrono::duration<double> large_fleet_load_age{0.3};
/// Shortest response time that is assumed, so that the turnover stays finite.
constexpr std::chrono::duration<double> min_response_time{0.005};
/// Load slack in larger fleets; the rest is left for requests that other routers
/// have sent since the counts were taken. From 1 on, the least loaded upstream is
/// always within the bound.
constexpr double large_fleet_load_slack = 2.0;

/// Fewest prompt tokens that are worth a fetch.
constexpr double min_fetch_tokens = 256.0;

struct estimate {
    std::size_t index = 0;
    double cost = 0.0;
    double price = 0.0; ///< of a permit, part of the cost
    double wait_ms = 0.0;
    double queue_wait_ms = 0.0;
    double score = 0.0; ///< rendezvous score; the highest wins among equal costs
};

/// Prompt tokens that an engine fetches if the best source offers `source_tokens`, 0 if
/// that does not pay.
/// @param cached_tokens prompt tokens that the engine has cached itself
double tokens_to_fetch(double source_tokens, double cached_tokens, const placement_parameters& parameters) {
    const double missing = source_tokens - cached_tokens;
    return parameters.fetch_cost < 1.0 && missing >= min_fetch_tokens ? missing : 0.0;
}

/// Time to obtain the prompt tokens that an engine has not cached, by prefill and fetch.
double prefill_ms(const routed_candidate& engine, double fetched, const placement_parameters& parameters) {
    return engine.slowness * (engine.uncached_tokens - fetched * (1.0 - parameters.fetch_cost)) /
           parameters.prefill_tokens_per_ms;
}

/// Estimated time to first token on an engine, without that for the request's own prompt.
double queue_wait_ms(const routed_candidate& engine, const placement_parameters& parameters) {
    const double occupancy = engine.in_flight / std::max(engine.slots, 1.0);
    const double queued = std::max(0.0, engine.in_flight + 1.0 - engine.slots);
    return engine.slowness * (engine.backlog_tokens / parameters.prefill_tokens_per_ms +
                              full_engine_delay_ms * (occupancy + queued));
}

/// Chooses among the sources from which `target` can fetch the most tokens.
std::size_t choose_source(std::uint64_t affinity, std::span<const cache_source> sources,
                          std::uint64_t target) {
    const std::uint64_t key = hash_combine(affinity, target);
    const auto best = std::ranges::max_element(sources, {}, [key](const cache_source& each) {
        return std::pair{each.cached_tokens, rendezvous_score(key, each.hash)};
    });
    return static_cast<std::size_t>(best - sources.begin());
}

/// Cost of a wait. The part within the acceptable wait has a low weight, because
/// the response is in time anyway.
double wait_cost(double wait, const placement_parameters& parameters) {
    const double acceptable = std::min(wait, parameters.acceptable_wait_ms);
    return acceptable_wait_weight * acceptable + (wait - acceptable);
}

/// Chooses the best score among the estimates whose cost is within `tie_threshold` of the lowest.
routed_decision choose(std::vector<estimate> estimates, double tie_threshold, std::string_view reason) {
    if (estimates.empty()) {
        return {.reason = "no upstream is usable"};
    }
    const double lowest = std::ranges::min(estimates | std::views::transform(&estimate::cost));
    std::erase_if(estimates, [&](const estimate& each) { return each.cost > lowest + tie_threshold; });
    const auto best = std::ranges::max_element(estimates, {}, &estimate::score);
    return {.index = best->index,
            .reason = reason,
            .expected_wait_ms = best->wait_ms,
            .queue_wait_ms = best->queue_wait_ms};
}

/// Places a request by load counts that are older than requests last.
routed_decision place_evenly(std::uint64_t request, std::span<const routed_candidate> upstreams, double bound,
                             double load_turnover) {
    std::vector<known_load> loads;
    std::ranges::transform(upstreams, std::back_inserter(loads), [&](const routed_candidate& each) {
        const bool may_be_chosen = each.usable && each.in_flight + 1.0 <= bound;
        return may_be_chosen ? known_load{each.in_flight, std::max(each.slots, 1.0) / each.slowness}
                             : known_load{0.0, 0.0};
    });
    const double in_flight = std::transform_reduce(loads.begin(), loads.end(), 0.0, std::plus{},
                                                   [](const known_load& each) { return each.in_flight; });
    const auto chosen = choose_evenly(loads, load_turnover * in_flight, request);
    if (!chosen) {
        return {.reason = "no upstream is usable"};
    }
    return {.index = chosen,
            .reason = "even load",
            .expected_wait_ms = upstreams[*chosen].in_flight / std::max(upstreams[*chosen].slots, 1.0)};
}

} // namespace

placement_parameters adapt_to_fleet(placement_parameters parameters, std::size_t live_routers,
                                    duration response_time) {
    if (live_routers <= max_small_fleet_routers) {
        return parameters;
    }
    parameters.load_turnover =
        large_fleet_load_age / std::max<std::chrono::duration<double>>(response_time, min_response_time);
    parameters.load_slack = std::min(parameters.load_slack, large_fleet_load_slack);
    return parameters;
}

double load_limit(std::span<const routed_candidate> upstreams, const placement_parameters& parameters) {
    const bool all_limited = std::ranges::all_of(upstreams, &routed_candidate::rate_limited);
    double total = 0.0;
    std::size_t count = 0;
    for (const routed_candidate& each : upstreams) {
        if (all_limited || !each.rate_limited) {
            total += each.in_flight;
            ++count;
        }
    }
    const double mean = total / static_cast<double>(std::max<std::size_t>(count + parameters.evacuated, 1));
    return parameters.load_multiple * mean + parameters.load_slack;
}

std::optional<std::size_t> first_ranked_engine(std::uint64_t affinity,
                                               std::span<const routed_candidate> engines) {
    const auto first = std::ranges::max_element(engines, {}, [affinity](const routed_candidate& engine) {
        return std::pair{engine.usable, rendezvous_score(affinity, engine.hash)};
    });
    if (first == engines.end() || !first->usable) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(first - engines.begin());
}

routed_decision place_on_engine(std::uint64_t affinity, std::span<const routed_candidate> engines,
                                const placement_parameters& parameters,
                                std::span<const cache_source> sources) {
    const double bound = load_limit(engines, parameters);
    const auto best_source = std::ranges::max_element(sources, {}, &cache_source::cached_tokens);
    const double source_tokens = best_source == sources.end() ? 0.0 : best_source->cached_tokens;
    std::vector<estimate> estimates;
    for (std::size_t index = 0; index < engines.size(); ++index) {
        const routed_candidate& engine = engines[index];
        if (!engine.usable || engine.in_flight + 1.0 > bound) {
            continue;
        }
        const double fetched = tokens_to_fetch(source_tokens, engine.cached_tokens, parameters);
        const double queue_wait = queue_wait_ms(engine, parameters);
        const double prefill = prefill_ms(engine, fetched, parameters);
        const double wait = queue_wait + prefill;
        const double price = engine.rate_limited ? engine.permit_price_ms : 0.0;
        estimates.push_back({.index = index,
                             .cost = wait_cost(wait, parameters) + prefill_weight * prefill + price,
                             .price = price,
                             .wait_ms = wait,
                             .queue_wait_ms = queue_wait,
                             .score = rendezvous_score(affinity, engine.hash)});
    }
    double best_unlimited = std::numeric_limits<double>::infinity();
    for (const estimate& each : estimates) {
        if (!engines[each.index].rate_limited) {
            best_unlimited = std::min(best_unlimited, each.cost);
        }
    }
    routed_decision decision = choose(estimates, tie_threshold_ms, "least cost");
    if (decision.index) {
        const auto chosen = std::ranges::find(estimates, *decision.index, &estimate::index);
        decision.saving_ms = std::max(best_unlimited - (chosen->cost - chosen->price), 0.0);
        const routed_candidate& engine = engines[chosen->index];
        const double fetched = tokens_to_fetch(source_tokens, engine.cached_tokens, parameters);
        if (fetched > 0.0) {
            decision.fetch = cache_fetch{choose_source(affinity, sources, engine.hash), fetched};
        }
    }
    return decision;
}

routed_decision place_on_plain_upstream(std::uint64_t request, std::span<const routed_candidate> upstreams,
                                        const placement_parameters& parameters) {
    const double bound = load_limit(upstreams, parameters);
    if (parameters.load_turnover > 0.0) {
        return place_evenly(request, upstreams, bound, parameters.load_turnover);
    }
    constexpr double same_domain_bonus = 1.0;
    std::vector<estimate> estimates;
    for (std::size_t index = 0; index < upstreams.size(); ++index) {
        const routed_candidate& upstream = upstreams[index];
        if (!upstream.usable || upstream.in_flight + 1.0 > bound) {
            continue;
        }
        const double load = upstream.in_flight / std::max(upstream.slots, 1.0);
        const double score = rendezvous_score(request, upstream.hash) +
                             (upstream.same_failure_domain ? same_domain_bonus : 0.0);
        estimates.push_back({.index = index, .cost = load, .wait_ms = load, .score = score});
    }
    return choose(std::move(estimates), 0.0, "least loaded");
}

} // namespace citronwick
