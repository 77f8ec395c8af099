// A router ends when it is told to, and not by itself.

#include "child_process.hpp"
#include "http_call.hpp"
#include "node.hpp"
#include "waiting.hpp"

#include "citronwick/io/task.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <string>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

constexpr int killed_by = 128;
constexpr auto end_timeout = 10s;

/// One router without a fleet, whose store does not answer.
class lone_router {
public:
    explicit lone_router(std::string listen_callers = "127.0.0.1:0") : callers_{std::move(listen_callers)} {
        write_settings();
    }
    lone_router(const lone_router&) = delete;
    lone_router& operator=(const lone_router&) = delete;
    ~lone_router() {
        process.reset();
        std::error_code ignored;
        std::filesystem::remove_all(directory, ignored);
    }

    void write_settings(const std::string& log_level = "info") const {
        std::ofstream{settings} << settings_text(log_level);
    }

    std::string settings_text(const std::string& log_level = "info") const {
        return "[vm]\nname = \"entry-0\"\nregion = \"kr-south\"\nfailure_domain = \"busan-a\"\n\n"
               "[listen]\ncallers = \"" +
               callers_ + "\"\noperators = \"127.0.0.1:0\"\nfleet = \"127.0.0.1:0\"\nport_file = \"" +
               port_file + "\"\n" + listen_settings +
               "\n[platform]\nadapter = \"http_store\"\nstore = \"127.0.0.1:9\"\n\n"
               "[shutdown]\nbalancer_lag = \"300ms\"\n\n[log]\nlevel = \"" +
               log_level + "\"\n";
    }

    void start(const process_options& options = {}) {
        run({binary_path("citronwickd"), "--config", settings}, options);
    }

    /// Starts it by a shell, which closes some of its descriptors.
    void start_by_shell(const std::string& redirection) {
        run({"/bin/sh", "-c", "exec \"$0\" --config \"$1\" " + redirection, binary_path("citronwickd"),
             settings},
            {});
    }

    bool wait_started() const {
        return wait_until([this] { return std::filesystem::exists(port_file) || !process->is_running(); }) &&
               process->is_running();
    }

    bool wait_for_line(const std::string& text) const {
        return wait_until([&] { return has_line(text) || !process->is_running(); }) && has_line(text);
    }

    bool has_line(const std::string& text) const { return !find_log_lines(node{.log = log}, text).empty(); }

    std::string last_line() const {
        const auto lines = find_log_lines(node{.log = log}, "");
        return lines.empty() ? "" : lines.back();
    }

    std::string directory = make_directory();
    std::string settings = directory + "/router.toml";
    std::string port_file = directory + "/ports";
    std::string log = directory + "/log";
    std::string listen_settings{};
    std::unique_ptr<child_process> process{};

private:
    void run(std::vector<std::string> command, const process_options& options) {
        process = std::make_unique<child_process>(std::move(command), log, options);
    }

    std::string callers_;
};

/// Whether a process ignores a signal.
bool ignores(pid_t process, int signal) {
    std::ifstream status{"/proc/" + std::to_string(process) + "/status"};
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("SigIgn:")) {
            const auto mask =
                std::stoull(line.substr(line.find_first_of("0123456789abcdef", 7)), nullptr, 16);
            return (mask >> static_cast<unsigned>(signal - 1) & 1U) != 0;
        }
    }
    return false;
}

} // namespace

TEST_CASE("proof: signals right after the start of the program do not kill it") {
    lone_router router;
    router.start();
    // SIGPIPE is ignored once signals are held, which is the first thing the program does.
    REQUIRE(
        wait_until([&] { return ignores(router.process->id(), SIGPIPE) || !router.process->is_running(); }));
    SUBCASE("SIGHUP") {
        for (int sent = 0; sent < 100 && router.process->is_running(); ++sent) {
            router.process->signal(SIGHUP);
        }
        REQUIRE(router.wait_started());
        CHECK(router.wait_for_line("event=settings_reloaded"));
    }
    SUBCASE("SIGTERM") {}
    router.process->signal(SIGTERM);
    CHECK(router.process->wait(end_timeout) == 0);
    CHECK(router.has_line("event=router_stopped"));
}

TEST_CASE("proof: signals during a drain and until the exit do not kill a router") {
    lone_router router;
    router.start();
    REQUIRE(router.wait_started());
    router.process->signal(SIGTERM);
    const bool ended = wait_until([&] {
        constexpr std::array later{SIGHUP, SIGTERM, SIGINT, SIGPIPE};
        std::ranges::for_each(later, [&](int number) { router.process->signal(number); });
        return !router.process->is_running();
    });
    CHECK(ended);
    CHECK(router.process->wait(0ms) == 0);
    CHECK(router.has_line("event=router_stopped"));
}

TEST_CASE("proof: SIGHUP with an unusable settings file changes nothing") {
    lone_router router;
    router.start();
    REQUIRE(router.wait_started());
    std::filesystem::remove(router.settings);
    SUBCASE("missing") {}
    SUBCASE("half-written") {
        const std::string text = router.settings_text();
        std::ofstream{router.settings} << text.substr(0, text.size() / 2);
    }
    SUBCASE("a directory") {
        std::filesystem::create_directory(router.settings);
    }
    SUBCASE("not TOML") {
        std::ofstream{router.settings} << std::string(1'000, '\xff');
    }
    router.process->signal(SIGHUP);
    CHECK(router.wait_for_line("event=settings_not_reloaded"));
    std::filesystem::remove_all(router.settings);
    router.write_settings("debug");
    router.process->signal(SIGHUP);
    CHECK(router.wait_for_line("event=settings_reloaded"));
    router.process->signal(SIGTERM);
    CHECK(router.process->wait(end_timeout) == 0);
}

TEST_CASE("proof: a router whose output fails or is not read goes on and ends in time") {
    lone_router router;
    std::string output;
    SUBCASE("the reader is gone") {
        router.start({.output = output_target::abandoned_pipe});
    }
    SUBCASE("the reader does not read") {
        router.start({.output = output_target::unread_pipe});
    }
    SUBCASE("closed") {
        router.start_by_shell(">&-");
        output = "/dev/null";
    }
    SUBCASE("all standard descriptors closed") {
        router.start_by_shell("<&- >&- 2>&-");
        output = "/dev/null";
    }
    SUBCASE("no space") {
        router.start_by_shell(">/dev/full");
    }
    REQUIRE(router.wait_started());
    const auto callers = [&] {
        std::ifstream ports{router.port_file};
        std::string name;
        std::string address;
        ports >> name >> address;
        return *parse_endpoint(address);
    }();
    // Each request that is refused is logged; a pipe holds 64 KiB.
    constexpr int requests = 700;
    for (int sent = 0; sent < requests; ++sent) {
        REQUIRE(http_call(callers, {.target = "/read/" + std::to_string(sent)}).status == 503);
    }
    CHECK(router.process->is_running());
    if (!output.empty()) {
        // Otherwise a socket could have the number of standard output, and receive the log.
        const std::string descriptor = "/proc/" + std::to_string(router.process->id()) + "/fd/1";
        CHECK(std::filesystem::read_symlink(descriptor) == output);
    }
    const auto signalled_at = std::chrono::steady_clock::now();
    router.process->signal(SIGTERM);
    CHECK(router.process->wait(end_timeout) == 0);
    CHECK(std::chrono::steady_clock::now() - signalled_at < 5s);
}

TEST_CASE("proof: a start waits while an address is in use") {
    boost::asio::io_context context;
    asio::ip::tcp::acceptor holder{context};
    const auto held = open_listener(holder, {"127.0.0.1", 0}, "listen");
    REQUIRE(held.has_value());
    // Otherwise the router under test inherits the listener.
    REQUIRE(::fcntl(holder.native_handle(), F_SETFD, FD_CLOEXEC) == 0);
    lone_router router{to_text(*held)};
    SUBCASE("and starts once it is free") {
        router.start();
        REQUIRE(router.wait_for_line("event=address_in_use"));
        holder.close();
        REQUIRE(router.wait_started());
        router.process->signal(SIGTERM);
        CHECK(router.process->wait(end_timeout) == 0);
    }
    SUBCASE("and ends at SIGTERM") {
        router.start();
        REQUIRE(router.wait_for_line("event=address_in_use"));
        router.process->signal(SIGTERM);
        CHECK(router.process->wait(end_timeout) == 0);
        CHECK(router.has_line("event=router_stopped"));
    }
    SUBCASE("for a bounded time") {
        router.listen_settings = "in_use_timeout = \"500ms\"\n";
        router.write_settings();
        router.start();
        CHECK(router.process->wait(end_timeout) == 1);
        CHECK(router.has_line("event=address_in_use"));
        CHECK(router.last_line().find("event=router_not_started") != std::string::npos);
    }
}

TEST_CASE("proof: a router that is killed by a fault names the signal in its last line") {
    constexpr std::array<std::pair<int, const char*>, 5> faults{{{SIGSEGV, "SIGSEGV"},
                                                                 {SIGBUS, "SIGBUS"},
                                                                 {SIGFPE, "SIGFPE"},
                                                                 {SIGILL, "SIGILL"},
                                                                 {SIGABRT, "SIGABRT"}}};
    for (const auto& [number, name] : faults) {
        CAPTURE(name);
        lone_router router;
        router.start();
        REQUIRE(router.wait_for_line("event=router_started"));
        router.process->signal(number);
        CHECK(router.process->wait(end_timeout) == killed_by + number);
        const std::string last = router.last_line();
        CHECK(last.find("event=process_failed signal=\"" + std::string{name}) != std::string::npos);
        CHECK(last.find("step=\"serve\"") != std::string::npos);
    }
}

TEST_CASE("proof: a router that cannot open its descriptors says why and exits") {
    lone_router router;
    constexpr std::size_t too_few_descriptors = 8;
    router.start({.max_descriptors = too_few_descriptors});
    CHECK(router.process->wait(end_timeout) == 1);
    const std::string last = router.last_line();
    CHECK((last.find("event=router_not_started") != std::string::npos ||
           last.find("event=process_failed") != std::string::npos));
}

TEST_CASE("proof: a router serves although it cannot write its port file") {
    lone_router router;
    router.port_file = router.directory + "/missing/ports";
    router.write_settings();
    router.start();
    REQUIRE(router.wait_for_line("event=port_file_not_written"));
    REQUIRE(router.wait_for_line("event=router_started"));
    router.process->signal(SIGTERM);
    CHECK(router.process->wait(end_timeout) == 0);
}
