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
/// The ranking depends only on the chat and the set of upstreams. Routers that
/// have the same set compute the same ranking without communicating.
/// @return indices into `upstreams`, highest score first
std::vector<std::size_t> rendezvous_ranking(std::uint64_t chat, std::span<const candidate> upstreams);

/// Rendezvous score of a member for a key; the highest score ranks first.
/// @param weight relative capacity, greater than zero
double rendezvous_score(std::uint64_t key, std::uint64_t member, double weight = 1.0);

} // namespace citronwick

#endif
