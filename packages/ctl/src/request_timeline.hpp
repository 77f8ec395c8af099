#ifndef CITRONWICK_CTL_SRC_REQUEST_TIMELINE_HPP_INCLUDED
#define CITRONWICK_CTL_SRC_REQUEST_TIMELINE_HPP_INCLUDED

#include "citronwick/ctl/command_options.hpp"

namespace citronwick {

struct command_context;

/// Prints the timeline of a request from the routers' JSON log files: the lines
/// that name the request, and the same routers' events about the upstreams it was
/// sent to, the store and the team keys.
exit_code explain_request(const command_context& command);

} // namespace citronwick

#endif
