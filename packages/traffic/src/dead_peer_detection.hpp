#ifndef CITRONWICK_TRAFFIC_DEAD_PEER_DETECTION_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_DEAD_PEER_DETECTION_HPP_INCLUDED

#include <boost/asio/ip/tcp.hpp>
#include <chrono>

namespace citronwick {

struct dead_peer_timing;

/// Sets the time after which unacknowledged data breaks a connection; 0 for the system's own.
void set_ack_timeout(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds timeout);

/// Makes the kernel detect an unreachable peer. Without this, a connection to a
/// VM that lost power stays open for minutes.
void enable_dead_peer_detection(boost::asio::ip::tcp::socket& socket, const dead_peer_timing& timing);

} // namespace citronwick

#endif
