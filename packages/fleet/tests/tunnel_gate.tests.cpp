#include "citronwick/fleet/tunnel_gate.hpp"

#include "citronwick/fleet/fleet_directory.hpp"
#include "citronwick/fleet/routing_view.hpp"
#include "citronwick/wire/envelope.hpp"

#include <doctest/doctest.h>
#include <utility>

using namespace citronwick;

namespace {

constexpr const char* upstream_address = "10.1.0.9:8300";

struct gate_fixture {
    gate_fixture() {
        view.upstreams["desk"].push_back({.entry = {.address = *parse_endpoint(upstream_address)}});
        view.leaving["desk"].push_back({.entry = {.address = *parse_endpoint("10.1.0.8:8300")}});
    }

    bool accepts(const std::string& sealed) {
        return gate.open(sealed, "10.1.0.2:7340", known, view).has_value();
    }

    std::string seal(std::uint32_t sequence = 1) const {
        return wire::envelope{key}.seal({sender, sender_incarnation, sequence}, request);
    }

    fleet_directory known{
        .key = "fleet key", .self = 1, .incarnation = 5, .live = {{2, 7, {"10.1.0.2", 7340}}}};
    routing_view view;
    tunnel_gate gate;
    std::string key = "fleet key";
    std::uint64_t sender = 2;
    std::uint64_t sender_incarnation = 7;
    wire::tunnel_request request{
        .upstream = upstream_address, .timeout = 300, .receiver = 1, .receiver_incarnation = 5, .nonce = 99};
};

} // namespace

TEST_CASE_FIXTURE(gate_fixture, "a live router's request for an upstream is accepted once") {
    const auto opened = gate.open(seal(), "10.1.0.2:7340", known, view);
    REQUIRE(opened.has_value());
    CHECK(to_text(opened->upstream) == upstream_address);
    CHECK(opened->timeout == std::chrono::milliseconds{300});
    CHECK(opened->nonce == 99);
    CHECK_FALSE(accepts(seal()));
    request.upstream = "10.1.0.8:8300";
    CHECK(accepts(seal(2)));
}

TEST_CASE_FIXTURE(gate_fixture, "a request from a router that is leaving is accepted") {
    known.leaving = std::exchange(known.live, {});
    CHECK(accepts(seal()));
    known.leaving.clear();
    CHECK_FALSE(accepts(seal(2)));
}

TEST_CASE_FIXTURE(gate_fixture, "forged requests for tunnels are refused") {
    SUBCASE("another key") {
        key = "other key";
    }
    SUBCASE("an unknown sender") {
        sender = 3;
    }
    SUBCASE("an earlier incarnation of the sender") {
        sender_incarnation = 6;
    }
    SUBCASE("meant for another router") {
        request.receiver = 4;
    }
    SUBCASE("meant for an earlier incarnation") {
        request.receiver_incarnation = 4;
    }
    SUBCASE("an address that is no upstream") {
        request.upstream = "10.200.1.7:8223";
    }
    SUBCASE("another port of an upstream") {
        request.upstream = "10.1.0.9:22";
    }
    SUBCASE("no address") {
        request.upstream = "desk";
    }
    SUBCASE("no fleet key is known") {
        known.key.clear();
        key.clear();
    }
    CHECK_FALSE(accepts(seal()));
}

TEST_CASE_FIXTURE(gate_fixture, "truncated and changed requests for tunnels are refused") {
    const std::string sealed = seal();
    for (std::size_t size = 0; size < sealed.size(); ++size) {
        CHECK_FALSE(accepts(sealed.substr(0, size)));
        std::string changed = sealed;
        changed[size] = static_cast<char>(changed[size] ^ 1);
        CHECK_FALSE(accepts(changed));
    }
    CHECK(accepts(sealed));
}
