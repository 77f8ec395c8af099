#include "citronwick/policy/upstream_reach.hpp"

#include <algorithm>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Distinct upstreams that this router fails to reach before it counts as cut.
constexpr std::size_t failures_of_cut = 3;
/// Distinct upstreams that it reaches in a row before it does not any more.
constexpr std::size_t successes_after_cut = 2;
/// Time after which a failed connect does not count any more.
constexpr duration failure_memory = 5s;
/// Time without any response after which upstreams are probed.
constexpr duration response_patience = 300ms;
/// Interval of probes while a cut is suspected, and while it lasts.
constexpr duration suspected_interval = 100ms;
constexpr duration cut_interval = 500ms;
/// Pause after a probe that refuted the suspicion.
constexpr duration refuted_pause = 1s;

} // namespace

void upstream_reach::record_reached(std::uint64_t upstream, time_point now) {
    failures_.clear();
    if (!is_cut_) {
        connections_hang_ = false;
        next_probe_at_ = now + refuted_pause;
        return;
    }
    reached_.insert(upstream);
    if (reached_.size() >= std::min(successes_after_cut, std::max<std::size_t>(known_count_, 1))) {
        is_cut_ = false;
        connections_hang_ = false;
    }
}

void upstream_reach::record_not_reached(std::uint64_t upstream, connect_failure cause, time_point now) {
    if (failures_.empty() && !is_cut_) {
        next_probe_at_ = std::nullopt;
    }
    reached_.clear();
    failed_connect& failed = failures_[upstream];
    failed.failed_at = now;
    connections_hang_ = connections_hang_ || cause == connect_failure::timed_out;
    update(now);
}

void upstream_reach::record_reached_by_peer(std::uint64_t upstream, time_point now) {
    if (const auto found = failures_.find(upstream); found != failures_.end()) {
        found->second.reached_by_peer = true;
        update(now);
    }
}

void upstream_reach::update(time_point now) {
    std::erase_if(failures_, [&](const auto& each) { return now - each.second.failed_at > failure_memory; });
    const std::size_t needed = std::clamp<std::size_t>(known_count_, 1, failures_of_cut);
    const bool peers_reach =
        std::ranges::any_of(failures_, [](const auto& each) { return each.second.reached_by_peer; });
    if (!is_cut_ && failures_.size() >= needed && peers_reach) {
        is_cut_ = true;
        reached_.clear();
        next_probe_at_ = now + cut_interval;
    }
}

std::vector<std::uint64_t> upstream_reach::due_probes(const std::vector<std::uint64_t>& known,
                                                      std::optional<time_point> unanswered_since,
                                                      time_point now) {
    known_count_ = known.size();
    update(now);
    const bool is_unanswered = unanswered_since && now - *unanswered_since >= response_patience;
    const bool is_suspected = is_cut_ || !failures_.empty() || is_unanswered;
    if (!is_suspected || (next_probe_at_ && now < *next_probe_at_)) {
        return {};
    }
    next_probe_at_ = now + (is_cut_ ? cut_interval : suspected_interval);
    return next_targets(known, is_cut_ || failures_.empty() ? 1 : failures_of_cut);
}

/// Takes upstreams in turn, those whose connects have not failed yet first.
std::vector<std::uint64_t> upstream_reach::next_targets(const std::vector<std::uint64_t>& known,
                                                        std::size_t count) {
    auto targets = known;
    std::ranges::sort(targets);
    const auto next = std::ranges::upper_bound(targets, cursor_);
    std::ranges::rotate(targets, next);
    std::ranges::stable_partition(
        targets, [this](std::uint64_t upstream) { return is_cut_ || !failures_.contains(upstream); });
    targets.resize(std::min(targets.size(), count));
    cursor_ = targets.empty() ? cursor_ : targets.back();
    return targets;
}

} // namespace citronwick
