#include "citronwick/fleet/load_aggregator.hpp"

#include <algorithm>
#include <utility>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Age from which a keeper's sum is no better than what is heard at random.
constexpr duration table_lifetime = 1500ms;

void add(load_table& sum, const load_table& work) {
    for (const auto& [upstream, amount] : work) {
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

void load_aggregator::set_router_load(std::uint64_t router, load_table work) {
    load_table& previous = by_router_[router];
    for (const auto& [upstream, amount] : previous) {
        routers_sum_[upstream] -= amount;
    }
    add(routers_sum_, work);
    std::erase_if(routers_sum_, [](const auto& entry) { return entry.second == load_amount{}; });
    previous = std::move(work);
}

void load_aggregator::remove_router(std::uint64_t router) {
    set_router_load(router, {});
    by_router_.erase(router);
}

void load_aggregator::set_domain_load(std::uint64_t domain, load_table work, time_point now) {
    by_domain_[domain] = {std::move(work), now};
}

void load_aggregator::set_fleet_load(load_table work, const load_table& own, time_point now) {
    for (const auto& [upstream, amount] : own) {
        work[upstream] -= amount;
    }
    fleet_remote_load_ = std::move(work);
    fleet_load_set_at_ = now;
    has_fleet_load_ = true;
}

load_table load_aggregator::sum_of(const std::vector<std::uint64_t>& routers, load_table own) const {
    for (const std::uint64_t router : routers) {
        if (const auto previous = by_router_.find(router); previous != by_router_.end()) {
            add(own, previous->second);
        }
    }
    return own;
}

load_table load_aggregator::fleet_load(std::uint64_t domain, load_table own_domain, time_point now) const {
    for (const auto& [other, table] : by_domain_) {
        if (other != domain && now - table.received_at < table_lifetime) {
            add(own_domain, table.work);
        }
    }
    return own_domain;
}

load_amount load_aggregator::remote_load(std::uint32_t upstream, time_point now) const {
    const load_table& used = has_fresh_fleet_load(now) ? fleet_remote_load_ : routers_sum_;
    const auto found = used.find(upstream);
    return found == used.end() ? load_amount{} : clamp_to_zero(found->second);
}

bool load_aggregator::has_fresh_fleet_load(time_point now) const {
    return has_fleet_load_ && now - fleet_load_set_at_ < table_lifetime;
}

} // namespace citronwick
