#include "citronwick/core/registry.hpp"
#include "citronwick/policy/load_bound.hpp"
#include "citronwick/policy/placement.hpp"
#include "citronwick/policy/rendezvous_ranking.hpp"

#include <algorithm>
#include <ranges>

namespace citronwick {

namespace {

/// State of one placement: the ranked candidates and those skipped so far.
class bounded_placement {
public:
    bounded_placement(const placement_request& request, std::span<const candidate> upstreams,
                      const preset& settings, time_point now)
        : request_{request}, upstreams_{upstreams}, settings_{settings}, bound_{upstreams, settings, now},
          ranking_{rendezvous_ranking(request.chat, upstreams)} {}

    placement_decision decide() {
        auto decision = choose();
        if (decision.index) {
            decision.limit = bound_.limit(upstreams_[*decision.index]);
        }
        return decision;
    }

private:
    placement_decision choose() {
        if (const auto holder = find_context_holder(); holder && admit(*holder)) {
            return {holder, "context", std::move(skipped_)};
        }
        const auto first_ready =
            std::ranges::find_if(ranking_, [this](std::size_t index) { return is_ready(index); });
        if (first_ready == ranking_.end()) {
            return {std::nullopt, "no upstream available", std::move(skipped_)};
        }
        if (admit(*first_ready)) {
            return {*first_ready, first_ready == ranking_.begin() ? "first rank" : "next rank",
                    std::move(skipped_)};
        }
        return spill(std::ranges::subrange{std::next(first_ready), ranking_.end()});
    }

    std::optional<std::size_t> find_context_holder() const {
        if (!request_.context_holder) {
            return std::nullopt;
        }
        const auto found = std::ranges::find(upstreams_, *request_.context_holder, &candidate::hash);
        if (found == upstreams_.end()) {
            return std::nullopt;
        }
        return static_cast<std::size_t>(std::distance(upstreams_.begin(), found));
    }

    /// Whether the upstream accepts new work; otherwise notes it as skipped.
    bool is_ready(std::size_t index) {
        const availability state = upstreams_[index].state;
        if (state != availability::ready) {
            skip(index, to_text(state));
        }
        return state == availability::ready;
    }

    /// Whether the upstream may take the request; otherwise notes it as skipped.
    bool admit(std::size_t index) {
        const candidate& upstream = upstreams_[index];
        if (bound_.admits(upstream)) {
            return true;
        }
        skip(index, upstream.state == availability::ready ? "over bound" : to_text(upstream.state));
        return false;
    }

    void skip(std::size_t index, std::string_view reason) {
        if (std::ranges::find(skipped_, index, &skipped_candidate::index) == skipped_.end()) {
            skipped_.push_back({index, reason});
        }
    }

    /// Chooses the least loaded among the first `spill_width` upstreams of the
    /// remaining ranks that are below their bound.
    template <class Ranks>
    placement_decision spill(Ranks ranks) {
        std::vector<std::size_t> admitted;
        std::ranges::copy_if(ranks, std::back_inserter(admitted),
                             [this](std::size_t index) { return admit(index); });
        if (admitted.empty()) {
            return {std::nullopt, "all upstreams full", std::move(skipped_)};
        }
        const auto width = std::min<std::size_t>(admitted.size(), settings_.spill_width);
        const auto first_ranks = admitted | std::views::take(width);
        const auto least = std::ranges::min_element(first_ranks, {}, [this](std::size_t index) {
            return upstreams_[index].in_flight / upstreams_[index].weight;
        });
        return {*least, "spill", std::move(skipped_)};
    }

    const placement_request& request_;
    std::span<const candidate> upstreams_;
    const preset& settings_;
    load_bound bound_;
    std::vector<std::size_t> ranking_;
    std::vector<skipped_candidate> skipped_;
};

/// Prefers the upstream that holds the chat's context, then the upstreams in
/// rendezvous order; skips those at their load bound.
class bounded_rendezvous final : public placement_policy {
public:
    placement_decision place(const placement_request& request, std::span<const candidate> upstreams,
                             const preset& settings, time_point now) const override {
        return bounded_placement{request, upstreams, settings, now}.decide();
    }
};

const registrar<placement_policy, bounded_rendezvous> registration{"bounded_rendezvous"};

} // namespace

} // namespace citronwick
