#include "citronwick/traffic/tunnel_opener.hpp"

#include "citronwick/config/io_result_of.hpp"
#include "citronwick/core/hash.hpp"
#include "citronwick/fleet/reach_monitor.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/wire/envelope.hpp"
#include "tunnel_frame.hpp"

#include <algorithm>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Routers that are asked for one connection. Those that are cut say so at once.
constexpr std::size_t max_asked = 8;
/// Part of the time left that one router may take while there are others to ask.
constexpr int time_divisor = 3;
/// Time for a router's answer beyond the connect that it is asked for.
constexpr std::chrono::milliseconds reply_margin = 50ms;
constexpr std::chrono::milliseconds min_connect_timeout = 20ms;
/// Time for one router's connect to an upstream.
constexpr std::chrono::milliseconds max_connect_timeout = 300ms;

const char* step_of(wire::tunnel_result result) {
    switch (result) {
    case wire::tunnel_result::refused:
        return tunnel_opener::refused_step;
    case wire::tunnel_result::not_reached:
        return tunnel_opener::not_reached_step;
    default:
        return tunnel_opener::no_peer_step;
    }
}

const char* detail_of(wire::tunnel_result result) {
    switch (result) {
    case wire::tunnel_result::refused:
        return "the upstream refused the connection";
    case wire::tunnel_result::not_reached:
        return "the router did not reach the upstream";
    case wire::tunnel_result::not_allowed:
        return "the router knows no such upstream, or not this router";
    default:
        return "the router cannot connect now";
    }
}

} // namespace

tunnel_opener::tunnel_opener(asio::any_io_executor executor, reach_monitor& reach)
    : executor_{std::move(executor)}, reach_{reach} {}

bool tunnel_opener::is_needed() const {
    return reach_.is_cut();
}

bool tunnel_opener::has_peers() const {
    return !reach_.directory()->live.empty();
}

task<io_result<opened_tunnel>> tunnel_opener::open(endpoint upstream, std::uint64_t request,
                                                   std::chrono::milliseconds timeout) {
    const auto deadline = clock::now() + timeout;
    auto peers = reach_.ranked_peers(request, clock::now());
    peers.resize(std::min(peers.size(), max_asked));
    failure last{no_peer_step, to_text(upstream), "no other router is live"};
    for (const fleet_peer& peer : peers) {
        const auto left = std::chrono::floor<std::chrono::milliseconds>(deadline - clock::now());
        if (left <= min_connect_timeout) {
            break;
        }
        const bool is_last = &peer == &peers.back();
        fleet_peer asked = peer;
        endpoint address = upstream;
        auto opened =
            co_await open_through(std::move(asked), std::move(address), is_last ? left : left / time_divisor);
        if (opened.has_value()) {
            co_return opened;
        }
        if (opened.error().step == refused_step) {
            last = opened.error();
            continue;
        }
        reach_.record_peer_failure(peer.hash, clock::now());
        last = last.step == refused_step ? last : opened.error();
    }
    co_return last;
}

task<io_result<opened_tunnel>> tunnel_opener::open_through(fleet_peer peer, endpoint upstream,
                                                           std::chrono::milliseconds timeout) {
    const auto known = reach_.directory();
    const std::string name = to_text(peer.address);
    if (known->key.empty() || known->incarnation == 0) {
        co_return failure{no_peer_step, name, "this router is not registered yet"};
    }
    const auto connect_timeout = std::clamp(timeout - reply_margin, min_connect_timeout, max_connect_timeout);
    auto stream = std::make_shared<boost::beast::tcp_stream>(executor_);
    const auto address = to_tcp(peer.address);
    open_outbound(stream->socket(), address);
    stream->expires_after(std::min(timeout, connect_timeout + reply_margin));
    auto [error] = co_await stream->async_connect(address, use_tuple);
    if (error) {
        co_return failure{no_peer_step, name, error.message()};
    }
    boost::system::error_code ignored;
    stream->socket().set_option(asio::ip::tcp::no_delay{true}, ignored);
    const wire::envelope envelope{known->key};
    const wire::tunnel_request request{.upstream = to_text(upstream),
                                       .timeout = static_cast<std::uint16_t>(connect_timeout.count()),
                                       .receiver = peer.hash,
                                       .receiver_incarnation = peer.incarnation,
                                       .nonce = hash64(random_id())};
    auto sealed = envelope.seal({known->self, known->incarnation, reach_.next_sequence()}, request);
    auto sent = co_await write_tunnel_frame(*stream, std::move(sealed));
    if (sent.has_error()) {
        co_return failure{no_peer_step, name, sent.error().detail};
    }
    auto frame = co_await read_tunnel_frame(*stream);
    if (frame.has_error()) {
        co_return failure{no_peer_step, name, frame.error().detail};
    }
    const auto reply = io_result_of<wire::opened_message<wire::tunnel_reply>>(
        [&] { return envelope.open<wire::tunnel_reply>(*frame, name); });
    if (reply.has_error() || reply->header.sender != peer.hash ||
        reply->header.incarnation != peer.incarnation || reply->message.nonce != request.nonce) {
        co_return failure{no_peer_step, name, "the reply is not authentic"};
    }
    if (reply->message.result != wire::tunnel_result::connected) {
        co_return failure{step_of(reply->message.result), name, detail_of(reply->message.result)};
    }
    stream->expires_never();
    co_return opened_tunnel{std::move(stream), std::move(peer)};
}

} // namespace citronwick
