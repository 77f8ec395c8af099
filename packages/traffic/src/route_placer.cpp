#include "route_placer.hpp"

#include "citronwick/fleet/upstream_observations.hpp"

#include <algorithm>
#include <array>
#include <ranges>
#include <utility>

namespace citronwick {

namespace {

/// Grounds on which upstreams are passed over; the later ones are dropped
/// first where no upstream is left.
struct strictness {
    bool avoid_outliers;
    bool avoid_unreachable;
};

constexpr std::array strictness_levels{strictness{true, true}, strictness{false, true},
                                       strictness{false, false}};

routed_candidate candidate_of(const routed_upstream& upstream, const upstream_observations::summary& known,
                              const placement_question& question, bool uses_usual,
                              std::string_view failure_domain) {
    const upstream_load& work = *upstream.load;
    const double elsewhere = uses_usual ? work.mean_remote_in_flight.load(std::memory_order_relaxed)
                                        : work.remote_in_flight.load(std::memory_order_relaxed);
    const auto backlog =
        work.backlog.load(std::memory_order_relaxed) + work.remote_backlog.load(std::memory_order_relaxed);
    const auto cached = std::min(known.cached_tokens, question.prompt_tokens);
    return {.hash = upstream.hash,
            .in_flight = work.in_flight.load(std::memory_order_relaxed) + elsewhere,
            .slots = static_cast<double>(upstream.entry.slots),
            .backlog_tokens = static_cast<double>(backlog),
            .uncached_tokens = static_cast<double>(question.prompt_tokens - cached),
            .same_failure_domain = upstream.entry.failure_domain == failure_domain};
}

/// Where no engine is known to hold the shared beginning of a prompt, all
/// routers expect it on its home engine, so that they send it to the same one.
void assume_home(const placement_question& question, std::uint64_t affinity,
                 std::vector<routed_candidate>& candidates) {
    if (question.prefixes.empty()) {
        return;
    }
    const auto own_tokens = static_cast<double>(question.prompt_tokens - question.prefixes.back().tokens);
    const bool has_holder = std::ranges::any_of(
        candidates, [&](const routed_candidate& each) { return each.uncached_tokens <= own_tokens; });
    const auto home = first_ranked_engine(affinity, candidates);
    if (!has_holder && home) {
        candidates[*home].uncached_tokens = own_tokens;
    }
}

} // namespace

std::optional<placed_request> place_request(const placement_question& question, const routing_view& view,
                                            const upstream_observations& memory,
                                            const placement_parameters& limits,
                                            std::string_view failure_domain, time_point now) {
    const auto found = view.upstreams.find(question.service->name);
    if (found == view.upstreams.end()) {
        return std::nullopt;
    }
    const auto& upstreams = found->second;
    std::vector<std::uint64_t> hashes;
    std::ranges::transform(upstreams, std::back_inserter(hashes), &routed_upstream::hash);
    const auto opinions = memory.summaries(hashes, question.prefixes, now);
    // A plain request has ended before others hear of it, where counts are old.
    const bool uses_usual = !question.service->engine && limits.load_tie_threshold > 0.0;
    std::vector<routed_candidate> candidates;
    for (std::size_t index = 0; index < upstreams.size(); ++index) {
        candidates.push_back(
            candidate_of(upstreams[index], opinions[index], question, uses_usual, failure_domain));
    }
    const std::uint64_t affinity =
        question.prefixes.empty() ? question.request : question.prefixes.back().key;
    assume_home(question, affinity, candidates);
    for (const strictness& level : strictness_levels) {
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            const bool was_tried = std::ranges::find(question.tried, hashes[index]) != question.tried.end();
            candidates[index].usable = !was_tried && (!level.avoid_outliers || !opinions[index].is_outlier) &&
                                       (!level.avoid_unreachable || opinions[index].is_reachable);
        }
        const auto decision = question.service->engine
                                  ? place_on_engine(affinity, candidates, limits)
                                  : place_on_plain_upstream(affinity, candidates, limits);
        if (decision.index) {
            const routed_candidate& chosen = candidates[*decision.index];
            return placed_request{upstreams[*decision.index],
                                  static_cast<std::uint32_t>(chosen.uncached_tokens), chosen.in_flight,
                                  decision.expected_wait_ms, decision.reason};
        }
    }
    return std::nullopt;
}

work_guard::work_guard(std::shared_ptr<upstream_load> work, std::uint32_t missing_tokens)
    : work_{std::move(work)}, unread_{static_cast<std::int32_t>(missing_tokens)} {
    work_->in_flight.fetch_add(1, std::memory_order_relaxed);
    work_->backlog.fetch_add(unread_, std::memory_order_relaxed);
}

work_guard::~work_guard() {
    prompt_was_read();
    work_->in_flight.fetch_sub(1, std::memory_order_relaxed);
}

void work_guard::prompt_was_read() {
    work_->backlog.fetch_sub(std::exchange(unread_, 0), std::memory_order_relaxed);
}

} // namespace citronwick
