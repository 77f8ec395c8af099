#include "citronwick/fleet/upstream_observations.hpp"

#include <algorithm>
#include <iterator>
#include <limits>

namespace citronwick {

namespace {

/// Time after which an engine is expected to have dropped an unused prefix.
constexpr duration prefix_lifetime = std::chrono::seconds{60};
/// Time after the sending of a prompt at which the engine has processed it and others
/// can fetch it.
constexpr duration fetch_delay = std::chrono::milliseconds{300};
/// Prefix entries in one message; keeps datagrams small.
constexpr std::size_t entries_per_message = 96;
/// Entries queued for sending; if there are more, the oldest are dropped.
constexpr std::size_t max_pending_entries = 4'096;

std::uint8_t to_uint8(std::uint32_t value) {
    return static_cast<std::uint8_t>(
        std::min<std::uint32_t>(value, std::numeric_limits<std::uint8_t>::max()));
}

} // namespace

upstream_observations::upstream_observations() : prefixes_{prefix_lifetime} {}

void upstream_observations::record_unreachable(std::uint64_t upstream, time_point now) {
    const std::scoped_lock lock{mutex_};
    health_.record_unreachable(short_hash(upstream), now);
}

void upstream_observations::record_outcome(std::uint64_t upstream, bool succeeded, time_point now) {
    const std::scoped_lock lock{mutex_};
    health_.record_outcome(short_hash(upstream), succeeded, now);
}

void upstream_observations::record_prompt(const std::vector<shared_prefix>& prefixes, std::uint64_t upstream,
                                          time_point now) {
    const std::scoped_lock lock{mutex_};
    for (const shared_prefix& prefix : prefixes) {
        if (prefixes_.record(short_hash(prefix.key), short_hash(upstream), now)) {
            enqueue({short_hash(prefix.key), short_hash(upstream)});
        }
    }
}

std::vector<upstream_observations::summary>
upstream_observations::summaries(const std::vector<std::uint64_t>& upstreams,
                                 const std::vector<shared_prefix>& prefixes, time_point now) const {
    std::vector<shared_prefix> short_prefixes;
    std::ranges::transform(prefixes, std::back_inserter(short_prefixes), [](const shared_prefix& each) {
        return shared_prefix{short_hash(each.key), each.tokens};
    });
    std::vector<std::uint64_t> names;
    std::ranges::transform(upstreams, std::back_inserter(names), short_hash);
    const std::scoped_lock lock{mutex_};
    const auto outliers = health_.outliers(names, now);
    std::vector<summary> found;
    std::ranges::transform(names, std::back_inserter(found), [&](std::uint64_t name) {
        const auto cached = prefixes_.cached_tokens(short_prefixes, name, now);
        const auto source = cached == 0 ? 0 : prefixes_.cached_tokens(short_prefixes, name, now, fetch_delay);
        return summary{cached, source, !health_.is_unreachable(name, now), outliers.contains(name)};
    });
    return found;
}

void upstream_observations::add_updates(wire::gossip& message) {
    const std::scoped_lock lock{mutex_};
    std::ranges::transform(health_.take_unreported_counts(), std::back_inserter(message.outcomes),
                           [](const outcome_counts& seen) {
                               return wire::outcome_entry{short_hash(seen.upstream), to_uint8(seen.successes),
                                                          to_uint8(seen.failures)};
                           });
    const auto count = std::min(pending_prefixes_.size(), entries_per_message);
    const auto end = pending_prefixes_.begin() + static_cast<std::ptrdiff_t>(count);
    message.prefixes.assign(pending_prefixes_.begin(), end);
    pending_prefixes_.erase(pending_prefixes_.begin(), end);
}

void upstream_observations::enqueue(const wire::prefix_entry& entry) {
    if (pending_prefixes_.size() == max_pending_entries) {
        pending_prefixes_.pop_front();
    }
    pending_prefixes_.push_back(entry);
}

void upstream_observations::merge(const wire::gossip& message, relay mode, time_point now) {
    const std::scoped_lock lock{mutex_};
    for (const wire::outcome_entry& seen : message.outcomes) {
        health_.merge_counts({seen.upstream, seen.successes, seen.failures}, now);
    }
    for (const wire::prefix_entry& entry : message.prefixes) {
        if (prefixes_.record(entry.prefix, entry.upstream, now) && mode == relay::once) {
            enqueue(entry);
        }
    }
}

void upstream_observations::expire(const std::set<std::uint64_t>& upstreams, time_point now) {
    std::set<std::uint64_t> names;
    std::ranges::transform(upstreams, std::inserter(names, names.end()), short_hash);
    const std::scoped_lock lock{mutex_};
    health_.retain(names);
    prefixes_.expire(now);
}

} // namespace citronwick
