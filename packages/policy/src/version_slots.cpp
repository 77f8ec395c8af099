#include "citronwick/policy/version_slots.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <ranges>
#include <vector>

namespace citronwick {

namespace {

/// Deviation from its share up to which a version keeps its slots. Moved slots are
/// unsettled for a while, so they are not moved for a small gain.
constexpr std::size_t tolerated_deviation = 1;

/// Number of slots of each version, in proportion to the capacities.
std::map<std::string, std::size_t> shares_of(const version_capacities& capacities) {
    const double total = std::accumulate(capacities.begin(), capacities.end(), 0.0,
                                         [](double sum, const auto& each) { return sum + each.second; });
    std::map<std::string, std::size_t> shares;
    std::vector<std::pair<double, std::string>> remainders;
    std::size_t assigned = 0;
    for (const auto& [version, capacity] : capacities) {
        const double exact = static_cast<double>(version_slots::slot_count) * capacity / total;
        const double whole = std::floor(exact);
        shares[version] = static_cast<std::size_t>(whole);
        assigned += shares[version];
        remainders.emplace_back(exact - whole, version);
    }
    std::ranges::sort(remainders, std::ranges::greater{});
    for (const auto& [remainder, version] :
         remainders | std::views::take(version_slots::slot_count - assigned)) {
        ++shares[version];
    }
    return shares;
}

std::map<std::string, std::size_t> count_slots(const version_slots& slots) {
    std::map<std::string, std::size_t> counts;
    for (std::size_t index = 0; index < version_slots::slot_count; ++index) {
        ++counts[slots.at(index).version];
    }
    return counts;
}

bool is_close(const std::map<std::string, std::size_t>& counts,
              const std::map<std::string, std::size_t>& shares) {
    const bool all_served =
        std::ranges::all_of(counts, [&](const auto& each) { return shares.contains(each.first); });
    return all_served && std::ranges::all_of(shares, [&](const auto& each) {
               const auto found = counts.find(each.first);
               const std::size_t count = found == counts.end() ? 0 : found->second;
               return std::max(count, each.second) - std::min(count, each.second) <= tolerated_deviation;
           });
}

} // namespace

version_slots::version_slots(const std::string& version) {
    slots_.fill({version, {}});
}

void version_slots::move(std::size_t index, const std::string& version) {
    slot& moved = slots_.at(index);
    moved.earlier.insert(moved.version);
    moved.earlier.erase(version);
    moved.version = version;
}

version_slots::slot_set version_slots::unsettled() const {
    slot_set found;
    for (std::size_t index = 0; index < slot_count; ++index) {
        found.set(index, !slots_.at(index).earlier.empty());
    }
    return found;
}

void version_slots::settle(const slot_set& settled) {
    for (std::size_t index = 0; index < slot_count; ++index) {
        if (settled.test(index)) {
            slots_.at(index).earlier.clear();
        }
    }
}

std::optional<std::string> version_slots::only_version() const {
    const bool is_only = std::ranges::all_of(
        slots_, [&](const slot& each) { return each.earlier.empty() && each.version == slots_[0].version; });
    return is_only ? std::optional{slots_[0].version} : std::nullopt;
}

std::optional<version_slots> divide_slots(const std::optional<version_slots>& current,
                                          const version_capacities& capacities) {
    version_capacities available = capacities;
    std::erase_if(available, [](const auto& each) { return each.second <= 0.0; });
    if (available.empty()) {
        return std::nullopt;
    }
    const auto shares = shares_of(available);
    version_slots divided = current.value_or(version_slots{available.begin()->first});
    auto counts = count_slots(divided);
    if (is_close(counts, shares)) {
        return current ? std::nullopt : std::optional{divided};
    }
    for (const auto& [receiver, share] : shares) {
        for (std::size_t index = 0; index < version_slots::slot_count && counts[receiver] < share; ++index) {
            const std::string giver = divided.at(index).version;
            const auto giver_share = shares.find(giver);
            const std::size_t kept = giver_share == shares.end() ? 0 : giver_share->second;
            if (counts[giver] > kept) {
                --counts[giver];
                ++counts[receiver];
                divided.move(index, receiver);
            }
        }
    }
    if (!current) {
        // No stream has begun yet.
        divided.settle(version_slots::slot_set{}.set());
    }
    return divided;
}

version_decision decide_version(const version_slots* slots, const slot_knowledge& known,
                                const stream_identity& stream) {
    using step = version_decision::step;
    using answers = stream_identity::answers;
    if (slots == nullptr) {
        return {step::ask_later, {}, "the versions are not assigned yet"};
    }
    if (!stream.has_events) {
        return {step::use, slots->at(version_slots::index_of(stream.attempt)).version, "new stream"};
    }
    if (stream.remembered) {
        return {step::use, *stream.remembered, "seen to begin"};
    }
    if (stream.origin && stream.others == answers::not_asked) {
        // The slots known here may be older than those by which another router began the stream.
        return {step::ask_routers, {}, "another router may have seen the stream begin"};
    }
    if (known.may_be_of_copy) {
        return {step::ask_later, {}, "the slots may be those of a copy of the store"};
    }
    const bool may_be_remembered = stream.origin && stream.others == answers::incomplete;
    if (may_be_remembered && !known.is_service_sure) {
        return {step::ask_later, {}, "not all routers replied whether they saw the stream begin"};
    }
    // A router that has ended since may have been the only one to see the stream begin.
    if (!stream.is_confirmed) {
        return {step::confirm, {}, "the slots may have changed"};
    }
    if (!stream.origin) {
        const auto only = slots->only_version();
        return only ? version_decision{step::use, *only, "only version"}
                    : version_decision{step::refuse, {}, "the stream's first attempt is not named"};
    }
    const version_slots::slot& slot = slots->at(version_slots::index_of(*stream.origin));
    if (!slot.earlier.empty()) {
        return {may_be_remembered ? step::ask_later : step::refuse,
                {},
                "the stream may have begun at several versions"};
    }
    return {step::use, slot.version, "slot of its first attempt"};
}

} // namespace citronwick
