#include "child_process.hpp"

#include "waiting.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace citronwick::harness {

namespace {

void set_limit(__rlimit_resource resource, const std::optional<std::size_t>& limit) {
    if (limit) {
        const rlimit both{*limit, *limit};
        ::setrlimit(resource, &both);
    }
}

/// Exit code of a child whose program could not be executed.
constexpr int exec_failed = 127;

} // namespace

child_process::child_process(std::vector<std::string> command, const std::string& log,
                             const process_options& options) {
    std::vector<char*> arguments;
    std::ranges::transform(command, std::back_inserter(arguments),
                           [](std::string& argument) { return argument.data(); });
    arguments.push_back(nullptr);
    std::vector<char*> environment;
    std::vector<std::string> added = options.environment;
    std::ranges::transform(added, std::back_inserter(environment),
                           [](std::string& each) { return each.data(); });
    for (char** each = environ; *each != nullptr; ++each) {
        environment.push_back(*each);
    }
    environment.push_back(nullptr);
    const int log_file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    std::array<int, 2> pipe_ends{-1, -1};
    if (options.output != output_target::log && ::pipe2(pipe_ends.data(), O_CLOEXEC) != 0) {
        throw std::runtime_error("cannot create a pipe");
    }
    id_ = ::fork();
    if (id_ == 0) {
        // Signals ignored by the test program would stay ignored in the child.
        ::signal(SIGPIPE, SIG_DFL);
        ::dup2(options.output == output_target::log ? log_file : pipe_ends.at(1), STDOUT_FILENO);
        ::dup2(log_file, STDERR_FILENO);
        // A connection of the test program would stay open as long as the child has it too.
        ::close_range(STDERR_FILENO + 1, ~0U, 0);
        set_limit(RLIMIT_NOFILE, options.max_descriptors);
        set_limit(RLIMIT_NPROC, options.max_processes);
        ::execve(arguments.front(), arguments.data(), environment.data());
        ::_exit(exec_failed);
    }
    ::close(log_file);
    if (options.output != output_target::log) {
        ::close(pipe_ends.at(1));
        if (options.output == output_target::unread_pipe) {
            if (options.pipe_bytes) {
                ::fcntl(pipe_ends.at(0), F_SETPIPE_SZ, *options.pipe_bytes);
            }
            unread_output_ = pipe_ends.at(0);
        } else {
            ::close(pipe_ends.at(0));
        }
    }
    if (id_ < 0) {
        throw std::runtime_error("cannot start " + command.front());
    }
}

child_process::~child_process() {
    kill();
    if (unread_output_ >= 0) {
        ::close(unread_output_);
    }
}

void child_process::signal(int number) const {
    const std::scoped_lock lock{mutex_};
    if (!exit_code_) {
        ::kill(id_, number);
    }
}

bool child_process::pause() const {
    namespace fs = std::filesystem;
    const auto is_stopped = [](const fs::directory_entry& thread) {
        std::ifstream file{thread.path() / "stat"};
        const std::string text{std::istreambuf_iterator<char>{file}, {}};
        return text.find(") T ") != std::string::npos;
    };
    signal(SIGSTOP);
    return wait_until([&] {
        const fs::directory_iterator threads{"/proc/" + std::to_string(id_) + "/task"};
        return std::ranges::all_of(fs::begin(threads), fs::end(threads), is_stopped);
    });
}

bool child_process::is_running() {
    const std::scoped_lock lock{mutex_};
    int status = 0;
    if (!exit_code_ && waitpid(id_, &status, WNOHANG) == id_) {
        constexpr int signal_base = 128;
        exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : signal_base + WTERMSIG(status);
    }
    return !exit_code_;
}

std::optional<int> child_process::wait(std::chrono::milliseconds timeout) {
    wait_until([this] { return !is_running(); }, timeout);
    const std::scoped_lock lock{mutex_};
    return exit_code_;
}

void child_process::kill() {
    signal(SIGKILL);
    wait(std::chrono::seconds{10});
}

} // namespace citronwick::harness
