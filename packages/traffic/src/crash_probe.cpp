#include "crash_probe.hpp"

#include "citronwick/fleet/routing_plane.hpp"
#include "citronwick/fleet/routing_view.hpp"
#include "citronwick/fleet/upstream_observations.hpp"
#include "citronwick/io/spawn.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Time for an upstream that ends to close its listener after its connections.
constexpr std::chrono::milliseconds probe_delay = 100ms;
constexpr std::chrono::milliseconds connect_timeout = crash_probe::longest_time - probe_delay;
/// Time for the reset of a connection that such an upstream had not accepted.
constexpr std::chrono::milliseconds reset_delay = 10ms;

} // namespace

void crash_probe::start(const asio::any_io_executor& executor, const routed_upstream& upstream) {
    if (in_progress_.insert(upstream.hash).second) {
        spawn_logged(executor, "crash_probe", run(upstream.entry.address, upstream.hash),
                     [this, hash = upstream.hash] { in_progress_.erase(hash); });
    }
}

task<boost::system::error_code> crash_probe::connect_after_pause(endpoint address) {
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer{executor, probe_delay};
    co_await timer.async_wait(use_tuple);
    const auto peer = to_tcp(address);
    boost::beast::tcp_stream stream{executor};
    open_outbound(stream.socket(), peer);
    stream.expires_after(connect_timeout);
    auto [error] = co_await stream.async_connect(peer, use_tuple);
    co_return error;
}

task<bool> crash_probe::lives_on(endpoint address, std::chrono::milliseconds timeout) {
    const auto executor = co_await asio::this_coro::executor;
    const auto peer = to_tcp(address);
    boost::beast::tcp_stream first{executor};
    open_outbound(first.socket(), peer);
    first.expires_after(std::min(timeout, connect_timeout));
    auto [error] = co_await first.async_connect(peer, use_tuple);
    // The kernel resets connections that a process has not accepted when it closes the listener.
    // The reset may be found while connecting.
    if (error && error != asio::error::connection_reset) {
        co_return false;
    }
    if (!error) {
        std::array<char, 1> byte{};
        const auto space = asio::buffer(byte);
        first.expires_after(std::min(timeout, reset_delay));
        auto [read_error, size] = co_await first.async_read_some(space, use_tuple);
        if (read_error == boost::beast::error::timeout) {
            co_return true;
        }
    }
    // An upstream that has too many connections resets some as well, but does not refuse the next one.
    boost::beast::tcp_stream second{executor};
    open_outbound(second.socket(), peer);
    second.expires_after(std::min(timeout, connect_timeout));
    auto [second_error] = co_await second.async_connect(peer, use_tuple);
    co_return !second_error || second_error == asio::error::connection_reset;
}

task<void> crash_probe::run(endpoint address, std::uint64_t upstream) {
    const auto error = co_await connect_after_pause(std::move(address));
    in_progress_.erase(upstream);
    if (error == asio::error::connection_refused) {
        plane_.observations().record_unreachable(upstream, clock::now());
        plane_.report_refusing_upstream(upstream);
    }
}

} // namespace citronwick
