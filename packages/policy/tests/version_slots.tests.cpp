#include "citronwick/policy/version_slots.hpp"

#include <doctest/doctest.h>
#include <random>

using namespace citronwick;

namespace {

using step = version_decision::step;
using answers = stream_identity::answers;

/// Slots of a store that never came back from a copy, on a route that leads to one service.
constexpr slot_knowledge proven{};

std::size_t count_of(const version_slots& slots, const std::string& version) {
    std::size_t count = 0;
    for (std::size_t index = 0; index < version_slots::slot_count; ++index) {
        count += slots.at(index).version == version ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_CASE("a stream that is taken up goes on at the version of its first attempt") {
    const auto slots = divide_slots(std::nullopt, {{"v1", 4.0}, {"v2", 5.0}});
    REQUIRE(slots);
    CHECK(slots->unsettled().none());
    std::mt19937_64 random{1};
    for (int count = 0; count < 1'000; ++count) {
        const std::uint64_t first = random();
        const auto begun = decide_version(&*slots, proven, {.attempt = first});
        const auto taken_up = decide_version(&*slots, proven,
                                             {.attempt = random(),
                                              .origin = first,
                                              .has_events = true,
                                              .others = answers::all_unseen,
                                              .is_confirmed = true});
        CHECK(begun.next == step::use);
        CHECK(taken_up.next == step::use);
        CHECK(taken_up.version == begun.version);
    }
}

TEST_CASE("a stream whose slot moved since it may have begun is taken up only where a router saw it begin") {
    version_slots slots{"v1"};
    slots.move(5, "v2");
    stream_identity taken_up{.attempt = 7, .origin = 5, .has_events = true, .is_confirmed = true};
    CHECK(decide_version(&slots, proven, taken_up).next == step::ask_routers);
    auto remembered = taken_up;
    remembered.remembered = "v1";
    CHECK(decide_version(&slots, proven, remembered).version == "v1");
    CHECK(decide_version(&slots, proven, {.attempt = 5}).version == "v2");
    taken_up.others = answers::all_unseen;
    CHECK(decide_version(&slots, proven, taken_up).next == step::refuse);
    slots.settle(version_slots::slot_set{}.set(5));
    CHECK(decide_version(&slots, proven, taken_up).version == "v2");
}

// Guards against slots that another router has moved since (ORDER).
TEST_CASE(
    "the routers are asked for a stream that is taken up, also if its slot is not known to have moved") {
    const version_slots slots{"v1"};
    stream_identity taken_up{.attempt = 7, .origin = 5, .has_events = true};
    CHECK(decide_version(&slots, proven, taken_up).next == step::ask_routers);
    taken_up.others = answers::all_unseen;
    CHECK(decide_version(&slots, proven, taken_up).next == step::confirm);
    taken_up.is_confirmed = true;
    CHECK(decide_version(&slots, proven, taken_up).version == "v1");
    taken_up.remembered = "v2";
    CHECK(decide_version(&slots, proven, taken_up).version == "v2");
}

TEST_CASE("a stream without the name of its first attempt is taken up only at a service's only version") {
    version_slots slots{"v1"};
    stream_identity nameless{.attempt = 7, .has_events = true};
    CHECK(decide_version(&slots, proven, nameless).next == step::confirm);
    nameless.is_confirmed = true;
    CHECK(decide_version(&slots, proven, nameless).version == "v1");
    slots.move(63, "v2");
    CHECK(decide_version(&slots, proven, nameless).next == step::refuse);
}

// Guards against silence that is taken for a reply (ORDER).
TEST_CASE("while a router has not replied, a stream is taken up only by slots that the store confirms") {
    version_slots slots{"v1"};
    stream_identity taken_up{.attempt = 7, .origin = 5, .has_events = true, .others = answers::incomplete};
    CHECK(decide_version(&slots, proven, taken_up).next == step::confirm);
    taken_up.is_confirmed = true;
    CHECK(decide_version(&slots, proven, taken_up).version == "v1");
    slots.move(5, "v2");
    CHECK(decide_version(&slots, proven, taken_up).next == step::ask_later);
    taken_up.others = answers::all_unseen;
    CHECK(decide_version(&slots, proven, taken_up).next == step::refuse);
}

// Guards against slots of a copy, by which no stream may have begun (ORDER).
TEST_CASE("slots that may be those of a copy of the store decide for no stream that is taken up") {
    const version_slots slots{"v1"};
    const slot_knowledge of_copy{.may_be_of_copy = true};
    stream_identity taken_up{.attempt = 7, .origin = 5, .has_events = true, .is_confirmed = true};
    CHECK(decide_version(&slots, of_copy, taken_up).next == step::ask_routers);
    for (const answers others : {answers::incomplete, answers::all_unseen}) {
        taken_up.others = others;
        CHECK(decide_version(&slots, of_copy, taken_up).next == step::ask_later);
    }
    taken_up.remembered = "v2";
    CHECK(decide_version(&slots, of_copy, taken_up).version == "v2");
    const stream_identity nameless{.attempt = 7, .has_events = true, .is_confirmed = true};
    CHECK(decide_version(&slots, of_copy, nameless).next == step::ask_later);
    CHECK(decide_version(&slots, of_copy, {.attempt = 7}).version == "v1");
}

// Guards against the weights of a route that moved since the stream began (ORDER).
TEST_CASE("while a router has not replied, a stream may have begun at another service of its route") {
    const version_slots slots{"v1"};
    const slot_knowledge unsure{.is_service_sure = false};
    stream_identity taken_up{
        .attempt = 7, .origin = 5, .has_events = true, .others = answers::incomplete, .is_confirmed = true};
    CHECK(decide_version(&slots, unsure, taken_up).next == step::ask_later);
    taken_up.others = answers::all_unseen;
    CHECK(decide_version(&slots, unsure, taken_up).next == step::use);
}

TEST_CASE("a request that names an attempt and has no events begins a stream of its own") {
    version_slots slots{"v1"};
    slots.move(7, "v2");
    CHECK(decide_version(&slots, proven, {.attempt = 7, .origin = 5}).version == "v2");
}

TEST_CASE("no stream begins before the versions are assigned") {
    CHECK(decide_version(nullptr, proven, {.attempt = 7}).next == step::ask_later);
    CHECK(decide_version(nullptr, proven, {.attempt = 7, .origin = 5, .has_events = true}).next ==
          step::ask_later);
}

TEST_CASE("slots follow the capacities, and only as many move as must") {
    const auto slots = divide_slots(std::nullopt, {{"v1", 9.0}});
    REQUIRE(slots);
    CHECK(count_of(*slots, "v1") == version_slots::slot_count);
    CHECK_FALSE(divide_slots(slots, {{"v1", 8.0}}));
    const auto canary = divide_slots(slots, {{"v1", 8.0}, {"v2", 1.0}});
    REQUIRE(canary);
    CHECK(count_of(*canary, "v2") == 7);
    CHECK(canary->unsettled().count() == 7);
    SUBCASE("a small deviation moves none") {
        CHECK_FALSE(divide_slots(canary, {{"v1", 7.0}, {"v2", 1.0}}));
    }
    SUBCASE("a version without capacity loses all") {
        const auto left = divide_slots(canary, {{"v1", 8.0}});
        REQUIRE(left);
        CHECK(count_of(*left, "v1") == version_slots::slot_count);
        CHECK(left->unsettled().count() == 7);
        CHECK(left->at(0).earlier == std::set<std::string>{"v2"});
    }
    SUBCASE("without any capacity the slots stay") {
        CHECK_FALSE(divide_slots(canary, {}));
        CHECK_FALSE(divide_slots(canary, {{"v1", 0.0}}));
    }
    SUBCASE("a release moves each slot once") {
        std::optional<version_slots> now = canary;
        for (double replaced = 2.0; replaced <= 9.0; replaced += 1.0) {
            if (const auto next = divide_slots(now, {{"v1", 9.0 - replaced}, {"v2", replaced}})) {
                now = next;
            }
        }
        CHECK(count_of(*now, "v2") == version_slots::slot_count);
        for (std::size_t index = 0; index < version_slots::slot_count; ++index) {
            CHECK(now->at(index).earlier == std::set<std::string>{"v1"});
        }
    }
}
