#ifndef CITRONWICK_TESTS_STANDIN_ROUTED_WORKER_HPP_INCLUDED
#define CITRONWICK_TESTS_STANDIN_ROUTED_WORKER_HPP_INCLUDED

#include "standin_server.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <string>

namespace citronwick::standin {

/// Stand-in for a worker behind a route. Responds to paths that contain "/stream/"
/// with an event stream, records each run by the attempt id of the request, and
/// injects the fault set by POST /standin/fault.
class routed_worker {
public:
    routed_worker(asio::io_context& context, const std::string& ip, std::string id);

    endpoint address() const { return server_.address(); }

private:
    static constexpr std::chrono::milliseconds default_event_gap{10};

    task<bool> handle(boost::beast::tcp_stream& stream, http_request request);
    task<bool> run(boost::beast::tcp_stream& stream, http_request request);
    task<bool> run_stream(boost::beast::tcp_stream& stream, const http_request& request);
    task<bool> begin_stream(boost::beast::tcp_stream& stream, const http_request& request);
    task<bool> write_part(boost::beast::tcp_stream& stream, std::string text) const;
    std::int64_t first_event_of(const http_request& request) const;
    task<bool> send_endless(boost::beast::tcp_stream& stream, const http_request& request,
                            const std::string& fault);
    task<bool> send_unframed(boost::beast::tcp_stream& stream, const http_request& request,
                             const std::string& fault);
    task<bool> send(boost::beast::tcp_stream& stream, const http_request& request, unsigned status,
                    std::string body);
    std::string format_event(std::int64_t id) const;
    http::response_header<> make_header(const http_request& request) const;
    void record_run(const http_request& request);

    std::string id_;
    std::string fault_mode_;            ///< active fault, empty for none
    std::int64_t remaining_faults_ = 0; ///< number of requests that it still affects
    unsigned failure_status_ = 0;       ///< of responses while the fault "status" is active
    std::chrono::milliseconds delay_{0};
    std::chrono::milliseconds event_gap_{default_event_gap}; ///< before each event, or within a body
    std::int64_t event_count_ = 6;
    std::int64_t cut_after_events_ = 0;   ///< events before a stream is cut within the next one, 0 for never
    std::int64_t close_after_events_ = 0; ///< events before a stream ends between two of them, 0 for never
    std::int64_t omitted_events_ = 0;     ///< that a resumed run leaves out at its beginning
    bool begins_anew_ = false;            ///< resumed runs begin with the first event
    bool is_unframed_ = false;  ///< streams have neither a length nor chunks and end with their connection
    std::string event_format_;  ///< "compact", "crlf", "cr" or "unnumbered"; empty for the usual one
    std::string crashing_part_; ///< part of a prompt on which the process ends, empty for none
    std::int64_t aborted_runs_ = 0; ///< runs whose caller closed the connection
    std::string retry_after_;       ///< seconds that it names when it sheds a request, empty for none
    bool says_leaving_ = false;     ///< in its responses
    std::string limit_;             ///< rate limit that it names in its responses, empty for none
    boost::json::object runs_;      ///< by attempt id
    boost::json::array arrivals_;   ///< of requests, in milliseconds of the steady clock
    standin_server server_;
};

} // namespace citronwick::standin

#endif
