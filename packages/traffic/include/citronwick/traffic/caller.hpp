#ifndef CITRONWICK_TRAFFIC_CALLER_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_CALLER_HPP_INCLUDED

#include "citronwick/platform/http_connection.hpp"
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
    caller(boost::beast::tcp_stream& stream, std::string request_id, bool keep_alive,
           std::chrono::milliseconds write_timeout);
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;
    ~caller();

    const std::string& request_id() const { return request_id_; }

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
    void watch();
    bool finish(const boost::system::error_code& error);

    boost::beast::tcp_stream& stream_;
    std::string request_id_;
    bool keep_alive_;
    bool answered_ = false;
    std::chrono::milliseconds write_timeout_;
    std::shared_ptr<hang_up_watch> watch_;
};

} // namespace citronwick

#endif
