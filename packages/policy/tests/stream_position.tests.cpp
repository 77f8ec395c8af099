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

/// A block that sets the last identifier and is no event.
stream_event block(const char* id) {
    return {.id = id, .has_data = false};
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

// Guards against omissions behind a single event and at take-ups (ORDER).
TEST_CASE("an omission is recognized where the upstream is known to number events consecutively") {
    for (stream_position position : {stream_position{"5"}, position_behind({"5"})}) {
        position.begin_run(stream_numbering::consecutive);
        CHECK_FALSE(fault_of(position, "6"));
        CHECK(fault_of(position, "7") == sequence_fault::omitted);
        CHECK(fault_of(position, "a") == sequence_fault::unnumbered);
        position.begin_run(stream_numbering::with_gaps);
        CHECK_FALSE(fault_of(position, "7"));
    }
    auto sparse = position_behind({"1", "4"});
    sparse.begin_run(stream_numbering::consecutive);
    CHECK_FALSE(fault_of(sparse, "7"));
}

TEST_CASE("a whole stream of one run shows that its upstream numbers events consecutively") {
    stream_position position;
    position.begin_run();
    position.advance({.id = "1"});
    CHECK_FALSE(position.shown_numbering(true));
    position.advance({.id = "2"});
    CHECK_FALSE(position.shown_numbering(false));
    CHECK(position.shown_numbering(true) == stream_numbering::consecutive);
    position.begin_run(); // the confirmation of its end
    CHECK(position.shown_numbering(true) == stream_numbering::consecutive);
    position.advance({.id = "3"});
    CHECK_FALSE(position.shown_numbering(true));
    stream_position taken_up{"1"};
    taken_up.begin_run();
    taken_up.advance({.id = "2"});
    taken_up.advance({.id = "3"});
    CHECK_FALSE(taken_up.shown_numbering(true));
}

TEST_CASE("gaps within any run show that its upstream does not number events consecutively") {
    for (const char* const id : {"3", "x", ""}) {
        CAPTURE(id);
        stream_position position{"0"};
        position.begin_run();
        position.advance({.id = "1"});
        position.advance({.id = id});
        CHECK(position.shown_numbering(false) == stream_numbering::with_gaps);
    }
    stream_position unnumbered;
    unnumbered.advance({});
    CHECK(unnumbered.shown_numbering(true) == stream_numbering::with_gaps);
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

// Guards against sound streams that end broken, and against numbers that go back (ORDER).
TEST_CASE("a block without data may name the event before or behind it, but does not go back") {
    stream_position position;
    position.advance({.id = "1"});
    position.advance({.id = "2"});
    CHECK_FALSE(position.find_fault(block("2")));
    CHECK(position.find_fault(block("1")) == sequence_fault::repeated);
    position.advance(block("2"));
    CHECK(position.events() == 2);
    CHECK(fault_of(position, "2") == sequence_fault::repeated);
    CHECK_FALSE(position.find_fault(block("3")));
    position.advance(block("3"));
    CHECK(position.last_event_id() == "3");
    CHECK(fault_of(position, "2") == sequence_fault::repeated);
    CHECK_FALSE(fault_of(position, "3"));
    position.advance({.id = "3"});
    CHECK(fault_of(position, "3") == sequence_fault::repeated);
}

// Guards against a run that begins with such a block and is then not compared with the run before (ORDER).
TEST_CASE("a run that begins with a block without data goes on behind the run before") {
    const auto behind = [](std::initializer_list<const char*> ids, const char* id) {
        auto position = position_behind(ids);
        position.advance(block(id));
        return position;
    };
    CHECK_FALSE(position_behind({"1", "2"}).find_fault(block("2")));
    CHECK(position_behind({"1", "2"}).find_fault(block("1")) == sequence_fault::repeated);
    CHECK(position_behind({"1", "2"}).find_fault(block("4")) == sequence_fault::omitted);
    CHECK(position_behind({"1", "2"}).find_fault(block("")) == sequence_fault::unnumbered);
    CHECK(position_behind({"a", "b"}).find_fault(block("a")) == sequence_fault::repeated);
    CHECK_FALSE(fault_of(behind({"1", "2"}, "2"), "3"));
    CHECK(fault_of(behind({"1", "2"}, "2"), "2") == sequence_fault::repeated);
    CHECK(fault_of(behind({"1", "2"}, "2"), "4") == sequence_fault::omitted);
    CHECK(fault_of(behind({"a", "b"}, "x"), "a") == sequence_fault::repeated);
    CHECK(fault_of(behind({"a", "b"}, "x"), "b") == sequence_fault::repeated);
    CHECK_FALSE(fault_of(behind({"a", "b"}, "b"), "c"));
}

// Guards against events without identifier that come twice, as a block behind them names an earlier one.
TEST_CASE("a block that names the last event again does not give the events behind it a place") {
    stream_position position;
    position.advance({.id = "1"});
    position.advance({});
    position.advance(block("1"));
    CHECK_FALSE(position.is_resumable());
    position.advance(block("2"));
    CHECK(position.is_resumable());
    position.advance(block(""));
    CHECK_FALSE(position.is_resumable());
}

// Guards against runs of two weights in one response (ORDER).
TEST_CASE("a run that goes on has the weights of the last event, or names newer ones") {
    stream_position position;
    position.begin_run(std::nullopt, 3);
    CHECK_FALSE(position.weight_version());
    position.advance({.id = "1"});
    CHECK(position.weight_version() == 3);
    position.advance({.id = "2", .weight_version = 4});
    CHECK(position.weight_version() == 4);
    CHECK_FALSE(position.find_fault({.id = "3", .weight_version = 3}));
    position.begin_run(std::nullopt, 4);
    CHECK_FALSE(position.find_fault({.id = "3"}));
    CHECK_FALSE(position.find_fault({.id = "3", .weight_version = 5}));
    CHECK(position.find_fault({.id = "3", .weight_version = 3}) == sequence_fault::other_weights);
    position.begin_run(std::nullopt, 3);
    CHECK(position.find_fault({.id = "3"}) == sequence_fault::other_weights);
    position.begin_run(std::nullopt, 5);
    CHECK(position.find_fault({.id = "3"}) == sequence_fault::other_weights);
    CHECK_FALSE(position.find_fault({.id = "3", .weight_version = 5}));
}

TEST_CASE("weights that are not named are not compared") {
    stream_position position;
    position.begin_run();
    position.advance({.id = "1"});
    position.begin_run(std::nullopt, 2);
    CHECK_FALSE(position.find_fault({.id = "2"}));
    position.advance({.id = "2"});
    position.begin_run();
    CHECK_FALSE(position.find_fault({.id = "3"}));
    CHECK(position.weight_version() == 2);
    stream_position taken_up{"7"};
    taken_up.begin_run(std::nullopt, 1);
    CHECK_FALSE(taken_up.find_fault({.id = "8"}));
}
