// Connections of a routed request to its upstreams, directly or through another router.

#include "citronwick/fleet/reach_monitor.hpp"
#include "citronwick/fleet/routing_plane.hpp"
#include "citronwick/fleet/upstream_observations.hpp"
#include "citronwick/traffic/route_metrics.hpp"
#include "citronwick/traffic/tunnel_opener.hpp"
#include "route_context.hpp"
#include "route_exchange.hpp"
#include "upstream_exchange.hpp"

#include <algorithm>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds connect_timeout = 300ms;
/// Subtracted from the upstream's idle timeout, so that the upstream does not close
/// the connection while a request is being sent.
constexpr std::chrono::milliseconds idle_timeout_margin = 500ms;
/// Longest idle time of a connection that is reused for a request that must not be
/// repeated.
constexpr duration max_idle_for_unrepeatable = 4s;

bool lacks_descriptors(const io_result<void>& connected) {
    return connected.has_error() && connected.error().step == upstream_connection::open_step;
}

} // namespace

/// Whether the attempt's upstream is to be reached through another router.
bool route_exchange::needs_peer() const {
    return context_.plane.reach().is_cut() || !placement_->is_reachable;
}

/// Takes an idle connection to the attempt's upstream, or a new one. Open direct connections of a
/// router that is cut are used unless they hang.
std::unique_ptr<upstream_connection> route_exchange::acquire_connection(time_point now) {
    const duration max_idle = is_repeatable(route_->kind) ? duration::max() : max_idle_for_unrepeatable;
    const endpoint& address = placement_->upstream.entry.address;
    if (context_.plane.reach().connections_hang()) {
        context_.pool.close_idle();
    }
    auto connection = context_.pool.acquire(address, placement_request_.request_hash, now, max_idle);
    if (!connection->is_open() && needs_peer()) {
        connection = context_.relayed.acquire(address, placement_request_.request_hash, now, max_idle);
    }
    return connection;
}

void route_exchange::release_connection(std::unique_ptr<upstream_connection> connection) {
    if (!connection->reusable()) {
        return;
    }
    const auto traits = context_.dialect.read_response(connection->header());
    const duration idle_timeout =
        traits.idle_timeout ? duration{*traits.idle_timeout - idle_timeout_margin} : duration::max();
    if (connection->through()) {
        context_.relayed.release(std::move(connection), clock::now(), idle_timeout);
    } else {
        context_.pool.release(std::move(connection), clock::now(), idle_timeout);
    }
}

/// Connects through another router if the upstream is not reached directly. If none can be asked,
/// the upstream may be reached directly after all.
task<io_result<void>> route_exchange::connect(upstream_connection& connection,
                                              std::chrono::milliseconds timeout) {
    if (needs_peer()) {
        auto relayed = co_await connection.connect_through_peer(placement_request_.request_hash, timeout);
        if (relayed.has_value() || relayed.error().step != tunnel_opener::no_peer_step) {
            co_return relayed;
        }
    }
    const auto time_left = std::clamp(remaining_time(clock::now()), 1ms, connect_timeout);
    auto connected = co_await connection.connect(time_left);
    co_return connected;
}

/// Records whether this router reaches the upstream by itself. A new connection that is reset before
/// a response may not have been accepted.
void route_exchange::record_reach(const upstream_connection& connection, const exchange_result& result) {
    reach_monitor& reach = context_.plane.reach();
    if (connection.through() || !is_new_connection_) {
        return;
    }
    const auto now = clock::now();
    if (result.outcome == attempt_outcome::answered || result.outcome == attempt_outcome::not_run) {
        reach.record_reached(placement_->upstream.hash, now);
    } else if (result.is_broken && !caller_.disconnected()) {
        reach.record_not_reached(placement_->upstream.hash, upstream_reach::connect_failure::refused, now);
    }
}

task<void> route_exchange::connect_if_needed(upstream_connection& connection, exchange_result& result) {
    is_new_connection_ = !connection.is_open();
    is_relayed_ = connection.through().has_value();
    if (connection.is_open()) {
        co_return;
    }
    const auto now = clock::now();
    const auto timeout = std::clamp(remaining_time(now), 1ms, connect_timeout);
    auto connected = co_await connect(connection, timeout);
    if (lacks_descriptors(connected)) {
        context_.pool.close_idle();
        connected = co_await connect(connection, timeout);
    }
    is_relayed_ = connection.through().has_value();
    if (lacks_descriptors(connected)) {
        result = {attempt_outcome::not_sent, to_text(connected.error())};
        refusal_before_send_ =
            problem{503, "no-descriptors", "the router cannot open a connection now", outcome::not_run, 1s};
        co_return;
    }
    context_.counters.count_connection(service_->name);
    if (connected.has_error()) {
        result = {attempt_outcome::not_sent, to_text(connected.error())};
        reach_monitor& reach = context_.plane.reach();
        if (connected.error().step == upstream_connection::connect_step) {
            const bool is_timeout =
                connected.error().detail == make_error_code(boost::beast::error::timeout).message();
            reach.record_not_reached(placement_->upstream.hash,
                                     is_timeout ? upstream_reach::connect_failure::timed_out
                                                : upstream_reach::connect_failure::refused,
                                     clock::now());
        }
        context_.plane.observations().record_unreachable(placement_->upstream.hash, clock::now());
    }
}

/// Whether the service has an upstream that this request has not tried.
bool route_exchange::has_untried_upstream() const {
    const auto view = context_.plane.view();
    const auto found = view->upstreams.find(service_->name);
    return found != view->upstreams.end() &&
           std::ranges::any_of(found->second, [this](const routed_upstream& each) {
               const auto& version = placement_request_.version;
               const auto& tried = placement_request_.tried;
               return (!version || each.entry.version == *version) &&
                      std::ranges::find(tried, each.hash) == tried.end();
           });
}

} // namespace citronwick
