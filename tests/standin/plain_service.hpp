#ifndef CITRONWICK_TESTS_STANDIN_PLAIN_SERVICE_HPP_INCLUDED
#define CITRONWICK_TESTS_STANDIN_PLAIN_SERVICE_HPP_INCLUDED

#include "standin_server.hpp"

#include <map>
#include <string>

namespace citronwick::standin {

/// Stand-in of a plain service. It records each run of a call that must not be
/// repeated, so that tests can count doubles.
class plain_service {
public:
    plain_service(asio::io_context& context, const std::string& ip);

    endpoint address() const { return server_.address(); }

private:
    task<bool> handle(boost::beast::tcp_stream& stream, http_request request);
    task<bool> run(boost::beast::tcp_stream& stream, http_request request);
    task<bool> show_runs(boost::beast::tcp_stream& stream);

    std::map<std::string, std::int64_t> runs_; ///< by idempotency key, else by body
    std::int64_t reads_ = 0;
    std::chrono::milliseconds answer_delay_{0};
    std::int64_t answers_to_drop_ = 0; ///< calls that run and whose connection is then closed
    bool refuse_ = false;
    double start_time_;
    standin_server server_;
};

} // namespace citronwick::standin

#endif
