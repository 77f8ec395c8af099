#ifndef CITRONWICK_TRAFFIC_UPSTREAM_CONNECTION_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_UPSTREAM_CONNECTION_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/io/http_connection.hpp"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <string>

namespace citronwick {

/// One connection to an upstream, for one request after another.
///
/// Any error or timeout closes it for good: what arrives late on it can never
/// be read as the answer to another request.
class upstream_connection {
public:
    upstream_connection(const asio::any_io_executor& executor, endpoint peer);

    /// A failure to connect proves that no byte of a request left.
    task<io_result<void>> connect(std::chrono::milliseconds timeout);

    /// Starts to send a request; its answer may be read meanwhile. An upstream
    /// may answer before it has read a long body.
    void start_send(http_request request, std::chrono::milliseconds timeout);

    /// Whether all bytes of the last request have left.
    bool is_sent() const { return !sending_ || sending_->is_done; }

    /// Sends a request whole.
    task<io_result<void>> send(http_request request, std::chrono::milliseconds timeout);

    /// Reads the response's status line and header.
    /// @param answer_limit largest body in bytes, none for streams
    task<io_result<void>> read_header(std::optional<std::uint64_t> answer_limit,
                                      std::chrono::milliseconds timeout);

    /// Header of the response being read.
    const http::response_header<>& header() const { return parser_->get(); }
    unsigned status() const { return parser_->get().result_int(); }

    /// Reads the next piece of the body; empty at its end.
    task<io_result<std::string>> read_some(std::chrono::milliseconds idle_timeout);

    /// Reads the rest of the body.
    task<io_result<std::string>> read_all(std::chrono::milliseconds idle_timeout);

    /// Whether the response ended where its framing says, on a connection that stays open.
    bool reusable() const;

    /// Whether an idle connection is still open and silent.
    bool is_quiet();

    void close();
    bool is_open() const { return open_; }
    const endpoint& peer() const { return peer_; }
    bool was_used() const { return was_used_; }

private:
    /// A request that is being sent; lives until the last byte has left or the
    /// connection is closed.
    struct sending {
        http_request request;
        std::shared_ptr<boost::beast::tcp_stream> stream;
        bool is_done = false;
    };

    failure failed(std::string step, const boost::system::error_code& error, bool may_have_taken_effect);

    endpoint peer_;
    std::shared_ptr<boost::beast::tcp_stream> stream_;
    std::shared_ptr<sending> sending_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::response_parser<http::buffer_body>> parser_;
    bool open_ = false;
    bool was_used_ = false;
    bool head_only_ = false; ///< the answer to HEAD has no body
};

} // namespace citronwick

#endif
