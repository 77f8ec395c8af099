#include "citronwick/policy/stream_position.hpp"

#include "citronwick/policy/stream_event.hpp"

#include <doctest/doctest.h>

using namespace citronwick;

TEST_CASE("a position names the last event and counts those of each run") {
    stream_position position;
    CHECK(position.is_resumable());
    CHECK(position.last_event_id().empty());
    position.begin_run();
    position.advance({.id = "4"});
    position.advance({.id = "5"});
    position.begin_run();
    position.advance({.id = "6"});
    CHECK(position.first_event_id() == "4");
    CHECK(position.last_event_id() == "6");
    CHECK(position.events() == 3);
    CHECK(position.run_first_event_id() == "6");
    CHECK(position.run_events() == 1);
}

TEST_CASE("a position that a caller names can be resumed before any event has come") {
    const stream_position taken_up{"7"};
    CHECK(taken_up.is_resumable());
    CHECK(taken_up.last_event_id() == "7");
    CHECK(taken_up.events() == 0);
    CHECK(stream_position{""}.last_event_id().empty());
}
