#include "citronwick/control/fleet_channel.hpp"

#include "citronwick/config/io_result_of.hpp"
#include "citronwick/io/log.hpp"

namespace citronwick {

namespace {

using asio::ip::udp;

/// UDP and IPv4 headers of one datagram.
constexpr std::size_t datagram_header_bytes = 28;

udp::endpoint to_udp(const endpoint& value) {
    return {asio::ip::make_address(value.ip), value.port};
}

} // namespace

fleet_channel::fleet_channel(const asio::any_io_executor& executor, const wire::envelope& envelope,
                             wire::header from)
    : socket_{executor}, envelope_{envelope}, from_{from} {}

io_result<endpoint> fleet_channel::open(const endpoint& listen) {
    boost::system::error_code error;
    const auto address = to_udp(listen);
    socket_.open(address.protocol(), error);
    if (!error) {
        socket_.bind(address, error);
    }
    if (error) {
        return failure{"bind fleet channel", to_text(listen), error.message()};
    }
    socket_.non_blocking(true, error);
    return endpoint{listen.ip, socket_.local_endpoint().port()};
}

void fleet_channel::close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
}

std::size_t fleet_channel::send(const wire::gossip& message, const endpoint& target) {
    ++from_.sequence;
    const std::string sealed = envelope_.seal(from_, message);
    boost::system::error_code ignored;
    socket_.send_to(asio::buffer(sealed), to_udp(target), 0, ignored);
    return sealed.size() + datagram_header_bytes;
}

task<void> fleet_channel::run(receiver receive) {
    while (socket_.is_open()) {
        udp::endpoint sender;
        const auto buffer = asio::buffer(buffer_);
        auto [error, size] = co_await socket_.async_receive_from(buffer, sender, use_tuple);
        if (error) {
            continue;
        }
        const std::string_view sealed{buffer_.data(), size};
        const std::string peer = sender.address().to_string() + ":" + std::to_string(sender.port());
        auto opened = io_result_of<wire::opened_message<wire::gossip>>(
            [&] { return envelope_.open<wire::gossip>(sealed, peer); });
        if (opened.has_error()) {
            log_failure("fleet_message_refused", opened.error());
            continue;
        }
        if (opened->header.sender != from_.sender && replay_filter_.accept(opened->header)) {
            receive(opened->header, opened->message);
        }
    }
}

} // namespace citronwick
