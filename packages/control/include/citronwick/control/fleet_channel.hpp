#ifndef CITRONWICK_CONTROL_FLEET_CHANNEL_HPP_INCLUDED
#define CITRONWICK_CONTROL_FLEET_CHANNEL_HPP_INCLUDED

#include "citronwick/io/task.hpp"
#include "citronwick/wire/envelope.hpp"
#include "citronwick/wire/replay_filter.hpp"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>

namespace citronwick {

/// Authenticated UDP datagrams between routers. Replayed and outdated datagrams are
/// dropped: each must be newer than all earlier ones of its sender.
class fleet_channel {
public:
    using receiver = std::function<void(const wire::header&, const wire::gossip&)>;

    /// @param from hash and incarnation of this router; the channel assigns sequence numbers
    fleet_channel(const asio::any_io_executor& executor, const wire::envelope& envelope, wire::header from);

    /// Sets the incarnation of this router if it was unknown at construction.
    void set_incarnation(std::uint64_t incarnation) { from_.incarnation = incarnation; }

    /// Binds the socket.
    /// @return the bound endpoint
    io_result<endpoint> open(const endpoint& listen);

    void close();

    /// Sends a message to another router. Delivery is not guaranteed; errors are ignored.
    /// @return bytes sent, including packet headers
    std::size_t send(const wire::gossip& message, const endpoint& target);

    /// Receives until the socket is closed.
    task<void> run(receiver receive);

private:
    static constexpr std::size_t max_datagram_bytes = 65'507;

    asio::ip::udp::socket socket_;
    const wire::envelope& envelope_;
    wire::header from_;
    wire::replay_filter replay_filter_;
    std::array<char, max_datagram_bytes> buffer_{};
};

} // namespace citronwick

#endif
