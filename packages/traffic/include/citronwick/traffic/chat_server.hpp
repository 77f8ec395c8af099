#ifndef CITRONWICK_TRAFFIC_CHAT_SERVER_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_CHAT_SERVER_HPP_INCLUDED

#include "citronwick/traffic/request_server.hpp"

namespace citronwick {

class control_plane;
class metrics;
struct traffic_settings;

/// Makes the servers of chat completions and plain services. The arguments must
/// outlive the servers.
request_server_factory make_chat_servers(const traffic_settings& settings, control_plane& control,
                                         metrics& counters);

} // namespace citronwick

#endif
