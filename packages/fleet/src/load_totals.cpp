#include "citronwick/fleet/load_totals.hpp"

#include <algorithm>
#include <utility>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Age from which an aggregator's table is no more accurate than the reports
/// received from individual routers.
constexpr duration table_lifetime = 1500ms;

void add(load_table& sum, const load_table& load) {
    for (const auto& [upstream, amount] : load) {
        sum[upstream] += amount;
    }
}

load_amount clamp_to_zero(load_amount amount) {
    return {std::max(amount.in_flight, 0), std::max(amount.backlog, 0)};
}

} // namespace

load_amount& load_amount::operator+=(const load_amount& other) {
    in_flight += other.in_flight;
    backlog += other.backlog;
    return *this;
}

load_amount& load_amount::operator-=(const load_amount& other) {
    in_flight -= other.in_flight;
    backlog -= other.backlog;
    return *this;
}

void load_totals::set_router_load(std::uint64_t router, load_table load) {
    load_table& previous = by_router_[router];
    for (const auto& [upstream, amount] : previous) {
        routers_sum_[upstream] -= amount;
    }
    add(routers_sum_, load);
    std::erase_if(routers_sum_, [](const auto& entry) { return entry.second == load_amount{}; });
    previous = std::move(load);
}

void load_totals::remove_router(std::uint64_t router) {
    set_router_load(router, {});
    by_router_.erase(router);
}

void load_totals::set_domain_load(std::uint64_t domain, load_table load, time_point now) {
    by_domain_[domain] = {std::move(load), now};
}

void load_totals::set_fleet_load(load_table load, const load_table& local, time_point now) {
    for (const auto& [upstream, amount] : local) {
        load[upstream] -= amount;
    }
    fleet_remote_load_ = std::move(load);
    fleet_load_set_at_ = now;
    has_fleet_load_ = true;
}

load_table load_totals::sum_of(const std::vector<std::uint64_t>& routers, load_table local) const {
    for (const std::uint64_t router : routers) {
        if (const auto found = by_router_.find(router); found != by_router_.end()) {
            add(local, found->second);
        }
    }
    return local;
}

load_table load_totals::fleet_load(std::uint64_t domain, load_table own_domain, time_point now) const {
    for (const auto& [other, table] : by_domain_) {
        if (other != domain && now - table.received_at < table_lifetime) {
            add(own_domain, table.load);
        }
    }
    return own_domain;
}

load_amount load_totals::remote_load(std::uint32_t upstream, time_point now) const {
    const load_table& used = has_fresh_fleet_load(now) ? fleet_remote_load_ : routers_sum_;
    const auto found = used.find(upstream);
    return found == used.end() ? load_amount{} : clamp_to_zero(found->second);
}

bool load_totals::has_fresh_fleet_load(time_point now) const {
    return has_fleet_load_ && now - fleet_load_set_at_ < table_lifetime;
}

} // namespace citronwick
