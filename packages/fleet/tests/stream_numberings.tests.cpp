#include "citronwick/fleet/stream_numberings.hpp"

#include "citronwick/fleet/begun_streams.hpp"
#include "citronwick/fleet/stream_exchange.hpp"

#include <doctest/doctest.h>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t version = 7;
constexpr time_point start{100h};
constexpr auto consecutive = stream_numbering::consecutive;
constexpr auto with_gaps = stream_numbering::with_gaps;

} // namespace

TEST_CASE("a numbering is remembered for ten minutes after it was seen last") {
    stream_numberings numberings;
    CHECK_FALSE(numberings.numbering_of(version, start));
    numberings.record(version, consecutive, start);
    numberings.record(version, consecutive, start + 5min);
    CHECK(numberings.numbering_of(version, start + 14min) == consecutive);
    CHECK_FALSE(numberings.numbering_of(version, start + 15min));
    CHECK_FALSE(numberings.numbering_of(version + 1, start + 5min));
    numberings.expire(start + 15min);
    CHECK_FALSE(numberings.numbering_of(version, start + 5min));
}

// Guards against whole streams of services with gaps that end broken.
TEST_CASE("one stream with gaps outweighs those without, here and at other routers") {
    stream_numberings here;
    stream_numberings there;
    here.record(version, consecutive, start);
    there.merge(here.take_updates(start), stream_numberings::relay::none, start);
    CHECK(there.numbering_of(version, start) == consecutive);
    here.record(version, with_gaps, start + 1s);
    here.record(version, consecutive, start + 2s);
    CHECK(here.numbering_of(version, start + 2s) == with_gaps);
    there.merge(here.take_updates(start + 2s), stream_numberings::relay::none, start + 2s);
    there.record(version, consecutive, start + 3s);
    CHECK(there.numbering_of(version, start + 3s) == with_gaps);
    CHECK(there.numbering_of(version, start + 12min) == std::nullopt);
}

TEST_CASE("a change is told in three messages, and again to routers that start") {
    stream_numberings numberings;
    numberings.record(version, consecutive, start);
    for (int message = 0; message < 3; ++message) {
        numberings.record(version, consecutive, start + 1s);
        CHECK(numberings.take_updates(start + 1s).size() == 1);
    }
    CHECK(numberings.take_updates(start + 1s).empty());
    numberings.tell_again();
    CHECK(numberings.take_updates(start + 1s).size() == 1);
    numberings.record(version, consecutive, start + 2min);
    CHECK(numberings.take_updates(start + 2min).at(0).age == 0);
}

TEST_CASE("what routers pass on to each other expires") {
    stream_numberings here;
    stream_numberings there;
    here.record(version, consecutive, start);
    there.merge(here.take_updates(start + 9min), stream_numberings::relay::once, start + 9min);
    CHECK(there.numbering_of(version, start + 9min + 1s) == consecutive);
    CHECK(there.take_updates(start + 9min).at(0).age == 540);
    CHECK_FALSE(there.numbering_of(version, start + 10min));
    here.merge({{version, 600, true}}, stream_numberings::relay::none, start);
    CHECK(here.numbering_of(version, start) == consecutive);
}

// Guards against omissions at a take-up at a router that has just started (ORDER).
TEST_CASE("a router that saw a stream tells how its version numbers events") {
    begun_streams streams;
    stream_numberings numberings;
    streams.record(1, version, start);
    numberings.record(version, consecutive, start);
    wire::gossip answer;
    stream_exchange exchange{
        streams, numberings,
        [&](const wire::gossip& message, std::uint64_t, time_point) { answer = message; }};
    wire::gossip query;
    query.stream_queries.push_back(1);
    exchange.handle_message(2, query, start);
    CHECK(answer.stream_versions.size() == 1);
    CHECK(answer.stream_numberings.at(0).version == version);
    CHECK_FALSE(answer.stream_numberings.at(0).has_gaps);
}
