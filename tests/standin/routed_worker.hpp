#ifndef CITRONWICK_TESTS_STANDIN_ROUTED_WORKER_HPP_INCLUDED
#define CITRONWICK_TESTS_STANDIN_ROUTED_WORKER_HPP_INCLUDED

#include "standin_server.hpp"

#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <string>

namespace citronwick::standin {

/// Stand-in of a worker that routes lead to. Paths that hold "/stream/" are
/// answered by events. It notes each run by the request's attempt id and
/// misbehaves as POST /standin/fault tells it to.
class routed_worker {
public:
    routed_worker(asio::io_context& context, const std::string& ip, std::string id);

    endpoint address() const { return server_.address(); }

private:
    task<bool> handle(boost::beast::tcp_stream& stream, http_request request);
    task<bool> run(boost::beast::tcp_stream& stream, http_request request);
    task<bool> run_stream(boost::beast::tcp_stream& stream, const http_request& request);
    task<bool> send(boost::beast::tcp_stream& stream, const http_request& request, http::status status,
                    std::string body);
    http::response_header<> head_for(const http_request& request) const;
    void note_run(const http_request& request);

    std::string id_;
    std::string mode_;             ///< fault that is in force, empty for none
    std::int64_t faults_left_ = 0; ///< requests that it still strikes
    std::chrono::milliseconds delay_{0};
    std::int64_t events_ = 6;
    std::int64_t cut_after_ = 0;  ///< events before a stream is cut
    std::int64_t unfinished_ = 0; ///< runs whose caller closed the connection
    boost::json::object runs_;    ///< by attempt id
    standin_server server_;
};

} // namespace citronwick::standin

#endif
