#ifndef CITRONWICK_CTL_SRC_ROUTER_COMMANDS_HPP_INCLUDED
#define CITRONWICK_CTL_SRC_ROUTER_COMMANDS_HPP_INCLUDED

#include "citronwick/ctl/command_options.hpp"

namespace citronwick {

struct command_context;

/// Shows routers and upstreams.
exit_code status(const command_context& command);

/// Shows why a chat would go where it goes.
exit_code explain_chat(const command_context& command);

} // namespace citronwick

#endif
