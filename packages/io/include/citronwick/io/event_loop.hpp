#ifndef CITRONWICK_IO_EVENT_LOOP_HPP_INCLUDED
#define CITRONWICK_IO_EVENT_LOOP_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <string_view>

namespace citronwick {

/// Runs the handlers of a context until it is stopped or out of work. An exception that
/// leaves a handler is recorded and the next handler runs, so that it costs one operation
/// and not the process.
/// @param name of the thread
void run_event_loop(boost::asio::io_context& context, std::string_view name);

} // namespace citronwick

#endif
