#include "tunnel_frame.hpp"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <string>

using namespace citronwick;
using asio::ip::tcp;

namespace {

/// As the landing fdbcbaf frames the bytes "sealed".
const std::string recorded_frame{"\x00\x06sealed", 8};

/// A connection to a peer that sends and receives bytes.
struct connection {
    connection() : peer{context}, stream{context} {
        tcp::acceptor acceptor{context, {asio::ip::address_v4::loopback(), 0}};
        peer.connect(acceptor.local_endpoint());
        acceptor.accept(stream.socket());
    }

    /// Reads a frame from what the peer sends.
    io_result<std::string> read(const std::string& sent) {
        asio::write(peer, asio::buffer(sent));
        peer.shutdown(tcp::socket::shutdown_send);
        io_result<std::string> frame{failure{}};
        asio::co_spawn(context, read_into(frame), asio::detached);
        context.run();
        return frame;
    }

    task<void> read_into(io_result<std::string>& frame) { frame = co_await read_tunnel_frame(stream); }

    task<void> write(std::string sealed) {
        auto sent = co_await write_tunnel_frame(stream, std::move(sealed));
        CHECK(sent.has_value());
    }

    asio::io_context context;
    tcp::socket peer;
    boost::beast::tcp_stream stream;
};

} // namespace

TEST_CASE("frames of tunnels are read and written as the previous landing does") {
    connection reading;
    const auto frame = reading.read(recorded_frame + "bytes of the tunnel");
    REQUIRE(frame.has_value());
    CHECK(*frame == "sealed");
    connection writing;
    asio::co_spawn(writing.context, writing.write("sealed"), asio::detached);
    writing.context.run();
    std::string received(recorded_frame.size(), '\0');
    asio::read(writing.peer, asio::buffer(received));
    CHECK(received == recorded_frame);
}

TEST_CASE("frames of tunnels that are too long or not whole are refused") {
    CHECK(connection{}.read(std::string{"\x02\x01", 2} + std::string(0x201, 'x')).has_error());
    CHECK(connection{}.read(recorded_frame.substr(0, 7)).has_error());
    CHECK(connection{}.read(recorded_frame.substr(0, 1)).has_error());
}
