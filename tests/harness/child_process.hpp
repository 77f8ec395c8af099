#ifndef CITRONWICK_TESTS_HARNESS_CHILD_PROCESS_HPP_INCLUDED
#define CITRONWICK_TESTS_HARNESS_CHILD_PROCESS_HPP_INCLUDED

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace citronwick::harness {

/// A process that this one started; killed when the object goes.
class child_process {
public:
    /// @param log file that takes standard output and standard error
    child_process(std::vector<std::string> command, const std::string& log);
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    ~child_process();

    void signal(int number) const;

    /// Waits for the process to end.
    /// @return its exit code, or 128 and the number of the signal that ended
    ///         it; nothing where it still runs
    std::optional<int> wait(std::chrono::milliseconds timeout);

    /// Kills the process and waits for it.
    void kill();

    bool is_running();
    pid_t id() const { return id_; }

private:
    pid_t id_ = 0;
    std::optional<int> ended_;
};

} // namespace citronwick::harness

#endif
