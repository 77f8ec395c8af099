#ifndef CITRONWICK_TRAFFIC_INPUT_DRAIN_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_INPUT_DRAIN_HPP_INCLUDED

#include "citronwick/io/task.hpp"

#include <boost/beast/core/tcp_stream.hpp>

namespace citronwick {

/// Ends the output, and reads and discards what a refused caller still sends. Closing the
/// socket with unread input would reset the connection and could discard the refusal.
task<void> drain_input(boost::beast::tcp_stream& stream);

} // namespace citronwick

#endif
