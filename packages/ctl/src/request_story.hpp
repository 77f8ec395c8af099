#ifndef CITRONWICK_CTL_SRC_REQUEST_STORY_HPP_INCLUDED
#define CITRONWICK_CTL_SRC_REQUEST_STORY_HPP_INCLUDED

#include "citronwick/ctl/command_options.hpp"

namespace citronwick {

struct command_context;

/// Shows a request's way through the routers, from their log files in JSON:
/// its own lines, and what the same routers came to believe meanwhile of the
/// upstreams that it was sent to, of the store and of the keys.
exit_code explain_request(const command_context& command);

} // namespace citronwick

#endif
