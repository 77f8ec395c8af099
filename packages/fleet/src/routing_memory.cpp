#include "citronwick/fleet/routing_memory.hpp"

#include <algorithm>
#include <iterator>
#include <limits>

namespace citronwick {

namespace {

/// Time after which an engine is expected to have dropped an unused prefix.
constexpr duration prefix_lifetime = std::chrono::seconds{60};
/// Entries of one kind in a message, so that a datagram stays small.
constexpr std::size_t entries_per_message = 96;
/// Entries that wait to be told; beyond them the oldest are given up.
constexpr std::size_t most_waiting_entries = 4'096;

std::uint8_t clamped(std::uint32_t value) {
    return static_cast<std::uint8_t>(
        std::min<std::uint32_t>(value, std::numeric_limits<std::uint8_t>::max()));
}

} // namespace

routing_memory::routing_memory() : prefixes_{prefix_lifetime} {}

void routing_memory::record_unreachable(std::uint64_t upstream, time_point now) {
    const std::scoped_lock lock{mutex_};
    health_.record_unreachable(short_hash(upstream), now);
}

void routing_memory::record_answer(std::uint64_t upstream, bool good, time_point now) {
    const std::scoped_lock lock{mutex_};
    health_.record_answer(short_hash(upstream), good, now);
}

void routing_memory::record_prompt(const std::vector<shared_prefix>& prefixes, std::uint64_t upstream,
                                   time_point now) {
    const std::scoped_lock lock{mutex_};
    for (const shared_prefix& prefix : prefixes) {
        if (prefixes_.record(short_hash(prefix.key), short_hash(upstream), now)) {
            tell({short_hash(prefix.key), short_hash(upstream)});
        }
    }
}

std::vector<routing_memory::opinion> routing_memory::opinions(const std::vector<std::uint64_t>& upstreams,
                                                              const std::vector<shared_prefix>& prefixes,
                                                              time_point now) const {
    std::vector<shared_prefix> short_prefixes;
    std::ranges::transform(prefixes, std::back_inserter(short_prefixes), [](const shared_prefix& each) {
        return shared_prefix{short_hash(each.key), each.tokens};
    });
    std::vector<std::uint64_t> names;
    std::ranges::transform(upstreams, std::back_inserter(names), short_hash);
    const std::scoped_lock lock{mutex_};
    const auto outliers = health_.outliers(names, now);
    std::vector<opinion> found;
    std::ranges::transform(names, std::back_inserter(found), [&](std::uint64_t name) {
        return opinion{prefixes_.cached_tokens(short_prefixes, name, now), !health_.is_unreachable(name, now),
                       outliers.contains(name)};
    });
    return found;
}

void routing_memory::add_news(wire::gossip& message) {
    const std::scoped_lock lock{mutex_};
    std::ranges::transform(health_.take_unreported_counts(), std::back_inserter(message.evidence),
                           [](const outcome_counts& seen) {
                               return wire::evidence_entry{short_hash(seen.upstream), clamped(seen.successes),
                                                           clamped(seen.failures)};
                           });
    const auto count = std::min(new_prefixes_.size(), entries_per_message);
    const auto end = new_prefixes_.begin() + static_cast<std::ptrdiff_t>(count);
    message.prefixes.assign(new_prefixes_.begin(), end);
    new_prefixes_.erase(new_prefixes_.begin(), end);
}

void routing_memory::tell(const wire::prefix_entry& entry) {
    if (new_prefixes_.size() == most_waiting_entries) {
        new_prefixes_.pop_front();
    }
    new_prefixes_.push_back(entry);
}

void routing_memory::merge(const wire::gossip& message, spread how, time_point now) {
    const std::scoped_lock lock{mutex_};
    for (const wire::evidence_entry& seen : message.evidence) {
        health_.merge_counts({seen.upstream, seen.good, seen.bad}, now);
    }
    for (const wire::prefix_entry& entry : message.prefixes) {
        if (prefixes_.record(entry.prefix, entry.upstream, now) && how == spread::onward) {
            tell(entry);
        }
    }
}

void routing_memory::expire(const std::set<std::uint64_t>& upstreams, time_point now) {
    std::set<std::uint64_t> names;
    std::ranges::transform(upstreams, std::inserter(names, names.end()), short_hash);
    const std::scoped_lock lock{mutex_};
    health_.retain(names);
    prefixes_.expire(now);
}

} // namespace citronwick
