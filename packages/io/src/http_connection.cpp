#include "citronwick/io/http_connection.hpp"

#include <array>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace citronwick {

namespace {

/// IPv4 and TCP headers of one packet, without options.
constexpr std::uint64_t packet_header_bytes = 40;
/// Covers calls that follow on each other, such as the pages of a listing.
constexpr std::chrono::milliseconds max_idle_time{500};

} // namespace

http_connection::http_connection(const asio::any_io_executor& executor, endpoint peer,
                                 std::uint64_t max_body_bytes)
    : peer_{std::move(peer)}, max_body_bytes_{max_body_bytes}, stream_{executor},
      buffer_{max_read_buffer_bytes} {}

failure http_connection::close_with_failure(std::string step, const std::string& detail,
                                            bool may_have_taken_effect) {
    close();
    return {std::move(step), to_text(peer_), detail, may_have_taken_effect};
}

bool http_connection::is_reusable(time_point now) const {
    return connected_ && now - answered_at_ < max_idle_time;
}

void http_connection::close() {
    connected_ = false;
    buffer_.clear();
    stream_.close();
}

byte_count http_connection::take_byte_count() {
    return std::exchange(bytes_, {});
}

bool http_connection::has_unread_input() {
    std::array<char, 1> byte{};
    boost::system::error_code error;
    stream_.socket().non_blocking(true, error);
    stream_.socket().receive(asio::buffer(byte), asio::socket_base::message_peek, error);
    return buffer_.size() > 0 || error != asio::error::would_block;
}

task<io_result<void>> http_connection::connect(std::chrono::milliseconds timeout) {
    if (connected_ && has_unread_input()) {
        close();
    }
    if (connected_) {
        co_return io_result<void>{};
    }
    const auto address = to_tcp(peer_);
    open_outbound(stream_.socket(), address);
    stream_.expires_after(timeout);
    auto [error] = co_await stream_.async_connect(address, use_tuple);
    bytes_.sent += 2 * packet_header_bytes;
    bytes_.received += packet_header_bytes;
    if (error) {
        co_return close_with_failure("connect", error.message(), false);
    }
    boost::system::error_code ignored;
    stream_.socket().set_option(asio::ip::tcp::no_delay{true}, ignored);
    connected_ = true;
    co_return io_result<void>{};
}

task<io_result<void>> http_connection::send(http_request request, std::chrono::milliseconds timeout) {
    auto connected = co_await connect(timeout);
    if (connected.has_error()) {
        co_return connected.error();
    }
    request.set(http::field::host, to_text(peer_));
    request.prepare_payload();
    stream_.expires_after(timeout);
    auto [error, written] = co_await http::async_write(stream_, request, use_tuple);
    bytes_.sent += written + packet_header_bytes;
    if (error) {
        co_return close_with_failure("send request", error.message(), true);
    }
    co_return io_result<void>{};
}

task<io_result<http_response>> http_connection::exchange(http_request request,
                                                         std::chrono::milliseconds timeout) {
    auto sent = co_await send(std::move(request), timeout);
    if (sent.has_error()) {
        co_return sent.error();
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_body_bytes_);
    bytes_.sent += packet_header_bytes;
    while (!parser.is_done()) {
        stream_.expires_after(timeout);
        auto [error, read] = co_await http::async_read_some(stream_, buffer_, parser, use_tuple);
        bytes_.received += read + packet_header_bytes;
        if (error) {
            co_return close_with_failure("read response", error.message(), true);
        }
    }
    stream_.expires_never();
    answered_at_ = clock::now();
    if (!parser.get().keep_alive()) {
        close();
    }
    co_return parser.release();
}

} // namespace citronwick
