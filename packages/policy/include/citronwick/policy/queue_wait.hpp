#ifndef CITRONWICK_POLICY_QUEUE_WAIT_HPP_INCLUDED
#define CITRONWICK_POLICY_QUEUE_WAIT_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstdint>

namespace citronwick {

/// Expected time that a request of some priority waits in an engine's queue.
///
/// Engines admit urgent requests first, so less urgent ones wait longer than the
/// average request, and urgent ones shorter.
/// @param average_wait expected wait of an average request
/// @param priority 0 is the highest
duration queue_wait(duration average_wait, std::uint32_t priority);

} // namespace citronwick

#endif
