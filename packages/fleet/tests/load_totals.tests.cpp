#include "citronwick/fleet/load_totals.hpp"

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

TEST_CASE("the reports of routers are summed, and a new report replaces the previous one") {
    load_totals totals;
    totals.set_router_load(1, on_engine(3, 500));
    totals.set_router_load(2, on_engine(4));
    CHECK(totals.remote_load(engine, start) == load_amount{7, 500});
    totals.set_router_load(1, on_engine(1));
    CHECK(totals.remote_load(engine, start) == load_amount{5, 0});
    totals.remove_router(2);
    CHECK(totals.remote_load(engine, start) == load_amount{1, 0});
    CHECK_FALSE(totals.contains(2));
}

TEST_CASE("an aggregator's total is used without this router's part of it, until it expires") {
    load_totals totals;
    totals.set_router_load(1, on_engine(3));
    totals.set_fleet_load(on_engine(20, 9'000), on_engine(2, 9'500), start);
    CHECK(totals.remote_load(engine, start + 1s) == load_amount{18, 0});
    CHECK(totals.remote_load(engine + 1, start + 1s) == load_amount{});
    CHECK(totals.remote_load(engine, start + 2s) == load_amount{3, 0});
}

TEST_CASE("an aggregator sums its own load, its routers' loads and those of recently reported domains") {
    load_totals totals;
    totals.set_router_load(1, on_engine(3));
    totals.set_router_load(2, on_engine(4));
    totals.set_router_load(9, on_engine(50)); // of another domain
    const auto domain = totals.sum_of({1, 2, 3}, on_engine(1));
    CHECK(domain == on_engine(8));
    totals.set_domain_load(100, on_engine(10), start);
    totals.set_domain_load(101, on_engine(11), start - 2s);
    totals.set_domain_load(102, on_engine(99), start); // its own, from another aggregator
    CHECK(totals.fleet_load(102, domain, start + 1s) == on_engine(18));
}
