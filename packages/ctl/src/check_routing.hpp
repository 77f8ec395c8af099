#ifndef CITRONWICK_CTL_SRC_CHECK_ROUTING_HPP_INCLUDED
#define CITRONWICK_CTL_SRC_CHECK_ROUTING_HPP_INCLUDED

#include "citronwick/ctl/command_options.hpp"

namespace citronwick {

struct command_context;

/// Checks a declaration of routes in a platform's format before it is written to the platform's store.
///
/// Prints errors, entries that no request can reach and limits that contradict each other. If a store is
/// given, also what differs from the declaration in force there.
/// @return `usage` if the declaration cannot be read or has errors, `failed` if the store does not respond
exit_code check_routing(const command_context& command);

} // namespace citronwick

#endif
