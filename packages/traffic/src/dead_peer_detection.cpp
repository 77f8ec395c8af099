#include "dead_peer_detection.hpp"

#include "citronwick/policy/dead_peer_timing.hpp"

#include <boost/asio/detail/socket_option.hpp>
#include <netinet/tcp.h>

namespace citronwick {

namespace {

template <int Name>
using tcp_option = boost::asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

} // namespace

void set_ack_timeout(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds timeout) {
    boost::system::error_code ignored;
    socket.set_option(tcp_option<TCP_USER_TIMEOUT>{static_cast<int>(timeout.count())}, ignored);
}

void enable_dead_peer_detection(boost::asio::ip::tcp::socket& socket, const dead_peer_timing& timing) {
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::keep_alive{true}, ignored);
    set_ack_timeout(socket, timing.ack_timeout);
    socket.set_option(tcp_option<TCP_KEEPIDLE>{static_cast<int>(timing.keepalive_idle.count())}, ignored);
    socket.set_option(tcp_option<TCP_KEEPINTVL>{static_cast<int>(timing.keepalive_interval.count())},
                      ignored);
    socket.set_option(tcp_option<TCP_KEEPCNT>{timing.keepalive_probes}, ignored);
}

} // namespace citronwick
