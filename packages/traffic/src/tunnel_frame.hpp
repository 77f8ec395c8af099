#ifndef CITRONWICK_TRAFFIC_TUNNEL_FRAME_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_TUNNEL_FRAME_HPP_INCLUDED

#include "citronwick/io/task.hpp"

#include <boost/beast/core/tcp_stream.hpp>
#include <string>

namespace citronwick {

/// Sends a sealed message with its length before it. The expiry of the stream is in force.
task<io_result<void>> write_tunnel_frame(boost::beast::tcp_stream& stream, std::string sealed);

/// Reads a sealed message. The expiry of the stream is in force.
task<io_result<std::string>> read_tunnel_frame(boost::beast::tcp_stream& stream);

} // namespace citronwick

#endif
