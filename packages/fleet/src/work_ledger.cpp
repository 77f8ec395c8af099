#include "citronwick/fleet/work_ledger.hpp"

#include <algorithm>
#include <utility>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Age from which a keeper's sum is no better than what is heard at random.
constexpr duration table_lifetime = 1500ms;

void add(work_table& sum, const work_table& work) {
    for (const auto& [upstream, amount] : work) {
        sum[upstream] += amount;
    }
}

amount_of_work at_least_none(amount_of_work amount) {
    return {std::max(amount.in_flight, 0), std::max(amount.backlog, 0)};
}

} // namespace

amount_of_work& amount_of_work::operator+=(const amount_of_work& other) {
    in_flight += other.in_flight;
    backlog += other.backlog;
    return *this;
}

amount_of_work& amount_of_work::operator-=(const amount_of_work& other) {
    in_flight -= other.in_flight;
    backlog -= other.backlog;
    return *this;
}

void work_ledger::replace(std::uint64_t router, work_table work) {
    work_table& known = by_router_[router];
    for (const auto& [upstream, amount] : known) {
        sum_[upstream] -= amount;
    }
    add(sum_, work);
    std::erase_if(sum_, [](const auto& entry) { return entry.second == amount_of_work{}; });
    known = std::move(work);
}

void work_ledger::forget(std::uint64_t router) {
    replace(router, {});
    by_router_.erase(router);
}

void work_ledger::take_domain(std::uint64_t domain, work_table work, time_point now) {
    by_domain_[domain] = {std::move(work), now};
}

void work_ledger::take_fleet(work_table work, const work_table& own, time_point now) {
    for (const auto& [upstream, amount] : own) {
        work[upstream] -= amount;
    }
    fleet_elsewhere_ = std::move(work);
    fleet_at_ = now;
    had_fleet_ = true;
}

work_table work_ledger::sum_of(const std::vector<std::uint64_t>& routers, work_table own) const {
    for (const std::uint64_t router : routers) {
        if (const auto known = by_router_.find(router); known != by_router_.end()) {
            add(own, known->second);
        }
    }
    return own;
}

work_table work_ledger::fleet(std::uint64_t domain, work_table own_domain, time_point now) const {
    for (const auto& [other, table] : by_domain_) {
        if (other != domain && now - table.taken_at < table_lifetime) {
            add(own_domain, table.work);
        }
    }
    return own_domain;
}

amount_of_work work_ledger::elsewhere(std::uint32_t upstream, time_point now) const {
    const work_table& used = has_fleet(now) ? fleet_elsewhere_ : sum_;
    const auto found = used.find(upstream);
    return found == used.end() ? amount_of_work{} : at_least_none(found->second);
}

bool work_ledger::has_fleet(time_point now) const {
    return had_fleet_ && now - fleet_at_ < table_lifetime;
}

} // namespace citronwick
