#include "citronwick/config/io_result_of.hpp"
#include "citronwick/io/fatal_report.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/router/router.hpp"
#include "citronwick/router/router_settings.hpp"
#include "citronwick/router/signal_listener.hpp"

#include <boost/numeric/conversion/cast.hpp>
#include <cstdint>
#include <cstdlib>
#include <docopt/docopt.h>
#include <exception>
#include <fcntl.h>
#include <iostream>
#include <unistd.h>

namespace {

constexpr const char* usage = R"(citronwickd: routes chats and service calls to upstreams.

Usage:
  citronwickd --config FILE [--check] [--memory-mb MB] [--descriptors N]
  citronwickd (-h | --help)
  citronwickd --version

Options:
  --config FILE  Settings file of this router (TOML).
  --check        Check the settings and exit.
  --memory-mb MB   Memory that the process may use, in MiB; overrides [limits] memory_mb.
  --descriptors N  Descriptors that it may open; overrides [limits] descriptors.
  -h --help      Show this text.
  --version      Show the version.

Exit codes: 0 stopped or checked, 1 could not start, 2 invalid usage or settings.
)";

constexpr int exit_failure = 1;
constexpr int exit_usage = 2;

citronwick::failure failed_step(const char* step, const std::string& peer, const std::exception& error) {
    return {step, peer, error.what()};
}

citronwick::io_result<citronwick::router_settings> read_settings(const std::string& file) {
    try {
        return citronwick::io_result_of<citronwick::router_settings>(
            [&] { return citronwick::read_router_settings(file); });
    } catch (const std::exception& error) {
        return failed_step("read settings", file, error);
    }
}

/// Opens descriptors 0 to 2 if they are closed. Otherwise a socket could get the number
/// of standard output, and receive the log.
void open_standard_descriptors() {
    for (const int descriptor : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
        if (::fcntl(descriptor, F_GETFD) < 0) {
            // The lowest free number is this one.
            [[maybe_unused]] const int opened = ::open("/dev/null", O_RDWR); // NOLINT(*-vararg)
        }
    }
}

// The loader calls this function before the initialisers of the libraries, which take
// most of the time before main(). The sanitizers' runtimes need their own first.
#if defined(__ELF__) && !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
void hold_signals_early(int /*argc*/, char** /*argv*/, char** /*environment*/) {
    citronwick::hold_signals();
}

[[gnu::section(".preinit_array"), gnu::used]]
void (*const early_initialiser)(int, char**, char**) = &hold_signals_early;
#endif

/// Replaces a limit of the settings by an option of the command line, if that is given.
/// @throws std::invalid_argument, std::out_of_range
void override_limit(std::uint32_t& limit, const docopt::value& option) {
    if (option) {
        limit = boost::numeric_cast<std::uint32_t>(option.asLong());
    }
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

citronwick::io_result<void> run_listening(const citronwick::router_settings& settings,
                                          const std::string& file) {
    try {
        citronwick::signal_listener signals{[&file] { reload_settings(file); }};
        return citronwick::run_router(settings, signals);
    } catch (const std::exception& error) {
        return failed_step(citronwick::process_step(), settings.control.vm, error);
    }
}

int run(const citronwick::router_settings& settings, const std::string& file) {
    citronwick::set_process_step("open log");
    const bool json = settings.log_format == "json";
    citronwick::open_log(json ? citronwick::log_format::json : citronwick::log_format::key_value,
                         settings.log_level);
    const auto stopped = run_listening(settings, file);
    if (stopped.has_error()) {
        citronwick::log_failure("router_not_started", stopped.error());
    }
    const int exit_code = stopped.has_error() ? exit_failure : 0;
    if (!citronwick::close_log()) {
        std::_Exit(exit_code);
    }
    return exit_code;
}

int run_program(int argc, char** argv) {
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
    citronwick::set_process_step("read settings");
    const std::string file = arguments.at("--config").asString();
    auto settings = read_settings(file);
    if (settings.has_error()) {
        std::cerr << settings.error().detail << "\n";
        return exit_usage;
    }
    try {
        override_limit(settings->traffic.memory_mb, arguments.at("--memory-mb"));
        override_limit(settings->traffic.descriptors, arguments.at("--descriptors"));
    } catch (const std::exception&) {
        std::cerr << usage;
        return exit_usage;
    }
    if (arguments.at("--check").asBool()) {
        std::cout << file << ": ok\n";
        return 0;
    }
    return run(*settings, file);
}

} // namespace

int main(int argc, char** argv) {
    citronwick::hold_signals();
    open_standard_descriptors();
    citronwick::install_fatal_report();
    try {
        return run_program(argc, argv);
    } catch (...) {
        citronwick::report_fatal_exception(std::current_exception());
        std::_Exit(exit_failure);
    }
}
