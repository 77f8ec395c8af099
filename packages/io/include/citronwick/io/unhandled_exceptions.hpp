#ifndef CITRONWICK_IO_UNHANDLED_EXCEPTIONS_HPP_INCLUDED
#define CITRONWICK_IO_UNHANDLED_EXCEPTIONS_HPP_INCLUDED

#include <cstdint>
#include <exception>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace citronwick {

/// Numbers of unhandled exceptions by the name of the thread or task that they ended.
using unhandled_exception_counts = std::map<std::string, std::uint64_t, std::less<>>;

/// Logs and counts an exception that reached the event loop of a thread, or the end of
/// a task whose result nobody awaits.
/// @param source name of the thread or task; the set of names must be bounded
void record_unhandled_exception(std::string_view source, const std::exception_ptr& exception);

/// Exceptions recorded since the start of the process.
unhandled_exception_counts unhandled_exceptions();

/// The counts in the text format of Prometheus.
std::string unhandled_exceptions_page();

/// Text of an exception, for the log.
std::string describe(const std::exception_ptr& exception);

} // namespace citronwick

#endif
