#include "citronwick/control/membership.hpp"

#include "citronwick/core/hash.hpp"
#include "citronwick/policy/rendezvous_ranking.hpp"

#include <algorithm>
#include <ranges>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t all_to_all_limit = 8; ///< larger fleets send to a few at a time
constexpr std::size_t fanout = 3;
constexpr duration heartbeat = 1s;
constexpr duration base_silence = 2500ms;
constexpr duration silent_contact_interval = 2s;
constexpr duration forget_after = 10min;

/// First map position after `key`, wrapping round.
template <class Map>
auto next_after(Map& map, std::uint64_t key) {
    const auto found = map.upper_bound(key);
    return found == map.end() ? map.begin() : found;
}

} // namespace

membership::membership(wire::member_record self) : self_{std::move(self)}, self_hash_{hash64(self_.vm)} {}

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
        known.learnt_at = now;
    }
    return newer || leaves;
}

bool membership::heard_from(const wire::header& from, time_point now) {
    const auto found = others_.find(from.sender);
    if (found == others_.end() || found->second.record.incarnation != from.incarnation) {
        return false;
    }
    found->second.heard_at = now;
    return true;
}

std::optional<endpoint> membership::address_of(std::uint64_t router) const {
    const auto found = others_.find(router);
    return found == others_.end() ? std::nullopt : std::optional{found->second.address};
}

duration membership::silence_limit() const {
    const std::size_t known = others_.size();
    if (known <= all_to_all_limit) {
        return base_silence;
    }
    const auto rounds = static_cast<int>((known + fanout - 1) / fanout);
    return base_silence + 2 * rounds * heartbeat;
}

bool membership::is_live(const member& other, time_point now) const {
    return other.heard_at && now - *other.heard_at < silence_limit() && !other.record.leaving;
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
        if (other.heard_at) {
            auto& last = silent_since[other.record.failure_domain];
            last = std::max(last, *other.heard_at);
        }
    }
    std::erase_if(silent_since, [&](const auto& each) {
        return each.first == self_.failure_domain || now - each.second < silence_limit();
    });
    return silent_since;
}

std::vector<const member*> membership::expected_in_domain(time_point now) const {
    std::vector<const member*> found;
    for (const member& other : others_ | std::views::values) {
        const bool is_new = !other.heard_at && now - other.learnt_at < silence_limit();
        const bool is_here =
            other.record.failure_domain == self_.failure_domain && other.record.region == self_.region;
        if (is_here && !other.record.leaving && (is_new || is_live(other, now))) {
            found.push_back(&other);
        }
    }
    return found;
}

std::vector<std::uint64_t> membership::assigned_elsewhere(std::uint64_t duty, std::size_t count,
                                                          time_point now) const {
    std::map<std::string, std::vector<const member*>> by_domain;
    for (const member* other : live_in_region(now)) {
        by_domain[other->record.failure_domain].push_back(other);
    }
    by_domain.erase(self_.failure_domain);
    std::vector<std::uint64_t> found;
    for (auto& candidates : by_domain | std::views::values) {
        std::ranges::sort(candidates, std::greater{},
                          [duty](const member* other) { return rendezvous_score(duty, other->hash); });
        std::ranges::transform(candidates | std::views::take(count), std::back_inserter(found),
                               &member::hash);
    }
    return found;
}

bool membership::tells_everybody() const {
    return others_.size() <= all_to_all_limit;
}

std::vector<const member*> membership::choose_targets(time_point now) {
    std::vector<const member*> chosen;
    const std::size_t most = tells_everybody() ? others_.size() : fanout;
    for (std::size_t seen = 0; seen < others_.size() && chosen.size() < most; ++seen) {
        const auto next = next_after(others_, target_after_);
        target_after_ = next->first;
        member& other = next->second;
        if (is_live(other, now) || now - other.contacted_at >= silent_contact_interval) {
            other.contacted_at = now;
            chosen.push_back(&other);
        }
    }
    return chosen;
}

std::vector<std::uint64_t> membership::forget_silent(time_point now) {
    std::vector<std::uint64_t> forgotten;
    std::erase_if(others_, [&](const auto& each) {
        const member& other = each.second;
        const bool gone = now - other.heard_at.value_or(other.learnt_at) >= forget_after;
        if (gone) {
            forgotten.push_back(each.first);
        }
        return gone;
    });
    return forgotten;
}

std::vector<std::uint64_t> membership::silent(time_point now) const {
    auto hashes = others_ | std::views::filter([&](const auto& each) { return !is_live(each.second, now); }) |
                  std::views::keys;
    std::vector<std::uint64_t> found;
    std::ranges::copy(hashes, std::back_inserter(found));
    return found;
}

std::optional<wire::member_record> membership::next_record_to_spread() {
    if (others_.empty()) {
        return std::nullopt;
    }
    const auto next = next_after(others_, spread_after_);
    spread_after_ = next->first;
    return next->second.record;
}

std::uint64_t assigned_router(std::uint64_t duty, std::uint64_t self,
                              const std::vector<const member*>& others) {
    double best = rendezvous_score(duty, self);
    std::uint64_t chosen = self;
    for (const member* other : others) {
        const double score = rendezvous_score(duty, other->hash);
        if (score > best) {
            best = score;
            chosen = other->hash;
        }
    }
    return chosen;
}

bool is_assigned(std::uint64_t duty, std::uint64_t self, const std::vector<const member*>& others,
                 std::size_t count) {
    const double own = rendezvous_score(duty, self);
    const auto better = std::ranges::count_if(
        others, [&](const member* other) { return rendezvous_score(duty, other->hash) > own; });
    return static_cast<std::size_t>(better) < count;
}

} // namespace citronwick
