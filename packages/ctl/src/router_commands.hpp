#ifndef CITRONWICK_CTL_SRC_ROUTER_COMMANDS_HPP_INCLUDED
#define CITRONWICK_CTL_SRC_ROUTER_COMMANDS_HPP_INCLUDED

#include "citronwick/ctl/command_options.hpp"

namespace citronwick {

struct command_context;

/// Prints the state of the routers and of their upstreams.
exit_code status(const command_context& command);

/// Prints the ranking of the upstreams for a chat, their load limits and the
/// placement decision.
exit_code explain_chat(const command_context& command);

} // namespace citronwick

#endif
