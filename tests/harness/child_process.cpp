#include "child_process.hpp"

#include "waiting.hpp"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace citronwick::harness {

child_process::child_process(std::vector<std::string> command, const std::string& log) {
    std::vector<char*> arguments;
    std::ranges::transform(command, std::back_inserter(arguments),
                           [](std::string& argument) { return argument.data(); });
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error = posix_spawn(&id_, arguments.front(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::runtime_error("cannot start " + command.front());
    }
}

child_process::~child_process() {
    kill();
}

void child_process::signal(int number) const {
    if (!exit_code_) {
        ::kill(id_, number);
    }
}

bool child_process::is_running() {
    int status = 0;
    if (!exit_code_ && waitpid(id_, &status, WNOHANG) == id_) {
        constexpr int signal_base = 128;
        exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : signal_base + WTERMSIG(status);
    }
    return !exit_code_;
}

std::optional<int> child_process::wait(std::chrono::milliseconds timeout) {
    wait_until([this] { return !is_running(); }, timeout);
    return exit_code_;
}

void child_process::kill() {
    signal(SIGKILL);
    wait(std::chrono::seconds{10});
}

} // namespace citronwick::harness
