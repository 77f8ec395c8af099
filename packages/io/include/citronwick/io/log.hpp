#ifndef CITRONWICK_IO_LOG_HPP_INCLUDED
#define CITRONWICK_IO_LOG_HPP_INCLUDED

#include "citronwick/core/failure.hpp"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace citronwick {

/// Output format of the log lines.
enum class log_format : std::uint8_t { key_value, json };

/// One named value of a log line.
using log_field = std::pair<std::string_view, std::string>;

/// Starts asynchronous logging to standard output. If the queue is full, or the reader
/// of standard output does not read, the oldest lines are dropped and counted, so that
/// logging never blocks.
/// @param level "debug", "info", "warn" or "error"
void open_log(log_format format, const std::string& level);

/// Changes the lowest level that is written.
void set_log_level(const std::string& level);

/// Writes the queued lines and stops the logging thread, within a bounded time. Lines
/// that the reader of standard output has not taken by then are lost.
/// @return false if a write blocks the thread; the process must then end by std::_Exit()
bool close_log();

/// Writes one structured line.
/// @param event name of the event, such as "placement"
void log_info(std::string_view event, std::initializer_list<log_field> fields);
void log_warn(std::string_view event, std::initializer_list<log_field> fields);
void log_debug(std::string_view event, std::initializer_list<log_field> fields);

/// Writes a warning with the step, peer and detail of an error.
void log_failure(std::string_view event, const failure& error);

} // namespace citronwick

#endif
