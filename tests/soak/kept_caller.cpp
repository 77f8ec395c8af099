#include "kept_caller.hpp"

#include "citronwick/io/http_connection.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cctype>

namespace citronwick::soak {

struct kept_caller::connection {
    asio::io_context context{1};
    boost::beast::tcp_stream stream{context};
    boost::beast::flat_buffer buffer;
    bool is_open = false;
};

namespace {

std::string lower(std::string_view text) {
    std::string result{text};
    std::ranges::transform(result, result.begin(), [](unsigned char letter) { return std::tolower(letter); });
    return result;
}

} // namespace

kept_caller::kept_caller(endpoint peer) : peer_{std::move(peer)} {}

kept_caller::~kept_caller() = default;

harness::reply kept_caller::ask(const harness::call& request) {
    if (!open_) {
        open_ = std::make_unique<connection>();
    }
    connection& kept = *open_;
    harness::reply result;
    bool reusable = false;
    const auto exchange = [&]() -> task<void> {
        kept.stream.expires_after(request.timeout);
        if (!kept.is_open) {
            const auto address = to_tcp(peer_);
            auto [error] = co_await kept.stream.async_connect(address, use_tuple);
            if (error) {
                result.error = "connect: " + error.message();
                co_return;
            }
            kept.is_open = true;
        }
        http_request message{http::string_to_verb(request.method), request.target, 11};
        for (const auto& [name, value] : request.headers) {
            message.set(name, value);
        }
        message.body() = request.body;
        message.prepare_payload();
        co_await http::async_write(kept.stream, message, use_tuple);
        http::response_parser<http::string_body> parser;
        auto [error, size] = co_await http::async_read(kept.stream, kept.buffer, parser, use_tuple);
        if (error) {
            result.error = "read: " + error.message();
        }
        if (parser.is_header_done()) {
            result.status = parser.get().result_int();
            result.body = parser.get().body();
            for (const auto& field : parser.get()) {
                result.headers[lower(field.name_string())] = std::string{field.value()};
            }
            reusable = !error && parser.get().keep_alive();
        }
    };
    asio::co_spawn(kept.context, exchange(), asio::detached);
    kept.context.restart();
    kept.context.run();
    if (!reusable) {
        open_.reset();
    }
    return result;
}

} // namespace citronwick::soak
