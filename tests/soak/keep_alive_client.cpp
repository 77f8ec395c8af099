#include "keep_alive_client.hpp"

#include "citronwick/io/http_connection.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cctype>
#include <cerrno>
#include <sys/socket.h>

namespace citronwick::soak {

struct keep_alive_client::connection {
    asio::io_context context{1};
    boost::beast::tcp_stream stream{context};
    boost::beast::flat_buffer buffer;
    bool is_open = false;
};

namespace {

std::string to_lower(std::string_view text) {
    std::string result{text};
    std::ranges::transform(result, result.begin(),
                           [](unsigned char character) { return std::tolower(character); });
    return result;
}

bool is_closed_by_peer(asio::ip::tcp::socket& socket) {
    char next = 0;
    const auto size = ::recv(socket.native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN);
}

} // namespace

keep_alive_client::keep_alive_client(endpoint peer) : peer_{std::move(peer)} {}

keep_alive_client::~keep_alive_client() = default;

exchange_result keep_alive_client::send(const harness::call& request) {
    if (!connection_) {
        connection_ = std::make_unique<connection>();
    }
    connection& current = *connection_;
    exchange_result outcome{.reused_connection = current.is_open};
    harness::reply& result = outcome.response;
    bool reusable = false;
    const auto exchange = [&]() -> task<void> {
        current.stream.expires_after(request.timeout);
        if (!current.is_open) {
            const auto address = to_tcp(peer_);
            auto [error] = co_await current.stream.async_connect(address, use_tuple);
            if (error) {
                result.error = "connect: " + error.message();
                co_return;
            }
            current.is_open = true;
        }
        http_request message{http::string_to_verb(request.method), request.target, 11};
        for (const auto& [name, value] : request.headers) {
            message.set(name, value);
        }
        message.body() = request.body;
        message.prepare_payload();
        auto [write_error, written] = co_await http::async_write(current.stream, message, use_tuple);
        outcome.was_sent = !write_error && !is_closed_by_peer(current.stream.socket());
        http::response_parser<http::string_body> parser;
        auto [error, size] = co_await http::async_read(current.stream, current.buffer, parser, use_tuple);
        if (error) {
            result.error = "read: " + error.message();
        }
        if (parser.is_header_done()) {
            result.status = parser.get().result_int();
            result.body = parser.get().body();
            for (const auto& field : parser.get()) {
                result.headers[to_lower(field.name_string())] = std::string{field.value()};
            }
            reusable = !error && parser.get().keep_alive();
        }
    };
    asio::co_spawn(current.context, exchange(), asio::detached);
    current.context.restart();
    current.context.run();
    if (!reusable) {
        connection_.reset();
    }
    return outcome;
}

} // namespace citronwick::soak
