#include "citronwick/fleet/reach_monitor.hpp"

#include "citronwick/io/log.hpp"

#include <algorithm>
#include <iterator>
#include <optional>

namespace citronwick {

reach_monitor::reach_monitor() : directory_{std::make_shared<const fleet_directory>()} {}

void reach_monitor::record_reached(std::uint64_t upstream, time_point now) {
    const std::scoped_lock lock{mutex_};
    reach_.record_reached(upstream, now);
    publish();
}

void reach_monitor::record_not_reached(std::uint64_t upstream, upstream_reach::connect_failure cause,
                                       time_point now) {
    const std::scoped_lock lock{mutex_};
    reach_.record_not_reached(upstream, cause, now);
    publish();
}

void reach_monitor::record_reached_by_peer(std::uint64_t upstream, time_point now) {
    const std::scoped_lock lock{mutex_};
    reach_.record_reached_by_peer(upstream, now);
    publish();
}

void reach_monitor::record_sent(time_point now) {
    duration::rep none = 0;
    unanswered_since_.compare_exchange_strong(none, now.time_since_epoch().count(),
                                              std::memory_order_relaxed);
}

std::vector<std::uint64_t> reach_monitor::due_probes(const std::vector<std::uint64_t>& known,
                                                     time_point now) {
    const auto since = unanswered_since_.load(std::memory_order_relaxed);
    const auto unanswered_since = since == 0 ? std::nullopt : std::optional{time_point{duration{since}}};
    const std::scoped_lock lock{mutex_};
    auto due = reach_.due_probes(known, unanswered_since, now);
    publish();
    return due;
}

bool reach_monitor::needs_check() const {
    return is_cut() || has_failures_.load(std::memory_order_relaxed) ||
           unanswered_since_.load(std::memory_order_relaxed) != 0;
}

void reach_monitor::publish() {
    const bool is_cut = reach_.is_cut();
    connections_hang_.store(reach_.connections_hang(), std::memory_order_relaxed);
    has_failures_.store(reach_.has_failures(), std::memory_order_relaxed);
    if (is_cut_.exchange(is_cut, std::memory_order_relaxed) != is_cut) {
        log_warn(is_cut ? "cut_from_upstreams" : "cut_from_upstreams_ended",
                 {{"open_connections", reach_.connections_hang() ? "dropped" : "kept"},
                  {"live_routers", std::to_string(directory()->live.size())}});
    }
}

std::vector<fleet_peer> reach_monitor::ranked_peers(std::uint64_t request, time_point now) const {
    const auto known = directory();
    std::vector<std::uint64_t> hashes;
    std::ranges::transform(known->live, std::back_inserter(hashes), &fleet_peer::hash);
    {
        const std::scoped_lock lock{mutex_};
        hashes = peers_.rank(std::move(hashes), request, now);
    }
    std::vector<fleet_peer> ranked;
    std::ranges::transform(hashes, std::back_inserter(ranked), [&](std::uint64_t hash) {
        return *std::ranges::find(known->live, hash, &fleet_peer::hash);
    });
    return ranked;
}

void reach_monitor::record_peer_failure(std::uint64_t peer, time_point now) {
    const std::scoped_lock lock{mutex_};
    peers_.record_failure(peer, now);
}

bool reach_monitor::may_relay(const fleet_peer& peer) const {
    const auto known = directory();
    return std::ranges::any_of(known->live, [&peer](const fleet_peer& each) {
        return each.hash == peer.hash && each.incarnation == peer.incarnation;
    });
}

void reach_monitor::set_directory(fleet_directory next) {
    if (next != *directory()) {
        directory_.store(std::make_shared<const fleet_directory>(std::move(next)));
    }
}

} // namespace citronwick
