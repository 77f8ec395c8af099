#ifndef CITRONWICK_IO_HTTP_CONNECTION_HPP_INCLUDED
#define CITRONWICK_IO_HTTP_CONNECTION_HPP_INCLUDED

#include "citronwick/core/time.hpp"
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

/// Largest read buffer of a connection, and with it the longest trailer of a chunked body.
/// The HTTP library stores lengths of fields in 16 bits and throws on longer ones.
inline constexpr std::size_t max_read_buffer_bytes = 65'000;

/// Bytes sent and received by a connection, including an estimate of the TCP/IP headers.
struct byte_count {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

/// Client connection for small HTTP/1.1 exchanges, such as calls of a platform service.
///
/// The connection is closed after any failed or timed-out exchange, so that a
/// late response can never be taken for the response to a later request.
class http_connection {
public:
    /// @param max_body_bytes largest accepted response body
    http_connection(const asio::any_io_executor& executor, endpoint peer, std::uint64_t max_body_bytes);

    /// Connects, unless the connection is open already and has no unread input. Such input belongs to
    /// no call, or the peer has closed the connection.
    task<io_result<void>> connect(std::chrono::milliseconds timeout);

    /// Sends a request and reads the complete response, connecting first if needed.
    /// @param timeout longest time without progress; a long response on a slow link may take longer in all
    task<io_result<http_response>> exchange(http_request request, std::chrono::milliseconds timeout);

    /// Sends a request, connecting first if needed. The caller reads the response from `stream()`.
    task<io_result<void>> send(http_request request, std::chrono::milliseconds timeout);

    /// Whether the connection is open and its last response came so recently that the
    /// peer can be expected to answer on it. A connection that has been idle for longer
    /// may have gone silent, which the next call would only notice by its timeout.
    bool is_reusable(time_point now) const;

    void close();
    const endpoint& peer() const { return peer_; }
    boost::beast::tcp_stream& stream() { return stream_; }
    boost::beast::flat_buffer& buffer() { return buffer_; }

    /// Bytes moved since the last call.
    byte_count take_byte_count();

private:
    bool has_unread_input();

    /// Closes the connection and returns the failure to report.
    failure close_with_failure(std::string step, const std::string& detail, bool may_have_taken_effect);

    endpoint peer_;
    std::uint64_t max_body_bytes_;
    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    byte_count bytes_;
    bool connected_ = false;
    time_point answered_at_; ///< when the last response was complete
};

} // namespace citronwick

#endif
