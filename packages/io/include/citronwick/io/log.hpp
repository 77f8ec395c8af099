#ifndef CITRONWICK_IO_LOG_HPP_INCLUDED
#define CITRONWICK_IO_LOG_HPP_INCLUDED

#include "citronwick/core/failure.hpp"

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace citronwick {

/// Form of the log lines.
enum class log_format : std::uint8_t { key_value, json };

/// One named value of a log line.
using log_field = std::pair<std::string_view, std::string>;

/// Prepares the log: asynchronous output to standard output. Lines that do
/// not fit the buffer are dropped and counted; nobody waits for the log.
/// @param level "debug", "info", "warn" or "error"
void open_log(log_format format, const std::string& level);

/// Changes the least level that is written.
void set_log_level(const std::string& level);

/// Writes out what is buffered and ends the log's thread.
void close_log();

/// Writes one structured line.
/// @param event what happened, such as "placement"
void log_info(std::string_view event, std::initializer_list<log_field> fields);
void log_warn(std::string_view event, std::initializer_list<log_field> fields);
void log_debug(std::string_view event, std::initializer_list<log_field> fields);

/// Writes the step and the peer of an error.
void log_failure(std::string_view event, const failure& error);

} // namespace citronwick

#endif
