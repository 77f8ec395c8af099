// A caller may take up a stream while the response that it gave up still runs, or at a position
// that it names as it likes. Each response must be in order by itself.

#include "routed_fleet.hpp"
#include "waiting.hpp"

#include <algorithm>
#include <chrono>
#include <doctest/doctest.h>
#include <future>
#include <memory>
#include <mutex>
#include <numeric>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

constexpr int streams = 12;
constexpr int last_event = 6;

std::vector<int> event_ids(const std::string& body) {
    constexpr std::string_view field = "id: ";
    std::vector<int> ids;
    for (auto at = body.find(field); at != std::string::npos; at = body.find(field, at + 1)) {
        if (body.find("\n\n", at) != std::string::npos) {
            ids.push_back(std::stoi(body.substr(at + field.size())));
        }
    }
    return ids;
}

/// Whether the events of a response follow each other from the first one on, up to the last one if
/// the response is complete.
/// @param first number of the event behind the one that the caller named
bool is_in_order(const reply& answer, int first) {
    const auto ids = event_ids(answer.body);
    std::vector<int> expected(ids.size());
    std::iota(expected.begin(), expected.end(), first);
    const bool is_complete = answer.status == 200 && answer.error.empty();
    return ids == expected && (!is_complete || first + static_cast<int>(ids.size()) == last_event + 1);
}

std::set<std::string> versions_in(const std::string& body) {
    std::set<std::string> versions;
    for (const char* const each : {"v1", "v2"}) {
        if (body.find(each) != std::string::npos) {
            versions.insert(each);
        }
    }
    return versions;
}

/// Headers of a request that takes up a stream.
std::vector<std::pair<std::string, std::string>> behind(const std::string& name, int event) {
    return {{"Resumes", name}, {"Last-Event-Id", std::to_string(event)}};
}

/// A fleet of two software versions.
struct two_versions : routed_fleet {
    two_versions() : routed_fleet{{.routers = 3, .engines = 4, .engine_versions = {"v1", "v2"}}} {
        REQUIRE(wait_ready());
    }
};

/// Asks for streams, and takes each up at two other routers at once while its first response runs.
void check_take_ups_beside_responses(routed_fleet& system) {
    std::vector<std::future<void>> callers;
    int whole = 0;
    std::mutex checks;
    for (int count = 0; count < streams; ++count) {
        callers.push_back(std::async(std::launch::async, [&, count] {
            const std::string name = "s" + std::to_string(count);
            const auto ask = [&](std::size_t router, const std::string& attempt, int last) {
                return std::async(std::launch::async, [&system, router, attempt, name, last] {
                    return system.ask(system.routers()[router], "/quote/stream/1", attempt,
                                      last > 0 ? behind(name, last)
                                               : std::vector<std::pair<std::string, std::string>>{});
                });
            };
            auto first = ask(0, name, 0);
            std::this_thread::sleep_for(150ms);
            auto second = ask(1, name + "-1", 1);
            auto third = ask(2, name + "-2", 2);
            const auto answers = std::vector{first.get(), second.get(), third.get()};
            const std::scoped_lock lock{checks};
            for (int number = 0; number < 3; ++number) {
                const reply& answer = answers[static_cast<std::size_t>(number)];
                CHECK_MESSAGE(is_in_order(answer, number + 1), answer.body);
                whole += answer.error.empty() && answer.status == 200 ? 1 : 0;
            }
            CHECK(versions_in(answers[0].body + answers[1].body + answers[2].body).size() <= 1);
        }));
    }
    std::ranges::for_each(callers, [](auto& each) { each.get(); });
    MESSAGE("whole responses: ", whole, " of ", 3 * streams);
}

} // namespace

TEST_CASE("proof: two take-ups at once beside the response that still runs are each in order") {
    two_versions system;
    std::string fault = R"({"event_gap_ms":60})";
    SUBCASE("whole runs") {}
    SUBCASE("runs that are cut") {
        fault = R"({"event_gap_ms":60,"cut_after":3})";
    }
    set_faults(system.engines(), fault);
    check_take_ups_beside_responses(system);
}

// Guards against ends without proof that are accepted when the retry budget is used up (ORDER).
TEST_CASE("proof: two take-ups at once beside a response without length or chunks are whole or broken") {
    two_versions system;
    set_faults(system.engines(), R"({"event_gap_ms":60,"framing":"none","close_after":4})");
    check_take_ups_beside_responses(system);
}

TEST_CASE("proof: a take-up at any position is in order behind it and of the stream's version") {
    two_versions system;
    set_faults(system.engines(), R"({"cut_after":2})");
    for (int count = 0; count < streams; ++count) {
        const std::string name = "s" + std::to_string(count);
        set_faults(system.engines(), R"({"cut_after":1})");
        const auto begun = system.ask(system.routers()[0], "/quote/stream/1", name);
        CHECK(is_in_order(begun, 1));
        set_faults(system.engines(), "{}");
        for (const int position : {1, 2, 3, 5, 6, 9, 0}) {
            CAPTURE(position);
            const auto answer =
                system.ask(system.routers()[static_cast<std::size_t>(1 + count % 2)], "/quote/stream/1",
                           name + "-" + std::to_string(position), behind(name, position));
            const bool is_behind_end = position > last_event;
            CHECK_MESSAGE(
                (is_behind_end ? event_ids(answer.body).empty() : is_in_order(answer, position + 1)),
                answer.body);
            CHECK(versions_in(begun.body + answer.body).size() == 1);
        }
    }
}

TEST_CASE("proof: an attempt that is sent again on another connection is in order on each") {
    two_versions system;
    set_faults(system.engines(), R"({"event_gap_ms":40,"cut_after":3})");
    std::vector<std::future<void>> callers;
    std::mutex checks;
    for (int count = 0; count < streams; ++count) {
        callers.push_back(std::async(std::launch::async, [&, count] {
            const std::string name = "s" + std::to_string(count);
            const auto ask = [&](std::size_t router) {
                return std::async(std::launch::async, [&system, router, name] {
                    return system.ask(system.routers()[router], "/quote/stream/1", name);
                });
            };
            auto first = ask(0);
            std::this_thread::sleep_for(100ms);
            auto second = ask(0);
            auto third = ask(1);
            for (const reply& answer : {first.get(), second.get(), third.get()}) {
                const std::scoped_lock lock{checks};
                CHECK_MESSAGE(is_in_order(answer, 1), answer.body);
                CHECK(versions_in(answer.body).size() <= 1);
            }
        }));
    }
    std::ranges::for_each(callers, [](auto& each) { each.get(); });
}

// Guards against positions that move although the caller has not read, and against a router that stands
// still.
TEST_CASE("proof: a stream is taken up elsewhere while its caller does not read the first response") {
    two_versions system;
    set_faults(system.engines(), R"({"event_bytes":900000})");
    std::vector<std::unique_ptr<stalled_caller>> stalled;
    for (int count = 0; count < streams; ++count) {
        const std::string name = "s" + std::to_string(count);
        stalled.push_back(std::make_unique<stalled_caller>(
            system.routers()[0].address(), call{.method = "POST",
                                                .target = "/quote/stream/1",
                                                .headers = {{"Host", "shop.example"},
                                                            {"X-Api-Key", "club-key"},
                                                            {"Citronwick-Attempt-Id", name},
                                                            {"Citronwick-Deadline-Ms", "2000"}}}));
    }
    std::this_thread::sleep_for(200ms);
    set_faults(system.engines(), "{}");
    for (int count = 0; count < streams; ++count) {
        const std::string name = "s" + std::to_string(count);
        const auto answer = system.ask(system.routers()[static_cast<std::size_t>(count) % 3],
                                       "/quote/stream/1", name + "-1", behind(name, 1));
        CHECK_MESSAGE(is_in_order(answer, 2), answer.body);
        CHECK(answer.error.empty());
        CHECK(answer.status == 200);
    }
}
