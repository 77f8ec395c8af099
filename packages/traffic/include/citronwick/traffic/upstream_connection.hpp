#ifndef CITRONWICK_TRAFFIC_UPSTREAM_CONNECTION_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_UPSTREAM_CONNECTION_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/fleet/fleet_directory.hpp"
#include "citronwick/io/http_connection.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/span_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace citronwick {

class tunnel_opener;

/// HTTP/1.1 connection to an upstream that carries one request at a time.
///
/// Any error or timeout closes it permanently, so that a late response can never
/// be taken for the response to another request.
class upstream_connection {
public:
    /// @param tunnels way to the upstream through other routers, if there may be one
    upstream_connection(const asio::any_io_executor& executor, endpoint peer,
                        tunnel_opener* tunnels = nullptr);

    /// Step of a failure to connect that is due to a lack of descriptors or memory on this VM.
    static constexpr const char* open_step = "open socket";
    /// Step of other failures to connect directly.
    static constexpr const char* connect_step = "connect";

    /// A failure to connect guarantees that no byte of a request was sent.
    task<io_result<void>> connect(std::chrono::milliseconds timeout);

    /// Connects through another router. Same guarantee.
    /// @param request hash by which requests are spread over the routers
    task<io_result<void>> connect_through_peer(std::uint64_t request, std::chrono::milliseconds timeout);

    /// The router that relays the connection, if it is not direct.
    const std::optional<fleet_peer>& through() const { return through_; }

    /// Starts sending a request without waiting for completion. The response may be
    /// read concurrently, since an upstream may respond before it has read a long
    /// body.
    void start_send(http::request_header<> header, std::shared_ptr<const std::string> body,
                    std::chrono::milliseconds timeout);

    /// Whether the last request has been written completely.
    bool is_sent() const { return !pending_send_ || pending_send_->result == boost::system::error_code{}; }

    /// Sends a complete request, with the upstream's address as its Host field.
    task<io_result<void>> send(http_request request, std::chrono::milliseconds timeout);

    /// Reads the status line and header of the response, behind any interim ones (1xx).
    /// @param max_body_bytes size limit of the response body, none for streams
    task<io_result<void>> read_header(std::optional<std::uint64_t> max_body_bytes,
                                      std::chrono::milliseconds timeout);

    /// Header of the response being read.
    const http::response_header<>& header() const { return parser_->get(); }
    /// Status code, which the HTTP library need not have a name for.
    unsigned status() const { return parser_->get().result_int(); }
    std::string_view reason() const { return parser_->get().reason(); }

    /// Whether the response has a length or chunks, so that its framing shows whether it is
    /// whole. Otherwise it ends with its connection.
    bool is_framed() const { return !parser_->need_eof(); }

    /// Reads the next chunk of the body; empty at its end. The end of the connection is the end of a
    /// body without length or chunks only if no operation on the connection fails.
    task<io_result<std::string>> read_some(std::chrono::milliseconds idle_timeout);

    /// Decides whether a body that takes a number of bytes may be kept.
    using size_check = std::function<bool(std::size_t)>;
    /// Step of the failure to buffer a body.
    static constexpr const char* buffer_step = "buffer response body";

    /// Reads the rest of the body, up to the largest size that is buffered.
    /// @param deadline time by which it must be complete
    /// @param may_buffer asked whenever the body has grown, empty for no further limit
    task<io_result<std::string>> read_all(std::chrono::milliseconds idle_timeout,
                                          time_point deadline = time_point::max(),
                                          size_check may_buffer = {});

    /// Reads the rest of a body that is passed on as complete. Without a length or chunks, it is
    /// complete only if the upstream's process outlives the connection, as the kernel closes the
    /// connections of a process that ends in the same way.
    task<io_result<std::string>> read_complete(std::chrono::milliseconds idle_timeout,
                                               time_point deadline = time_point::max(),
                                               size_check may_buffer = {});

    /// Records that the upstream refused or failed a request, which may be sent again. A copy of that
    /// response, with the identifier of the request, may arrive wherever a response is due.
    /// @param request hash of its identifier
    void record_refusal(std::uint64_t request);

    /// Records a response without an identifier. Its copy could not be told from the response to
    /// any other request, so the connection carries none.
    void record_unidentified_response() { brought_unidentified_response_ = true; }

    /// Whether no response to a request with this identifier may still arrive from before.
    /// @param request hash of the identifier
    bool may_carry(std::uint64_t request) const;

    /// Whether a HEAD request was sent. Its response has no body whatever its length field states, so
    /// it is not known where a response to another request than the one under way ends.
    bool has_carried_head() const { return has_carried_head_; }

    /// Whether the response was read to its end, the connection stays open, and the responses to
    /// other requests can be told from what may still arrive.
    bool reusable() const;

    /// Whether the connection is still open and has no unread input.
    bool is_idle();

    void close();
    bool is_open() const { return open_; }
    const endpoint& peer() const { return peer_; }
    bool was_used() const { return was_used_; }

private:
    /// A request that is being written. Kept alive by the write operation until it
    /// completes or the connection is closed.
    struct pending_send {
        http::request<http::span_body<const char>> request;
        std::shared_ptr<const std::string> body;
        std::shared_ptr<boost::beast::tcp_stream> stream;
        boost::asio::steady_timer end; ///< expires at the latest when the write ends
        std::optional<boost::system::error_code> result{};
    };

    void adapt_ack_timeout(std::size_t body_bytes);
    void set_connected();
    task<boost::system::error_code> wait_until_sent(std::chrono::milliseconds timeout);
    failure close_with_failure(std::string step, const boost::system::error_code& error,
                               bool may_have_taken_effect);

    endpoint peer_;
    tunnel_opener* tunnels_;
    std::optional<fleet_peer> through_;
    std::shared_ptr<boost::beast::tcp_stream> stream_;
    std::shared_ptr<pending_send> pending_send_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::response_parser<http::buffer_body>> parser_;
    bool open_ = false;
    bool limits_ack_time_ = true; ///< whether unacknowledged data breaks the connection early
    bool was_used_ = false;
    bool is_head_request_ = false; ///< a response to HEAD has no body
    bool has_carried_head_ = false;
    std::vector<std::uint64_t> refused_requests_; ///< hashes of their identifiers
    bool brought_unidentified_response_ = false;
};

} // namespace citronwick

#endif
