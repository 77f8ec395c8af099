#include "citronwick/control/upstream_table.hpp"

#include "citronwick/control/upstream_usage.hpp"
#include "citronwick/core/hash.hpp"

#include <algorithm>
#include <numeric>
#include <ranges>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Time for which an own failure to connect outweighs other routers' reports.
constexpr duration contact_memory = 3s;
/// Age at which a report no longer says anything about the load.
constexpr duration report_lifetime = 10s;

} // namespace

std::uint32_t short_hash(std::uint64_t hash) {
    return static_cast<std::uint32_t>(hash);
}

upstream_table::upstream_table(std::string region) : region_{std::move(region)} {}

void upstream_table::apply_vm_list(const std::vector<listed_vm>& vms, time_point now) {
    std::map<std::uint32_t, entry> next;
    for (const listed_vm& vm : vms) {
        if (vm.is_entry || vm.region != region_) {
            continue;
        }
        const std::uint64_t hash = hash64(vm.name);
        const auto known = entries_.find(short_hash(hash));
        if (known == entries_.end()) {
            next.emplace(short_hash(hash), entry{vm, hash, now, 0, std::make_shared<upstream_usage>()});
            continue;
        }
        entry kept = std::move(known->second);
        if (kept.vm.address != vm.address) {
            kept.joined_at = now;
            kept.report.reset();
            kept.contact_failed_at.reset();
        }
        kept.vm = vm;
        next.emplace(known->first, std::move(kept));
    }
    entries_ = std::move(next);
}

void upstream_table::set_drained(const std::vector<std::string>& names) {
    drained_ = {names.begin(), names.end()};
}

bool upstream_table::observe(std::uint32_t upstream, const upstream_observation& seen) {
    const auto found = entries_.find(upstream);
    if (found == entries_.end() || (found->second.report && seen.at <= found->second.report->at)) {
        return false;
    }
    entry& known = found->second;
    if (seen.incarnation > known.incarnation) {
        const bool restarted = known.incarnation != 0;
        known.incarnation = seen.incarnation;
        known.joined_at = restarted ? seen.at : known.joined_at;
    }
    if (seen.leaving) {
        mark_leaving(upstream, known.incarnation);
    }
    known.report = seen;
    known.own_at_report = known.usage->in_flight.load(std::memory_order_relaxed);
    return true;
}

void upstream_table::record_contact(std::uint32_t upstream, bool succeeded, time_point now) {
    const auto found = entries_.find(upstream);
    if (found == entries_.end()) {
        return;
    }
    if (succeeded) {
        found->second.contact_failed_at.reset();
    } else {
        found->second.contact_failed_at = now;
    }
}

bool upstream_table::mark_leaving(std::uint32_t upstream, std::uint64_t incarnation) {
    const auto [mark, is_new] = leaving_.try_emplace(upstream, incarnation);
    if (!is_new && mark->second >= incarnation) {
        return false;
    }
    mark->second = incarnation;
    return true;
}

void upstream_table::record_peer_usage(std::uint64_t router, const std::vector<wire::usage_entry>& usage) {
    for (const wire::usage_entry& each : usage) {
        const auto found = entries_.find(each.upstream);
        if (found != entries_.end()) {
            found->second.peer_usage[router] = each.in_flight;
        }
    }
}

void upstream_table::forget_peers(const std::vector<std::uint64_t>& routers) {
    for (entry& each : entries_ | std::views::values) {
        std::ranges::for_each(routers, [&each](std::uint64_t router) { each.peer_usage.erase(router); });
    }
}

availability upstream_table::state_of(const entry& upstream, time_point now) const {
    const auto mark = leaving_.find(short_hash(upstream.hash));
    if (upstream.vm.leaving || drained_.contains(upstream.vm.name) ||
        (mark != leaving_.end() && mark->second >= upstream.incarnation)) {
        return availability::leaving;
    }
    if (upstream.contact_failed_at && now - *upstream.contact_failed_at < contact_memory) {
        return availability::unreachable;
    }
    const bool reported_down = upstream.report && !upstream.report->reachable;
    return reported_down ? availability::unreachable : availability::ready;
}

double upstream_table::elsewhere(const entry& upstream, bool all_heard, time_point now) {
    const auto counts = upstream.peer_usage | std::views::values;
    const double said = std::accumulate(counts.begin(), counts.end(), 0.0);
    if (all_heard || !upstream.report || now - upstream.report->at > report_lifetime) {
        return said;
    }
    return std::max(said, upstream.report->in_flight - upstream.own_at_report);
}

std::map<std::string, std::vector<upstream_view>, std::less<>> upstream_table::view(bool all_heard,
                                                                                    time_point now) const {
    std::map<std::string, std::vector<upstream_view>, std::less<>> by_service;
    for (const entry& each : entries_ | std::views::values) {
        by_service[each.vm.service].push_back({.name = each.vm.name,
                                               .hash = each.hash,
                                               .service = each.vm.service,
                                               .failure_domain = each.vm.failure_domain,
                                               .address = each.vm.address,
                                               .weight = each.vm.weight,
                                               .incarnation = each.incarnation,
                                               .state = state_of(each, now),
                                               .joined_at = each.joined_at,
                                               .in_flight_elsewhere = elsewhere(each, all_heard, now),
                                               .usage = each.usage});
    }
    return by_service;
}

std::vector<wire::usage_entry> upstream_table::own_usage() const {
    std::vector<wire::usage_entry> usage;
    for (const auto& [upstream, each] : entries_) {
        const auto in_flight = each.usage->in_flight.load(std::memory_order_relaxed);
        usage.push_back({upstream, static_cast<std::uint16_t>(std::max(in_flight, 0))});
    }
    return usage;
}

std::vector<wire::leaving_entry> upstream_table::leaving_marks() const {
    std::vector<wire::leaving_entry> marks;
    for (const auto& [upstream, incarnation] : leaving_) {
        const auto found = entries_.find(upstream);
        if (found != entries_.end() && incarnation >= found->second.incarnation) {
            marks.push_back({upstream, incarnation});
        }
    }
    return marks;
}

std::vector<upstream_table::target> upstream_table::probe_targets() const {
    std::vector<target> targets;
    for (const auto& [upstream, each] : entries_) {
        targets.push_back({upstream, each.hash, each.vm.name, each.vm.address});
    }
    return targets;
}

} // namespace citronwick
