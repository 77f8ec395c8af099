#include "citronwick/fleet/upstream_directory.hpp"
#include "citronwick/fleet/crash_detector.hpp"

#include <doctest/doctest.h>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

const time_point start{1h};

upstream_entry worker(std::string id, std::uint64_t incarnation = 1, bool leaving = false) {
    return {.id = std::move(id),
            .service = "drafts",
            .address = {"10.0.0.1", 80},
            .failure_domain = "busan-a",
            .incarnation = incarnation,
            .leaving = leaving};
}

std::size_t usable(const upstream_directory& directory) {
    const auto found = directory.usable();
    return found.contains("drafts") ? found.at("drafts").size() : 0;
}

} // namespace

TEST_CASE("an upstream that leaves takes no new work, and no later entry of that incarnation changes it") {
    upstream_directory directory{2s};
    directory.put(worker("a"), 10, start);
    CHECK(usable(directory) == 1);
    directory.put(worker("a", 1, true), 11, start);
    CHECK(usable(directory) == 0);
    directory.put(worker("a"), 12, start);
    CHECK(usable(directory) == 0);
    CHECK(directory.put(worker("a", 2), 13, start));
    CHECK(usable(directory) == 1);
}

TEST_CASE("older news than what is known is ignored") {
    upstream_directory directory{2s};
    directory.put(worker("a", 2), 20, start);
    CHECK_FALSE(directory.put(worker("a", 1), 19, start));
    CHECK_FALSE(directory.remove("a", 19, false, "test", start));
    CHECK(usable(directory) == 1);
    directory.remove("a", 21, false, "test", start);
    directory.put(worker("a", 2), 20, start);
    CHECK(usable(directory) == 0);
}

TEST_CASE("a removed entry takes no new work at once while the store is well") {
    upstream_directory directory{2s};
    directory.put(worker("a"), 10, start);
    const auto ended = directory.remove("a", 11, false, "test", start);
    REQUIRE(ended);
    CHECK_FALSE(ended->entry.leaving);
    CHECK(usable(directory) == 0);
}

TEST_CASE("an entry that lapsed while the store was away is used until it is back or its grace is over") {
    upstream_directory directory{2s};
    directory.put(worker("a"), 10, start);
    directory.put(worker("b"), 11, start);
    CHECK(directory.retain({}, 20, true, start).empty());
    CHECK(usable(directory) == 2);
    directory.put(worker("a"), 21, start + 1s);
    CHECK(directory.expire(start + 1900ms).empty());
    CHECK(directory.expire(start + 2s).size() == 1);
    CHECK(usable(directory) == 1);
    CHECK(directory.expire(start + 1h).empty());
}

TEST_CASE("a listing without an entry removes it") {
    upstream_directory directory{2s};
    directory.put(worker("a"), 10, start);
    directory.put(worker("b"), 11, start);
    CHECK(directory.retain({"b"}, 20, false, start).size() == 1);
    CHECK(usable(directory) == 1);
}

TEST_CASE("a new incarnation under the same identifier knows nothing of the old one's work") {
    upstream_directory directory{2s};
    directory.put(worker("a", 1), 10, start);
    const auto before = directory.usable().at("drafts").front();
    before.load->in_flight = 5;
    directory.put(worker("a", 2), 11, start);
    const auto after = directory.usable().at("drafts").front();
    CHECK(after.hash != before.hash);
    CHECK(after.load->in_flight == 0);
}

TEST_CASE("a broken connection makes a suspect only of a request whose upstream ends soon after") {
    crash_detector crashes{6s};
    crashes.record_broken_connection(1, 100, start);
    crashes.record_broken_connection(2, 200, start);
    CHECK(crashes.upstream_ended(100, start + 1s) == std::vector<std::uint64_t>{1});
    CHECK(crashes.upstream_ended(100, start + 1s).empty());
    CHECK(crashes.upstream_ended(200, start + 7s).empty());
}
