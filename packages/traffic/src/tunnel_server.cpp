#include "tunnel_server.hpp"

#include "citronwick/fleet/reach_monitor.hpp"
#include "citronwick/fleet/routing_plane.hpp"
#include "citronwick/fleet/routing_view.hpp"
#include "citronwick/io/accept_failures.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/io/spawn.hpp"
#include "citronwick/traffic/process_limits.hpp"
#include "citronwick/wire/envelope.hpp"
#include "reach_witness.hpp"
#include "tunnel_frame.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <netinet/tcp.h>
#include <vector>

namespace citronwick {

namespace {

using namespace std::chrono_literals;
using boost::beast::tcp_stream;

/// Time for a connection to bring a request and to take the reply.
constexpr std::chrono::milliseconds request_timeout = 1s;
constexpr std::chrono::milliseconds max_connect_timeout = 1s;
/// Time without a byte in either direction after which a tunnel is reset.
constexpr std::chrono::milliseconds idle_limit = 60s;
constexpr std::size_t buffer_bytes = 8'192;
/// Part of the upstreams' connections that tunnels may take; each takes two descriptors.
constexpr std::size_t tunnel_divisor = 4;
/// TCP keepalive probes, which find out that a VM has lost power.
constexpr int keepalive_idle_s = 2;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probes = 3;

/// Makes the kernel reset the connection whenever it is closed, also at the end of the process, and
/// find out that its peer is gone.
void prepare(asio::ip::tcp::socket& socket) {
    namespace socket_option = boost::asio::detail::socket_option;
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger{true, 0}, ignored);
    socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
    socket.set_option(asio::socket_base::keep_alive{true}, ignored);
    socket.set_option(socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>{keepalive_idle_s}, ignored);
    socket.set_option(socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>{keepalive_interval_s}, ignored);
    socket.set_option(socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>{keepalive_probes}, ignored);
}

wire::tunnel_result result_of(const boost::system::error_code& error) {
    if (!error) {
        return wire::tunnel_result::connected;
    }
    // A reset says nothing of the upstream's process: this router may be cut without knowing.
    return error == asio::error::connection_refused ? wire::tunnel_result::refused
                                                    : wire::tunnel_result::not_reached;
}

} // namespace

/// Both connections of a tunnel.
struct tunnel_server::tunnel {
    explicit tunnel(asio::ip::tcp::socket accepted)
        : router{std::move(accepted)}, upstream{router.get_executor()}, idle_timer{router.get_executor()} {}

    void reset() {
        router.close();
        upstream.close();
        is_open = false;
        idle_timer.cancel();
    }

    tcp_stream router;
    tcp_stream upstream;
    asio::steady_timer idle_timer;
    time_point active_at = clock::now(); ///< when a byte last arrived
    int open_directions = 2;
    bool is_open = true;
};

tunnel_server::tunnel_server(asio::any_io_executor executor, const traffic_settings& settings,
                             routing_plane& plane)
    : executor_{std::move(executor)}, plane_{plane}, acceptor_{executor_},
      max_tunnels_{std::max<std::size_t>(shares_in_force(settings).upstreams / tunnel_divisor, 1)} {}

io_result<endpoint> tunnel_server::open(const endpoint& listen) {
    return open_listener(acceptor_, listen, "listen for tunnels");
}

task<void> tunnel_server::serve() {
    accept_failures failures{"tunnels"};
    while (acceptor_.is_open()) {
        asio::ip::tcp::socket socket{executor_};
        auto [error] = co_await acceptor_.async_accept(socket, use_tuple);
        if (error) {
            co_await failures.handle(error, clock::now());
            continue;
        }
        if (*open_ < max_tunnels_) {
            spawn_logged(executor_, "tunnel", serve_connection(std::move(socket)));
        }
    }
}

task<void> tunnel_server::serve_connection(asio::ip::tcp::socket socket) {
    ++*open_;
    const std::shared_ptr<void> counted{open_.get(), [count = open_](void*) { --*count; }};
    boost::system::error_code ignored;
    const std::string peer = to_text(to_endpoint(socket.remote_endpoint(ignored)));
    prepare(socket);
    auto both = std::make_shared<tunnel>(std::move(socket));
    both->router.expires_after(request_timeout);
    auto sealed = co_await read_tunnel_frame(both->router);
    if (sealed.has_error()) {
        co_return;
    }
    const auto request = gate_.open(*sealed, peer, *plane_.reach().directory(), *plane_.view());
    if (request.has_error()) {
        log_failure("tunnel_refused", request.error());
        co_return;
    }
    wire::tunnel_reply reply{request->nonce, wire::tunnel_result::unavailable};
    if (!plane_.reach().is_cut() && !is_stopping_) {
        accepted_tunnel asked = *request;
        reply.result = co_await connect(*both, std::move(asked));
    }
    const auto known = plane_.reach().directory();
    auto sealed_reply = wire::envelope{known->key}.seal(
        {known->self, known->incarnation, plane_.reach().next_sequence()}, reply);
    both->router.expires_after(request_timeout);
    auto sent = co_await write_tunnel_frame(both->router, std::move(sealed_reply));
    log_info("tunnel_opened", {{"router", peer},
                               {"upstream", to_text(request->upstream)},
                               {"result", std::to_string(static_cast<int>(reply.result))},
                               {"open", std::to_string(*open_)}});
    if (sent.has_error()) {
        co_return;
    }
    if (reply.result != wire::tunnel_result::connected) {
        // The reply would be lost if the connection were reset.
        both->router.socket().shutdown(asio::socket_base::shutdown_send, ignored);
        auto end = co_await read_tunnel_frame(both->router);
        co_return;
    }
    prepare(both->upstream.socket());
    co_await relay(std::move(both));
}

/// A refusal is reported only if this router is not cut: the other one takes it for the end of the
/// upstream's process.
task<wire::tunnel_result> tunnel_server::connect(tunnel& both, accepted_tunnel request) {
    const auto timeout = std::min(request.timeout, max_connect_timeout);
    const auto deadline = clock::now() + timeout;
    const auto address = to_tcp(request.upstream);
    open_outbound(both.upstream.socket(), address);
    both.upstream.expires_after(timeout);
    auto [error] = co_await both.upstream.async_connect(address, use_tuple);
    const auto result = result_of(error);
    if (result != wire::tunnel_result::refused) {
        co_return result;
    }
    const auto left = std::chrono::floor<std::chrono::milliseconds>(deadline - clock::now());
    reach_witness witness{plane_.reach()};
    auto known = all_upstreams(*plane_.view());
    const bool has_ended = co_await witness.has_ended(std::move(request.upstream), std::move(known), left);
    co_return has_ended ? result : wire::tunnel_result::not_reached;
}

task<void> tunnel_server::relay(std::shared_ptr<tunnel> both) {
    both->router.expires_never();
    both->upstream.expires_never();
    for (const bool to_upstream : {true, false}) {
        spawn_logged(executor_, "tunnel_direction", forward(both, to_upstream), [both] { both->reset(); });
    }
    while (both->is_open && clock::now() - both->active_at < idle_limit) {
        both->idle_timer.expires_at(both->active_at + idle_limit);
        co_await both->idle_timer.async_wait(use_tuple);
    }
    both->reset();
}

/// Forwards bytes in one direction until its end, which is passed on.
task<void> tunnel_server::forward(std::shared_ptr<tunnel> both, bool to_upstream) {
    tcp_stream& from = to_upstream ? both->router : both->upstream;
    tcp_stream& to = to_upstream ? both->upstream : both->router;
    std::vector<char> buffer(buffer_bytes);
    boost::system::error_code ended;
    while (!ended) {
        const auto space = asio::buffer(buffer);
        auto [read_error, size] = co_await from.socket().async_read_some(space, use_tuple);
        ended = read_error;
        if (!ended) {
            both->active_at = clock::now();
            const auto arrived = asio::buffer(buffer.data(), size);
            auto [write_error, written] = co_await asio::async_write(to.socket(), arrived, use_tuple);
            ended = write_error == asio::error::eof ? asio::error::connection_reset : write_error;
        }
    }
    --both->open_directions;
    boost::system::error_code shutdown_error = ended;
    if (ended == asio::error::eof) {
        to.socket().shutdown(asio::socket_base::shutdown_send, shutdown_error);
    }
    if (shutdown_error || both->open_directions == 0) {
        both->reset();
    }
}

} // namespace citronwick
