#include "held_callers.hpp"

#include "citronwick/core/time.hpp"
#include "citronwick/io/task.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

namespace citronwick::harness {

namespace {

struct connection {
    explicit connection(asio::io_context& context) : socket{context} {}

    asio::ip::tcp::socket socket;
    std::string received;
    bool has_ended = false;
};

task<void> write_bytes(asio::ip::tcp::socket& socket, const std::string& bytes) {
    const auto outgoing = asio::buffer(bytes);
    [[maybe_unused]] const auto result = co_await asio::async_write(socket, outgoing, use_tuple);
}

task<void> read_bytes(connection& from) {
    std::array<char, 4096> buffer{};
    while (true) {
        const auto space = asio::buffer(buffer);
        auto [error, size] = co_await from.socket.async_read_some(space, use_tuple);
        if (error) {
            from.has_ended = true;
            co_return;
        }
        from.received.append(buffer.data(), size);
    }
}

} // namespace

struct held_callers::connections {
    asio::io_context context{1};
    std::string bytes;
    std::vector<std::unique_ptr<connection>> all;
};

held_callers::held_callers(const endpoint& peer, std::size_t count, std::string bytes)
    : connections_{std::make_unique<connections>()} {
    connections_->bytes = std::move(bytes);
    for (std::size_t index = 0; index < count; ++index) {
        auto& added = *connections_->all.emplace_back(std::make_unique<connection>(connections_->context));
        boost::system::error_code error;
        added.socket.connect(to_tcp(peer), error);
        if (error) {
            added.has_ended = true;
            continue;
        }
        asio::co_spawn(connections_->context, read_bytes(added), asio::detached);
        if (!connections_->bytes.empty()) {
            asio::co_spawn(connections_->context, write_bytes(added.socket, connections_->bytes),
                           asio::detached);
        }
        connections_->context.poll();
    }
}

held_callers::~held_callers() = default;

void held_callers::send(const std::string& bytes) {
    for (const auto& each : connections_->all) {
        boost::system::error_code ignored;
        asio::write(each->socket, asio::buffer(bytes), ignored);
    }
}

std::vector<std::string> held_callers::answers(std::chrono::milliseconds timeout) {
    const auto deadline = clock::now() + timeout;
    const auto is_answered = [](const auto& each) {
        return each->has_ended || each->received.find("\r\n\r\n") != std::string::npos;
    };
    while (clock::now() < deadline && !std::ranges::all_of(connections_->all, is_answered)) {
        connections_->context.restart();
        connections_->context.run_one_until(deadline);
    }
    std::vector<std::string> texts;
    std::ranges::transform(connections_->all, std::back_inserter(texts),
                           [](const auto& each) { return each->received; });
    return texts;
}

} // namespace citronwick::harness
