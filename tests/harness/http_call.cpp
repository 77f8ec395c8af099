#include "http_call.hpp"

#include "citronwick/io/http_connection.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cctype>
#include <sstream>

namespace citronwick::harness {

namespace {

std::string to_lower(std::string_view text) {
    std::string result{text};
    std::ranges::transform(result, result.begin(),
                           [](unsigned char character) { return std::tolower(character); });
    return result;
}

http_request to_request(const endpoint& peer, const call& request) {
    http_request message{http::string_to_verb(request.method), request.target, 11};
    message.set(http::field::host, to_text(peer));
    for (const auto& [name, value] : request.headers) {
        message.set(name, value);
    }
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

task<void> exchange(endpoint peer, const call& request, reply& result) {
    constexpr std::uint64_t max_body_bytes = std::uint64_t{64} << 20U;
    boost::beast::tcp_stream stream{co_await asio::this_coro::executor};
    stream.expires_after(request.timeout);
    const auto address = to_tcp(peer);
    auto [connect_error] = co_await stream.async_connect(address, use_tuple);
    if (connect_error) {
        result.error = "connect: " + connect_error.message();
        co_return;
    }
    auto message = to_request(peer, request);
    co_await http::async_write(stream, message, use_tuple);
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_body_bytes);
    parser.skip(message.method() == http::verb::head);
    auto [read_error, read] = co_await http::async_read(stream, buffer, parser, use_tuple);
    if (read_error) {
        result.error = "read: " + read_error.message();
    }
    if (parser.is_header_done()) {
        result.status = parser.get().result_int();
        result.body = parser.get().body();
        for (const auto& field : parser.get()) {
            result.headers[to_lower(field.name_string())] = std::string{field.value()};
        }
    }
}

task<void> exchange_raw(endpoint peer, std::string bytes, std::chrono::milliseconds timeout,
                        std::size_t max_bytes, std::string& result) {
    boost::beast::tcp_stream stream{co_await asio::this_coro::executor};
    stream.expires_after(timeout);
    const auto address = to_tcp(peer);
    auto [connect_error] = co_await stream.async_connect(address, use_tuple);
    if (connect_error) {
        co_return;
    }
    const auto outgoing = asio::buffer(bytes);
    co_await asio::async_write(stream, outgoing, use_tuple);
    std::array<char, 4096> buffer{};
    while (result.size() < max_bytes) {
        const auto space = asio::buffer(buffer);
        auto [error, size] = co_await stream.async_read_some(space, use_tuple);
        if (error) {
            co_return;
        }
        result.append(buffer.data(), size);
    }
}

} // namespace

std::string reply::header(const std::string& name) const {
    const auto found = headers.find(to_lower(name));
    return found == headers.end() ? std::string{} : found->second;
}

reply http_call(const endpoint& peer, const call& request) {
    asio::io_context context{1};
    reply result;
    asio::co_spawn(context, exchange(peer, request, result), asio::detached);
    context.run();
    return result;
}

std::string raw_call(const endpoint& peer, const std::string& bytes, std::chrono::milliseconds timeout) {
    asio::io_context context{1};
    std::string result;
    asio::co_spawn(context, exchange_raw(peer, bytes, timeout, std::string::npos, result), asio::detached);
    context.run();
    return result;
}

void call_and_disconnect(const endpoint& peer, const call& request, std::size_t bytes) {
    std::ostringstream text;
    text << to_request(peer, request);
    asio::io_context context{1};
    std::string result;
    asio::co_spawn(context, exchange_raw(peer, text.str(), request.timeout, bytes, result), asio::detached);
    context.run();
}

struct stalled_caller::connection {
    asio::io_context context{1};
    asio::ip::tcp::socket socket{context};
};

stalled_caller::stalled_caller(const endpoint& peer, const call& request)
    : connection_{std::make_unique<connection>()} {
    constexpr int small_buffer = 4'096;
    auto& socket = connection_->socket;
    socket.open(asio::ip::tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size{small_buffer});
    socket.connect(to_tcp(peer));
    http::write(socket, to_request(peer, request));
}

stalled_caller::~stalled_caller() = default;

} // namespace citronwick::harness
