#include "citronwick/io/fatal_report.hpp"

#include "citronwick/io/log.hpp"

#include <array>
#include <csignal>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <functional>
#include <stdexcept>
#include <string>
#include <sys/wait.h>
#include <unistd.h>

using namespace citronwick;

namespace {

/// What a process wrote to standard error, and the signal that ended it.
struct ended_process {
    std::string output;
    int signal = 0;
};

/// Runs a function in a child process.
ended_process run_in_child(const std::function<void()>& run) {
    std::array<int, 2> ends{-1, -1};
    REQUIRE(::pipe2(ends.data(), O_CLOEXEC) == 0);
    const pid_t child = ::fork();
    if (child == 0) {
        ::dup2(ends[1], STDERR_FILENO);
        ::close(STDOUT_FILENO);
        install_fatal_report();
        run();
        ::_exit(0);
    }
    ::close(ends[1]);
    ended_process ended;
    std::array<char, 4'096> part{};
    for (auto size = ::read(ends[0], part.data(), part.size()); size > 0;
         size = ::read(ends[0], part.data(), part.size())) {
        ended.output.append(part.data(), static_cast<std::size_t>(size));
    }
    ::close(ends[0]);
    int status = 0;
    ::waitpid(child, &status, 0);
    ended.signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    return ended;
}

void throw_out_of_noexcept() noexcept {
    const std::function<void()> fail = [] { throw std::runtime_error{"no \"room\"\n"}; };
    fail();
}

} // namespace

// Guards against processes that end without a reason in their logs (FAULT).
TEST_CASE("an exception that nothing catches is named with its type, text and step") {
    const auto ended = run_in_child([] {
        set_process_step("read settings");
        throw_out_of_noexcept();
    });
    CHECK(ended.signal == SIGABRT);
    CHECK(ended.output.find(R"(event=process_failed exception="std::runtime_error" detail="no \"room\" ")") !=
          std::string::npos);
    CHECK(ended.output.ends_with("step=\"read settings\"\n"));
    // The signal of std::abort() is not reported as well.
    CHECK(ended.output.find('\n') == ended.output.size() - 1);
}

TEST_CASE("a report in JSON is one object") {
    const auto ended = run_in_child([] {
        set_fatal_report_format(log_format::json);
        set_process_step("serve");
        ::raise(SIGABRT);
    });
    CHECK(ended.signal == SIGABRT);
    CHECK(ended.output.starts_with(R"({"time":")"));
    CHECK(ended.output.find(R"("level":"critical","line":{"event":"process_failed","signal":"SIGABRT",)") !=
          std::string::npos);
    CHECK(ended.output.ends_with("\"step\":\"serve\"}}\n"));
}
