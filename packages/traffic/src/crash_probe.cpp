#include "crash_probe.hpp"

#include "citronwick/fleet/routing_plane.hpp"
#include "citronwick/fleet/routing_view.hpp"
#include "citronwick/fleet/upstream_observations.hpp"
#include "citronwick/io/spawn.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Time for an upstream that ends to close its listener after its connections.
constexpr std::chrono::milliseconds probe_delay = 100ms;
constexpr std::chrono::milliseconds connect_timeout = crash_probe::longest_time - probe_delay;

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

task<void> crash_probe::run(endpoint address, std::uint64_t upstream) {
    const auto error = co_await connect_after_pause(std::move(address));
    in_progress_.erase(upstream);
    if (error == asio::error::connection_refused) {
        plane_.observations().record_unreachable(upstream, clock::now());
        plane_.report_refusing_upstream(upstream);
    }
}

} // namespace citronwick
