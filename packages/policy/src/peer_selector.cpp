#include "citronwick/policy/peer_selector.hpp"

#include "citronwick/core/hash.hpp"

#include <algorithm>
#include <tuple>

namespace citronwick {

namespace {

/// Time for which a router that failed is tried after the others.
constexpr duration avoidance = std::chrono::seconds{1};

} // namespace

void peer_selector::record_failure(std::uint64_t peer, time_point now) {
    std::erase_if(avoided_until_, [now](const auto& each) { return each.second <= now; });
    avoided_until_[peer] = now + avoidance;
}

std::vector<std::uint64_t> peer_selector::rank(std::vector<std::uint64_t> peers, std::uint64_t request,
                                               time_point now) const {
    std::ranges::sort(peers, {}, [&](std::uint64_t peer) {
        const auto found = avoided_until_.find(peer);
        const bool is_avoided = found != avoided_until_.end() && now < found->second;
        return std::tuple{is_avoided, hash_combine(request, peer)};
    });
    return peers;
}

} // namespace citronwick
