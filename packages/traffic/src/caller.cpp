#include "citronwick/traffic/caller.hpp"

#include "citronwick/traffic/caller_connection.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/write.hpp>

namespace citronwick {

namespace {

/// Input of later requests that is received while a request is served.
constexpr std::size_t max_input_bytes = 16'384;

constexpr const char* request_id_header = "Citronwick-Request";
constexpr const char* outcome_header = "Citronwick-Outcome";

/// Formats a duration as seconds, with a fraction if it is not a whole number.
std::string retry_after_text(std::chrono::milliseconds value) {
    const auto whole = std::chrono::duration_cast<std::chrono::seconds>(value);
    if (whole == value) {
        return std::to_string(whole.count());
    }
    std::string fraction = std::to_string((value - whole).count());
    return std::to_string(whole.count()) + "." + std::string(3 - fraction.size(), '0') + fraction;
}

} // namespace

caller::caller(caller_connection& connection, std::string request_id, bool keep_alive,
               std::chrono::milliseconds write_timeout, time_point arrived)
    : connection_{connection}, stream_{connection.stream()}, request_id_{std::move(request_id)},
      keep_alive_{keep_alive}, write_timeout_{write_timeout}, arrived_{arrived},
      watch_{std::make_shared<disconnect_watch>()} {}

caller::~caller() {
    watch_->notify = nullptr;
    watch_->detached = true;
    if (watch_->active) {
        boost::system::error_code ignored;
        stream_.socket().cancel(ignored);
    }
}

void caller::begin_response() {
    response_started_ = true;
    keep_alive_ = keep_alive_ && !connection_.ends_after_response();
}

bool caller::record_write(const boost::system::error_code& error, std::size_t bytes) {
    bytes_written_ += bytes;
    if (error) {
        keep_alive_ = false;
        write_error_ = error;
    }
    return !error;
}

/// Records the write after which the response is complete.
bool caller::record_last_write(const boost::system::error_code& error, std::size_t bytes) {
    response_complete_ = record_write(error, bytes);
    return response_complete_;
}

/// Writes a whole response. The timeout holds for each part that the kernel takes, so that a caller
/// may read a long response slowly, but not stop reading.
task<bool> caller::write(http_response& response) {
    http::response_serializer<http::string_body> serializer{response};
    serializer.split(!has_body_);
    bool is_written = true;
    while (is_written && !(has_body_ ? serializer.is_done() : serializer.is_header_done())) {
        stream_.expires_after(write_timeout_);
        auto [error, size] = co_await http::async_write_some(stream_, serializer, use_tuple);
        is_written = record_write(error, size);
    }
    response_complete_ = is_written;
    co_return is_written;
}

task<bool> caller::respond(complete_response content) {
    begin_response();
    http_response response;
    response.version(11);
    response.result(content.status);
    response.set(request_id_header, request_id_);
    response.set(outcome_header, to_text(content.result));
    response.set(http::field::content_type, content.content_type);
    for (const auto& [name, value] : content.headers) {
        response.set(name, value);
    }
    response.keep_alive(keep_alive_);
    response.body() = std::move(content.body);
    response.prepare_payload();
    co_return co_await write(response);
}

task<bool> caller::refuse(problem refusal) {
    complete_response response{.status = refusal.status,
                               .content_type = "application/problem+json",
                               .body = to_json(refusal, request_id_),
                               .result = refusal.result};
    if (refusal.retry_after) {
        response.headers.emplace_back("Retry-After", retry_after_text(*refusal.retry_after));
    }
    co_return co_await respond(std::move(response));
}

task<bool> caller::write_header(http::response_header<> head) {
    begin_response();
    http::response<http::empty_body> response{std::move(head)};
    response.keep_alive(keep_alive_);
    response.chunked(true);
    http::response_serializer<http::empty_body> serializer{response};
    stream_.expires_after(write_timeout_);
    auto [error, size] = co_await http::async_write_header(stream_, serializer, use_tuple);
    co_return has_body_ ? record_write(error, size) : record_last_write(error, size);
}

task<bool> caller::begin_stream(header_fields headers) {
    http::response_header<> head;
    head.version(11);
    head.result(http::status::ok);
    head.set(request_id_header, request_id_);
    head.set(http::field::content_type, "text/event-stream");
    head.set(http::field::cache_control, "no-cache");
    head.set(http::field::trailer, outcome_header);
    for (const auto& [name, value] : headers) {
        head.set(name, value);
    }
    co_return co_await write_header(std::move(head));
}

task<bool> caller::relay(http_response response) {
    begin_response();
    response.version(11);
    response.keep_alive(keep_alive_);
    if (has_body_) {
        response.prepare_payload();
    }
    co_return co_await write(response);
}

task<bool> caller::begin_relay(http_response head) {
    co_return co_await write_header(std::move(head.base()));
}

task<bool> caller::end_relay() {
    if (!has_body_) {
        co_return response_complete_;
    }
    const auto last = http::make_chunk_last();
    stream_.expires_after(write_timeout_);
    auto [error, size] = co_await asio::async_write(stream_, last, use_tuple);
    co_return record_last_write(error, size);
}

task<bool> caller::write_events(std::string events) {
    if (!has_body_) {
        co_return response_complete_;
    }
    const auto chunk = http::make_chunk(asio::buffer(events));
    stream_.expires_after(write_timeout_);
    auto [error, size] = co_await asio::async_write(stream_, chunk, use_tuple);
    co_return record_write(error, size);
}

task<bool> caller::end_stream(outcome result) {
    if (!has_body_) {
        co_return response_complete_;
    }
    http::fields trailer;
    trailer.set(outcome_header, to_text(result));
    const auto last = http::make_chunk_last(trailer);
    stream_.expires_after(write_timeout_);
    auto [error, size] = co_await asio::async_write(stream_, last, use_tuple);
    co_return record_last_write(error, size);
}

void caller::on_disconnect(std::function<void()> function) {
    watch_->notify = std::move(function);
    if (watch_->disconnected && watch_->notify) {
        std::exchange(watch_->notify, nullptr)();
    } else if (!watch_->active && watch_->notify) {
        watch(watch_, connection_);
    }
}

/// Waits for input. What arrives while a request is served belongs to the next one and is kept,
/// since a disconnect shows only after it.
void caller::watch(const std::shared_ptr<disconnect_watch>& state, caller_connection& connection) {
    state->active = true;
    connection.stream().socket().async_wait(
        asio::socket_base::wait_read, [state, &connection](const boost::system::error_code& error) {
            state->active = false;
            if (error || state->detached) {
                return;
            }
            const auto read_error = connection.receive_input();
            const bool closed = read_error && read_error != asio::error::would_block;
            state->disconnected = state->disconnected || closed;
            if (closed && state->notify) {
                std::exchange(state->notify, nullptr)();
            } else if (!closed && connection.input().size() < max_input_bytes) {
                watch(state, connection);
            }
        });
}

} // namespace citronwick
