#include "citronwick/fleet/watch_roster.hpp"

#include <doctest/doctest.h>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

const std::vector<std::uint64_t> all{1, 2, 3, 4, 5};

std::vector<std::uint64_t> without(std::uint64_t router) {
    auto others = all;
    std::erase(others, router);
    return others;
}

} // namespace

TEST_CASE("all routers agree on the watcher") {
    const auto watcher = watch_roster{1}.watcher(without(1), true);
    for (const std::uint64_t router : all) {
        CHECK(watch_roster{router}.watcher(without(router), true) == watcher);
    }
}

TEST_CASE("a watcher that says that the store does not answer it is passed over until it says otherwise") {
    const auto first = watch_roster{1}.watcher(without(1), true);
    const std::uint64_t self = first == 1 ? 2 : 1;
    watch_roster roster{self};
    roster.hear(first, {.has_store = false});
    const auto second = roster.watcher(without(self), true);
    CHECK(second != first);
    roster.hear(first, {.answer_age = 100ms});
    CHECK(roster.watcher(without(self), true) == second);
    roster.hear(first, {.has_store = true});
    CHECK(roster.watcher(without(self), true) == first);
}

TEST_CASE("a watcher that gives no fresh answers is passed over, a new one gets time") {
    const auto first = watch_roster{1}.watcher(without(1), true);
    const std::uint64_t self = first == 1 ? 2 : 1;
    watch_roster roster{self};
    for (int question = 0; question < 4; ++question) {
        CHECK(roster.note_question(first));
        roster.hear(first, {.answer_age = 4s});
    }
    CHECK(roster.note_question(first));
    roster.hear(first, {.answer_age = 300ms});
    for (int question = 0; question < 5; ++question) {
        CHECK(roster.note_question(first));
    }
    CHECK_FALSE(roster.note_question(first));
    CHECK(roster.watcher(without(self), true) != first);
}

TEST_CASE("a router that the store does not answer watches only where it answers nobody") {
    const auto first = watch_roster{1}.watcher(without(1), true);
    watch_roster roster{first};
    CHECK(roster.watcher(without(first), false) != first);
    for (const std::uint64_t other : without(first)) {
        roster.hear(other, {.has_store = false});
    }
    CHECK(roster.watcher(without(first), false) == first);
    CHECK(roster.watcher({}, false) == first);
}
