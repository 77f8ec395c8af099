#ifndef CITRONWICK_TRAFFIC_CALLER_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_CALLER_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/io/http_connection.hpp"
#include "citronwick/traffic/problem.hpp"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace citronwick {

class caller_connection;

/// Header fields added to a response.
using header_fields = std::vector<std::pair<std::string, std::string>>;

/// Response that is sent with its complete body.
struct complete_response {
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
    outcome result = outcome::complete;
    header_fields headers{};
};

/// The caller of one request: holds the request identifier and writes the response.
///
/// Exactly one of `respond`, `refuse`, `begin_stream`, `relay` and `begin_relay` is
/// called for a request. Every write has a deadline, so a slow caller occupies a
/// bounded buffer for a bounded time.
class caller {
public:
    /// @param keep_alive whether the connection may serve another request
    /// @param arrived when the request's header was read
    caller(caller_connection& connection, std::string request_id, bool keep_alive,
           std::chrono::milliseconds write_timeout, time_point arrived);
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;
    ~caller();

    const std::string& request_id() const { return request_id_; }

    /// Replaces the generated request identifier by the one that the caller sent.
    void set_request_id(std::string id) { request_id_ = std::move(id); }

    time_point arrived() const { return arrived_; }

    /// Whether the connection may serve another request. Final once a response has begun.
    bool keep_alive() const { return keep_alive_; }

    /// Makes the connection close after the response.
    void close_after_response() { keep_alive_ = false; }

    /// Makes the response end after its header, as that to a HEAD request does.
    void leave_out_body() { has_body_ = false; }

    /// Whether writing of a response has begun.
    bool response_started() const { return response_started_; }

    /// Whether the response was written to its end.
    bool response_complete() const { return response_complete_; }

    /// Bytes of the response that the kernel took.
    std::size_t bytes_written() const { return bytes_written_; }

    /// Error that ended the writing of the response, if any.
    const boost::system::error_code& write_error() const { return write_error_; }

    task<bool> respond(complete_response content);
    task<bool> refuse(problem refusal);

    /// Starts a chunked response of server-sent events.
    task<bool> begin_stream(header_fields headers);
    task<bool> write_events(std::string events);

    /// Ends the stream, with the outcome as a trailer field.
    task<bool> end_stream(outcome result);

    /// Relays a complete upstream response with its status, fields and body.
    task<bool> relay(http_response response);

    /// Relays the header of an upstream's response. Its body follows with
    /// `write_events` and its end with `end_relay`.
    task<bool> begin_relay(http_response head);
    task<bool> end_relay();

    /// Sets a function that is called once if the caller disconnects while its request
    /// is served.
    void on_disconnect(std::function<void()> function);
    bool disconnected() const { return watch_->disconnected; }

private:
    struct disconnect_watch {
        std::function<void()> notify;
        bool active = false;
        bool detached = false; ///< the `caller` was destroyed; its socket must not be accessed
        bool disconnected = false;
    };

    task<bool> write(http_response& response);
    task<bool> write_header(http::response_header<> head);
    void begin_response();
    static void watch(const std::shared_ptr<disconnect_watch>& state, caller_connection& connection);
    bool record_write(const boost::system::error_code& error, std::size_t bytes);
    bool record_last_write(const boost::system::error_code& error, std::size_t bytes);

    caller_connection& connection_;
    boost::beast::tcp_stream& stream_;
    std::string request_id_;
    bool keep_alive_;
    bool has_body_ = true;
    bool response_started_ = false;
    bool response_complete_ = false;
    std::size_t bytes_written_ = 0;
    boost::system::error_code write_error_;
    std::chrono::milliseconds write_timeout_;
    time_point arrived_;
    std::shared_ptr<disconnect_watch> watch_;
};

} // namespace citronwick

#endif
