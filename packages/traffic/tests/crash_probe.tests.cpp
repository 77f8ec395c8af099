// What proves that an upstream's process has ended, where a router is refused.

#include "crash_probe.hpp"

#include "citronwick/fleet/reach_monitor.hpp"
#include "citronwick/traffic/tunnel_opener.hpp"
#include "citronwick/wire/envelope.hpp"
#include "reach_witness.hpp"
#include "tunnel_frame.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <memory>
#include <optional>
#include <vector>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

using acceptor = asio::ip::tcp::acceptor;

/// Another router, which gives one reply to all requests for tunnels.
class replying_router {
public:
    replying_router(asio::io_context& context, std::optional<wire::tunnel_result> result)
        : acceptor_{context, {asio::ip::address_v4::loopback(), 0}}, result_{result} {
        asio::co_spawn(context, accept(), asio::detached);
    }

    fleet_peer peer() const {
        return {.hash = 2, .incarnation = 7, .address = to_endpoint(acceptor_.local_endpoint())};
    }

private:
    task<void> accept() {
        while (true) {
            auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
            boost::beast::tcp_stream stream{std::move(socket)};
            auto sealed = co_await read_tunnel_frame(stream);
            if (sealed.has_error() || !result_) {
                continue;
            }
            const auto opened = envelope_.open<wire::tunnel_request>(*sealed, "test");
            const wire::tunnel_reply reply{opened->message.nonce, *result_};
            auto answer = envelope_.seal({peer().hash, peer().incarnation, ++sequence_}, reply);
            auto sent = co_await write_tunnel_frame(stream, std::move(answer));
        }
    }

    acceptor acceptor_;
    std::optional<wire::tunnel_result> result_; ///< nothing to close the connection
    wire::envelope envelope_{"fleet key"};
    std::uint32_t sequence_ = 0;
};

/// An address that refuses connections.
endpoint refusing_address(asio::io_context& context) {
    acceptor closed{context, {asio::ip::address_v4::loopback(), 0}};
    return to_endpoint(closed.local_endpoint());
}

/// Closes each connection in order, as a relay does that does not reach its target.
task<void> close_all(acceptor& relay) {
    while (true) {
        const auto closed = co_await relay.async_accept(asio::use_awaitable);
    }
}

template <class T>
T run(asio::io_context& context, task<T> work) {
    std::optional<T> result;
    asio::co_spawn(
        context,
        [&]() -> task<void> {
            result = co_await std::move(work);
            context.stop();
        },
        asio::detached);
    context.run();
    return *result;
}

boost::system::error_code probe_refusing_upstream(std::optional<wire::tunnel_result> reply) {
    asio::io_context context;
    reach_monitor reach;
    replying_router other{context, reply};
    reach.set_directory({.key = "fleet key", .self = 1, .incarnation = 5, .live = {other.peer()}});
    tunnel_opener tunnels{context.get_executor(), reach};
    return run(context, crash_probe::connect_after_pause(refusing_address(context),
                                                         crash_probe::shortest_time, &tunnels, std::nullopt));
}

} // namespace

TEST_CASE("a refused connect counts as the end of an upstream only if another router confirms it") {
    const boost::system::error_code ended = asio::error::connection_refused;
    CHECK(probe_refusing_upstream(wire::tunnel_result::refused) == ended);
    CHECK(probe_refusing_upstream(wire::tunnel_result::not_reached) != ended);
    CHECK(probe_refusing_upstream(wire::tunnel_result::unavailable) != ended);
    CHECK(probe_refusing_upstream(std::nullopt) != ended);
}

TEST_CASE("a connection that is closed at once does not show that an upstream lives") {
    asio::io_context context;
    acceptor relay{context, {asio::ip::address_v4::loopback(), 0}};
    const acceptor living{context, {asio::ip::address_v4::loopback(), 0}};
    asio::co_spawn(context, close_all(relay), asio::detached);
    const auto lives_on = [&](const endpoint& address) {
        context.restart();
        return run(context, crash_probe::lives_on(address, 1s, nullptr, std::nullopt));
    };
    const auto connect_error = [&](const endpoint& address) {
        context.restart();
        return run(context, crash_probe::connect_after_pause(address, crash_probe::shortest_time, nullptr,
                                                             std::nullopt));
    };
    CHECK(lives_on(to_endpoint(living.local_endpoint())));
    CHECK_FALSE(lives_on(to_endpoint(relay.local_endpoint())));
    CHECK_FALSE(connect_error(to_endpoint(living.local_endpoint())));
    CHECK(connect_error(to_endpoint(relay.local_endpoint())) == asio::error::eof);
}

TEST_CASE("a refusal proves the end of an upstream only on a router that reaches another one") {
    asio::io_context context;
    acceptor living{context, {asio::ip::address_v4::loopback(), 0}};
    const endpoint refusing = refusing_address(context);
    const routed_upstream refused{.entry = {.address = refusing}, .hash = 1};
    const routed_upstream also_refused{.entry = {.address = refusing_address(context)}, .hash = 2};
    const routed_upstream reached{.entry = {.address = to_endpoint(living.local_endpoint())}, .hash = 3};
    reach_monitor reach;
    reach_witness witness{reach};
    const auto has_ended = [&](const endpoint& address, std::vector<routed_upstream> known) {
        context.restart();
        return run(context, witness.has_ended(address, std::move(known), 300ms));
    };
    CHECK(has_ended(refusing, {refused, also_refused, reached}));
    CHECK_FALSE(has_ended(refusing, {refused, also_refused}));
    CHECK_FALSE(has_ended(refusing, {refused}));
    // It accepts connections again at the second attempt.
    const acceptor returned{context, {asio::ip::address_v4::loopback(), 0}};
    CHECK_FALSE(has_ended(to_endpoint(returned.local_endpoint()), {refused, reached}));
}
