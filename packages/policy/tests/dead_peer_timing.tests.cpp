#include "citronwick/policy/dead_peer_timing.hpp"

#include <doctest/doctest.h>

using namespace citronwick;
using namespace std::chrono_literals;

TEST_CASE("an acknowledgement timeout decides which keep-alive probe is the last one") {
    dead_peer_timing timing{
        .keepalive_idle = 2s, .keepalive_interval = 1s, .keepalive_probes = 2, .ack_timeout = 0ms};
    CHECK(timing.quiet_limit() == 4s);
    timing.ack_timeout = 1'500ms;
    CHECK(timing.quiet_limit() == 3s);
    CHECK(timing.longest_quiet_silence() == 0s);
    timing.ack_timeout = 4s;
    CHECK(timing.quiet_limit() == 4s);
    timing.ack_timeout = 4'001ms;
    CHECK(timing.quiet_limit() == 5s);
    CHECK(timing.longest_quiet_silence() == 2s);
}

TEST_CASE("data is not sent again when the acknowledgement timeout expires") {
    const dead_peer_timing timing{
        .keepalive_idle = 2s, .keepalive_interval = 1s, .keepalive_probes = 2, .ack_timeout = 3s};
    CHECK(timing.longest_unacknowledged_silence(200ms) == 1'400ms);
    CHECK(timing.longest_unacknowledged_silence(100ms) == 1'500ms);
}

// Guards against responses of sound upstreams that are cut since these were silent for a second.
TEST_CASE("a silence of less than 2 s ends no connection, and a dead peer is noticed within 4 s") {
    dead_peer_timing timing = upstream_dead_peer_timing;
    CHECK(timing.longest_unacknowledged_silence(200ms) >= 2s);
    CHECK(timing.longest_unacknowledged_silence(230ms) >= 2s);
    CHECK(timing.longest_quiet_silence() >= 2s);
    CHECK(timing.quiet_limit() <= 4s);
    CHECK(timing.ack_timeout <= 4s);
    timing.ack_timeout = 0ms;
    CHECK(timing.longest_quiet_silence() >= 2s);
    CHECK(timing.quiet_limit() <= 4s);
}
