#include "held_callers.hpp"

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
};

task<void> write_bytes(asio::ip::tcp::socket& socket, const std::string& bytes) {
    const auto outgoing = asio::buffer(bytes);
    [[maybe_unused]] const auto result = co_await asio::async_write(socket, outgoing, use_tuple);
}

task<void> read_bytes(connection& from, std::size_t& reads) {
    std::array<char, 4096> buffer{};
    while (true) {
        const auto space = asio::buffer(buffer);
        auto [error, size] = co_await from.socket.async_read_some(space, use_tuple);
        if (error) {
            co_return;
        }
        from.received.append(buffer.data(), size);
        ++reads;
    }
}

} // namespace

struct held_callers::connections {
    asio::io_context context{1};
    std::string bytes;
    std::size_t reads = 0;
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
            continue;
        }
        asio::co_spawn(connections_->context, read_bytes(added, connections_->reads), asio::detached);
        if (!connections_->bytes.empty()) {
            asio::co_spawn(connections_->context, write_bytes(added.socket, connections_->bytes),
                           asio::detached);
        }
        connections_->context.poll();
    }
}

held_callers::~held_callers() = default;

std::vector<std::string> held_callers::received(std::chrono::milliseconds quiet) {
    std::size_t reads_before = 0;
    do {
        reads_before = connections_->reads;
        connections_->context.restart();
        connections_->context.run_for(quiet);
    } while (connections_->reads != reads_before);
    std::vector<std::string> texts;
    std::ranges::transform(connections_->all, std::back_inserter(texts),
                           [](const auto& each) { return each->received; });
    return texts;
}

} // namespace citronwick::harness
