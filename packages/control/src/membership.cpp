#include "citronwick/control/membership.hpp"

#include "citronwick/core/hash.hpp"
#include "citronwick/policy/rendezvous_ranking.hpp"

#include <algorithm>
#include <ranges>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t max_full_mesh_peers = 8; ///< larger fleets gossip to a few routers at a time
constexpr std::size_t fanout = 3;
constexpr duration heartbeat_interval = 1s;
constexpr duration base_silence_timeout = 2500ms;
/// Interval between messages to a silent router.
constexpr duration silent_contact_interval = 2s;
constexpr duration removal_timeout = 10min;

/// First element after `key`, wrapping around at the end.
template <class Map>
auto next_after(Map& map, std::uint64_t key) {
    const auto found = map.upper_bound(key);
    return found == map.end() ? map.begin() : found;
}

} // namespace

membership::membership(wire::member_record self, leaving_counts_as leaving)
    : self_{std::move(self)}, self_hash_{hash64(self_.vm)}, leaving_{leaving} {}

bool membership::merge(const wire::member_record& record, time_point now) {
    const std::uint64_t hash = hash64(record.vm);
    const auto address = parse_endpoint(record.fleet_address);
    if (hash == self_hash_ || !address) {
        return false;
    }
    const auto found = others_.find(hash);
    if (found == others_.end()) {
        others_.emplace(hash, member{record, hash, *address, std::nullopt, now, {}});
        return true;
    }
    member& known = found->second;
    const bool newer = record.incarnation > known.record.incarnation;
    const bool leaves =
        record.incarnation == known.record.incarnation && record.leaving && !known.record.leaving;
    if (newer || leaves) {
        known.record = record;
        known.address = *address;
        known.discovered_at = now;
        known.is_registered = true;
    }
    return newer || leaves;
}

bool membership::record_message(const wire::header& from, time_point now) {
    const auto found = others_.find(from.sender);
    if (found == others_.end() || found->second.record.incarnation != from.incarnation) {
        return false;
    }
    found->second.last_heard_at = now;
    return true;
}

std::optional<endpoint> membership::address_of(std::uint64_t router) const {
    const auto found = others_.find(router);
    return found == others_.end() ? std::nullopt : std::optional{found->second.address};
}

duration membership::silence_timeout() const {
    const std::size_t known = others_.size();
    if (known <= max_full_mesh_peers) {
        return base_silence_timeout;
    }
    const auto rounds = static_cast<int>((known + fanout - 1) / fanout);
    return base_silence_timeout + 2 * rounds * heartbeat_interval;
}

bool membership::has_left(const member& other) const {
    return other.record.leaving && leaving_ == leaving_counts_as::not_live;
}

bool membership::is_heard(const member& other, time_point now) const {
    return other.last_heard_at && now - *other.last_heard_at < silence_timeout();
}

bool membership::is_live(const member& other, time_point now) const {
    return is_heard(other, now) && !has_left(other);
}

std::vector<const member*> membership::live(time_point now) const {
    std::vector<const member*> found;
    for (const member& other : others_ | std::views::values) {
        if (is_live(other, now)) {
            found.push_back(&other);
        }
    }
    return found;
}

std::vector<const member*> membership::heard_leaving(time_point now) const {
    std::vector<const member*> found;
    for (const member& other : others_ | std::views::values) {
        if (is_heard(other, now) && other.record.leaving) {
            found.push_back(&other);
        }
    }
    return found;
}

std::vector<const member*> membership::live_in_domain(time_point now) const {
    auto found = live_in_region(now);
    std::erase_if(
        found, [this](const member* other) { return other->record.failure_domain != self_.failure_domain; });
    return found;
}

std::vector<const member*> membership::live_in_region(time_point now) const {
    auto found = live(now);
    std::erase_if(found, [this](const member* other) { return other->record.region != self_.region; });
    return found;
}

std::map<std::string, time_point> membership::silent_domains(time_point now) const {
    std::map<std::string, time_point> silent_since;
    for (const member& other : others_ | std::views::values) {
        if (other.last_heard_at) {
            auto& last = silent_since[other.record.failure_domain];
            last = std::max(last, *other.last_heard_at);
        }
    }
    std::erase_if(silent_since, [&](const auto& each) {
        return each.first == self_.failure_domain || now - each.second < silence_timeout();
    });
    return silent_since;
}

std::vector<const member*> membership::expected(time_point now) const {
    std::vector<const member*> found;
    for (const member& other : others_ | std::views::values) {
        const bool is_new = !other.last_heard_at && now - other.discovered_at < silence_timeout();
        if (!has_left(other) && (is_new || is_live(other, now))) {
            found.push_back(&other);
        }
    }
    return found;
}

std::vector<const member*> membership::expected_in_domain(time_point now) const {
    auto found = expected(now);
    std::erase_if(found, [this](const member* other) {
        return other->record.failure_domain != self_.failure_domain || other->record.region != self_.region;
    });
    return found;
}

std::vector<std::uint64_t> membership::assigned_in_other_domains(std::uint64_t key, std::size_t count,
                                                                 time_point now) const {
    std::map<std::string, std::vector<const member*>> by_domain;
    for (const member* other : live_in_region(now)) {
        by_domain[other->record.failure_domain].push_back(other);
    }
    by_domain.erase(self_.failure_domain);
    std::vector<std::uint64_t> found;
    for (auto& candidates : by_domain | std::views::values) {
        std::ranges::sort(candidates, std::greater{},
                          [key](const member* other) { return rendezvous_score(key, other->hash); });
        std::ranges::transform(candidates | std::views::take(count), std::back_inserter(found),
                               &member::hash);
    }
    return found;
}

std::vector<std::uint64_t> membership::active(time_point now) const {
    const auto is_active = [&](const member& other) {
        const bool is_silent = !other.last_heard_at || now - *other.last_heard_at >= base_silence_timeout;
        return has_left(other) ? !is_silent : other.is_registered || is_live(other, now);
    };
    auto found = others_ | std::views::values | std::views::filter(is_active) |
                 std::views::transform(&member::hash) | std::views::common;
    return {found.begin(), found.end()};
}

void membership::record_unregistered(const std::string& vm) {
    if (const auto found = others_.find(hash64(vm)); found != others_.end()) {
        found->second.is_registered = false;
    }
}

bool membership::is_full_mesh() const {
    return others_.size() <= max_full_mesh_peers;
}

std::vector<const member*> membership::select_gossip_targets(time_point now) {
    std::vector<const member*> chosen;
    const std::size_t max_targets = is_full_mesh() ? others_.size() : fanout;
    for (std::size_t visited = 0; visited < others_.size() && chosen.size() < max_targets; ++visited) {
        const auto next = next_after(others_, target_cursor_);
        target_cursor_ = next->first;
        member& other = next->second;
        if (is_live(other, now) || now - other.last_contacted_at >= silent_contact_interval) {
            other.last_contacted_at = now;
            chosen.push_back(&other);
        }
    }
    return chosen;
}

std::vector<std::uint64_t> membership::remove_silent(time_point now) {
    std::vector<std::uint64_t> removed;
    std::erase_if(others_, [&](const auto& each) {
        const member& other = each.second;
        const bool is_expired = now - other.last_heard_at.value_or(other.discovered_at) >= removal_timeout;
        if (is_expired) {
            removed.push_back(each.first);
        }
        return is_expired;
    });
    return removed;
}

std::vector<std::uint64_t> membership::silent(time_point now) const {
    auto hashes = others_ | std::views::filter([&](const auto& each) { return !is_live(each.second, now); }) |
                  std::views::keys;
    std::vector<std::uint64_t> found;
    std::ranges::copy(hashes, std::back_inserter(found));
    return found;
}

std::optional<wire::member_record> membership::next_record_to_gossip() {
    if (others_.empty()) {
        return std::nullopt;
    }
    const auto next = next_after(others_, gossip_cursor_);
    gossip_cursor_ = next->first;
    return next->second.record;
}

std::uint64_t assigned_router(std::uint64_t key, std::uint64_t self,
                              const std::vector<const member*>& others) {
    double best = rendezvous_score(key, self);
    std::uint64_t chosen = self;
    for (const member* other : others) {
        const double score = rendezvous_score(key, other->hash);
        if (score > best) {
            best = score;
            chosen = other->hash;
        }
    }
    return chosen;
}

bool is_assigned(std::uint64_t key, std::uint64_t self, const std::vector<const member*>& others,
                 std::size_t count) {
    const double own = rendezvous_score(key, self);
    const auto better = std::ranges::count_if(
        others, [&](const member* other) { return rendezvous_score(key, other->hash) > own; });
    return static_cast<std::size_t>(better) < count;
}

} // namespace citronwick
