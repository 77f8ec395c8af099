#ifndef CITRONWICK_TRAFFIC_CALLER_CONNECTION_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_CALLER_CONNECTION_HPP_INCLUDED

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstddef>

namespace citronwick {

/// Connection on which a caller sends its requests one after the other.
class caller_connection {
public:
    /// @param is_stopping whether the router is stopping
    caller_connection(boost::asio::ip::tcp::socket socket, const std::atomic<bool>& is_stopping);
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;
    ~caller_connection() = default;

    boost::beast::tcp_stream& stream() { return stream_; }

    /// What was received and not yet parsed.
    boost::beast::flat_buffer& input() { return input_; }

    /// Receives what has arrived, without waiting for more.
    boost::system::error_code receive_input();

    /// Whether the response that begins now is the last one on this connection because the router
    /// is stopping. Requests that have already arrived are still served, up to a limit.
    bool ends_after_response();

private:
    bool has_input();

    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer input_;
    const std::atomic<bool>& is_stopping_;
    std::size_t responses_while_stopping_ = 0;
};

} // namespace citronwick

#endif
