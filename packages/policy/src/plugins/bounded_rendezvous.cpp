#include "citronwick/core/registry.hpp"
#include "citronwick/policy/load_bound.hpp"
#include "citronwick/policy/placement.hpp"
#include "citronwick/policy/rendezvous_ranking.hpp"

#include <algorithm>
#include <ranges>

namespace citronwick {

namespace {

/// State of one decision: the ranked candidates and what was passed over.
class bounded_choice {
public:
    bounded_choice(const placement_request& request, std::span<const candidate> upstreams,
                   const preset& policy, time_point now)
        : request_{request}, upstreams_{upstreams}, policy_{policy}, bound_{upstreams, policy, now},
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
        if (const auto holder = context_holder(); holder && admit(*holder)) {
            return {holder, "context", std::move(skipped_)};
        }
        const auto home =
            std::ranges::find_if(ranking_, [this](std::size_t index) { return is_ready(index); });
        if (home == ranking_.end()) {
            return {std::nullopt, "no upstream available", std::move(skipped_)};
        }
        if (admit(*home)) {
            return {*home, home == ranking_.begin() ? "first rank" : "next rank", std::move(skipped_)};
        }
        return spill(std::ranges::subrange{std::next(home), ranking_.end()});
    }

    std::optional<std::size_t> context_holder() const {
        if (!request_.context_at) {
            return std::nullopt;
        }
        const auto found = std::ranges::find(upstreams_, *request_.context_at, &candidate::hash);
        if (found == upstreams_.end()) {
            return std::nullopt;
        }
        return static_cast<std::size_t>(std::distance(upstreams_.begin(), found));
    }

    bool is_ready(std::size_t index) {
        const availability state = upstreams_[index].state;
        if (state != availability::ready) {
            skip(index, to_text(state));
        }
        return state == availability::ready;
    }

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

    /// Takes the least loaded of the next few ranks that the bound admits.
    template <class Ranks>
    placement_decision spill(Ranks ranks) {
        std::vector<std::size_t> open;
        std::ranges::copy_if(ranks, std::back_inserter(open),
                             [this](std::size_t index) { return admit(index); });
        if (open.empty()) {
            return {std::nullopt, "all upstreams full", std::move(skipped_)};
        }
        const auto width = std::min<std::size_t>(open.size(), policy_.spill_width);
        const auto few = open | std::views::take(width);
        const auto least = std::ranges::min_element(few, {}, [this](std::size_t index) {
            return upstreams_[index].in_flight / upstreams_[index].weight;
        });
        return {*least, "spill", std::move(skipped_)};
    }

    const placement_request& request_;
    std::span<const candidate> upstreams_;
    const preset& policy_;
    load_bound bound_;
    std::vector<std::size_t> ranking_;
    std::vector<skipped_candidate> skipped_;
};

/// Chat's context first, then its rendezvous ranks, none over the load bound.
class bounded_rendezvous final : public placement_policy {
public:
    placement_decision place(const placement_request& request, std::span<const candidate> upstreams,
                             const preset& policy, time_point now) const override {
        return bounded_choice{request, upstreams, policy, now}.decide();
    }
};

const registrar<placement_policy, bounded_rendezvous> registration{"bounded_rendezvous"};

} // namespace

} // namespace citronwick
