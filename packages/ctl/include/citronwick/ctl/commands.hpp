#ifndef CITRONWICK_CTL_COMMANDS_HPP_INCLUDED
#define CITRONWICK_CTL_COMMANDS_HPP_INCLUDED

#include "citronwick/ctl/command_options.hpp"

#include <iosfwd>
#include <string_view>

namespace citronwick {

/// Runs one of citronctl's commands.
/// @param name words of the command, such as "preset use"
/// @param out receives the results
/// @param errors receives error messages
exit_code run_command(std::string_view name, const command_options& options, std::ostream& out,
                      std::ostream& errors);

} // namespace citronwick

#endif
