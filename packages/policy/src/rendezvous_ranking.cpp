#include "citronwick/policy/rendezvous_ranking.hpp"

#include "citronwick/core/hash.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

namespace citronwick {

double rendezvous_score(std::uint64_t key, std::uint64_t member, double weight) {
    constexpr double range = 18446744073709551616.0; // 2^64
    const double uniform = (static_cast<double>(hash_combine(key, member)) + 0.5) / range;
    return -weight / std::log(uniform);
}

std::vector<std::size_t> rendezvous_ranking(std::uint64_t chat, std::span<const candidate> upstreams) {
    std::vector<double> scores(upstreams.size());
    std::ranges::transform(upstreams, scores.begin(), [chat](const candidate& each) {
        return rendezvous_score(chat, each.hash, each.weight);
    });
    std::vector<std::size_t> order(upstreams.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::ranges::sort(order, std::greater{}, [&scores](std::size_t index) { return scores[index]; });
    return order;
}

} // namespace citronwick
