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

/// HTTP server on a free loopback port. Each request goes to one handler,
/// which writes the answer itself and says whether the connection goes on.
class standin_server {
public:
    using handler = std::function<task<bool>(boost::beast::tcp_stream& stream, http_request request)>;

    standin_server(asio::io_context& context, const std::string& ip, std::uint16_t port, handler handle);

    endpoint address() const;

private:
    task<void> accept();
    task<void> serve(asio::ip::tcp::socket socket);

    asio::io_context& context_;
    asio::ip::tcp::acceptor acceptor_;
    handler handle_;
};

/// Sends a whole answer.
task<bool> reply(boost::beast::tcp_stream& stream, http::status status, std::string body,
                 std::string content_type = "application/json", std::string load_report = {},
                 std::string request_id = {});

task<bool> reply_json(boost::beast::tcp_stream& stream, boost::json::object body);

task<void> sleep_for(std::chrono::microseconds time);

/// Whether the other end has closed the connection.
bool is_closed(boost::beast::tcp_stream& stream);

/// Writes one address a line, atomically.
void write_port_file(const std::string& file, const std::vector<endpoint>& addresses);

} // namespace citronwick::standin

#endif
