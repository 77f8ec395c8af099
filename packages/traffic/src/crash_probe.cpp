#include "crash_probe.hpp"

#include "citronwick/core/hash.hpp"
#include "citronwick/fleet/routing_plane.hpp"
#include "citronwick/fleet/routing_view.hpp"
#include "citronwick/fleet/upstream_observations.hpp"
#include "citronwick/io/spawn.hpp"
#include "citronwick/traffic/tunnel_opener.hpp"
#include "reach_witness.hpp"

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

/// Connects through another router and waits for a reset.
/// @param through router to ask, any if empty
task<boost::system::error_code> crash_probe::ask_peers(endpoint address, tunnel_opener& tunnels,
                                                       std::optional<fleet_peer> through,
                                                       std::chrono::milliseconds timeout) {
    const std::uint64_t spread = hash64(to_text(address));
    io_result<opened_tunnel> opened{failure{}};
    if (through) {
        opened = co_await tunnels.open_through(std::move(*through), std::move(address), timeout);
    } else {
        opened = co_await tunnels.open(std::move(address), spread, timeout);
    }
    if (opened.has_error()) {
        co_return opened.error().step == tunnel_opener::refused_step ? asio::error::connection_refused
                                                                     : asio::error::timed_out;
    }
    std::array<char, 1> byte{};
    const auto space = asio::buffer(byte);
    opened->stream->expires_after(std::min(timeout, 2 * reset_delay));
    auto [read_error, size] = co_await opened->stream->async_read_some(space, use_tuple);
    if (read_error == boost::beast::error::timeout) {
        co_return boost::system::error_code{};
    }
    co_return read_error ? read_error : asio::error::connection_reset;
}

task<boost::system::error_code> crash_probe::connect_after_pause(endpoint address, tunnel_opener* tunnels,
                                                                 std::optional<fleet_peer> through) {
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer{executor, probe_delay};
    co_await timer.async_wait(use_tuple);
    if (tunnels != nullptr && (through || tunnels->is_needed())) {
        auto told = co_await ask_peers(std::move(address), *tunnels, std::move(through), connect_timeout);
        co_return told;
    }
    const auto peer = to_tcp(address);
    boost::beast::tcp_stream stream{executor};
    open_outbound(stream.socket(), peer);
    stream.expires_after(connect_timeout);
    auto [error] = co_await stream.async_connect(peer, use_tuple);
    if (error == asio::error::connection_refused && tunnels != nullptr && tunnels->has_peers()) {
        std::optional<fleet_peer> any;
        auto told = co_await ask_peers(std::move(address), *tunnels, std::move(any), connect_timeout);
        co_return told;
    }
    co_return error;
}

task<bool> crash_probe::lives_on(endpoint address, std::chrono::milliseconds timeout, tunnel_opener* tunnels,
                                 std::optional<fleet_peer> through) {
    const bool is_direct = !through && (tunnels == nullptr || !tunnels->is_needed());
    if (is_direct) {
        endpoint asked = address;
        const bool lives = co_await lives_on_directly(std::move(asked), timeout);
        if (lives || tunnels == nullptr) {
            co_return lives;
        }
    }
    const auto ask_timeout = std::min(timeout, connect_timeout);
    const auto error = co_await ask_peers(std::move(address), *tunnels, std::move(through), ask_timeout);
    co_return !error;
}

task<bool> crash_probe::lives_on_directly(endpoint address, std::chrono::milliseconds timeout) {
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
    std::optional<fleet_peer> direct;
    endpoint asked = address;
    const auto error = co_await connect_after_pause(std::move(asked), &tunnels_, std::move(direct));
    in_progress_.erase(upstream);
    bool has_ended = error == asio::error::connection_refused && !tunnels_.is_needed();
    if (has_ended && !tunnels_.has_peers()) {
        reach_witness witness{plane_.reach()};
        auto known = all_upstreams(*plane_.view());
        has_ended = co_await witness.has_ended(std::move(address), std::move(known), connect_timeout);
    }
    if (has_ended) {
        plane_.observations().record_unreachable(upstream, clock::now());
        plane_.report_refusing_upstream(upstream);
    }
}

} // namespace citronwick
