// A worker that starts again under its identifier and address may run another software version. Its
// entry tells that only later.

#include "routed_fleet.hpp"
#include "waiting.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <doctest/doctest.h>
#include <future>
#include <numeric>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

constexpr int streams = 6;
constexpr int last_event = 6;
/// The entries of `routed_fleet` say that workers were born at 1.
constexpr const char* reports_itself = R"({"born":1})";
constexpr const char* is_cut = R"({"born":1,"event_gap_ms":60,"cut_after":3})";
constexpr const char* reports_later_start = R"({"born":2})";

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

/// Software versions that the events of a body name.
std::set<std::string> versions_in(const std::string& body) {
    constexpr std::string_view field = " of ";
    std::set<std::string> versions;
    for (auto at = body.find(field); at != std::string::npos; at = body.find(field, at + 1)) {
        const auto begin = at + field.size();
        versions.insert(body.substr(begin, body.find('\n', begin) - begin));
    }
    return versions;
}

bool is_in_order(const reply& answer, int first) {
    const auto ids = event_ids(answer.body);
    std::vector<int> expected(ids.size());
    std::iota(expected.begin(), expected.end(), first);
    const bool is_complete = answer.status == 200 && answer.error.empty();
    return ids == expected && (!is_complete || first + static_cast<int>(ids.size()) == last_event + 1);
}

} // namespace

// Guards against a run of another version behind the events of a response (ORDER).
TEST_CASE("proof: a response does not go on at a worker that started again as another version") {
    bool has_connections = false;
    SUBCASE("to which the router has no connection") {}
    SUBCASE("to which the router had connections") {
        has_connections = true;
    }
    int joined = 0;
    for (int count = 0; count < streams; ++count) {
        routed_fleet system{{.routers = 1, .engines = 2, .engine_versions = {"v1"}}};
        REQUIRE(system.wait_ready());
        set_faults(system.engines(), reports_itself);
        for (int number = 0; has_connections && number < 8; ++number) {
            system.ask(system.routers()[0], "/quote/stream/1", "before-" + std::to_string(number));
        }
        set_faults(system.engines(), is_cut);
        auto asked = std::async(std::launch::async,
                                [&] { return system.ask(system.routers()[0], "/quote/stream/1", "s"); });
        REQUIRE(wait_until([&] { return runs_of(system.engines(), "s") == 1; }));
        node& other = system.engines()[runs_of(system.engines()[0], "s") == 1 ? 1 : 0];
        system.replace_worker(other, "v2");
        set_fault(other, reports_later_start);
        const auto answer = asked.get();
        CHECK(is_in_order(answer, 1));
        CHECK_MESSAGE(versions_in(answer.body) == std::set<std::string>{"v1"}, answer.body);
        joined += versions_in(answer.body).size() > 1 ? 1 : 0;
    }
    CHECK(joined == 0);
}

// Guards against a take-up of another version behind the events that a caller has (ORDER).
TEST_CASE("proof: a stream is not taken up at a worker that started again as another version") {
    for (int count = 0; count < streams; ++count) {
        routed_fleet system{{.routers = 2, .engines = 1, .engine_versions = {"v1"}}};
        REQUIRE(system.wait_ready());
        set_faults(system.engines(), is_cut);
        const auto begun = system.ask(system.routers()[0], "/quote/stream/1", "s");
        REQUIRE(event_ids(begun.body) == std::vector{1, 2, 3});
        system.replace_worker(system.engines()[0], "v2");
        set_fault(system.engines()[0], reports_later_start);
        const auto taken_up = system.ask(system.routers()[static_cast<std::size_t>(count) % 2],
                                         "/quote/stream/1", "t", {{"Resumes", "s"}, {"Last-Event-Id", "3"}});
        CHECK_MESSAGE(versions_in(taken_up.body).empty(), taken_up.body);
        CHECK(taken_up.status == 503);
    }
}

// Guards against a stream that is taken for one of the old version (ORDER).
TEST_CASE("proof: a stream that begins at a worker that started again goes on at no other version") {
    routed_fleet system{{.routers = 1, .engines = 2, .engine_versions = {"v1"}}};
    REQUIRE(system.wait_ready());
    system.replace_worker(system.engines()[0], "v2");
    set_fault(system.engines()[0], R"({"born":2,"cut_after":3})");
    set_fault(system.engines()[1], reports_itself);
    for (int count = 0; count < 2 * streams; ++count) {
        const auto answer = system.ask(system.routers()[0], "/quote/stream/1", "s" + std::to_string(count));
        CHECK(is_in_order(answer, 1));
        CHECK_MESSAGE(versions_in(answer.body).size() == 1, answer.body);
    }
}

// Guards against streams that do not go on at workers that tell their start or do not.
TEST_CASE("proof: a stream goes on at a worker that is the process of its entry or does not say") {
    std::string fault = "{}";
    SUBCASE("it says that it is") {
        fault = reports_itself;
    }
    SUBCASE("it does not say") {}
    routed_fleet system{{.routers = 1, .engines = 2}};
    REQUIRE(system.wait_ready());
    for (int count = 0; count < streams; ++count) {
        set_faults(system.engines(), R"({"event_gap_ms":30,"cut_after":3})");
        const std::string name = "s" + std::to_string(count);
        auto asked = std::async(std::launch::async,
                                [&] { return system.ask(system.routers()[0], "/quote/stream/1", name); });
        REQUIRE(wait_until([&] { return runs_of(system.engines(), name) == 1; }));
        set_faults(system.engines(), fault);
        const auto answer = asked.get();
        CHECK_MESSAGE(answer.error.empty(), answer.error);
        CHECK(event_ids(answer.body) == std::vector{1, 2, 3, 4, 5, 6});
    }
}

// Guards against a run of another service behind the events of a response (ORDER, ROUTE).
TEST_CASE("proof: a response does not go on at a worker of another service that has got the address") {
    for (int count = 0; count < streams; ++count) {
        routed_fleet system{{.routers = 1, .engines = 2, .engine_versions = {"v1"}}};
        REQUIRE(system.wait_ready());
        set_faults(system.engines(), is_cut);
        auto asked = std::async(std::launch::async,
                                [&] { return system.ask(system.routers()[0], "/quote/stream/1", "s"); });
        REQUIRE(wait_until([&] { return runs_of(system.engines(), "s") == 1; }));
        node& other = system.engines()[runs_of(system.engines()[0], "s") == 1 ? 1 : 0];
        other.name = "desk-7";
        system.replace_worker(other, "v9");
        const auto answer = asked.get();
        CHECK(is_in_order(answer, 1));
        CHECK(versions_in(answer.body) == std::set<std::string>{"v1"});
        CHECK(runs_of(other, "s") == 0);
    }
}

// Guards against streams that are joined while processes stand still and leases lapse (ORDER).
TEST_CASE("proof: streams taken up while routers, workers and the store stand still are never joined") {
    constexpr std::size_t routers = 3;
    constexpr int callers = 12;
    routed_fleet system{{.routers = routers, .engines = 4, .engine_versions = {"v1", "v2"}}};
    REQUIRE(system.wait_ready());
    set_faults(system.engines(), R"({"born":1,"event_gap_ms":60,"cut_after":3})");
    std::vector<std::string> bodies(callers);
    std::vector<std::future<void>> asked;
    for (std::size_t index = 0; index < callers; ++index) {
        asked.push_back(std::async(std::launch::async, [&, index] {
            constexpr std::size_t max_attempts = 10;
            const std::string name = "s" + std::to_string(index);
            bool is_complete = false;
            for (std::size_t attempt = 0; attempt < max_attempts && !is_complete; ++attempt) {
                std::vector<std::pair<std::string, std::string>> headers;
                const auto ids = event_ids(bodies[index]);
                if (!ids.empty()) {
                    headers = {{"Resumes", name}, {"Last-Event-Id", std::to_string(ids.back())}};
                }
                const auto& router = system.routers()[(index + attempt) % routers];
                const std::string id = ids.empty() ? name : name + "-" + std::to_string(attempt);
                const auto answer = system.ask(router, "/quote/stream/1", id, std::move(headers));
                // Without the part of an event at the end.
                const auto end = answer.body.rfind("\n\n");
                bodies[index] += end == std::string::npos ? "" : answer.body.substr(0, end + 2);
                is_complete = answer.status == 200 && answer.error.empty();
            }
        }));
    }
    const auto pause_each = [](const std::vector<const child_process*>& processes,
                               std::chrono::milliseconds time) {
        for (const child_process* const process : processes) {
            process->signal(SIGSTOP);
            std::this_thread::sleep_for(time);
            process->signal(SIGCONT);
        }
    };
    std::this_thread::sleep_for(100ms);
    pause_each({system.routers()[0].process.get(), system.engines()[0].process.get(),
                system.routers()[1].process.get(), system.engines()[1].process.get()},
               250ms);
    pause_each({system.store().process.get()}, 1'500ms);
    pause_each({system.engines()[2].process.get(), system.routers()[2].process.get()}, 250ms);
    std::ranges::for_each(asked, [](auto& each) { each.get(); });
    int completed = 0;
    for (const std::string& body : bodies) {
        const auto ids = event_ids(body);
        std::vector<int> expected(ids.size());
        std::iota(expected.begin(), expected.end(), 1);
        CHECK_MESSAGE(ids == expected, body);
        CHECK_MESSAGE(versions_in(body).size() <= 1, body);
        completed += ids.size() == last_event ? 1 : 0;
    }
    CHECK(completed > 0);
}
