#include "citronwick/fleet/upstream_observations.hpp"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>

using namespace citronwick;

namespace {

using relay = upstream_observations::relay;

const time_point start{std::chrono::hours{1}};

wire::gossip updates_of(upstream_observations& observations) {
    wire::gossip message;
    observations.add_updates(message);
    return message;
}

} // namespace

TEST_CASE("prefixes received from a router that reaches only some others are relayed once") {
    upstream_observations first;
    upstream_observations second;
    first.record_prompt({{17, 2'000}}, 5, start);
    const auto sent = updates_of(first);
    REQUIRE(sent.prefixes.size() == 1);
    second.merge(sent, relay::once, start);
    second.merge(sent, relay::once, start);
    CHECK(second.summaries({5}, {{17, 2'000}}, start).front().cached_tokens == 2'000);
    CHECK(updates_of(second).prefixes.size() == 1);
    CHECK(updates_of(second).prefixes.empty());
}

TEST_CASE("nothing is relayed where each router reaches all others") {
    upstream_observations first;
    upstream_observations second;
    first.record_prompt({{17, 2'000}}, 5, start);
    second.merge(updates_of(first), relay::none, start);
    CHECK(updates_of(second).prefixes.empty());
}

TEST_CASE("a prefix reaches nine tenths of a large fleet within a few rounds of three messages per router") {
    constexpr std::size_t routers = 91;
    constexpr std::size_t fanout = 3;
    constexpr int max_rounds = 8;
    std::array<upstream_observations, routers> fleet;
    std::array<std::size_t, routers> next{};
    for (std::size_t index = 0; index < routers; ++index) {
        next[index] = (index * 37 + 11) % routers;
    }
    fleet[0].record_prompt({{17, 2'000}}, 5, start);
    for (int round = 0; round < max_rounds; ++round) {
        for (std::size_t from = 0; from < routers; ++from) {
            const auto message = updates_of(fleet[from]);
            for (std::size_t sent = 0; sent < fanout; ++sent) {
                fleet[next[from]++ % routers].merge(message, relay::once, start);
            }
        }
    }
    const auto knows = [](const upstream_observations& observations) {
        return observations.summaries({5}, {{17, 2'000}}, start).front().cached_tokens > 0;
    };
    CHECK(static_cast<std::size_t>(std::ranges::count_if(fleet, knows)) >= routers * 9 / 10);
}

TEST_CASE("others fetch a prefix only from an engine that has had time to process it") {
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    upstream_observations observations;
    const auto seen = [&](time_point now) { return observations.summaries({5}, {{17, 2'000}}, now).front(); };
    observations.record_prompt({{17, 2'000}}, 5, start);
    CHECK(seen(start).cached_tokens == 2'000);
    CHECK(seen(start).source_tokens == 0);
    CHECK(seen(start + milliseconds{300}).source_tokens == 2'000);
    // A prefix that was forgotten has to be processed again.
    observations.record_prompt({{17, 2'000}}, 5, start + seconds{70});
    CHECK(seen(start + seconds{70}).source_tokens == 0);
    // Later requests do not.
    observations.record_prompt({{17, 2'000}}, 5, start + seconds{72});
    CHECK(seen(start + seconds{72}).source_tokens == 2'000);
}
