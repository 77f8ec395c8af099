#include "command_context.hpp"

#include "store_session.hpp"

#include <ostream>

#include <fstream>
#include <sstream>
#include <utility>

namespace citronwick {

exit_code report_failure(const command_context& command, const failure& error) {
    command.errors << to_text(error) << "\n";
    if (error.step == "check declaration" || error.step == "parse TOML") {
        return exit_code::usage;
    }
    return error.detail.starts_with("lost a race") ? exit_code::conflict : exit_code::failed;
}

io_result<std::string> read_file(const std::string& file) {
    std::ifstream input{file, std::ios::binary};
    if (!input) {
        return failure{"read file", file, "cannot be opened"};
    }
    std::ostringstream text;
    text << input.rdbuf();
    return std::move(text).str();
}

io_result<stored_configuration> load_in_force(store_session& session) {
    auto base = session.run(session.store().load());
    if (base.has_error()) {
        return base.error();
    }
    if (!base->has_value()) {
        return failure{"read configuration", "key-value service", "none has been applied yet"};
    }
    return std::move(**base);
}

} // namespace citronwick
