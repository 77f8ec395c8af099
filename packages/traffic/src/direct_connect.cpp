#include "direct_connect.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace citronwick {

task<boost::system::error_code> try_direct_connect(endpoint address, std::chrono::milliseconds timeout) {
    constexpr std::chrono::milliseconds reset_delay{10};
    const auto executor = co_await asio::this_coro::executor;
    const auto peer = to_tcp(address);
    boost::beast::tcp_stream stream{executor};
    open_outbound(stream.socket(), peer);
    stream.expires_after(timeout);
    auto [error] = co_await stream.async_connect(peer, use_tuple);
    if (error) {
        co_return error;
    }
    std::array<char, 1> byte{};
    const auto space = asio::buffer(byte);
    stream.expires_after(reset_delay);
    auto [read_error, size] = co_await stream.async_read_some(space, use_tuple);
    if (read_error == boost::beast::error::timeout) {
        co_return boost::system::error_code{};
    }
    co_return read_error ? read_error : asio::error::connection_reset;
}

upstream_reach::connect_failure connect_failure_of(const boost::system::error_code& error) {
    return error == boost::beast::error::timeout ? upstream_reach::connect_failure::timed_out
                                                 : upstream_reach::connect_failure::refused;
}

} // namespace citronwick
