#ifndef CITRONWICK_TESTS_STANDIN_PLAIN_SERVICE_HPP_INCLUDED
#define CITRONWICK_TESTS_STANDIN_PLAIN_SERVICE_HPP_INCLUDED

#include "standin_server.hpp"

#include <map>
#include <string>

namespace citronwick::standin {

/// Stand-in for a plain service. It counts the runs of each non-idempotent
/// request, so that tests can detect repeated runs.
class plain_service {
public:
    plain_service(asio::io_context& context, const std::string& ip);

    endpoint address() const { return server_.address(); }

private:
    task<bool> handle(boost::beast::tcp_stream& stream, http_request request);
    task<bool> run(boost::beast::tcp_stream& stream, http_request request);
    task<bool> send_runs(boost::beast::tcp_stream& stream);

    std::map<std::string, std::int64_t> runs_; ///< by idempotency key, or by body if there is none
    std::int64_t reads_ = 0;
    std::chrono::milliseconds response_delay_{0};
    std::int64_t responses_to_drop_ = 0;          ///< number of requests to run without a response
    std::chrono::milliseconds unframed_pause_{0}; ///< within responses without length or chunks, if any
    bool refuse_ = false;
    unsigned status_ = 0; ///< of responses to requests that ran, 0 for the usual one
    double start_time_;
    standin_server server_;
};

} // namespace citronwick::standin

#endif
