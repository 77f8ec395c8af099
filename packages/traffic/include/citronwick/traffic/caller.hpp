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

/// Header fields added to an answer.
using header_fields = std::vector<std::pair<std::string, std::string>>;

/// Answer that is sent whole.
struct whole_answer {
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
    outcome result = outcome::complete;
    header_fields headers{};
};

/// One request's caller: its request identifier and the ways to answer it.
///
/// Exactly one of `answer`, `refuse` and `begin_stream` is called for a
/// request. Every write has a deadline, so a slow caller holds a bounded
/// buffer for a bounded time.
class caller {
public:
    /// @param keep_alive whether the connection may serve another request
    /// @param arrived when the request's header had been read
    caller(boost::beast::tcp_stream& stream, std::string request_id, bool keep_alive,
           std::chrono::milliseconds write_timeout, time_point arrived);
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;
    ~caller();

    const std::string& request_id() const { return request_id_; }

    /// Uses the caller's own identifier of the request.
    void set_request_id(std::string id) { request_id_ = std::move(id); }

    time_point arrived() const { return arrived_; }

    /// Whether the connection can serve another request.
    bool keep_alive() const { return keep_alive_; }

    /// Closes the connection after the answer.
    void close_after_answer() { keep_alive_ = false; }

    /// Whether any byte of an answer was written.
    bool answered() const { return answered_; }

    task<bool> answer(whole_answer whole);
    task<bool> refuse(problem why);

    /// Starts a chunked stream of server-sent events.
    task<bool> begin_stream(header_fields headers);
    task<bool> write_events(std::string events);

    /// Ends the stream; the outcome follows as a trailer.
    task<bool> end_stream(outcome result);

    /// Passes an upstream's whole answer on, with its status, fields and body.
    task<bool> relay(http_response answer);

    /// Passes the start of an upstream's answer on; pieces of its body follow
    /// with `write_events` and its end with `end_relay`.
    task<bool> begin_relay(http_response head);
    task<bool> end_relay();

    /// Calls a function once if the caller hangs up while a request is served.
    void on_hang_up(std::function<void()> function);
    bool hung_up() const { return watch_->hung_up; }

private:
    struct hang_up_watch {
        std::function<void()> notify;
        bool active = false;
        bool detached = false; ///< the caller is gone; its socket must not be touched
        bool hung_up = false;
    };

    template <class Message>
    task<bool> write(Message& message);
    task<bool> write_header(const http::fields& fields, unsigned status);
    void watch();
    bool finish(const boost::system::error_code& error);

    boost::beast::tcp_stream& stream_;
    std::string request_id_;
    bool keep_alive_;
    bool answered_ = false;
    std::chrono::milliseconds write_timeout_;
    time_point arrived_;
    std::shared_ptr<hang_up_watch> watch_;
};

} // namespace citronwick

#endif
