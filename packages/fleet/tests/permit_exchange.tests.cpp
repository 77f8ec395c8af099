#include "citronwick/fleet/permit_exchange.hpp"

#include "citronwick/fleet/upstream_limits.hpp"

#include <doctest/doctest.h>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

const time_point start{1h};
constexpr std::uint64_t self = 1;
constexpr std::uint64_t coordinator = 2;

wire::gossip limit_list(std::uint32_t incarnation, std::uint32_t number) {
    wire::gossip message;
    message.limits.push_back({.upstream = 7, .per_second = 2.0F, .unlimited_age = wire::no_age});
    message.list_ids.push_back({coordinator, number});
    message.list_incarnations.push_back(incarnation);
    return message;
}

} // namespace

TEST_CASE("lists of a coordinator that has restarted are relayed, although their numbers begin anew") {
    upstream_limits limits;
    std::size_t relayed = 0;
    coordinator_network network;
    network.coordinator = [](time_point) { return coordinator; };
    network.relay = [&](const wire::gossip&, const wire::list_id&, time_point) { ++relayed; };
    permit_exchange exchange{self, limits, network};
    exchange.handle_message(coordinator, limit_list(1, 100), start);
    exchange.handle_message(coordinator, limit_list(1, 100), start);
    CHECK(relayed == 1);
    exchange.handle_message(coordinator, limit_list(2, 1), start + 1s);
    CHECK(relayed == 2);
    exchange.handle_message(coordinator, limit_list(1, 101), start + 1s);
    CHECK(relayed == 2);
}
