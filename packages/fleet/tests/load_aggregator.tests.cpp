#include "citronwick/fleet/load_aggregator.hpp"

#include <doctest/doctest.h>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

const time_point start{1h};
constexpr std::uint32_t engine = 7;

load_table on_engine(std::int32_t in_flight, std::int32_t backlog = 0) {
    return {{engine, {in_flight, backlog}}};
}

} // namespace

TEST_CASE("what routers tell adds up, and the newest of each replaces the one before") {
    load_aggregator aggregator;
    aggregator.set_router_load(1, on_engine(3, 500));
    aggregator.set_router_load(2, on_engine(4));
    CHECK(aggregator.remote_load(engine, start) == load_amount{7, 500});
    aggregator.set_router_load(1, on_engine(1));
    CHECK(aggregator.remote_load(engine, start) == load_amount{5, 0});
    aggregator.remove_router(2);
    CHECK(aggregator.remote_load(engine, start) == load_amount{1, 0});
    CHECK_FALSE(aggregator.contains(2));
}

TEST_CASE("a keeper's sum counts without the own part, until it is old") {
    load_aggregator aggregator;
    aggregator.set_router_load(1, on_engine(3));
    aggregator.set_fleet_load(on_engine(20, 9'000), on_engine(2, 9'500), start);
    CHECK(aggregator.remote_load(engine, start + 1s) == load_amount{18, 0});
    CHECK(aggregator.remote_load(engine + 1, start + 1s) == load_amount{});
    CHECK(aggregator.remote_load(engine, start + 2s) == load_amount{3, 0});
}

TEST_CASE("a keeper adds up its routers, itself and the domains whose keepers it hears") {
    load_aggregator aggregator;
    aggregator.set_router_load(1, on_engine(3));
    aggregator.set_router_load(2, on_engine(4));
    aggregator.set_router_load(9, on_engine(50)); // of another domain
    const auto domain = aggregator.sum_of({1, 2, 3}, on_engine(1));
    CHECK(domain == on_engine(8));
    aggregator.set_domain_load(100, on_engine(10), start);
    aggregator.set_domain_load(101, on_engine(11), start - 2s);
    aggregator.set_domain_load(102, on_engine(99), start); // its own, from another keeper
    CHECK(aggregator.fleet_load(102, domain, start + 1s) == on_engine(18));
}
