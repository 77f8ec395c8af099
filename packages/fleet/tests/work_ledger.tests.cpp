#include "citronwick/fleet/work_ledger.hpp"

#include <doctest/doctest.h>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

const time_point start{1h};
constexpr std::uint32_t engine = 7;

work_table on_engine(std::int32_t in_flight, std::int32_t backlog = 0) {
    return {{engine, {in_flight, backlog}}};
}

} // namespace

TEST_CASE("what routers tell adds up, and the newest of each replaces the one before") {
    work_ledger ledger;
    ledger.replace(1, on_engine(3, 500));
    ledger.replace(2, on_engine(4));
    CHECK(ledger.elsewhere(engine, start) == amount_of_work{7, 500});
    ledger.replace(1, on_engine(1));
    CHECK(ledger.elsewhere(engine, start) == amount_of_work{5, 0});
    ledger.forget(2);
    CHECK(ledger.elsewhere(engine, start) == amount_of_work{1, 0});
    CHECK_FALSE(ledger.knows(2));
}

TEST_CASE("a keeper's sum counts without the own part, until it is old") {
    work_ledger ledger;
    ledger.replace(1, on_engine(3));
    ledger.take_fleet(on_engine(20, 9'000), on_engine(2, 9'500), start);
    CHECK(ledger.elsewhere(engine, start + 1s) == amount_of_work{18, 0});
    CHECK(ledger.elsewhere(engine + 1, start + 1s) == amount_of_work{});
    CHECK(ledger.elsewhere(engine, start + 2s) == amount_of_work{3, 0});
}

TEST_CASE("a keeper adds up its routers, itself and the domains whose keepers it hears") {
    work_ledger ledger;
    ledger.replace(1, on_engine(3));
    ledger.replace(2, on_engine(4));
    ledger.replace(9, on_engine(50)); // of another domain
    const auto domain = ledger.sum_of({1, 2, 3}, on_engine(1));
    CHECK(domain == on_engine(8));
    ledger.take_domain(100, on_engine(10), start);
    ledger.take_domain(101, on_engine(11), start - 2s);
    ledger.take_domain(102, on_engine(99), start); // its own, from another keeper
    CHECK(ledger.fleet(102, domain, start + 1s) == on_engine(18));
}
