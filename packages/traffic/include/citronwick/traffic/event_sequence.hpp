#ifndef CITRONWICK_TRAFFIC_EVENT_SEQUENCE_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_EVENT_SEQUENCE_HPP_INCLUDED

#include "citronwick/policy/sequence_fault.hpp"

#include <optional>

namespace citronwick {

struct complete_events;
class stream_position;

/// Removes the first event that cannot come next, and everything behind the event before it.
/// @param position of the caller
/// @return why that event cannot come next, empty if all can
std::optional<sequence_fault> remove_faulty_events(complete_events& arrived, stream_position position);

} // namespace citronwick

#endif
