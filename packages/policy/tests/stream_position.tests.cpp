#include "citronwick/policy/stream_position.hpp"

#include "citronwick/policy/stream_event.hpp"

#include <doctest/doctest.h>
#include <initializer_list>

using namespace citronwick;

namespace {

/// Position behind events with these identifiers, at the beginning of another run.
stream_position position_behind(std::initializer_list<const char*> ids) {
    stream_position position;
    for (const char* const id : ids) {
        position.advance({.id = id});
    }
    position.begin_run();
    return position;
}

std::optional<sequence_fault> fault_of(const stream_position& position, const char* id) {
    return position.find_fault({.id = id});
}

} // namespace

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

// Guards against a run that begins anew behind the events of another one (ORDER).
TEST_CASE("a run that goes on begins behind the last event of the run before") {
    const auto position = position_behind({"1", "2", "3"});
    CHECK_FALSE(fault_of(position, "4"));
    CHECK(fault_of(position, "1") == sequence_fault::repeated);
    CHECK(fault_of(position, "3") == sequence_fault::repeated);
    CHECK(fault_of(position, "03") == sequence_fault::repeated);
    CHECK(fault_of(position, "5") == sequence_fault::omitted);
    CHECK(position.find_fault({}) == sequence_fault::unnumbered);
    CHECK(fault_of(position, "") == sequence_fault::unnumbered);
    CHECK(fault_of(position, "a4") == sequence_fault::unnumbered);
    CHECK_FALSE(position.find_fault({.is_final = true}));
}

TEST_CASE("an omission is recognized only where the numbers are consecutive") {
    CHECK_FALSE(fault_of(position_behind({"1"}), "5"));
    CHECK_FALSE(fault_of(position_behind({"1", "2", "6"}), "9"));
    CHECK_FALSE(fault_of(position_behind({"5", "10"}), "15"));
    CHECK_FALSE(fault_of(stream_position{"5"}, "7"));
    CHECK(fault_of(stream_position{"5"}, "5") == sequence_fault::repeated);
}

TEST_CASE("identifiers that are no numbers are compared for equality between runs") {
    const auto position = position_behind({"a", "b", "c"});
    CHECK(fault_of(position, "a") == sequence_fault::repeated);
    CHECK(fault_of(position, "c") == sequence_fault::repeated);
    CHECK_FALSE(fault_of(position, "d"));
    CHECK_FALSE(fault_of(position, "7"));
    CHECK_FALSE(fault_of(position_behind({"99999999999999999999"}), "99999999999999999998"));
}

// Guards against sound streams that end broken, as some of their texts look like numbers.
TEST_CASE("digits among identifiers that are no numbers are not compared as numbers") {
    stream_position position;
    position.advance({.id = "9f3a"});
    position.advance({.id = "8107"});
    CHECK_FALSE(fault_of(position, "4562"));
    position.begin_run();
    CHECK_FALSE(fault_of(position, "4562"));
    CHECK_FALSE(fault_of(position, "d1"));
}

// Guards against numbers that go back within a run (ORDER).
TEST_CASE("numbers increase within a run, and events without one may come between") {
    stream_position position;
    position.advance({.id = "1"});
    position.advance({.id = "2"});
    CHECK(fault_of(position, "2") == sequence_fault::repeated);
    CHECK(fault_of(position, "1") == sequence_fault::repeated);
    CHECK_FALSE(fault_of(position, "9"));
    CHECK_FALSE(position.find_fault({}));
    position.advance({});
    CHECK(fault_of(position, "2") == sequence_fault::repeated);
    CHECK_FALSE(fault_of(position, "3"));
}

// Guards against numbers that go back behind an empty identifier (ORDER).
TEST_CASE("an empty identifier does not let the numbers begin anew") {
    stream_position position;
    position.advance({.id = "1"});
    position.advance({.id = "2"});
    position.advance({.id = ""});
    CHECK_FALSE(position.is_resumable());
    CHECK(fault_of(position, "1") == sequence_fault::repeated);
    CHECK(fault_of(position, "2") == sequence_fault::repeated);
    CHECK_FALSE(fault_of(position, "3"));
    position.advance({.id = "3"});
    position.begin_run();
    CHECK(fault_of(position, "3") == sequence_fault::repeated);
    CHECK_FALSE(fault_of(position, "4"));
}
