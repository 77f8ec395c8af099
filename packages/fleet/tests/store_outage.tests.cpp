#include "citronwick/fleet/store_outage.hpp"

#include <doctest/doctest.h>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

const time_point start{1h};

} // namespace

TEST_CASE("an outage ends when the store has served any router") {
    store_outage outage{2s};
    outage.record_service(start);
    outage.record_failure(start + 1s);
    CHECK_FALSE(outage.record_service(start + 900ms));
    CHECK(outage.record_service(start + 4s) == std::optional<duration>{3100ms});
    CHECK(outage.lapse_window_end(start + 5s) == start + 6s);
    CHECK_FALSE(outage.lapse_window_end(start + 6s));
}

TEST_CASE("a router that alone is rejected sees no outage") {
    store_outage outage{2s};
    for (auto time = start; time < start + 10s; time += 1s) {
        outage.record_failure(time + 10ms);
        outage.record_failure(time + 900ms);
        CHECK_FALSE(outage.record_service(time + 1s));
        CHECK_FALSE(outage.lapse_window_end(time + 1s));
    }
}

TEST_CASE("time without news of the store is no outage unless a call failed") {
    store_outage outage{2s};
    outage.record_service(start);
    CHECK_FALSE(outage.record_service(start + 5s));
}

TEST_CASE("a lapse window is counted from the end of the outage, whenever a removal is seen") {
    store_outage outage{2s};
    outage.record_failure(start);
    outage.record_service(start + 5s);
    CHECK(outage.lapse_window_end(start + 6900ms) == start + 7s);
}

TEST_CASE("a router that was cut off learns from a peer that the store had served the fleet") {
    store_outage outage{2s};
    outage.record_service(start);
    outage.record_failure(start + 1s);
    CHECK(outage.record_service(start + 6s));
    REQUIRE(outage.lapse_window_end(start + 7s));
    outage.record_peer_span({start - 10s, start + 3s});
    CHECK(outage.lapse_window_end(start + 7s));
    outage.record_peer_span({start - 10s, start + 5900ms});
    CHECK_FALSE(outage.lapse_window_end(start + 7s));
}

TEST_CASE("what a peer told before the end of a cut counts too") {
    store_outage outage{2s};
    outage.record_service(start);
    outage.record_failure(start + 1s);
    outage.record_peer_span({start - 10s, start + 5s});
    CHECK_FALSE(outage.record_service(start + 6s));
    CHECK_FALSE(outage.lapse_window_end(start + 7s));
}

TEST_CASE("peers that saw the same outage do not end its lapse window") {
    store_outage outage{2s};
    store_outage peer{2s};
    for (store_outage* const each : {&outage, &peer}) {
        each->record_service(start);
        each->record_failure(start + 1s);
    }
    CHECK(outage.record_service(start + 4s));
    CHECK(peer.record_service(start + 4100ms));
    CHECK(peer.record_service(start + 5s) == std::nullopt);
    outage.record_peer_span(*peer.span());
    CHECK(outage.lapse_window_end(start + 5s) == start + 6s);
}

TEST_CASE("a watcher that was cut off does not open a lapse window for routers that the store served") {
    store_outage outage{2s};
    for (auto time = start; time <= start + 10s; time += 1s) {
        outage.record_service(time);
    }
    outage.extend_lapse_window(start + 11s);
    CHECK_FALSE(outage.lapse_window_end(start + 10s));
}

TEST_CASE("that the store served the fleet does not end the window after it came back from a copy") {
    store_outage outage{2s};
    outage.record_service(start);
    outage.record_restoration(start + 1s);
    outage.record_peer_span({start - 10s, start + 2s});
    CHECK(outage.lapse_window_end(start + 2s) == start + 3s);
}
