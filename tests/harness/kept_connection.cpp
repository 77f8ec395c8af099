#include "kept_connection.hpp"

#include "citronwick/io/http_connection.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cctype>
#include <sstream>

namespace citronwick::harness {

namespace {

constexpr unsigned first_final_status = 200;

std::string to_lower(std::string_view text) {
    std::string result{text};
    std::ranges::transform(result, result.begin(),
                           [](unsigned char character) { return std::tolower(character); });
    return result;
}

task<void> read_response(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer, bool is_head,
                         reply& result) {
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    parser.skip(is_head);
    auto [error, size] = co_await http::async_read(stream, buffer, parser, use_tuple);
    if (error) {
        result.error = "read: " + error.message();
    }
    if (parser.is_header_done()) {
        result.status = parser.get().result_int();
        result.body = parser.get().body();
        for (const auto& field : parser.get()) {
            result.headers[to_lower(field.name_string())] = std::string{field.value()};
        }
    }
}

} // namespace

struct kept_connection::connection {
    asio::io_context context{1};
    boost::beast::tcp_stream stream{context};
    boost::beast::flat_buffer buffer;
};

kept_connection::kept_connection(const endpoint& peer) : connection_{std::make_unique<connection>()} {
    connection_->stream.socket().connect(to_tcp(peer));
    connection_->stream.socket().set_option(asio::ip::tcp::no_delay{true});
}

kept_connection::~kept_connection() = default;

bool kept_connection::send(const std::string& bytes) {
    boost::system::error_code error;
    asio::write(connection_->stream.socket(), asio::buffer(bytes), error);
    return !error;
}

reply kept_connection::read_reply(bool is_head, std::chrono::milliseconds timeout) {
    reply result;
    connection_->stream.expires_after(timeout);
    do {
        result = {};
        asio::co_spawn(connection_->context,
                       read_response(connection_->stream, connection_->buffer, is_head, result),
                       asio::detached);
        connection_->context.restart();
        connection_->context.run();
    } while (result.error.empty() && result.status < first_final_status);
    return result;
}

reply kept_connection::ask(const std::string& bytes) {
    send(bytes);
    return read_reply();
}

void kept_connection::finish_sending() {
    connection_->stream.socket().shutdown(asio::socket_base::shutdown_send);
}

void kept_connection::reset() {
    auto& socket = connection_->stream.socket();
    socket.set_option(asio::socket_base::linger{true, 0});
    socket.close();
}

std::string to_bytes(const call& request) {
    http_request message{http::string_to_verb(request.method), request.target, 11};
    for (const auto& [name, value] : request.headers) {
        message.set(name, value);
    }
    message.body() = request.body;
    message.prepare_payload();
    std::ostringstream text;
    text << message;
    return text.str();
}

} // namespace citronwick::harness
