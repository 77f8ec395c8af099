#include "citronwick/fleet/watcher_selector.hpp"

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

TEST_CASE("all routers select the same watcher") {
    const auto watcher = watcher_selector{1}.select(without(1), true);
    for (const std::uint64_t router : all) {
        CHECK(watcher_selector{router}.select(without(router), true) == watcher);
    }
}

TEST_CASE("a watcher that reports the store as unreachable is excluded until it reports it as reachable") {
    const auto first = watcher_selector{1}.select(without(1), true);
    const std::uint64_t self = first == 1 ? 2 : 1;
    watcher_selector selector{self};
    selector.record_report(first, {.store_reachable = false});
    const auto second = selector.select(without(self), true);
    CHECK(second != first);
    selector.record_report(first, {.answer_age = 100ms});
    CHECK(selector.select(without(self), true) == second);
    selector.record_report(first, {.store_reachable = true});
    CHECK(selector.select(without(self), true) == first);
}

TEST_CASE("a watcher is excluded after five consecutive queries without a fresh answer") {
    const auto first = watcher_selector{1}.select(without(1), true);
    const std::uint64_t self = first == 1 ? 2 : 1;
    watcher_selector selector{self};
    for (int query = 0; query < 4; ++query) {
        CHECK(selector.record_query(first));
        selector.record_report(first, {.answer_age = 4s});
    }
    CHECK(selector.record_query(first));
    selector.record_report(first, {.answer_age = 300ms});
    for (int query = 0; query < 5; ++query) {
        CHECK(selector.record_query(first));
    }
    CHECK_FALSE(selector.record_query(first));
    CHECK(selector.select(without(self), true) != first);
}

TEST_CASE("a router that cannot reach the store is selected only if no router can") {
    const auto first = watcher_selector{1}.select(without(1), true);
    watcher_selector selector{first};
    CHECK(selector.select(without(first), false) != first);
    for (const std::uint64_t other : without(first)) {
        selector.record_report(other, {.store_reachable = false});
    }
    CHECK(selector.select(without(first), false) == first);
    CHECK(selector.select({}, false) == first);
}
