#include "citronwick/policy/suspect_table.hpp"

#include <doctest/doctest.h>
#include <vector>

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
    CHECK(table.merge(7, 1, start, start));
    CHECK_FALSE(table.merge(7, 1, start, start));
    CHECK(table.record_crash(7, 1, start) == 1);
    CHECK(table.record_crash(7, 2, start) == 2);
    CHECK_FALSE(table.merge(7, 1, start, start));
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
    table.merge(7, 3, start + 500ms, start + 2s);
    CHECK(table.crashes(7, start + 2s) == 0);
}

TEST_CASE("a request that was served and then begins to crash upstreams is refused") {
    const time_point start{1h};
    suspect_table table;
    table.record_crash(7, 1, start);
    table.record_served(7, start + 1s);
    table.record_crash(7, 2, start + 2s);
    CHECK(table.crashes(7, start + 2s) == 1);
    table.merge(7, 3, start + 3s, start + 3s);
    CHECK(table.crashes(7, start + 3s) == suspect_table::crash_limit);
}

TEST_CASE("a part that only ever occurred beside the crashing one is served without it") {
    const time_point start{1h};
    constexpr std::uint64_t crashing = 1;
    constexpr std::uint64_t companion = 2;
    constexpr std::uint8_t limit = 3;
    suspect_table table;
    for (const std::uint32_t crash : {11U, 12U, 13U}) {
        table.record_crash(crashing, crash, start + crash * 1s);
        table.record_crash(companion, crash, start + crash * 1s);
    }
    const time_point now = start + 20s;
    const std::vector<std::uint64_t> both{companion, crashing};
    const std::vector<std::uint64_t> sound{companion, 3};
    CHECK(table.refused_part(both, limit, now));
    CHECK_FALSE(table.refused_part(sound, limit, now));
    table.record_crash(crashing, 14, now);
    const std::vector<std::uint64_t> alone{crashing, 4};
    CHECK(table.refused_part(alone, limit, now) == crashing);
    CHECK_FALSE(table.refused_part(sound, limit, now));
}

TEST_CASE("a part on many upstreams that crash together is not refused") {
    const time_point start{1h};
    constexpr std::uint8_t limit = 3;
    const std::vector<std::uint64_t> parts{1, 2};
    suspect_table table;
    for (const std::uint32_t crash : {11U, 12U, 13U, 14U}) {
        table.record_crash(1, crash, start + crash * 10ms);
    }
    CHECK_FALSE(table.refused_part(parts, limit, start + 1s));
    table.record_crash(1, 15, start + 1s);
    CHECK_FALSE(table.refused_part(parts, limit, start + 1s));
    table.merge(1, 16, start + 2s, start + 4s);
    CHECK(table.refused_part(parts, limit, start + 4s));
    CHECK_FALSE(table.was_suspected_at(1, start));
    CHECK(table.was_suspected_at(1, start + 1s));
}

TEST_CASE("a part that crashes many upstreams within a second is refused once it goes on") {
    const time_point start{1h};
    constexpr std::uint8_t limit = 3;
    const std::vector<std::uint64_t> parts{1, 2};
    suspect_table table;
    for (std::uint32_t crash = 1; crash <= 200; ++crash) {
        table.record_crash(1, crash * 7919 % 1009, start + crash * 10ms);
    }
    CHECK(table.refused_part(parts, limit, start + 2s));
}

TEST_CASE("a sound part with more crashes than are kept is served without the one beside it that crashes "
          "upstreams") {
    const time_point start{1h};
    constexpr std::uint8_t limit = 3;
    constexpr std::uint64_t sound = 1;
    constexpr std::uint64_t crashing = 2;
    suspect_table table;
    for (std::uint32_t crash = 1; crash <= 40; ++crash) {
        table.record_crash(crashing, crash, start + crash * 100ms);
    }
    // Routers hear of the crashes of two parts in different orders.
    for (std::uint32_t crash = 40; crash >= 1; --crash) {
        table.merge(sound, crash, start + crash * 100ms, start + 5s);
    }
    const time_point now = start + 5s;
    CHECK_FALSE(table.refused_part(std::vector<std::uint64_t>{sound, 7}, limit, now));
    CHECK(table.refused_part(std::vector<std::uint64_t>{sound, crashing}, limit, now));
    SUBCASE("also if one record was lost") {
        table.merge(sound, 41, now, now);
        CHECK_FALSE(table.refused_part(std::vector<std::uint64_t>{sound, 7}, limit, now));
        for (std::uint32_t crash = 42; crash <= 50; ++crash) {
            table.merge(sound, crash, now, now);
        }
        CHECK(table.refused_part(std::vector<std::uint64_t>{sound, 7}, limit, now) == sound);
    }
}

TEST_CASE("routers that heard of the same crashes in any order keep the same ones") {
    const time_point start{1h};
    suspect_table forwards;
    suspect_table backwards;
    for (std::uint32_t crash = 1; crash <= 100; ++crash) {
        forwards.record_crash(1, crash, start);
        backwards.record_crash(1, 101 - crash, start);
    }
    CHECK(forwards.digest(start) == backwards.digest(start));
    backwards.record_served(1, start + 1s);
    CHECK(forwards.digest(start) != backwards.digest(start));
    for (std::size_t group = 0; group < suspect_table::digest_groups; ++group) {
        for (const auto& record : backwards.records_of_group(group, start + 1s)) {
            record.crash == 0
                ? static_cast<void>(forwards.record_served(record.suspect, record.at))
                : static_cast<void>(forwards.merge(record.suspect, record.crash, record.at, start));
        }
    }
    CHECK(forwards.digest(start) == backwards.digest(start));
}

TEST_CASE("the table of suspects is bounded, and the newest entries stay") {
    const time_point start{1h};
    suspect_table table;
    for (std::uint64_t request = 0; request < 20'000; ++request) {
        table.record_crash(request, 1, start + std::chrono::milliseconds{request});
    }
    CHECK(table.size() <= 16'384);
    CHECK(table.crashes(19'999, start + 20s) == 1);
}
