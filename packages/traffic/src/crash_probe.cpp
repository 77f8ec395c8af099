#include "crash_probe.hpp"

#include "citronwick/core/hash.hpp"
#include "citronwick/fleet/routing_plane.hpp"
#include "citronwick/fleet/routing_view.hpp"
#include "citronwick/fleet/upstream_observations.hpp"
#include "citronwick/io/spawn.hpp"
#include "citronwick/policy/dead_peer_timing.hpp"
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
/// Time for one round of connects.
constexpr std::chrono::milliseconds connect_timeout = crash_probe::shortest_time - probe_delay;
/// Time for the reset of a connection that such an upstream had not accepted.
constexpr std::chrono::milliseconds reset_delay = 10ms;
/// Time after which an upstream that still answers no connect is not taken for a sound one. The last
/// round begins behind the longest silence of those.
constexpr auto longest_silence =
    std::chrono::duration_cast<std::chrono::milliseconds>(longest_sound_silence) + connect_timeout;

/// Whether a connect tells of the process. One without an answer tells of the way to it only.
bool is_answer(const boost::system::error_code& error) {
    return !error || error == asio::error::connection_refused || error == asio::error::connection_reset ||
           error == asio::error::eof;
}

task<boost::system::error_code> connect_once(boost::beast::tcp_stream& stream, endpoint address,
                                             std::chrono::milliseconds timeout) {
    const auto peer = to_tcp(address);
    open_outbound(stream.socket(), peer);
    stream.expires_after(std::min(timeout, connect_timeout));
    auto [error] = co_await stream.async_connect(peer, use_tuple);
    co_return error;
}

/// Waits for the end of a new connection on which nothing is sent. The kernel resets one that a process
/// has not accepted when it closes its listener. A relay whose upstream has ended closes it in order.
/// @return how it ended; none if it lasts
task<boost::system::error_code> wait_for_end(boost::beast::tcp_stream& stream,
                                             std::chrono::milliseconds timeout) {
    std::array<char, 1> byte{};
    const auto space = asio::buffer(byte);
    stream.expires_after(timeout);
    auto [error, size] = co_await stream.async_read_some(space, use_tuple);
    if (error == boost::beast::error::timeout) {
        co_return boost::system::error_code{};
    }
    co_return error ? error : asio::error::connection_reset;
}

/// Waits for the end of a round of connects.
task<void> wait_for_next_round(time_point begin, time_point end) {
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer{executor, std::min(begin + connect_timeout, end)};
    co_await timer.async_wait(use_tuple);
}

std::chrono::milliseconds time_until(time_point end) {
    return std::max(std::chrono::ceil<std::chrono::milliseconds>(end - clock::now()), 1ms);
}

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
    const auto ended = co_await wait_for_end(*opened->stream, std::min(timeout, 2 * reset_delay));
    co_return ended;
}

task<boost::system::error_code> crash_probe::connect_after_pause(endpoint address,
                                                                 std::chrono::milliseconds timeout,
                                                                 tunnel_opener* tunnels,
                                                                 std::optional<fleet_peer> through) {
    const auto executor = co_await asio::this_coro::executor;
    const auto end = clock::now() + std::min(timeout, probe_delay + longest_silence);
    asio::steady_timer timer{executor, probe_delay};
    co_await timer.async_wait(use_tuple);
    while (true) {
        const auto begin = clock::now();
        endpoint asked = address;
        auto way = through;
        const auto error =
            co_await connect_directly_or_through(std::move(asked), tunnels, std::move(way), time_until(end));
        if (is_answer(error) || clock::now() >= end) {
            co_return error;
        }
        co_await wait_for_next_round(begin, end);
    }
}

task<boost::system::error_code> crash_probe::connect_directly_or_through(endpoint address,
                                                                         tunnel_opener* tunnels,
                                                                         std::optional<fleet_peer> through,
                                                                         std::chrono::milliseconds timeout) {
    const auto ask_timeout = std::min(timeout, connect_timeout);
    if (tunnels != nullptr && (through || tunnels->is_needed())) {
        auto told = co_await ask_peers(std::move(address), *tunnels, std::move(through), ask_timeout);
        co_return told;
    }
    const auto executor = co_await asio::this_coro::executor;
    boost::beast::tcp_stream stream{executor};
    endpoint asked = address;
    const auto error = co_await connect_once(stream, std::move(asked), timeout);
    if (error == asio::error::connection_refused && tunnels != nullptr && tunnels->has_peers()) {
        std::optional<fleet_peer> any;
        auto told = co_await ask_peers(std::move(address), *tunnels, std::move(any), ask_timeout);
        co_return told;
    }
    if (error) {
        co_return error;
    }
    const auto ended = co_await wait_for_end(stream, std::min(timeout, reset_delay));
    co_return ended;
}

task<bool> crash_probe::lives_on(endpoint address, std::chrono::milliseconds timeout, tunnel_opener* tunnels,
                                 std::optional<fleet_peer> through) {
    const auto end = clock::now() + std::min(timeout, longest_silence);
    while (true) {
        const auto begin = clock::now();
        endpoint asked = address;
        auto way = through;
        const auto lives =
            co_await find_whether_it_lives(std::move(asked), time_until(end), tunnels, std::move(way));
        if (lives || clock::now() >= end) {
            co_return lives.value_or(false);
        }
        co_await wait_for_next_round(begin, end);
    }
}

task<std::optional<bool>> crash_probe::find_whether_it_lives(endpoint address,
                                                             std::chrono::milliseconds timeout,
                                                             tunnel_opener* tunnels,
                                                             std::optional<fleet_peer> through) {
    std::optional<bool> lives;
    const bool is_direct = !through && (tunnels == nullptr || !tunnels->is_needed());
    if (is_direct) {
        endpoint asked = address;
        lives = co_await find_directly_whether_it_lives(std::move(asked), timeout);
        if (lives == true || tunnels == nullptr) {
            co_return lives;
        }
    }
    const auto ask_timeout = std::min(timeout, connect_timeout);
    const auto error = co_await ask_peers(std::move(address), *tunnels, std::move(through), ask_timeout);
    co_return is_answer(error) ? std::optional{!error} : lives;
}

task<std::optional<bool>> crash_probe::find_directly_whether_it_lives(endpoint address,
                                                                      std::chrono::milliseconds timeout) {
    const auto executor = co_await asio::this_coro::executor;
    boost::beast::tcp_stream first{executor};
    endpoint asked = address;
    const auto error = co_await connect_once(first, std::move(asked), timeout);
    // The reset of a connection that was not accepted may be found while connecting.
    if (error && error != asio::error::connection_reset) {
        co_return is_answer(error) ? std::optional{false} : std::nullopt;
    }
    if (!error) {
        const auto ended = co_await wait_for_end(first, std::min(timeout, reset_delay));
        if (!ended || ended == asio::error::eof) {
            co_return !ended;
        }
    }
    // An upstream that has too many connections resets some as well, but does not refuse the next one.
    boost::beast::tcp_stream second{executor};
    const auto second_error = co_await connect_once(second, std::move(address), timeout);
    co_return is_answer(second_error) ? std::optional{second_error != asio::error::connection_refused}
                                      : std::nullopt;
}

task<void> crash_probe::run(endpoint address, std::uint64_t upstream) {
    std::optional<fleet_peer> direct;
    endpoint asked = address;
    const auto error =
        co_await connect_after_pause(std::move(asked), shortest_time, &tunnels_, std::move(direct));
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
