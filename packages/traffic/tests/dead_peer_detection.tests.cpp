#include "dead_peer_detection.hpp"

#include "citronwick/policy/dead_peer_timing.hpp"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

using namespace citronwick;
using boost::asio::ip::tcp;

namespace {

int option_of(tcp::socket& socket, int level, int name) {
    int value = -1;
    socklen_t size = sizeof value;
    getsockopt(socket.native_handle(), level, name, &value, &size);
    return value;
}

} // namespace

TEST_CASE("a connection to an upstream has the options of its dead-peer timing") {
    constexpr dead_peer_timing timing = upstream_dead_peer_timing;
    boost::asio::io_context context;
    tcp::socket socket{context, tcp::v4()};
    enable_dead_peer_detection(socket, timing);
    CHECK(option_of(socket, SOL_SOCKET, SO_KEEPALIVE) == 1);
    CHECK(option_of(socket, IPPROTO_TCP, TCP_KEEPIDLE) == timing.keepalive_idle.count());
    CHECK(option_of(socket, IPPROTO_TCP, TCP_KEEPINTVL) == timing.keepalive_interval.count());
    CHECK(option_of(socket, IPPROTO_TCP, TCP_KEEPCNT) == timing.keepalive_probes);
    CHECK(option_of(socket, IPPROTO_TCP, TCP_USER_TIMEOUT) == timing.ack_timeout.count());
    set_ack_timeout(socket, std::chrono::milliseconds{0});
    CHECK(option_of(socket, IPPROTO_TCP, TCP_USER_TIMEOUT) == 0);
}
