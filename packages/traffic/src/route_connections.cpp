// Connections of a routed request to its upstreams, directly or through another router.

#include "citronwick/fleet/reach_monitor.hpp"
#include "citronwick/fleet/routing_plane.hpp"
#include "citronwick/fleet/routing_settings.hpp"
#include "citronwick/fleet/upstream_observations.hpp"
#include "citronwick/traffic/route_metrics.hpp"
#include "early_connection.hpp"
#include "route_context.hpp"
#include "route_exchange.hpp"
#include "upstream_exchange.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

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

task<void> do_nothing() {
    co_return;
}

bool lacks_descriptors(const io_result<void>& connected) {
    return connected.has_error() && connected.error().step == upstream_connection::open_step;
}

} // namespace

/// Whether an upstream is to be reached through another router.
bool route_exchange::needs_peer(const routed_placement& placement) const {
    return context_.plane.reach().is_cut() || !placement.is_reachable;
}

/// Takes the connection that was opened for the attempt, an idle one to its upstream, or a new one.
std::unique_ptr<upstream_connection> route_exchange::acquire_connection(time_point now) {
    const auto early = std::exchange(early_connection_, nullptr);
    if (early && early->upstream() == placement_->upstream.hash && early->is_ready()) {
        return early->take();
    }
    return acquire_connection(*placement_, now);
}

/// Takes an idle connection to an upstream, or a new one. Open direct connections of a router that is
/// cut are used unless they hang.
std::unique_ptr<upstream_connection> route_exchange::acquire_connection(const routed_placement& placement,
                                                                        time_point now) {
    const duration max_idle = is_repeatable(route_->kind) ? duration::max() : max_idle_for_unrepeatable;
    const endpoint& address = placement.upstream.entry.address;
    if (context_.plane.reach().connections_hang()) {
        context_.pool.close_idle();
    }
    auto connection = context_.pool.acquire(address, placement_request_.request_hash, now, max_idle);
    if (!connection->is_open() && needs_peer(placement)) {
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
    is_new_connection_ = !connection.was_used();
    is_relayed_ = connection.through().has_value();
    if (connection.is_open()) {
        co_return;
    }
    const auto now = clock::now();
    const auto timeout = std::clamp(remaining_time(now), 1ms, connect_timeout);
    const bool through_peer = needs_peer(*placement_);
    const std::uint64_t request = placement_request_.request_hash;
    auto connected = co_await connect_to_upstream(connection, through_peer, request, timeout, deadline_);
    if (lacks_descriptors(connected)) {
        context_.pool.close_idle();
        connected = co_await connect_to_upstream(connection, through_peer, request, timeout, deadline_);
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
        record_connect_failure(placement_->upstream.hash, connected.error());
    }
}

void route_exchange::record_connect_failure(std::uint64_t upstream, const failure& error) {
    const auto now = clock::now();
    if (error.step == upstream_connection::connect_step) {
        const bool is_timeout = error.detail == make_error_code(boost::beast::error::timeout).message();
        context_.plane.reach().record_not_reached(upstream,
                                                  is_timeout ? upstream_reach::connect_failure::timed_out
                                                             : upstream_reach::connect_failure::refused,
                                                  now);
    }
    context_.plane.observations().record_unreachable(upstream, now);
}

/// Opens a connection for a repeat of a request whose response is overdue, if it may be repeated.
task<void> route_exchange::open_early_connection() {
    const auto now = clock::now();
    if ((early_connection_ && early_connection_->is_ready()) || !may_repeat_elsewhere(now)) {
        return do_nothing();
    }
    routed_placement_request request = placement_request_;
    request.may_use_limited = true;
    request.preferred.reset();
    std::ranges::copy(not_reached_early_, std::back_inserter(request.tried));
    const auto view = context_.plane.view();
    const auto chosen =
        choose_upstream(request, *view, context_.plane.observations(), context_.plane.limits(),
                        current_parameters(), context_.plane.settings().failure_domain, now);
    if (!chosen) {
        not_reached_early_.clear();
        return do_nothing();
    }
    auto connection = acquire_connection(*chosen, now);
    if (!connection->is_open()) {
        context_.counters.count_connection(service_->name);
    }
    early_connection_ = std::make_shared<early_connection>(chosen->upstream.hash, std::move(connection));
    return early_connection::open(early_connection_, needs_peer(*chosen), placement_request_.request_hash,
                                  std::clamp(remaining_time(now), 1ms, connect_timeout), deadline_);
}

/// Closes the connection to an upstream whose response is overdue once the request can be sent to
/// another one.
bool route_exchange::give_up_response(upstream_connection& connection) {
    if (!early_connection_) {
        return false;
    }
    if (const auto error = early_connection_->error()) {
        if (error->step != upstream_connection::open_step) {
            record_connect_failure(early_connection_->upstream(), *error);
        }
        not_reached_early_.push_back(early_connection_->upstream());
        early_connection_.reset();
        return false;
    }
    const bool gives_up = early_connection_->is_ready() && take_repeat();
    if (gives_up) {
        connection.close();
    }
    return gives_up;
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
