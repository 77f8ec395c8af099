// Baseline policies that the benchmark compares with `bounded_rendezvous`. They
// ignore known chat contexts and have no load bound.

#include "citronwick/core/registry.hpp"
#include "citronwick/policy/placement.hpp"
#include "citronwick/policy/rendezvous_ranking.hpp"

#include <algorithm>
#include <atomic>
#include <numeric>
#include <random>

namespace citronwick {

namespace {

std::vector<std::size_t> ready_indices(std::span<const candidate> upstreams) {
    std::vector<std::size_t> all(upstreams.size());
    std::iota(all.begin(), all.end(), std::size_t{0});
    std::erase_if(all, [&](std::size_t index) { return upstreams[index].state != availability::ready; });
    return all;
}

placement_decision no_upstream_available() {
    return {std::nullopt, "no upstream available"};
}

class random_placement final : public placement_policy {
public:
    placement_decision place(const placement_request& /*request*/, std::span<const candidate> upstreams,
                             const preset& /*settings*/, time_point /*now*/) const override {
        thread_local std::minstd_rand generator{std::random_device{}()};
        const auto ready = ready_indices(upstreams);
        if (ready.empty()) {
            return no_upstream_available();
        }
        std::uniform_int_distribution<std::size_t> distribution{0, ready.size() - 1};
        return {ready[distribution(generator)], "random"};
    }
};

class round_robin final : public placement_policy {
public:
    placement_decision place(const placement_request& /*request*/, std::span<const candidate> upstreams,
                             const preset& /*settings*/, time_point /*now*/) const override {
        const auto ready = ready_indices(upstreams);
        if (ready.empty()) {
            return no_upstream_available();
        }
        return {ready[next_.fetch_add(1, std::memory_order_relaxed) % ready.size()], "round robin"};
    }

private:
    mutable std::atomic<std::size_t> next_{0};
};

class least_loaded final : public placement_policy {
public:
    placement_decision place(const placement_request& request, std::span<const candidate> upstreams,
                             const preset& /*settings*/, time_point /*now*/) const override {
        const auto ready = ready_indices(upstreams);
        if (ready.empty()) {
            return no_upstream_available();
        }
        const auto least = std::ranges::min_element(ready, {}, [&](std::size_t index) {
            const candidate& each = upstreams[index];
            return std::pair{each.in_flight / each.weight, -rendezvous_score(request.chat, each.hash)};
        });
        return {*least, "least loaded"};
    }
};

class rendezvous final : public placement_policy {
public:
    placement_decision place(const placement_request& request, std::span<const candidate> upstreams,
                             const preset& /*settings*/, time_point /*now*/) const override {
        const auto ranking = rendezvous_ranking(request.chat, upstreams);
        const auto first = std::ranges::find_if(
            ranking, [&](std::size_t index) { return upstreams[index].state == availability::ready; });
        if (first == ranking.end()) {
            return no_upstream_available();
        }
        return {*first, "rendezvous"};
    }
};

const registrar<placement_policy, random_placement> random_registration{"random"};
const registrar<placement_policy, round_robin> round_robin_registration{"round_robin"};
const registrar<placement_policy, least_loaded> least_loaded_registration{"least_loaded"};
const registrar<placement_policy, rendezvous> rendezvous_registration{"rendezvous"};

} // namespace

} // namespace citronwick
