#ifndef CITRONWICK_POLICY_RENDEZVOUS_RANKING_HPP_INCLUDED
#define CITRONWICK_POLICY_RENDEZVOUS_RANKING_HPP_INCLUDED

#include "citronwick/policy/candidate.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace citronwick {

/// Ranks upstreams for a chat by weighted rendezvous hashing.
///
/// The ranking depends on the chat and the upstream set alone, so routers
/// that agree on the set agree on the ranking without exchanging messages.
/// @return indices into `upstreams`, best first
std::vector<std::size_t> rendezvous_ranking(std::uint64_t chat, std::span<const candidate> upstreams);

/// Score of one member for a key; the highest score ranks first.
/// @param weight relative capacity, greater than zero
double rendezvous_score(std::uint64_t key, std::uint64_t member, double weight = 1.0);

} // namespace citronwick

#endif
