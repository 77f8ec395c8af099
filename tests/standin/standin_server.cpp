#include "standin_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/serialize.hpp>
#include <filesystem>
#include <fstream>

namespace citronwick::standin {

standin_server::standin_server(asio::io_context& context, const std::string& ip, std::uint16_t port,
                               handler handle, predicate is_early)
    : context_{context}, acceptor_{context, {asio::ip::make_address(ip), port}}, handle_{std::move(handle)},
      is_early_{std::move(is_early)} {
    asio::co_spawn(context_, accept(), asio::detached);
}

endpoint standin_server::address() const {
    return to_endpoint(acceptor_.local_endpoint());
}

task<void> standin_server::accept() {
    while (acceptor_.is_open()) {
        asio::ip::tcp::socket socket{context_};
        auto [error] = co_await acceptor_.async_accept(socket, use_tuple);
        if (!error) {
            asio::co_spawn(context_, serve(std::move(socket)), asio::detached);
        }
    }
}

task<void> standin_server::serve(asio::ip::tcp::socket socket) {
    constexpr std::uint64_t max_body_bytes = std::uint64_t{16} << 20U;
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
    boost::beast::tcp_stream stream{std::move(socket)};
    boost::beast::flat_buffer buffer;
    while (true) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_body_bytes);
        auto [header_error, header_size] =
            co_await http::async_read_header(stream, buffer, parser, use_tuple);
        if (header_error) {
            const bool is_malformed = header_error.category() == http::make_error_code({}).category() &&
                                      header_error != http::error::end_of_stream &&
                                      header_error != http::error::partial_message;
            if (is_malformed) {
                co_await send_response(stream, http::status::bad_request, "{}");
            }
            co_return;
        }
        if (is_early_ && is_early_(parser.get())) {
            co_await handle_(stream, parser.release());
            co_return; // resets the connection if part of the body is unread
        }
        auto [error, size] = co_await http::async_read(stream, buffer, parser, use_tuple);
        if (error) {
            co_return;
        }
        auto request = parser.release();
        const bool keep_alive = request.keep_alive();
        if (!co_await handle_(stream, std::move(request)) || !keep_alive) {
            co_return;
        }
    }
}

task<bool> send_response(boost::beast::tcp_stream& stream, http::status status, std::string body,
                         std::string content_type, std::string load_report, std::string request_id) {
    http_response response{status, 11};
    response.set(http::field::content_type, content_type);
    if (!load_report.empty()) {
        response.set("endpoint-load-metrics", load_report);
    }
    if (!request_id.empty()) {
        response.set("X-Request-Id", request_id);
    }
    response.body() = std::move(body);
    response.prepare_payload();
    auto [error, size] = co_await http::async_write(stream, response, use_tuple);
    co_return !error;
}

task<bool> send_with_fields(boost::beast::tcp_stream& stream, http::status status, std::string body,
                            std::vector<std::pair<std::string, std::string>> fields) {
    http_response response{status, 11};
    response.set(http::field::content_type, "application/json");
    for (const auto& [name, value] : fields) {
        response.set(name, value);
    }
    response.body() = std::move(body);
    response.prepare_payload();
    auto [error, size] = co_await http::async_write(stream, response, use_tuple);
    co_return !error;
}

task<bool> send_unframed(boost::beast::tcp_stream& stream, http::status status, std::string body,
                         std::string request_id, std::chrono::milliseconds pause) {
    const std::string first_half =
        "HTTP/1.1 " + std::to_string(static_cast<unsigned>(status)) +
        " Answered\r\nContent-Type: application/json\r\nX-Request-Id: " + request_id + "\r\n\r\n" +
        body.substr(0, body.size() / 2);
    const std::string second_half = body.substr(body.size() / 2);
    co_await asio::async_write(stream, asio::buffer(first_half), use_tuple);
    co_await sleep_for(pause);
    co_await asio::async_write(stream, asio::buffer(second_half), use_tuple);
    co_return false;
}

task<bool> send_json(boost::beast::tcp_stream& stream, boost::json::object body) {
    auto text = boost::json::serialize(body);
    co_return co_await send_response(stream, http::status::ok, std::move(text));
}

task<void> sleep_for(std::chrono::microseconds time) {
    asio::steady_timer timer{co_await asio::this_coro::executor, time};
    co_await timer.async_wait(use_tuple);
}

bool is_closed(boost::beast::tcp_stream& stream) {
    std::array<char, 1> byte{};
    boost::system::error_code error;
    stream.socket().non_blocking(true, error);
    stream.socket().receive(asio::buffer(byte), asio::socket_base::message_peek, error);
    return error && error != asio::error::would_block;
}

void write_port_file(const std::string& file, const std::vector<endpoint>& addresses) {
    const std::string temporary_file = file + ".new";
    {
        std::ofstream output{temporary_file};
        for (const endpoint& address : addresses) {
            output << to_text(address) << "\n";
        }
    }
    std::filesystem::rename(temporary_file, file);
}

} // namespace citronwick::standin
