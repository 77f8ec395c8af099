#ifndef CITRONWICK_TESTS_STANDIN_STANDIN_SERVER_HPP_INCLUDED
#define CITRONWICK_TESTS_STANDIN_STANDIN_SERVER_HPP_INCLUDED

#include "citronwick/io/http_connection.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/object.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace citronwick::standin {

/// HTTP server on a given port, or on a free one for port 0. Passes each request to the
/// handler, which writes the response and returns whether to keep the connection.
class standin_server {
public:
    using handler = std::function<task<bool>(boost::beast::tcp_stream& stream, http_request request)>;

    /// Whether a request is answered without its body, behind which the connection is closed.
    using predicate = std::function<bool(const http::request_header<>& header)>;

    standin_server(asio::io_context& context, const std::string& ip, std::uint16_t port, handler handle,
                   predicate is_early = {});

    endpoint address() const;

private:
    task<void> accept();
    task<void> serve(asio::ip::tcp::socket socket);

    asio::io_context& context_;
    asio::ip::tcp::acceptor acceptor_;
    handler handle_;
    predicate is_early_;
};

/// Sends a response with a body.
/// @return whether it was sent
task<bool> send_response(boost::beast::tcp_stream& stream, http::status status, std::string body,
                         std::string content_type = "application/json", std::string load_report = {},
                         std::string request_id = {});

/// Sends a response with additional header fields.
task<bool> send_with_fields(boost::beast::tcp_stream& stream, http::status status, std::string body,
                            std::vector<std::pair<std::string, std::string>> fields);

/// Sends the two halves of a response that has neither a length nor chunks, with a pause between them.
/// @return false, since the response ends with its connection
task<bool> send_unframed(boost::beast::tcp_stream& stream, http::status status, std::string body,
                         std::string request_id, std::chrono::milliseconds pause);

task<bool> send_json(boost::beast::tcp_stream& stream, boost::json::object body);

task<void> sleep_for(std::chrono::microseconds time);

/// Whether the peer has closed the connection.
bool is_closed(boost::beast::tcp_stream& stream);

/// Writes one address per line. Replaces the file atomically, so that readers never see part of it.
void write_port_file(const std::string& file, const std::vector<endpoint>& addresses);

} // namespace citronwick::standin

#endif
