#include "citronwick/policy/suspect_table.hpp"

#include <doctest/doctest.h>

using namespace citronwick;
using namespace std::chrono_literals;

TEST_CASE("each crash of a request is counted, and the entry expires") {
    const time_point start{1h};
    suspect_table table;
    CHECK(table.crashes(7, start) == 0);
    CHECK(table.record_crash(7, 1, start) == 1);
    CHECK(table.record_crash(7, 2, start + 1s) == suspect_table::crash_limit);
    CHECK(table.crashes(8, start) == 0);
    CHECK(table.crashes(7, start + 11min) == 0);
    CHECK(table.record_crash(7, 3, start + 11min) == 1);
}

TEST_CASE("a crash that several routers saw counts once") {
    const time_point start{1h};
    suspect_table table;
    CHECK(table.merge(7, 1, start));
    CHECK_FALSE(table.merge(7, 1, start));
    CHECK(table.record_crash(7, 1, start) == 1);
    CHECK(table.record_crash(7, 2, start) == 2);
    CHECK_FALSE(table.merge(7, 1, start));
    CHECK(table.crashes(7, start) == 2);
}

TEST_CASE("a request that was served is no longer a suspect, even if crashes are reported later") {
    const time_point start{1h};
    suspect_table table;
    CHECK_FALSE(table.record_served(7, start));
    table.record_crash(7, 1, start);
    table.record_crash(7, 2, start);
    CHECK(table.record_served(7, start + 1s));
    CHECK_FALSE(table.record_served(7, start + 1s));
    CHECK(table.crashes(7, start + 1s) == 0);
    table.merge(7, 3, start + 2s);
    CHECK(table.crashes(7, start + 2s) == 0);
}
