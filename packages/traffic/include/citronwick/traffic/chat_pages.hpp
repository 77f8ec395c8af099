#ifndef CITRONWICK_TRAFFIC_CHAT_PAGES_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_CHAT_PAGES_HPP_INCLUDED

#include "citronwick/traffic/operator_server.hpp"

namespace citronwick {

class control_plane;
class metrics;

/// Operator pages of a router that serves chat completions and plain services.
/// The arguments must outlive the pages.
operator_pages make_chat_pages(control_plane& control, metrics& counters);

} // namespace citronwick

#endif
