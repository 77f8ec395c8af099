#include "citronwick/control/upstream_table.hpp"

#include "citronwick/control/upstream_usage.hpp"
#include "citronwick/core/hash.hpp"

#include <algorithm>
#include <numeric>
#include <ranges>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Time for which a failure to connect takes precedence over other routers' reports.
constexpr duration connect_failure_ttl = 3s;
/// Age from which a report is not used to estimate the load.
constexpr duration report_max_age = 10s;
/// Age from which the upstream's own report replaces the count owner's count.
constexpr duration count_max_age = 3s;

} // namespace

upstream_table::upstream_table(std::string region) : region_{std::move(region)} {}

void upstream_table::apply_vm_list(const std::vector<listed_vm>& vms, time_point now) {
    std::map<std::uint32_t, entry> next;
    for (const listed_vm& vm : vms) {
        if (vm.is_router || vm.region != region_) {
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
            kept.connect_failed_at.reset();
        }
        kept.vm = vm;
        next.emplace(known->first, std::move(kept));
    }
    entries_ = std::move(next);
}

void upstream_table::set_drained(const std::vector<std::string>& names) {
    drained_ = {names.begin(), names.end()};
}

void upstream_table::set_evacuated(const std::vector<std::string>& failure_domains) {
    evacuated_ = {failure_domains.begin(), failure_domains.end()};
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
    known.local_in_flight_at_report = known.usage->in_flight.load(std::memory_order_relaxed);
    return true;
}

bool upstream_table::is_reachable(std::uint32_t upstream) const {
    const auto found = entries_.find(upstream);
    return found == entries_.end() || !found->second.report || found->second.report->reachable;
}

void upstream_table::record_connect_result(std::uint32_t upstream, bool succeeded, time_point now) {
    const auto found = entries_.find(upstream);
    if (found == entries_.end()) {
        return;
    }
    if (succeeded) {
        found->second.connect_failed_at.reset();
    } else {
        found->second.connect_failed_at = now;
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

std::vector<std::uint32_t> upstream_table::assign_count_owners(const count_owner_lookup& count_owner,
                                                               std::uint64_t self) {
    self_ = self;
    std::vector<std::uint32_t> changed;
    for (auto& [upstream, each] : entries_) {
        const std::uint64_t next = count_owner(each.hash);
        if (next != each.count_owner) {
            each.count_owner = next;
            each.peer_usage.clear();
            each.count_received_at = {};
            changed.push_back(upstream);
        }
    }
    return changed;
}

std::uint64_t upstream_table::count_owner(std::uint32_t upstream) const {
    const auto found = entries_.find(upstream);
    return found == entries_.end() ? 0 : found->second.count_owner;
}

std::int32_t upstream_table::sum_peer_usage(const entry& upstream) {
    const auto counts = upstream.peer_usage | std::views::values;
    return std::accumulate(counts.begin(), counts.end(), 0);
}

void upstream_table::record_peer_usage(std::uint64_t router, const std::vector<wire::usage_entry>& usage) {
    for (const wire::usage_entry& each : usage) {
        const auto found = entries_.find(each.upstream);
        if (found != entries_.end() && found->second.count_owner == self_) {
            found->second.peer_usage[router] = each.in_flight;
            found->second.usage->remote_in_flight.store(sum_peer_usage(found->second),
                                                        std::memory_order_relaxed);
        }
    }
}

void upstream_table::record_count(std::uint32_t upstream, std::int32_t in_flight, time_point now) {
    const auto found = entries_.find(upstream);
    if (found != entries_.end()) {
        const auto own = found->second.usage->in_flight.load(std::memory_order_relaxed);
        record_remote_in_flight(upstream, in_flight - own, now);
    }
}

void upstream_table::record_remote_in_flight(std::uint32_t upstream, std::int32_t in_flight, time_point now) {
    const auto found = entries_.find(upstream);
    if (found != entries_.end() && found->second.count_owner != self_) {
        found->second.count_received_at = now;
        found->second.usage->remote_in_flight.store(std::max(in_flight, 0), std::memory_order_relaxed);
    }
}

wire::slot_reply upstream_table::decide_slot_request(std::uint64_t router,
                                                     const wire::slot_request& request) {
    wire::slot_reply reply{.upstream = request.upstream, .nonce = request.nonce};
    const auto found = entries_.find(request.upstream);
    if (found == entries_.end() || found->second.count_owner != self_) {
        reply.granted = true; // ownership is changing: leave the decision to the requester's estimate
        return reply;
    }
    entry& upstream = found->second;
    upstream.peer_usage[router] = 0;
    const std::int32_t others =
        sum_peer_usage(upstream) + upstream.usage->in_flight.load(std::memory_order_relaxed);
    reply.granted = others + request.in_flight <= request.limit;
    const int counted = reply.granted ? request.in_flight : request.in_flight - 1;
    upstream.peer_usage[router] = static_cast<std::uint16_t>(std::max(counted, 0));
    upstream.usage->remote_in_flight.store(sum_peer_usage(upstream), std::memory_order_relaxed);
    reply.in_flight = static_cast<std::uint16_t>(std::clamp(others, 0, 65'535));
    return reply;
}

void upstream_table::remove_peers(const std::vector<std::uint64_t>& routers) {
    for (entry& each : entries_ | std::views::values) {
        const auto erased = std::erase_if(each.peer_usage, [&routers](const auto& usage) {
            return std::ranges::find(routers, usage.first) != routers.end();
        });
        if (erased > 0 && each.count_owner == self_) {
            each.usage->remote_in_flight.store(sum_peer_usage(each), std::memory_order_relaxed);
        }
    }
}

void upstream_table::set_silent_domains(std::map<std::string, time_point> domains) {
    silent_domains_ = std::move(domains);
}

bool upstream_table::may_be_partitioned(const entry& upstream) const {
    const auto silent = silent_domains_.find(upstream.vm.failure_domain);
    return silent != silent_domains_.end() && (!upstream.report || upstream.report->at <= silent->second);
}

availability upstream_table::state_of(const entry& upstream, time_point now) const {
    const auto mark = leaving_.find(short_hash(upstream.hash));
    if (upstream.vm.leaving || drained_.contains(upstream.vm.name) ||
        evacuated_.contains(upstream.vm.failure_domain) ||
        (mark != leaving_.end() && mark->second >= upstream.incarnation)) {
        return availability::leaving;
    }
    if (upstream.connect_failed_at && now - *upstream.connect_failed_at < connect_failure_ttl) {
        return availability::unreachable;
    }
    const bool reported_down = upstream.report && !upstream.report->reachable;
    return reported_down || may_be_partitioned(upstream) ? availability::unreachable : availability::ready;
}

void upstream_table::refresh_estimates(bool all_live, time_point now) {
    for (entry& each : entries_ | std::views::values) {
        const bool owns_count = each.count_owner == self_;
        const bool is_count_fresh = owns_count ? all_live : now - each.count_received_at < count_max_age;
        if (is_count_fresh) {
            continue;
        }
        const std::int32_t owned_count = owns_count ? sum_peer_usage(each) : 0;
        const bool is_report_fresh = each.report && now - each.report->at < report_max_age;
        const auto reported_count = is_report_fresh ? static_cast<std::int32_t>(each.report->in_flight) -
                                                          each.local_in_flight_at_report
                                                    : 0;
        each.usage->remote_in_flight.store(std::max({owned_count, reported_count, 0}),
                                           std::memory_order_relaxed);
    }
}

std::map<std::string, std::vector<upstream_view>, std::less<>> upstream_table::view(time_point now) const {
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
                                               .owns_count = each.count_owner == self_,
                                               .usage = each.usage});
    }
    return by_service;
}

std::uint16_t upstream_table::local_in_flight(std::uint32_t upstream) const {
    const auto found = entries_.find(upstream);
    const auto own =
        found == entries_.end() ? 0 : found->second.usage->in_flight.load(std::memory_order_relaxed);
    return static_cast<std::uint16_t>(std::clamp(own, 0, 65'535));
}

std::vector<wire::usage_entry> upstream_table::local_usage() const {
    std::vector<wire::usage_entry> usage;
    for (const auto& [upstream, each] : entries_) {
        const auto in_flight = each.usage->in_flight.load(std::memory_order_relaxed);
        usage.push_back({upstream, static_cast<std::uint16_t>(std::max(in_flight, 0))});
    }
    return usage;
}

std::vector<wire::count_entry> upstream_table::owned_counts() const {
    std::vector<wire::count_entry> counts;
    for (const auto& [upstream, each] : entries_) {
        if (each.count_owner == self_) {
            counts.push_back(
                {upstream, static_cast<std::uint16_t>(std::clamp(each.usage->total(), 0, 65'535))});
        }
    }
    return counts;
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

std::vector<upstream_table::probe_target> upstream_table::probe_targets() const {
    std::vector<probe_target> targets;
    for (const auto& [upstream, each] : entries_) {
        targets.push_back({upstream, each.hash, each.vm.name, each.vm.address});
    }
    return targets;
}

} // namespace citronwick
