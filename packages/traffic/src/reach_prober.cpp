#include "reach_prober.hpp"

#include "citronwick/fleet/reach_monitor.hpp"
#include "citronwick/fleet/routing_plane.hpp"
#include "citronwick/io/spawn.hpp"
#include "direct_connect.hpp"
#include "reach_witness.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <iterator>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds check_interval = 100ms;
constexpr std::chrono::milliseconds connect_timeout = 300ms;

/// Whether a connection on which nothing is expected has not been closed.
bool is_open(boost::beast::tcp_stream& stream) {
    std::array<char, 1> byte{};
    boost::system::error_code error;
    stream.socket().non_blocking(true, error);
    stream.socket().receive(asio::buffer(byte), asio::socket_base::message_peek, error);
    return error == asio::error::would_block;
}

} // namespace

reach_prober::reach_prober(asio::any_io_executor executor, routing_plane& plane)
    : executor_{executor}, plane_{plane}, tunnels_{std::move(executor), plane.reach()} {}

task<void> reach_prober::run() {
    asio::steady_timer timer{executor_};
    while (true) {
        timer.expires_after(check_interval);
        co_await timer.async_wait(use_tuple);
        if (!plane_.reach().needs_check()) {
            continue;
        }
        const auto upstreams = all_upstreams(*plane_.view());
        std::vector<std::uint64_t> known;
        std::ranges::transform(upstreams, std::back_inserter(known), &routed_upstream::hash);
        for (const std::uint64_t due : plane_.reach().due_probes(known, clock::now())) {
            const auto target = std::ranges::find(upstreams, due, &routed_upstream::hash);
            spawn_logged(executor_, "reach_probe", probe(*target));
        }
    }
}

task<void> reach_prober::probe(routed_upstream target) {
    endpoint address = target.entry.address;
    const auto error = co_await try_direct_connect(std::move(address), connect_timeout);
    if (!error) {
        plane_.reach().record_reached(target.hash, clock::now());
        co_return;
    }
    plane_.reach().record_not_reached(target.hash, connect_failure_of(error), clock::now());
    if (!plane_.reach().is_cut()) {
        co_await ask_peers(std::move(target));
    }
}

task<void> reach_prober::ask_peers(routed_upstream target) {
    constexpr std::chrono::milliseconds timeout = 2 * connect_timeout;
    endpoint address = target.entry.address;
    auto opened = co_await tunnels_.open(std::move(address), target.hash, timeout);
    if (opened.has_error()) {
        co_return;
    }
    // The upstream may have come back since the probe, or ended again since the reply.
    endpoint again = target.entry.address;
    const auto error = co_await try_direct_connect(std::move(again), connect_timeout);
    if (!error) {
        plane_.reach().record_reached(target.hash, clock::now());
    } else if (is_open(*opened->stream)) {
        plane_.reach().record_not_reached(target.hash, connect_failure_of(error), clock::now());
        plane_.reach().record_reached_by_peer(target.hash, clock::now());
    }
}

} // namespace citronwick
