#include "citronwick/fleet/load_exchange.hpp"

#include "citronwick/fleet/routing_view.hpp"
#include "citronwick/wire/envelope.hpp"

#include <doctest/doctest.h>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

const time_point start{1h};
constexpr std::uint64_t aggregator = 1;
constexpr std::uint64_t domain = 10;

load_exchange::load_map make_loads(std::uint32_t count) {
    load_exchange::load_map loads;
    for (std::uint32_t upstream = 0; upstream < count; ++upstream) {
        loads[upstream * 7'919] = std::make_shared<upstream_load>();
    }
    return loads;
}

} // namespace

TEST_CASE("counts of 144 upstreams reach routers every 150 ms within 3,000 bytes a second") {
    auto loads = make_loads(144);
    load_exchange exchange{aggregator, domain, [&]() -> const auto& { return loads; }};
    const wire::envelope envelope{"key"};
    std::size_t tables = 0;
    std::size_t bytes = 0;
    for (auto time = start; time < start + 10s; time += 50ms) {
        for (const auto& load : loads) {
            load.second->in_flight = static_cast<std::int32_t>((load.first + tables) % 9);
        }
        if (const auto built = exchange.build_tables({}, time)) {
            ++tables;
            bytes += envelope.seal({1, 2, 3}, built->fleet).size();
        }
    }
    CHECK(tables >= 66);
    CHECK(bytes <= 30'000);
}

TEST_CASE("tables without a list of upstreams are read by the last list, and ignored if it was missed") {
    auto loads = make_loads(3);
    auto remote_loads = make_loads(3);
    load_exchange sender{aggregator, domain, [&]() -> const auto& { return loads; }};
    load_exchange receiver{2, domain, [&]() -> const auto& { return remote_loads; }};
    load_exchange late{3, domain, [&]() -> const auto& { return loads; }};
    loads.begin()->second->in_flight = 4;
    const auto listing = sender.build_tables({}, start);
    REQUIRE(listing);
    CHECK(receiver.merge_table(listing->fleet, start));
    CHECK(remote_loads.begin()->second->remote_in_flight == 4);
    loads.begin()->second->in_flight = 6;
    const auto counts = sender.build_tables({}, start + 200ms);
    REQUIRE(counts);
    CHECK(counts->fleet.load_table_upstreams.empty());
    CHECK(receiver.merge_table(counts->fleet, start + 200ms));
    CHECK(remote_loads.begin()->second->remote_in_flight == 6);
    CHECK(late.merge_table(counts->fleet, start + 200ms)); // relayed all the same
    loads[99] = std::make_shared<upstream_load>();
    const auto changed = sender.build_tables({}, start + 400ms);
    REQUIRE(changed);
    CHECK(changed->fleet.load_table_upstreams.size() == 4);
}

TEST_CASE("tables of an aggregator that has restarted are used, although their numbers begin anew") {
    auto loads = make_loads(2);
    auto remote_loads = make_loads(2);
    load_exchange receiver{2, domain, [&]() -> const auto& { return remote_loads; }};
    auto now = start;
    const auto send_tables = [&](std::uint32_t incarnation, std::int32_t in_flight, int count) {
        load_exchange sender{aggregator, domain, [&]() -> const auto& { return loads; }};
        sender.set_incarnation(incarnation);
        loads.begin()->second->in_flight = in_flight;
        for (int table = 0; table < count; ++table) {
            now += 200ms;
            receiver.merge_table(sender.build_tables({}, now)->fleet, now);
        }
    };
    send_tables(1, 4, 100);
    CHECK(remote_loads.begin()->second->remote_in_flight == 4);
    send_tables(2, 7, 3);
    CHECK(remote_loads.begin()->second->remote_in_flight == 7);
}
