#include "citronwick/fleet/upstream_directory.hpp"
#include "citronwick/fleet/crash_detector.hpp"

#include <doctest/doctest.h>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

const time_point start{1h};

upstream_entry worker(std::string id, std::uint64_t incarnation = 1, bool leaving = false,
                      std::uint64_t sequence = 0) {
    return {.id = std::move(id),
            .service = "drafts",
            .address = {"10.0.0.1", 80},
            .failure_domain = "busan-a",
            .incarnation = incarnation,
            .leaving = leaving,
            .sequence = sequence};
}

std::size_t usable(const upstream_directory& directory) {
    const auto found = directory.usable();
    return found.contains("drafts") ? found.at("drafts").size() : 0;
}

} // namespace

TEST_CASE("a leaving upstream is unusable, whatever later entries of the same incarnation state") {
    upstream_directory directory;
    directory.put(worker("a"), {10});
    CHECK(usable(directory) == 1);
    directory.put(worker("a", 1, true), {11});
    CHECK(usable(directory) == 0);
    CHECK(directory.leaving().at("drafts").size() == 1);
    directory.put(worker("a"), {12});
    CHECK(usable(directory) == 0);
    CHECK(directory.put(worker("a", 2), {13}));
    CHECK(usable(directory) == 1);
}

TEST_CASE("an upstream that said that it is leaving is unusable, also if its entry lapses and comes back") {
    upstream_directory directory;
    directory.put(worker("a"), {10});
    CHECK(directory.mark_leaving(upstream_hash(worker("a"))));
    CHECK_FALSE(directory.mark_leaving(upstream_hash(worker("a"))));
    CHECK(usable(directory) == 0);
    directory.put(worker("a"), {11});
    CHECK(usable(directory) == 0);
    directory.remove("a", {12}, std::nullopt, "test");
    directory.put(worker("a"), {13});
    CHECK(usable(directory) == 0);
    CHECK(directory.put(worker("a", 2), {14}));
    CHECK(usable(directory) == 1);
}

TEST_CASE("entries and removals older than the known revision are ignored") {
    upstream_directory directory;
    directory.put(worker("a", 2), {20});
    CHECK_FALSE(directory.put(worker("a", 1), {19}));
    CHECK_FALSE(directory.remove("a", {19}, std::nullopt, "test"));
    CHECK(usable(directory) == 1);
    directory.remove("a", {21}, std::nullopt, "test");
    directory.put(worker("a", 2), {20});
    CHECK(usable(directory) == 0);
}

TEST_CASE("a removed entry is unusable at once unless the store was unreachable") {
    upstream_directory directory;
    directory.put(worker("a"), {10});
    const auto ended = directory.remove("a", {11}, std::nullopt, "test");
    REQUIRE(ended);
    CHECK_FALSE(ended->entry.leaving);
    CHECK(usable(directory) == 0);
}

TEST_CASE("a lapsed entry stays usable until the lapse window ends, and beyond if it reappears") {
    upstream_directory directory;
    directory.put(worker("a"), {10});
    directory.put(worker("b"), {11});
    CHECK(directory.retain({}, {20}, start + 2s).empty());
    CHECK(usable(directory) == 2);
    directory.put(worker("a"), {21});
    CHECK(directory.expire(start + 1900ms).empty());
    CHECK(directory.expire(start + 2s).size() == 1);
    CHECK(usable(directory) == 1);
    CHECK(directory.expire(start + 1h).empty());
}

TEST_CASE("entries missing from a listing are removed") {
    upstream_directory directory;
    directory.put(worker("a"), {10});
    directory.put(worker("b"), {11});
    CHECK(directory.retain({"b"}, {20}, std::nullopt).size() == 1);
    CHECK(usable(directory) == 1);
}

TEST_CASE("a new incarnation of an upstream starts without the load of the previous one") {
    upstream_directory directory;
    directory.put(worker("a", 1), {10});
    const auto before = directory.usable().at("drafts").front();
    before.load->in_flight = 5;
    directory.put(worker("a", 2), {11});
    const auto after = directory.usable().at("drafts").front();
    CHECK(after.hash != before.hash);
    CHECK(after.load->in_flight == 0);
}

TEST_CASE("a copy of the store does not bring back an upstream that had left or was leaving") {
    upstream_directory directory;
    directory.put(worker("left", 1, false, 4), {10, 1});
    directory.put(worker("leaving", 1, false, 4), {11, 1});
    directory.put(worker("restarted", 2, false, 4), {12, 1});
    directory.put(worker("leaving", 1, true, 5), {13, 1});
    directory.remove("left", {14, 1}, std::nullopt, "test");
    REQUIRE(usable(directory) == 1);
    for (const char* const id : {"left", "leaving", "restarted"}) {
        CHECK_FALSE(directory.put(worker(id, 1, false, 4), {9, 2}));
    }
    REQUIRE(usable(directory) == 1);
    CHECK(directory.usable().at("drafts").front().entry.incarnation == 2);
    // What is written after the copy counts again.
    directory.put(worker("left", 1, false, 6), {20, 2});
    directory.put(worker("leaving", 3, false, 1), {21, 2});
    CHECK(usable(directory) == 3);
}

TEST_CASE("an entry of a copy counts by its history, whatever its revision") {
    upstream_directory directory;
    directory.put(worker("a", 1, false, 7), {50, 1});
    directory.put(worker("a", 1, true, 8), {20, 2});
    CHECK(usable(directory) == 0);
    CHECK_FALSE(directory.put(worker("a", 4, false, 1), {51, 1}));
    CHECK(usable(directory) == 0);
}

TEST_CASE("an upstream that is missing in a copy stays usable until it is written again") {
    upstream_directory directory;
    directory.put(worker("a", 1, false, 7), {50, 1});
    CHECK(directory.retain({}, {20, 2}, start + 2s).empty());
    CHECK(usable(directory) == 1);
    directory.put(worker("a", 1, false, 7), {21, 2});
    CHECK(directory.expire(start + 3s).empty());
    CHECK(usable(directory) == 1);
}

TEST_CASE("a broken connection makes its request a suspect only if the upstream ends within the window") {
    crash_detector detector{6s};
    detector.record_broken_connection({{1}}, 100, start);
    detector.record_broken_connection({{2}}, 200, start);
    CHECK(detector.upstream_ended(100, start + 1s) == std::vector<crash_suspect>{{1}});
    CHECK(detector.upstream_ended(100, start + 1s).empty());
    CHECK(detector.upstream_ended(200, start + 7s).empty());
}

TEST_CASE("an upstream is cold for the time that its entry says, which runs once for each entry") {
    upstream_directory directory;
    auto cold = worker("a");
    cold.cold_time = 3s;
    directory.put(cold, {10}, start);
    const auto cold_until = [&] { return directory.usable().at("drafts").front().cold_until; };
    const auto first_end = cold_until();
    CHECK(first_end >= start + 3s);
    CHECK(first_end < start + 4s);
    directory.put(cold, {10}, start + 2s); // listed again
    CHECK(cold_until() == first_end);
    directory.put(cold, {11}, start + 60s); // cold again
    CHECK(cold_until() >= start + 63s);
    directory.put(worker("a"), {12}, start + 61s);
    CHECK(cold_until() < start);
    auto next = cold;
    next.incarnation = 2;
    directory.put(next, {13}, start + 70s);
    CHECK(cold_until() >= start + 73s);
}
