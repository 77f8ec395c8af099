#include "citronwick/fleet/load_exchange.hpp"

#include "citronwick/fleet/routing_view.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <limits>
#include <utility>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Change of an upstream's backlog in prompt tokens that is told at once: it
/// delays whatever else is sent there by a noticeable time.
constexpr std::int32_t urgent_backlog = 2'000;
/// Shortest time between two tables of a keeper.
constexpr duration table_interval = 250ms;
/// Bytes a second of the tables that a keeper makes; longer ones are rarer.
constexpr double table_bytes_per_second = 3'000.0;
/// Time over which counts of requests elsewhere are averaged.
constexpr duration usual_time = 3s;

std::uint16_t clamped(std::int64_t value) {
    return static_cast<std::uint16_t>(
        std::clamp<std::int64_t>(value, 0, std::numeric_limits<std::uint16_t>::max()));
}

work_table table_of(const std::vector<wire::work_entry>& entries) {
    work_table table;
    for (const wire::work_entry& entry : entries) {
        table[entry.upstream] = {entry.in_flight,
                                 static_cast<std::int32_t>(entry.backlog * wire::backlog_unit)};
    }
    return table;
}

std::vector<wire::work_entry> entries_of(const work_table& table) {
    std::vector<wire::work_entry> entries;
    for (const auto& [upstream, work] : table) {
        entries.push_back({upstream, clamped(work.in_flight), clamped(work.backlog / wire::backlog_unit)});
    }
    return entries;
}

} // namespace

load_exchange::load_exchange(std::uint64_t self, std::uint64_t domain, std::function<const works&()> shown)
    : self_{self}, domain_{domain}, shown_{std::move(shown)} {}

work_table load_exchange::own_work() const {
    work_table own;
    for (const auto& [upstream, work] : shown_()) {
        const auto in_flight = work->in_flight.load(std::memory_order_relaxed);
        if (in_flight > 0) {
            own[upstream] = {in_flight, work->backlog.load(std::memory_order_relaxed)};
        }
    }
    return own;
}

load_exchange::change load_exchange::own_change() const {
    auto seen = change::none;
    for (const auto& [upstream, work] : shown_()) {
        const auto told = told_.find(upstream);
        const amount_of_work before = told == told_.end() ? amount_of_work{} : told->second;
        const auto backlog = work->backlog.load(std::memory_order_relaxed);
        if (std::abs(backlog - before.backlog) >= urgent_backlog) {
            return change::urgent;
        }
        if (work->in_flight.load(std::memory_order_relaxed) != before.in_flight) {
            seen = change::some;
        }
    }
    return seen;
}

std::vector<wire::work_entry> load_exchange::own() const {
    return entries_of(own_work());
}

std::vector<wire::work_entry> load_exchange::tell() {
    told_ = own_work();
    return entries_of(told_);
}

void load_exchange::hear(std::uint64_t router, const std::vector<wire::work_entry>& work, time_point now) {
    ledger_.replace(router, table_of(work));
    publish(now);
}

void load_exchange::forget(std::uint64_t router, time_point now) {
    ledger_.forget(router);
    publish(now);
}

std::optional<load_exchange::tables> load_exchange::make_tables(const std::vector<std::uint64_t>& routers,
                                                                time_point now) {
    const work_table own_domain = ledger_.sum_of(routers, own_work());
    const work_table fleet = ledger_.fleet(domain_, own_domain, now);
    const auto bytes = static_cast<double>(fleet.size() * sizeof(wire::work_entry));
    const auto spacing =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>{bytes / table_bytes_per_second});
    if (now - made_at_ < std::max(table_interval, spacing)) {
        return std::nullopt;
    }
    made_at_ = now;
    ++tables_made_;
    tables made;
    made.of_domain.tables.push_back({self_, tables_made_, domain_});
    made.of_domain.table_work = entries_of(own_domain);
    made.of_fleet.tables.push_back({self_, tables_made_, 0});
    made.of_fleet.table_work = entries_of(fleet);
    ledger_.take_fleet(fleet, own_work(), now);
    publish(now);
    return made;
}

bool load_exchange::take_table(const wire::gossip& message, time_point now) {
    const wire::table_origin& origin = message.tables.front();
    if (origin.domain != 0) {
        ledger_.take_domain(origin.domain, table_of(message.table_work), now);
        return false;
    }
    std::uint32_t& newest = newest_table_[origin.keeper];
    if (origin.number <= newest) {
        return false;
    }
    newest = origin.number;
    ledger_.take_fleet(table_of(message.table_work), told_, now);
    publish(now);
    return true;
}

void load_exchange::publish(time_point now) {
    const std::chrono::duration<double> passed{now - std::exchange(published_at_, now)};
    const double weight = 1.0 - std::exp(-passed / std::chrono::duration<double>{usual_time});
    for (const auto& [upstream, work] : shown_()) {
        const amount_of_work elsewhere = ledger_.elsewhere(upstream, now);
        work->elsewhere_in_flight.store(elsewhere.in_flight, std::memory_order_relaxed);
        work->elsewhere_backlog.store(elsewhere.backlog, std::memory_order_relaxed);
        const double usual = work->usual_elsewhere.load(std::memory_order_relaxed);
        work->usual_elsewhere.store(usual + weight * (elsewhere.in_flight - usual),
                                    std::memory_order_relaxed);
    }
}

} // namespace citronwick
