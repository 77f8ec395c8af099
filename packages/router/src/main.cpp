#include "citronwick/config/io_result_of.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/router/router.hpp"
#include "citronwick/router/router_settings.hpp"

#include <docopt/docopt.h>
#include <iostream>

namespace {

constexpr const char* usage = R"(citronwickd: routes chats and service calls to upstreams.

Usage:
  citronwickd --config FILE [--check]
  citronwickd (-h | --help)
  citronwickd --version

Options:
  --config FILE  Settings file of this router (TOML).
  --check        Check the settings and exit.
  -h --help      Show this text.
  --version      Show the version.

Exit codes: 0 stopped or checked, 1 could not start, 2 invalid usage or settings.
)";

constexpr int exit_failure = 1;
constexpr int exit_usage = 2;

citronwick::io_result<citronwick::router_settings> read_settings(const std::string& file) {
    return citronwick::io_result_of<citronwick::router_settings>(
        [&] { return citronwick::read_router_settings(file); });
}

/// Applies the log level of a changed settings file. The other settings, such as
/// addresses and limits, take effect only at a start.
void reload_settings(const std::string& file) {
    const auto settings = read_settings(file);
    if (settings.has_error()) {
        citronwick::log_failure("settings_not_reloaded", settings.error());
        return;
    }
    citronwick::set_log_level(settings->log_level);
    citronwick::log_info("settings_reloaded", {{"file", file}, {"log_level", settings->log_level}});
}

int run(const citronwick::router_settings& settings, const std::string& file) {
    const bool json = settings.log_format == "json";
    citronwick::open_log(json ? citronwick::log_format::json : citronwick::log_format::key_value,
                         settings.log_level);
    const auto stopped = citronwick::run_router(settings, [&file] { reload_settings(file); });
    if (stopped.has_error()) {
        citronwick::log_failure("router_not_started", stopped.error());
    }
    citronwick::close_log();
    return stopped.has_error() ? exit_failure : 0;
}

} // namespace

int main(int argc, char** argv) {
    std::map<std::string, docopt::value> arguments;
    try {
        arguments = docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, true);
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
        return 0;
    } catch (const docopt::DocoptExitVersion&) {
        std::cout << "citronwickd 0.1.0\n";
        return 0;
    } catch (const std::exception&) {
        std::cerr << usage;
        return exit_usage;
    }
    const std::string file = arguments.at("--config").asString();
    const auto settings = read_settings(file);
    if (settings.has_error()) {
        std::cerr << settings.error().detail << "\n";
        return exit_usage;
    }
    if (arguments.at("--check").asBool()) {
        std::cout << file << ": ok\n";
        return 0;
    }
    return run(*settings, file);
}
