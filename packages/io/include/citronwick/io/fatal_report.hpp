#ifndef CITRONWICK_IO_FATAL_REPORT_HPP_INCLUDED
#define CITRONWICK_IO_FATAL_REPORT_HPP_INCLUDED

#include <cstdint>
#include <exception>

namespace citronwick {

enum class log_format : std::uint8_t;

/// Installs handlers that write the line `process_failed` to standard error and
/// standard output before the process ends by std::terminate() or by SIGSEGV, SIGBUS,
/// SIGFPE, SIGILL or SIGABRT.
void install_fatal_report();

/// Sets the format of that line.
void set_fatal_report_format(log_format format);

/// Sets the step that it names.
/// @param step text with static storage duration, such as "read settings"
void set_process_step(const char* step);

/// The step last set, empty if none was.
const char* process_step();

/// Writes the line for an exception that ends the process.
void report_fatal_exception(const std::exception_ptr& exception) noexcept;

} // namespace citronwick

#endif
