#ifndef CITRONWICK_TESTS_HARNESS_CHILD_PROCESS_HPP_INCLUDED
#define CITRONWICK_TESTS_HARNESS_CHILD_PROCESS_HPP_INCLUDED

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace citronwick::harness {

/// Where the standard output of a child process goes.
enum class output_target : std::uint8_t {
    log,            ///< appended to its log
    unread_pipe,    ///< a pipe that is kept open and never read
    abandoned_pipe, ///< a pipe whose reading end is closed
};

/// How a child process is started. Standard error is always appended to its log.
struct process_options {
    output_target output = output_target::log;
    std::optional<int> pipe_bytes{};        ///< size of an unread pipe; the system rounds it up to a page
    std::vector<std::string> environment{}; ///< added to this process's own, as NAME=value
    std::optional<std::size_t> max_descriptors{}; ///< RLIMIT_NOFILE
    std::optional<std::size_t> max_processes{};   ///< RLIMIT_NPROC
};

/// A child process, killed with SIGKILL when the object is destroyed.
///
/// Its functions may be called by several threads.
class child_process {
public:
    /// @param log file to which the output is appended
    child_process(std::vector<std::string> command, const std::string& log,
                  const process_options& options = {});
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    ~child_process();

    /// Sends a signal unless the process is known to have ended.
    void signal(int number) const;

    /// Stops the process until it gets SIGCONT, and waits until none of its threads runs: after
    /// `kill` returns, they go on until one of them has taken the signal.
    /// @return whether they have stopped
    bool pause() const;

    /// Waits for the process to end.
    /// @return the exit code, or 128 plus the number of the signal that
    ///         terminated it; nothing if it is still running
    std::optional<int> wait(std::chrono::milliseconds timeout);

    /// Kills the process and waits for it.
    void kill();

    bool is_running();
    pid_t id() const { return id_; }

private:
    pid_t id_ = 0;
    int unread_output_ = -1; ///< reading end of a pipe
    mutable std::mutex mutex_;
    std::optional<int> exit_code_;
};

} // namespace citronwick::harness

#endif
