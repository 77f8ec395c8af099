#ifndef CITRONWICK_CTL_SRC_COMMAND_CONTEXT_HPP_INCLUDED
#define CITRONWICK_CTL_SRC_COMMAND_CONTEXT_HPP_INCLUDED

#include "citronwick/config/config_store.hpp"
#include "citronwick/core/failure.hpp"
#include "citronwick/ctl/command_options.hpp"

#include <iosfwd>

namespace citronwick {

class store_session;

/// Options and output streams of a command.
struct command_context {
    const command_options& options;
    std::ostream& out;
    std::ostream& errors;
};

/// Prints an error.
/// @return the exit code for it
exit_code report_failure(const command_context& command, const failure& error);

/// Reads a whole file.
io_result<std::string> read_file(const std::string& file);

/// Loads the configuration in force.
/// @return a failure if none has been applied yet
io_result<stored_configuration> load_in_force(store_session& session);

} // namespace citronwick

#endif
