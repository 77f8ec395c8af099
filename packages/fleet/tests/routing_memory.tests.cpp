#include "citronwick/fleet/routing_memory.hpp"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>

using namespace citronwick;

namespace {

using spread = routing_memory::spread;

const time_point start{std::chrono::hours{1}};

wire::gossip news_of(routing_memory& memory) {
    wire::gossip message;
    memory.add_news(message);
    return message;
}

} // namespace

TEST_CASE("routers that few tell of a prompt tell it onward, once") {
    routing_memory first;
    routing_memory second;
    first.record_prompt({{17, 2'000}}, 5, start);
    const auto told = news_of(first);
    REQUIRE(told.prefixes.size() == 1);
    second.merge(told, spread::onward, start);
    second.merge(told, spread::onward, start);
    CHECK(second.opinions({5}, {{17, 2'000}}, start).front().cached_tokens == 2'000);
    CHECK(news_of(second).prefixes.size() == 1);
    CHECK(news_of(second).prefixes.empty());
}

TEST_CASE("where each router tells everybody, nothing is told onward") {
    routing_memory first;
    routing_memory second;
    first.record_prompt({{17, 2'000}}, 5, start);
    second.merge(news_of(first), spread::done, start);
    CHECK(news_of(second).prefixes.empty());
}

TEST_CASE("what one router learns reaches a large fleet in a few rounds of three messages each") {
    constexpr std::size_t routers = 91;
    constexpr std::size_t fanout = 3;
    constexpr int most_rounds = 8;
    std::array<routing_memory, routers> fleet;
    std::array<std::size_t, routers> next{};
    for (std::size_t index = 0; index < routers; ++index) {
        next[index] = (index * 37 + 11) % routers;
    }
    fleet[0].record_prompt({{17, 2'000}}, 5, start);
    for (int round = 0; round < most_rounds; ++round) {
        for (std::size_t from = 0; from < routers; ++from) {
            const auto message = news_of(fleet[from]);
            for (std::size_t sent = 0; sent < fanout; ++sent) {
                fleet[next[from]++ % routers].merge(message, spread::onward, start);
            }
        }
    }
    const auto knows = [](const routing_memory& memory) {
        return memory.opinions({5}, {{17, 2'000}}, start).front().cached_tokens > 0;
    };
    CHECK(static_cast<std::size_t>(std::ranges::count_if(fleet, knows)) >= routers * 9 / 10);
}
