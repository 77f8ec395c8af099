#include "citronwick/policy/engine_placement.hpp"

#include "citronwick/policy/rendezvous_ranking.hpp"

#include <algorithm>
#include <numeric>
#include <ranges>
#include <vector>

namespace citronwick {

namespace {

/// Cost of a millisecond in which an engine reads a prompt, in milliseconds of
/// waiting: the requests that run beside it wait as well.
constexpr double reading_weight = 1.0;
/// Cost of a millisecond of waiting within what is comfortable. It is above 0,
/// so that the less busy one of two holders is preferred.
constexpr double comfortable_weight = 0.2;
/// Milliseconds that a full engine adds to a first token beyond an empty one.
constexpr double full_engine_delay_ms = 60.0;
/// Milliseconds within which engines count as equal, so that routers agree.
constexpr double tie_ms = 6.0;

struct estimate {
    std::size_t index = 0;
    double cost = 0.0;
    double wait = 0.0;
    double rank = 0.0; ///< rendezvous score, higher is preferred
};

double engine_wait(const routed_candidate& engine, const placement_limits& limits) {
    const double occupancy = engine.in_flight / std::max(engine.slots, 1.0);
    const double queued = std::max(0.0, engine.in_flight + 1.0 - engine.slots);
    return (engine.backlog + engine.missing) / limits.prefill_tokens_per_ms +
           full_engine_delay_ms * (occupancy + queued);
}

/// Cost of a wait: little as long as the answer is in time anyway.
double felt(double wait, const placement_limits& limits) {
    const double comfortable = std::min(wait, limits.comfortable_wait_ms);
    return comfortable_weight * comfortable + (wait - comfortable);
}

routed_decision choose(std::vector<estimate> estimates, double tie, std::string_view reason) {
    if (estimates.empty()) {
        return {std::nullopt, "no upstream is usable"};
    }
    const double least = std::ranges::min(estimates | std::views::transform(&estimate::cost));
    std::erase_if(estimates, [&](const estimate& each) { return each.cost > least + tie; });
    const auto best = std::ranges::max_element(estimates, {}, &estimate::rank);
    return {best->index, reason, best->wait};
}

} // namespace

double load_limit(std::span<const routed_candidate> upstreams, const placement_limits& limits) {
    const double total =
        std::accumulate(upstreams.begin(), upstreams.end(), 0.0,
                        [](double sum, const routed_candidate& each) { return sum + each.in_flight; });
    const double mean = total / static_cast<double>(std::max<std::size_t>(upstreams.size(), 1));
    return limits.load_multiple * mean + limits.load_slack;
}

std::optional<std::size_t> home_engine(std::uint64_t affinity, std::span<const routed_candidate> engines) {
    const auto home = std::ranges::max_element(engines, {}, [affinity](const routed_candidate& engine) {
        return rendezvous_score(affinity, engine.hash);
    });
    if (home == engines.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(home - engines.begin());
}

routed_decision place_on_engine(std::uint64_t affinity, std::span<const routed_candidate> engines,
                                const placement_limits& limits) {
    const double bound = load_limit(engines, limits);
    std::vector<estimate> estimates;
    for (std::size_t index = 0; index < engines.size(); ++index) {
        const routed_candidate& engine = engines[index];
        if (!engine.usable || engine.in_flight + 1.0 > bound) {
            continue;
        }
        const double wait = engine_wait(engine, limits);
        const double reading = reading_weight * engine.missing / limits.prefill_tokens_per_ms;
        estimates.push_back(
            {index, felt(wait, limits) + reading, wait, rendezvous_score(affinity, engine.hash)});
    }
    return choose(std::move(estimates), tie_ms, "least cost");
}

routed_decision place_on_worker(std::uint64_t request, std::span<const routed_candidate> workers,
                                const placement_limits& limits) {
    const double bound = load_limit(workers, limits);
    constexpr double near_bonus = 1.0;
    const bool is_exact = limits.plain_tie == 0.0;
    std::vector<estimate> estimates;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        const routed_candidate& worker = workers[index];
        if (!worker.usable || worker.in_flight + 1.0 > bound) {
            continue;
        }
        const double load = worker.in_flight / std::max(worker.slots, 1.0);
        const double score =
            rendezvous_score(request, worker.hash) + (is_exact && worker.is_near ? near_bonus : 0.0);
        estimates.push_back({index, load, load, score});
    }
    return choose(std::move(estimates), limits.plain_tie, "least loaded");
}

} // namespace citronwick
