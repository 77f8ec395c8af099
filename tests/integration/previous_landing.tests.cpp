// Routers of the previous landing and of this one serve side by side. The previous one is built by hand
// from the repository's history; CITRONWICK_PREVIOUS_BINARIES names its build folder.

#include "upstream_cuts.hpp"
#include "waiting.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
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

constexpr int streams = 12;
constexpr int last_event = 6;
constexpr std::size_t engines_of_old_version = 2;
constexpr const char* this_landing = "";

/// Path of the previous landing's router, empty if there is none.
std::string previous_landing() {
    const char* const folder = std::getenv("CITRONWICK_PREVIOUS_BINARIES");
    if (folder == nullptr) {
        MESSAGE("not run: CITRONWICK_PREVIOUS_BINARIES names no build of the previous landing");
        return {};
    }
    return std::string{folder} + "/bin/citronwickd";
}

/// Ends a router and starts the program of another landing in its place, as operators do.
void replace(routed_fleet& system, std::size_t index, const std::string& program) {
    node& router = system.routers()[index];
    router.process->signal(SIGTERM);
    REQUIRE(router.process->wait(20s).has_value());
    router.program = program;
    system.restart_router(router);
    REQUIRE(system.wait_ready());
}

void register_two_versions(routed_fleet& system) {
    for (std::size_t index = 0; index < system.engines().size(); ++index) {
        const bool is_old = index < engines_of_old_version;
        system.register_worker(system.engines()[index], "bench", "ready", 2, is_old ? "v1" : "v2");
    }
    REQUIRE(wait_until([&] {
        return std::ranges::all_of(system.routers(), [&](const node& router) {
            const auto seen = system.view(router);
            return seen.at("stream_versions").at("bench").at("versions").to_number<int>() == 2;
        });
    }));
}

/// What a caller has of a stream, over two attempts.
struct taken_stream {
    std::string name;
    std::vector<int> events{};
    unsigned status = 0; ///< of the last attempt
    bool is_complete = false;
};

void add_events(taken_stream& stream, const reply& answer) {
    constexpr std::string_view field = "id: ";
    for (auto at = answer.body.find(field); at != std::string::npos; at = answer.body.find(field, at + 1)) {
        if (answer.body.find("\n\n", at) != std::string::npos) {
            stream.events.push_back(std::stoi(answer.body.substr(at + field.size())));
        }
    }
    stream.status = answer.status;
    stream.is_complete = answer.status == 200 && answer.error.empty();
}

/// Begins streams that break after their first events.
std::vector<taken_stream> begin_streams(routed_fleet& system, std::size_t router, const std::string& prefix) {
    set_faults(system.engines(), R"({"cut_after":1})");
    std::vector<std::future<taken_stream>> callers;
    for (int count = 0; count < streams; ++count) {
        callers.push_back(std::async(std::launch::async, [&, name = prefix + std::to_string(count)] {
            taken_stream stream{.name = name};
            add_events(stream, system.ask(system.routers()[router], "/quote/stream/1", name));
            return stream;
        }));
    }
    std::vector<taken_stream> begun;
    std::ranges::for_each(callers, [&](auto& each) { begun.push_back(each.get()); });
    set_faults(system.engines(), "{}");
    CHECK(std::ranges::none_of(begun, [](const taken_stream& each) { return each.events.empty(); }));
    return begun;
}

std::string attempt_that_takes_up(const taken_stream& stream) {
    return stream.name + "-again";
}

std::size_t versions_that_ran(routed_fleet& system, const taken_stream& stream) {
    std::set<bool> versions;
    for (std::size_t index = 0; index < system.engines().size(); ++index) {
        const auto runs = runs_of(system.engines()[index], stream.name) +
                          runs_of(system.engines()[index], attempt_that_takes_up(stream));
        if (runs > 0) {
            versions.insert(index < engines_of_old_version);
        }
    }
    return versions.size();
}

/// Takes streams up at a router, and checks that each is in order and of one version.
/// @return number of streams that are complete
int take_up(routed_fleet& system, std::size_t router, std::vector<taken_stream>& begun) {
    std::vector<std::future<void>> callers;
    for (taken_stream& stream : begun) {
        callers.push_back(std::async(std::launch::async, [&] {
            add_events(stream,
                       system.ask(system.routers()[router], "/quote/stream/1", attempt_that_takes_up(stream),
                                  {{"Resumes", stream.name},
                                   {"Last-Event-Id", std::to_string(stream.events.back())}}));
        }));
    }
    std::ranges::for_each(callers, [](auto& each) { each.get(); });
    int complete = 0;
    for (const taken_stream& stream : begun) {
        CAPTURE(stream.name);
        std::vector<int> expected(stream.events.size());
        std::iota(expected.begin(), expected.end(), 1);
        CHECK(stream.events == expected);
        CHECK((stream.is_complete ? stream.events.size() == last_event : stream.status == 503));
        CHECK(versions_that_ran(system, stream) == 1);
        complete += stream.is_complete ? 1 : 0;
    }
    return complete;
}

} // namespace

TEST_CASE("proof: streams are taken up at routers of the previous landing and of this one, side by side") {
    const std::string previous = previous_landing();
    if (previous.empty()) {
        return;
    }
    routed_fleet system{{.routers = 0, .engines = 4}};
    system.start_router(previous);
    system.start_router(previous);
    system.start_router(previous);
    REQUIRE(system.wait_ready());
    // The upgrade has stopped half way.
    replace(system, 0, this_landing);
    register_two_versions(system);
    SUBCASE("both remember them") {
        auto begun = begin_streams(system, 1, "p");
        CHECK(take_up(system, 0, begun) == streams);
        begun = begin_streams(system, 0, "t");
        CHECK(take_up(system, 2, begun) == streams);
    }
    SUBCASE("the router of the previous landing that relayed them was killed") {
        auto begun = begin_streams(system, 1, "p");
        system.routers()[1].process->kill();
        take_up(system, 0, begun);
    }
    SUBCASE("the router of this landing that relayed them was killed") {
        auto begun = begin_streams(system, 0, "t");
        system.routers()[0].process->kill();
        take_up(system, 1, begun);
    }
    SUBCASE("the router goes back to the previous landing, and all are upgraded later") {
        auto begun = begin_streams(system, 1, "p");
        replace(system, 0, previous);
        CHECK(take_up(system, 0, begun) == streams);
        for (const std::size_t index : {0, 1, 2}) {
            const std::size_t next = (index + 1) % 3;
            begun = begin_streams(system, next, "n" + std::to_string(index));
            replace(system, index, this_landing);
            CHECK(take_up(system, index, begun) == streams);
        }
    }
}

TEST_CASE("proof: a response goes on at another worker beside routers of the previous landing") {
    const std::string previous = previous_landing();
    if (previous.empty()) {
        return;
    }
    routed_fleet system{{.routers = 1, .engines = 4}};
    system.start_router(previous);
    REQUIRE(system.wait_ready());
    register_two_versions(system);
    set_faults(system.engines(), R"({"event_gap_ms":60})");
    std::vector<std::future<reply>> callers;
    for (int count = 0; count < streams; ++count) {
        callers.push_back(std::async(std::launch::async, [&, count] {
            const auto router = static_cast<std::size_t>(count % 2);
            return system.ask(system.routers()[router], "/quote/stream/1", "s" + std::to_string(count));
        }));
    }
    REQUIRE(wait_until([&] { return runs_of(system.engines(), "s11") == 1; }));
    std::this_thread::sleep_for(100ms);
    system.engines()[0].process->kill();
    for (int count = 0; count < streams; ++count) {
        taken_stream stream{.name = "s" + std::to_string(count)};
        add_events(stream, callers[static_cast<std::size_t>(count)].get());
        CAPTURE(stream.name);
        CHECK(stream.is_complete);
        CHECK(stream.events == std::vector{1, 2, 3, 4, 5, 6});
    }
}

TEST_CASE("proof: a router that is cut from the workers is served through one of the other landing") {
    const std::string previous = previous_landing();
    if (previous.empty()) {
        return;
    }
    routed_fleet system{{.routers = 1, .plain_workers = 4, .proxies = true}};
    system.start_router(previous);
    REQUIRE(system.wait_ready());
    std::size_t cut = 0;
    SUBCASE("of this landing through one of the previous") {}
    SUBCASE("of the previous landing through one of this") {
        cut = 1;
    }
    const node& router = system.routers()[cut];
    cut_off(system, {cut}, packets_dropped);
    failures_of(system, router, "/read/1", "early", time_to_recover);
    CHECK(failures_of(system, router, "/read/1", "late", 2s) == 0);
    CHECK(failures_of(system, router, "/book/1", "booking", 1s) == 0);
    const auto streamed = system.ask(router, "/quote/stream/1", "stream");
    CHECK(streamed.status == 200);
    CHECK(streamed.body.find("id: 6\n") != std::string::npos);
    CHECK_FALSE(find_log_lines(system.routers()[1 - cut], "tunnel_opened").empty());
}
