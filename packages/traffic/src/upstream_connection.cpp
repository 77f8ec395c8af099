#include "citronwick/traffic/upstream_connection.hpp"

#include "citronwick/policy/dead_peer_timing.hpp"
#include "citronwick/traffic/tunnel_opener.hpp"
#include "crash_probe.hpp"
#include "dead_peer_detection.hpp"

#include <algorithm>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace citronwick {

using namespace std::chrono_literals;

namespace {

/// Responses below this status are interim ones, which have no body and precede the response.
constexpr unsigned first_final_status = 200;
/// Statuses outside of these are none (RFC 9110, section 15).
constexpr unsigned first_status = 100;
constexpr unsigned last_status = 599;
constexpr std::size_t chunk_bytes = 16'384;
/// Largest body that is buffered, whatever its length field states.
constexpr std::size_t max_buffered_bytes = 16'777'216;

/// Largest body that fits into the receive window of an upstream that does not read at the moment.
constexpr std::size_t max_unread_body = 16'384;
/// Time for a request to be written whose response has already ended with the sending direction of
/// its connection.
constexpr std::chrono::milliseconds max_unsent_time = longest_sound_silence;
/// Refused requests that one connection remembers. It is closed then.
constexpr std::size_t max_refused_requests = 64;

/// Whether a socket could not be opened for lack of resources, which says nothing of the peer.
bool is_local_shortage(const boost::system::error_code& error) {
    namespace errc = boost::system::errc;
    return error == errc::too_many_files_open || error == errc::too_many_files_open_in_system ||
           error == errc::no_buffer_space || error == errc::not_enough_memory;
}

} // namespace

upstream_connection::upstream_connection(const asio::any_io_executor& executor, endpoint peer,
                                         tunnel_opener* tunnels)
    : peer_{std::move(peer)}, tunnels_{tunnels},
      stream_{std::make_shared<boost::beast::tcp_stream>(executor)}, buffer_{max_read_buffer_bytes} {}

failure upstream_connection::close_with_failure(std::string step, const boost::system::error_code& error,
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
        co_return close_with_failure(is_local_shortage(error) ? open_step : connect_step, error, false);
    }
    through_.reset();
    set_connected();
    co_return io_result<void>{};
}

task<io_result<void>> upstream_connection::connect_through_peer(std::uint64_t request,
                                                                std::chrono::milliseconds timeout) {
    if (tunnels_ == nullptr) {
        co_return failure{tunnel_opener::no_peer_step, to_text(peer_), "there are no other routers"};
    }
    endpoint upstream = peer_;
    auto opened = co_await tunnels_->open(std::move(upstream), request, timeout);
    if (opened.has_error()) {
        co_return opened.error();
    }
    stream_ = std::move(opened->stream);
    through_ = std::move(opened->through);
    set_connected();
    co_return io_result<void>{};
}

void upstream_connection::set_connected() {
    boost::system::error_code ignored;
    stream_->socket().set_option(asio::ip::tcp::no_delay{true}, ignored);
    enable_dead_peer_detection(stream_->socket(), upstream_dead_peer_timing);
    limits_ack_time_ = true;
    open_ = true;
}

/// The acknowledgement timeout also ends connections whose peer is alive and keeps its receive
/// window closed. While a long body is sent, the timeouts of the request bound the wait instead.
void upstream_connection::adapt_ack_timeout(std::size_t body_bytes) {
    const bool limits_ack_time = body_bytes <= max_unread_body;
    if (limits_ack_time != limits_ack_time_) {
        limits_ack_time_ = limits_ack_time;
        set_ack_timeout(stream_->socket(), limits_ack_time ? upstream_dead_peer_timing.ack_timeout : 0ms);
    }
}

void upstream_connection::start_send(http::request_header<> header, std::shared_ptr<const std::string> body,
                                     std::chrono::milliseconds timeout) {
    is_head_request_ = header.method() == http::verb::head;
    has_carried_head_ = has_carried_head_ || is_head_request_;
    adapt_ack_timeout(body->size());
    http::request<http::span_body<const char>> request{std::move(header)};
    request.body() = {body->data(), body->size()};
    request.prepare_payload();
    asio::steady_timer end{stream_->get_executor(), time_point::max()};
    pending_send_ =
        std::make_shared<pending_send>(std::move(request), std::move(body), stream_, std::move(end));
    stream_->expires_after(timeout);
    http::async_write(*stream_, pending_send_->request,
                      [sent = pending_send_](const boost::system::error_code& error, std::size_t) {
                          sent->result = error;
                          sent->end.cancel();
                      });
}

/// Waits for the end of the write. The kernel reports the error of a connection once, and to a write
/// that is under way before a read, which then finds the same end as behind an orderly close.
task<boost::system::error_code> upstream_connection::wait_until_sent(std::chrono::milliseconds timeout) {
    const auto sent = pending_send_;
    if (sent && !sent->result) {
        sent->end.expires_after(timeout);
        co_await sent->end.async_wait(use_tuple);
    }
    co_return sent ? sent->result.value_or(asio::error::timed_out) : boost::system::error_code{};
}

task<io_result<void>> upstream_connection::send(http_request request, std::chrono::milliseconds timeout) {
    is_head_request_ = request.method() == http::verb::head;
    has_carried_head_ = has_carried_head_ || is_head_request_;
    request.set(http::field::host, to_text(peer_));
    request.prepare_payload();
    adapt_ack_timeout(request.body().size());
    stream_->expires_after(timeout);
    auto [error, size] = co_await http::async_write(*stream_, request, use_tuple);
    if (error) {
        co_return close_with_failure("send request", error, true);
    }
    co_return io_result<void>{};
}

task<io_result<void>> upstream_connection::read_header(std::optional<std::uint64_t> max_body_bytes,
                                                       std::chrono::milliseconds timeout) {
    const auto deadline = clock::now() + timeout;
    stream_->expires_after(timeout);
    while (true) {
        parser_.emplace();
        parser_->skip(is_head_request_);
        if (max_body_bytes) {
            parser_->body_limit(*max_body_bytes);
        } else {
            parser_->body_limit(boost::none);
        }
        auto [error, size] = co_await http::async_read_header(*stream_, buffer_, *parser_, use_tuple);
        if (!error && (status() < first_status || status() > last_status)) {
            error = http::error::bad_status;
        }
        if (!error && status() < first_final_status && clock::now() >= deadline) {
            error = boost::beast::error::timeout;
        }
        if (error) {
            co_return close_with_failure("read response header", error, true);
        }
        if (status() >= first_final_status) {
            co_return io_result<void>{};
        }
    }
}

task<io_result<std::string>> upstream_connection::read_some(std::chrono::milliseconds idle_timeout) {
    std::string chunk(chunk_bytes, '\0');
    while (!parser_->is_done()) {
        parser_->get().body().data = chunk.data();
        parser_->get().body().size = chunk.size();
        stream_->expires_after(idle_timeout);
        auto [error, size] = co_await http::async_read_some(*stream_, buffer_, *parser_, use_tuple);
        if (error && error != http::error::need_buffer) {
            co_return close_with_failure("read response body", error, true);
        }
        const std::size_t filled = chunk.size() - parser_->get().body().size;
        if (filled > 0) {
            chunk.resize(filled);
            co_return chunk;
        }
    }
    if (!is_framed()) {
        const auto error = co_await wait_until_sent(std::min(idle_timeout, max_unsent_time));
        if (error) {
            co_return close_with_failure("send request", error, true);
        }
    }
    was_used_ = true;
    stream_->expires_never();
    co_return std::string{};
}

task<io_result<std::string>> upstream_connection::read_all(std::chrono::milliseconds idle_timeout,
                                                           time_point deadline, size_check may_buffer) {
    std::string body;
    while (true) {
        if (body.size() > max_buffered_bytes) {
            co_return close_with_failure("read response body", http::error::body_limit, true);
        }
        if (clock::now() >= deadline) {
            co_return close_with_failure("read response body", asio::error::timed_out, true);
        }
        auto chunk = co_await read_some(idle_timeout);
        if (chunk.has_error()) {
            co_return chunk.error();
        }
        if (chunk->empty()) {
            co_return body;
        }
        body += *chunk;
        if (may_buffer && !may_buffer(body.capacity())) {
            co_return close_with_failure(buffer_step, asio::error::no_memory, true);
        }
    }
}

task<io_result<std::string>> upstream_connection::read_complete(std::chrono::milliseconds idle_timeout,
                                                                time_point deadline, size_check may_buffer) {
    auto body = co_await read_all(idle_timeout, deadline, std::move(may_buffer));
    if (body.has_error() || is_framed()) {
        co_return body;
    }
    const auto time_left = std::chrono::ceil<std::chrono::milliseconds>(deadline - clock::now());
    const auto timeout = std::min(std::max(time_left, 1ms), idle_timeout);
    endpoint peer = peer_;
    auto through = through_;
    const bool lives_on =
        co_await crash_probe::lives_on(std::move(peer), timeout, tunnels_, std::move(through));
    if (!lives_on) {
        close();
        co_return failure{"read response body", to_text(peer_),
                          "the connection was closed, and it accepts no other one", true};
    }
    co_return body;
}

void upstream_connection::record_refusal(std::uint64_t request) {
    refused_requests_.push_back(request);
}

bool upstream_connection::may_carry(std::uint64_t request) const {
    return std::ranges::find(refused_requests_, request) == refused_requests_.end();
}

bool upstream_connection::reusable() const {
    return open_ && is_sent() && parser_ && parser_->is_done() && parser_->keep_alive() &&
           buffer_.size() == 0 && !brought_unidentified_response_ &&
           refused_requests_.size() < max_refused_requests;
}

bool upstream_connection::is_idle() {
    std::array<char, 1> byte{};
    boost::system::error_code error;
    stream_->socket().non_blocking(true, error);
    stream_->socket().receive(asio::buffer(byte), asio::socket_base::message_peek, error);
    return error == asio::error::would_block;
}

} // namespace citronwick
