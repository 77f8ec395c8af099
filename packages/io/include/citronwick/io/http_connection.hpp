#ifndef CITRONWICK_IO_HTTP_CONNECTION_HPP_INCLUDED
#define CITRONWICK_IO_HTTP_CONNECTION_HPP_INCLUDED

#include "citronwick/io/task.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>

namespace citronwick {

namespace http = boost::beast::http;

using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;

/// Bytes that a connection moved, with an estimate of the TCP/IP headers.
struct byte_count {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

/// One HTTP/1.1 connection for small exchanges with a platform service.
///
/// After any failed or timed-out exchange the connection is closed, so that a
/// late answer can never be taken for that of a later request.
class http_connection {
public:
    /// @param body_limit largest accepted response body in bytes
    http_connection(const asio::any_io_executor& executor, endpoint peer, std::uint64_t body_limit);

    /// Connects unless connected.
    task<io_result<void>> connect(std::chrono::milliseconds timeout);

    /// Sends a request and reads its whole response, connecting first if needed.
    /// A long response may take longer on a slow link than the timeout.
    /// @param timeout longest time without progress
    task<io_result<http_response>> exchange(http_request request, std::chrono::milliseconds timeout);

    /// Sends a request; the response is read piecewise from `stream()`.
    task<io_result<void>> send(http_request request, std::chrono::milliseconds timeout);

    void close();
    const endpoint& peer() const { return peer_; }
    boost::beast::tcp_stream& stream() { return stream_; }
    boost::beast::flat_buffer& buffer() { return buffer_; }

    /// Bytes moved since the last call.
    byte_count take_byte_count();

private:
    failure failed(std::string step, const std::string& detail, bool may_have_taken_effect);

    endpoint peer_;
    std::uint64_t body_limit_;
    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    byte_count count_;
    bool open_ = false;
};

} // namespace citronwick

#endif
