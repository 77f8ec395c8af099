#include "scripted_worker.hpp"

#include "citronwick/io/task.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <mutex>
#include <thread>
#include <vector>

namespace citronwick::harness {

namespace {

constexpr std::string_view header_end = "\r\n\r\n";

} // namespace

struct scripted_worker::state {
    explicit state(script function) : serve{std::move(function)} {}

    void accept() {
        while (true) {
            asio::ip::tcp::socket connection{context};
            boost::system::error_code error;
            acceptor.accept(connection, error);
            const std::scoped_lock lock{mutex};
            if (error || is_stopping) {
                return;
            }
            connections.push_back(std::make_unique<asio::ip::tcp::socket>(std::move(connection)));
            threads.emplace_back([this, used = connections.back().get()] { run(*used); });
        }
    }

    void run(asio::ip::tcp::socket& connection) {
        boost::system::error_code ignored;
        try {
            serve(connection);
        } catch (const boost::system::system_error&) {
            // The router closed the connection, or the worker is being stopped.
            connection.shutdown(asio::socket_base::shutdown_both, ignored);
        }
        const std::scoped_lock lock{mutex};
        connection.close(ignored);
    }

    void stop() {
        boost::system::error_code ignored;
        {
            const std::scoped_lock lock{mutex};
            is_stopping = true;
            std::ranges::for_each(connections, [&ignored](const auto& connection) {
                connection->shutdown(asio::socket_base::shutdown_both, ignored);
            });
            asio::ip::tcp::socket last{context};
            last.connect(acceptor.local_endpoint(), ignored); // ends the waiting `accept`
        }
        acceptor_thread.join();
        threads.clear();
    }

    script serve;
    asio::io_context context{1};
    asio::ip::tcp::acceptor acceptor{context};
    std::mutex mutex;
    bool is_stopping = false;
    std::vector<std::unique_ptr<asio::ip::tcp::socket>> connections;
    std::vector<std::jthread> threads;
    std::jthread acceptor_thread;
};

scripted_worker::scripted_worker(const std::string& name, script serve, int receive_buffer)
    : state_{std::make_shared<state>(std::move(serve))} {
    auto& acceptor = state_->acceptor;
    acceptor.open(asio::ip::tcp::v4());
    if (receive_buffer > 0) {
        acceptor.set_option(asio::socket_base::receive_buffer_size{receive_buffer});
    }
    acceptor.bind({asio::ip::address_v4::loopback(), 0});
    acceptor.listen();
    entry_.name = name;
    entry_.addresses = {to_endpoint(acceptor.local_endpoint())};
    state_->acceptor_thread = std::jthread{[this] { state_->accept(); }};
}

scripted_worker::~scripted_worker() {
    state_->stop();
}

std::string read_request_header(asio::ip::tcp::socket& connection, std::string& rest) {
    std::string text;
    std::array<char, 1024> part{};
    while (text.find(header_end) == std::string::npos) {
        const std::size_t size = connection.read_some(asio::buffer(part));
        text.append(part.data(), size);
    }
    const std::size_t end = text.find(header_end) + header_end.size();
    rest = text.substr(end);
    return text.substr(0, end);
}

std::string read_request(asio::ip::tcp::socket& connection) {
    std::string rest;
    auto header = read_request_header(connection, rest);
    const std::string length = field_of(header, "Content-Length");
    std::string body(length.empty() ? 0 : std::stoul(length) - rest.size(), '\0');
    asio::read(connection, asio::buffer(body));
    return header;
}

std::string field_of(const std::string& header, const std::string& name) {
    const std::string start = "\r\n" + name + ": ";
    const std::size_t found = header.find(start);
    if (found == std::string::npos) {
        return {};
    }
    const std::size_t begin = found + start.size();
    return header.substr(begin, header.find("\r\n", begin) - begin);
}

std::string response_header(const std::string& request_header) {
    return "HTTP/1.1 200 OK\r\nCitronwick-Server-Stamp: stamp.scripted\r\nCitronwick-Attempt-Id: " +
           field_of(request_header, "Citronwick-Attempt-Id") + "\r\n";
}

} // namespace citronwick::harness
