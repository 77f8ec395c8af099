#ifndef CITRONWICK_TESTS_STANDIN_ROUTED_WORKER_HPP_INCLUDED
#define CITRONWICK_TESTS_STANDIN_ROUTED_WORKER_HPP_INCLUDED

#include "slot_queue.hpp"
#include "standin_server.hpp"
#include "stream_faults.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace citronwick::standin {

/// Stand-in for a worker behind a route. Responds to paths that contain "/stream/"
/// with an event stream, records each run by the attempt id of the request, and
/// injects the fault set by POST /standin/fault.
class routed_worker {
public:
    /// @param port to listen on, 0 for a free one
    /// @param born time of its start that it reports, 0 for none
    /// @param version that its events name, empty for none
    routed_worker(asio::io_context& context, const std::string& ip, std::string id, std::uint16_t port,
                  std::int64_t born, std::string version);

    endpoint address() const { return server_.address(); }

private:
    task<bool> handle(boost::beast::tcp_stream& stream, http_request request);
    task<bool> run_in_slot(boost::beast::tcp_stream& stream, http_request request,
                           std::shared_ptr<slot_queue> queue);
    bool answers_early(const http::request_header<>& header) const;
    task<bool> run(boost::beast::tcp_stream& stream, http_request request);
    void keep_for_surplus(boost::beast::tcp_stream& stream, http_request request);
    task<bool> send_late_surplus(boost::beast::tcp_stream& stream);
    task<bool> run_stream(boost::beast::tcp_stream& stream, const http_request& request);
    task<bool> begin_stream(boost::beast::tcp_stream& stream, const http_request& request, bool is_unframed);
    task<bool> write_parts(boost::beast::tcp_stream& stream, const stream_faults& faults,
                           std::int64_t first_event);
    task<bool> write_part(boost::beast::tcp_stream& stream, std::string text, bool is_unframed);
    stream_faults stream_faults_of(const http_request& request) const;
    std::int64_t first_event_of(const http_request& request, const stream_faults& faults) const;
    std::vector<std::string> parts_of(std::int64_t first_event, const stream_faults& faults) const;
    task<bool> send_endless(boost::beast::tcp_stream& stream, const http_request& request,
                            const std::string& fault);
    task<bool> send_unframed(boost::beast::tcp_stream& stream, const http_request& request,
                             const std::string& fault);
    task<bool> refuse_and_keep(boost::beast::tcp_stream& stream, const http_request& request);
    task<bool> send_copies(boost::beast::tcp_stream& stream);
    task<bool> send(boost::beast::tcp_stream& stream, const http_request& request, unsigned status,
                    std::string body);
    http::response_header<> make_header(const http_request& request) const;
    void record_run(const http_request& request);

    bool expects_other_weights(const http_request& request) const;
    std::string format_event(std::int64_t number, const stream_faults& faults) const;

    std::string id_;
    std::string version_;
    std::int64_t born_;                 ///< time of its start that it reports, 0 for none
    std::string fault_mode_;            ///< active fault, empty for none
    std::int64_t remaining_faults_ = 0; ///< number of requests that it still affects
    unsigned failure_status_ = 0;       ///< of responses while the fault "status" is active
    std::chrono::milliseconds delay_{0};
    std::int64_t event_count_ = 6;
    stream_faults stream_faults_;
    std::string crashing_part_;         ///< part of a prompt on which the process ends, empty for none
    std::int64_t aborted_runs_ = 0;     ///< runs whose caller closed the connection
    std::string retry_after_;           ///< seconds that it names when it sheds a request, empty for none
    bool says_leaving_ = false;         ///< in its responses
    std::string limit_;                 ///< rate limit that it names in its responses, empty for none
    std::string brittle_;               ///< refusals a second that it names in its responses, empty for none
    std::shared_ptr<slot_queue> slots_; ///< null while it runs all requests at once
    std::int64_t requests_with_copies_ = 0;           ///< that came while copies of refusals are sent
    std::map<std::uint16_t, http_response> refusals_; ///< last ones to copy, by port of the connection
    std::map<std::uint16_t, http_request> surplus_;   ///< to answer again, by port of the connection
    boost::json::object runs_;                        ///< by attempt id
    boost::json::array arrivals_;                     ///< of requests, in milliseconds of the steady clock
    standin_server server_;
};

/// Has a connection reset when it is closed.
void reset_on_close(boost::beast::tcp_stream& stream, bool resets);

} // namespace citronwick::standin

#endif
