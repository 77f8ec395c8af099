#include "reach_prober.hpp"

#include "citronwick/fleet/reach_monitor.hpp"
#include "citronwick/fleet/routing_plane.hpp"
#include "citronwick/io/spawn.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <iterator>
#include <ranges>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds check_interval = 100ms;
constexpr std::chrono::milliseconds connect_timeout = 300ms;
/// Time for the reset of a connection that was established and then not accepted.
constexpr std::chrono::milliseconds reset_delay = 10ms;

std::vector<routed_upstream> all_upstreams(const routing_view& view) {
    std::vector<routed_upstream> all;
    for (const auto& upstreams : view.upstreams | std::views::values) {
        std::ranges::copy(upstreams, std::back_inserter(all));
    }
    return all;
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
    const auto address = to_tcp(target.entry.address);
    boost::beast::tcp_stream stream{executor_};
    open_outbound(stream.socket(), address);
    stream.expires_after(connect_timeout);
    auto [error] = co_await stream.async_connect(address, use_tuple);
    if (!error) {
        std::array<char, 1> byte{};
        const auto space = asio::buffer(byte);
        stream.expires_after(reset_delay);
        auto [read_error, size] = co_await stream.async_read_some(space, use_tuple);
        if (read_error == boost::beast::error::timeout) {
            plane_.reach().record_reached(target.hash, clock::now());
            co_return;
        }
        error = read_error;
    }
    const auto cause = error == boost::beast::error::timeout ? upstream_reach::connect_failure::timed_out
                                                             : upstream_reach::connect_failure::refused;
    plane_.reach().record_not_reached(target.hash, cause, clock::now());
    if (!plane_.reach().is_cut()) {
        co_await ask_peers(std::move(target));
    }
}

task<void> reach_prober::ask_peers(routed_upstream target) {
    constexpr std::chrono::milliseconds timeout = 2 * connect_timeout;
    endpoint address = target.entry.address;
    auto opened = co_await tunnels_.open(std::move(address), target.hash, timeout);
    if (opened.has_value()) {
        plane_.reach().record_reached_by_peer(target.hash, clock::now());
    }
}

} // namespace citronwick
