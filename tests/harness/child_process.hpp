#ifndef CITRONWICK_TESTS_HARNESS_CHILD_PROCESS_HPP_INCLUDED
#define CITRONWICK_TESTS_HARNESS_CHILD_PROCESS_HPP_INCLUDED

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace citronwick::harness {

/// A child process, killed with SIGKILL when the object is destroyed.
class child_process {
public:
    /// @param log file to which standard output and standard error are appended
    child_process(std::vector<std::string> command, const std::string& log);
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    ~child_process();

    void signal(int number) const;

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
    std::optional<int> exit_code_;
};

} // namespace citronwick::harness

#endif
