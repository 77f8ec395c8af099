#include "citronwick/traffic/upstream_connection.hpp"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <netinet/tcp.h>

namespace citronwick {

namespace {

constexpr std::size_t piece_bytes = 16'384;

/// Time without an acknowledgement after which a connection counts as broken.
constexpr std::chrono::milliseconds silence_limit{1'500};
/// Probes of a connection that is silent in both directions.
constexpr std::chrono::seconds probe_after{2};
constexpr std::chrono::seconds probe_interval{1};
constexpr int probes = 2;

/// Makes the system notice that the other end is unreachable: without this, a
/// connection to a VM that lost power stays open for minutes.
void watch_for_silence(boost::asio::ip::tcp::socket& socket) {
    namespace level = boost::asio::detail::socket_option;
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::keep_alive{true}, ignored);
    socket.set_option(level::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>{static_cast<int>(silence_limit.count())},
                      ignored);
    socket.set_option(level::integer<IPPROTO_TCP, TCP_KEEPIDLE>{static_cast<int>(probe_after.count())},
                      ignored);
    socket.set_option(level::integer<IPPROTO_TCP, TCP_KEEPINTVL>{static_cast<int>(probe_interval.count())},
                      ignored);
    socket.set_option(level::integer<IPPROTO_TCP, TCP_KEEPCNT>{probes}, ignored);
}

} // namespace

upstream_connection::upstream_connection(const asio::any_io_executor& executor, endpoint peer)
    : peer_{std::move(peer)}, stream_{std::make_shared<boost::beast::tcp_stream>(executor)} {}

failure upstream_connection::failed(std::string step, const boost::system::error_code& error,
                                    bool may_have_taken_effect) {
    close();
    return {std::move(step), to_text(peer_), error.message(), may_have_taken_effect};
}

void upstream_connection::close() {
    open_ = false;
    stream_->close();
}

task<io_result<void>> upstream_connection::connect(std::chrono::milliseconds timeout) {
    if (open_) {
        co_return io_result<void>{};
    }
    const auto address = to_tcp(peer_);
    open_outbound(stream_->socket(), address);
    stream_->expires_after(timeout);
    auto [error] = co_await stream_->async_connect(address, use_tuple);
    if (error) {
        co_return failed("connect", error, false);
    }
    boost::system::error_code ignored;
    stream_->socket().set_option(asio::ip::tcp::no_delay{true}, ignored);
    watch_for_silence(stream_->socket());
    open_ = true;
    co_return io_result<void>{};
}

void upstream_connection::start_send(http_request request, std::chrono::milliseconds timeout) {
    head_only_ = request.method() == http::verb::head;
    request.prepare_payload();
    sending_ = std::make_shared<sending>(std::move(request), stream_);
    stream_->expires_after(timeout);
    http::async_write(
        *stream_, sending_->request,
        [sent = sending_](const boost::system::error_code& error, std::size_t) { sent->is_done = !error; });
}

task<io_result<void>> upstream_connection::send(http_request request, std::chrono::milliseconds timeout) {
    head_only_ = request.method() == http::verb::head;
    request.set(http::field::host, to_text(peer_));
    request.prepare_payload();
    stream_->expires_after(timeout);
    auto [error, size] = co_await http::async_write(*stream_, request, use_tuple);
    if (error) {
        co_return failed("send request", error, true);
    }
    co_return io_result<void>{};
}

task<io_result<void>> upstream_connection::read_header(std::optional<std::uint64_t> answer_limit,
                                                       std::chrono::milliseconds timeout) {
    parser_.emplace();
    parser_->skip(head_only_);
    if (answer_limit) {
        parser_->body_limit(*answer_limit);
    } else {
        parser_->body_limit(boost::none);
    }
    stream_->expires_after(timeout);
    auto [error, size] = co_await http::async_read_header(*stream_, buffer_, *parser_, use_tuple);
    if (error) {
        co_return failed("read response header", error, true);
    }
    co_return io_result<void>{};
}

task<io_result<std::string>> upstream_connection::read_some(std::chrono::milliseconds idle_timeout) {
    std::string piece(piece_bytes, '\0');
    while (!parser_->is_done()) {
        parser_->get().body().data = piece.data();
        parser_->get().body().size = piece.size();
        stream_->expires_after(idle_timeout);
        auto [error, size] = co_await http::async_read_some(*stream_, buffer_, *parser_, use_tuple);
        if (error && error != http::error::need_buffer) {
            co_return failed("read response body", error, true);
        }
        const std::size_t filled = piece.size() - parser_->get().body().size;
        if (filled > 0) {
            piece.resize(filled);
            co_return piece;
        }
    }
    was_used_ = true;
    stream_->expires_never();
    co_return std::string{};
}

task<io_result<std::string>> upstream_connection::read_all(std::chrono::milliseconds idle_timeout) {
    std::string body;
    while (true) {
        auto piece = co_await read_some(idle_timeout);
        if (piece.has_error()) {
            co_return piece.error();
        }
        if (piece->empty()) {
            co_return body;
        }
        body += *piece;
    }
}

bool upstream_connection::reusable() const {
    return open_ && is_sent() && parser_ && parser_->is_done() && parser_->keep_alive() &&
           buffer_.size() == 0;
}

bool upstream_connection::is_quiet() {
    std::array<char, 1> byte{};
    boost::system::error_code error;
    stream_->socket().non_blocking(true, error);
    stream_->socket().receive(asio::buffer(byte), asio::socket_base::message_peek, error);
    return error == asio::error::would_block;
}

} // namespace citronwick
