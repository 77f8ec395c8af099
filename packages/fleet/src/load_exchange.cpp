#include "citronwick/fleet/load_exchange.hpp"

#include "citronwick/fleet/routing_view.hpp"

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <limits>
#include <ranges>
#include <utility>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Change of an upstream's backlog, in prompt tokens, that is reported at once,
/// since it noticeably delays other requests sent there.
constexpr std::int32_t urgent_backlog = 2'000;
/// Shortest interval between two tables of an aggregator.
constexpr duration table_interval = 100ms;
/// Interval at which tables list their upstreams again, for routers that missed it.
constexpr duration list_interval = 1s;
/// Byte rate of the tables that an aggregator builds; larger ones are built less
/// often.
constexpr double table_bytes_per_second = 3'000.0;
/// Bytes of a table besides its counts.
constexpr std::size_t table_header_bytes = 70;

std::uint16_t to_uint16(std::int64_t value) {
    return static_cast<std::uint16_t>(
        std::clamp<std::int64_t>(value, 0, std::numeric_limits<std::uint16_t>::max()));
}

load_table table_of(const std::vector<wire::load_entry>& entries) {
    load_table table;
    for (const wire::load_entry& entry : entries) {
        table[entry.upstream] = {entry.in_flight,
                                 static_cast<std::int32_t>(entry.backlog * wire::backlog_unit_tokens)};
    }
    return table;
}

std::uint8_t to_uint8(std::int32_t value) {
    return static_cast<std::uint8_t>(
        std::clamp<std::int32_t>(value, 0, std::numeric_limits<std::uint8_t>::max()));
}

std::vector<wire::load_entry> entries_of(const load_table& table) {
    std::vector<wire::load_entry> entries;
    for (const auto& [upstream, load] : table) {
        entries.push_back(
            {upstream, to_uint16(load.in_flight), to_uint16(load.backlog / wire::backlog_unit_tokens)});
    }
    return entries;
}

} // namespace

load_exchange::load_exchange(std::uint64_t self, std::uint64_t domain,
                             std::function<const load_map&()> tracked_loads)
    : self_{self}, domain_{domain}, tracked_loads_{std::move(tracked_loads)} {}

load_table load_exchange::local_table() const {
    load_table local;
    for (const auto& [upstream, load] : tracked_loads_()) {
        const auto in_flight = load->in_flight.load(std::memory_order_relaxed);
        if (in_flight > 0) {
            local[upstream] = {in_flight, load->backlog.load(std::memory_order_relaxed)};
        }
    }
    return local;
}

load_exchange::change load_exchange::local_change() const {
    auto result = change::none;
    for (const auto& [upstream, load] : tracked_loads_()) {
        const auto reported = reported_.find(upstream);
        const load_amount before = reported == reported_.end() ? load_amount{} : reported->second;
        const auto backlog = load->backlog.load(std::memory_order_relaxed);
        if (std::abs(backlog - before.backlog) >= urgent_backlog) {
            return change::urgent;
        }
        if (load->in_flight.load(std::memory_order_relaxed) != before.in_flight) {
            result = change::minor;
        }
    }
    return result;
}

std::vector<wire::load_entry> load_exchange::local_load() const {
    return entries_of(local_table());
}

std::vector<wire::load_entry> load_exchange::report_local_load() {
    reported_ = local_table();
    return entries_of(reported_);
}

void load_exchange::merge_report(std::uint64_t router, const std::vector<wire::load_entry>& entries,
                                 time_point now) {
    totals_.set_router_load(router, table_of(entries));
    update_remote_loads(now);
}

void load_exchange::remove_router(std::uint64_t router, time_point now) {
    totals_.remove_router(router);
    update_remote_loads(now);
}

std::optional<load_exchange::table_messages>
load_exchange::build_tables(const std::vector<std::uint64_t>& routers, time_point now) {
    const load_table own_domain = totals_.sum_of(routers, local_table());
    const load_table fleet = totals_.fleet_load(domain_, own_domain, now);
    const auto bytes =
        static_cast<double>(table_header_bytes + tracked_loads_().size() * sizeof(wire::load_count));
    const auto interval_by_size =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>{bytes / table_bytes_per_second});
    if (now - tables_built_at_ < std::max(table_interval, interval_by_size)) {
        return std::nullopt;
    }
    tables_built_at_ = now;
    ++table_number_;
    std::vector<std::uint32_t> upstreams;
    std::ranges::copy(tracked_loads_() | std::views::keys, std::back_inserter(upstreams));
    if (upstreams != own_list_.upstreams || now - upstreams_listed_at_ >= list_interval) {
        upstreams_listed_at_ = now;
        own_list_ = {{incarnation_, table_number_}, std::move(upstreams)};
    }
    table_messages messages{table_message(own_domain, domain_), table_message(fleet, 0)};
    totals_.set_fleet_load(fleet, local_table(), now);
    update_remote_loads(now);
    return messages;
}

wire::gossip load_exchange::table_message(const load_table& table, std::uint64_t domain) const {
    wire::gossip message;
    message.list_incarnations.push_back(own_list_.number.incarnation);
    message.load_table_ids.push_back({self_, table_number_, domain, own_list_.number.number});
    if (own_list_.number.number == table_number_) {
        message.load_table_upstreams = own_list_.upstreams;
    }
    for (const std::uint32_t upstream : own_list_.upstreams) {
        const auto found = table.find(upstream);
        const load_amount load = found == table.end() ? load_amount{} : found->second;
        message.load_table.push_back(
            {to_uint8(load.in_flight), to_uint8(load.backlog / wire::count_unit_tokens)});
    }
    return message;
}

/// Reads a table.
/// @return none if the table that lists its upstreams was missed
std::optional<load_table> load_exchange::read_table(const wire::gossip& message) {
    const wire::load_table_id& table_id = message.load_table_ids.front();
    const std::uint32_t incarnation = wire::list_incarnation_of(message);
    upstream_list& list = lists_[{table_id.aggregator, table_id.domain}];
    if (!message.load_table_upstreams.empty()) {
        list = {{incarnation, table_id.number}, message.load_table_upstreams};
    }
    if (list.number != message_number{incarnation, table_id.list_number} ||
        list.upstreams.size() != message.load_table.size()) {
        return std::nullopt;
    }
    load_table table;
    for (std::size_t index = 0; index < list.upstreams.size(); ++index) {
        const wire::load_count& count = message.load_table[index];
        if (count.in_flight > 0) {
            table[list.upstreams[index]] = {count.in_flight, count.backlog * wire::count_unit_tokens};
        }
    }
    return table;
}

bool load_exchange::merge_table(const wire::gossip& message, time_point now) {
    const wire::load_table_id& table_id = message.load_table_ids.front();
    if (table_id.domain != 0) {
        if (auto table = read_table(message)) {
            totals_.set_domain_load(table_id.domain, std::move(*table), now);
        }
        return false;
    }
    const message_number number{wire::list_incarnation_of(message), table_id.number};
    message_number& newest = newest_table_[table_id.aggregator];
    if (!number.is_newer_than(newest)) {
        return false;
    }
    newest = number;
    if (auto table = read_table(message)) {
        totals_.set_fleet_load(std::move(*table), reported_, now);
        update_remote_loads(now);
    }
    return true;
}

void load_exchange::update_remote_loads(time_point now) {
    for (const auto& [upstream, load] : tracked_loads_()) {
        const load_amount remote = totals_.remote_load(upstream, now);
        load->remote_in_flight.store(remote.in_flight, std::memory_order_relaxed);
        load->remote_backlog.store(remote.backlog, std::memory_order_relaxed);
    }
}

} // namespace citronwick
