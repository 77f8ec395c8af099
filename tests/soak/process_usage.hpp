#ifndef CITRONWICK_TESTS_SOAK_PROCESS_USAGE_HPP_INCLUDED
#define CITRONWICK_TESTS_SOAK_PROCESS_USAGE_HPP_INCLUDED

#include <chrono>
#include <cstdint>
#include <optional>
#include <sys/types.h>

namespace citronwick::soak {

/// Resident memory of a process in bytes.
std::optional<std::uint64_t> resident_bytes(pid_t process);

/// Processor time that all threads of a process have used.
std::optional<std::chrono::milliseconds> processor_time(pid_t process);

} // namespace citronwick::soak

#endif
