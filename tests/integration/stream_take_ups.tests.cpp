// What a caller has of a stream, over all attempts by which it takes the stream up, is in order
// and of one version and service, whichever routers it asks.

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
#include <utility>
#include <vector>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

constexpr int streams = 12;
constexpr int last_event = 6;
constexpr const char* cut_after_one = R"({"cut_after":1})";

/// What a caller has of one stream.
struct taken_stream {
    std::string name;
    std::vector<int> events{};
    std::vector<std::string> attempts{};
    unsigned status = 0; ///< of the last attempt
    bool is_complete = false;
};

std::string stream_name(int number) {
    return "s" + std::to_string(number);
}

std::vector<int> event_ids(const std::string& body) {
    constexpr std::string_view field = "id: ";
    std::vector<int> ids;
    for (auto at = body.find(field); at != std::string::npos; at = body.find(field, at + 1)) {
        // The caller has an event once its blank line has come.
        if (body.find("\n\n", at) != std::string::npos) {
            ids.push_back(std::stoi(body.substr(at + field.size())));
        }
    }
    return ids;
}

/// Begins a stream, or takes it up behind the last event that its caller has.
void ask_for(taken_stream& stream, const node& router, const std::string& path = "/quote/stream/",
             const std::string& key = "club-key", std::chrono::milliseconds timeout = 3s) {
    const bool begins = stream.events.empty();
    const std::string attempt = begins && stream.attempts.empty()
                                    ? stream.name
                                    : stream.name + "-" + std::to_string(stream.attempts.size());
    std::vector<std::pair<std::string, std::string>> headers{{"Host", "shop.example"},
                                                             {"X-Api-Key", key},
                                                             {"Citronwick-Attempt-Id", attempt},
                                                             {"Citronwick-Deadline-Ms", "2000"}};
    if (begins) {
        stream.name = attempt;
    } else {
        headers.emplace_back("Resumes", stream.name);
        headers.emplace_back("Last-Event-Id", std::to_string(stream.events.back()));
    }
    stream.attempts.push_back(attempt);
    const auto answer = http_call(
        router.address(),
        {.method = "POST", .target = path + "1", .headers = std::move(headers), .timeout = timeout});
    stream.status = answer.status;
    stream.is_complete = answer.status == 200 && answer.error.empty();
    std::ranges::copy(event_ids(answer.body), std::back_inserter(stream.events));
}

/// Whether the caller has the events from the first one on, and all of them if its stream is complete.
bool is_in_order(const taken_stream& stream) {
    std::vector<int> expected(stream.events.size());
    std::iota(expected.begin(), expected.end(), 1);
    return stream.events == expected && (!stream.is_complete || stream.events.size() == last_event);
}

std::string describe(const taken_stream& stream) {
    return std::accumulate(
        stream.events.begin(), stream.events.end(), stream.name + ":",
        [](std::string text, int id) { return std::move(text) + " " + std::to_string(id); });
}

/// Indices of the engines that ran any attempt of a stream, in groups.
/// @param group_size number of engines of each version or service
std::set<std::size_t> groups_of(routed_fleet& system, const taken_stream& stream, std::size_t group_size) {
    std::set<std::size_t> groups;
    for (std::size_t index = 0; index < system.engines().size(); ++index) {
        const bool has_run = std::ranges::any_of(stream.attempts, [&](const std::string& attempt) {
            return runs_of(system.engines()[index], attempt) > 0;
        });
        if (has_run) {
            groups.insert(index / group_size);
        }
    }
    return groups;
}

/// Begins all streams or takes them up, at the same time, at each of some routers in turn.
void ask_for_all(std::vector<taken_stream>& asked, const std::vector<const node*>& routers,
                 const std::string& path = "/quote/stream/", const std::string& key = "club-key") {
    std::vector<std::future<void>> callers;
    for (std::size_t index = 0; index < asked.size(); ++index) {
        callers.push_back(std::async(std::launch::async, [&, index] {
            ask_for(asked[index], *routers[index % routers.size()], path, key);
        }));
    }
    std::ranges::for_each(callers, [](auto& each) { each.get(); });
}

std::vector<taken_stream> new_streams() {
    std::vector<taken_stream> named(streams);
    std::ranges::for_each(named,
                          [number = 0](taken_stream& each) mutable { each.name = stream_name(number++); });
    return named;
}

/// Begins streams that break after their first events.
std::vector<taken_stream> begin_streams(routed_fleet& system, const std::string& path = "/quote/stream/") {
    set_faults(system.engines(), cut_after_one);
    auto begun = new_streams();
    ask_for_all(begun, {&system.routers()[0]}, path);
    for (const taken_stream& stream : begun) {
        CHECK_FALSE(stream.is_complete);
        CHECK_FALSE(stream.events.empty());
    }
    set_faults(system.engines(), "{}");
    return begun;
}

bool wait_versions(routed_fleet& system, const std::vector<std::size_t>& routers, int versions) {
    return wait_until([&] {
        return std::ranges::all_of(routers, [&](std::size_t index) {
            const auto seen = system.view(system.routers()[index]);
            return seen.at("stream_versions").at("bench").at("versions").to_number<int>() == versions;
        });
    });
}

/// Registers the last two of four engines with another version.
void register_new_version(routed_fleet& system) {
    system.register_worker(system.engines()[2], "bench", "ready", 2, "v2");
    system.register_worker(system.engines()[3], "bench", "ready", 2, "v2");
}

/// Registers the second of two engines with the other service of the route that leads to two.
void register_second_service(routed_fleet& system) {
    system.unregister_worker(system.engines()[1]);
    system.register_worker(system.engines()[1], "other-bench", "ready", 2);
    REQUIRE(wait_until([&] {
        return std::ranges::all_of(system.routers(), [&](const node& router) {
            return system.view(router).at("stream_versions").as_object().contains("other-bench");
        });
    }));
}

} // namespace

TEST_CASE("proof: streams taken up again and again while routers are killed and paused are never joined") {
    routed_fleet system{{.routers = 3, .engines = 4}};
    REQUIRE(system.wait_ready());
    register_new_version(system);
    REQUIRE(wait_versions(system, {0, 1, 2}, 2));
    set_faults(system.engines(), R"({"event_gap_ms":60,"cut_after":3})");
    std::vector<taken_stream> taken(streams);
    std::vector<std::future<void>> callers;
    for (int count = 0; count < streams; ++count) {
        callers.push_back(std::async(std::launch::async, [&system, &taken, count] {
            constexpr std::size_t max_attempts = 8;
            auto& stream = taken[static_cast<std::size_t>(count)];
            stream.name = stream_name(count);
            while (!stream.is_complete && stream.attempts.size() < max_attempts) {
                const std::size_t next = (static_cast<std::size_t>(count) + stream.attempts.size()) % 3;
                ask_for(stream, system.routers()[next], "/quote/stream/", "club-key", 400ms);
                std::this_thread::sleep_for(20ms);
            }
        }));
    }
    std::this_thread::sleep_for(150ms);
    system.routers()[0].process->kill();
    system.routers()[1].process->signal(SIGSTOP);
    std::this_thread::sleep_for(500ms);
    system.routers()[1].process->signal(SIGCONT);
    std::ranges::for_each(callers, [](auto& each) { each.get(); });
    std::size_t taken_up = 0;
    for (const taken_stream& stream : taken) {
        CHECK_MESSAGE(is_in_order(stream), describe(stream));
        CHECK(groups_of(system, stream, 2).size() <= 1);
        taken_up += stream.attempts.size() > 1 && stream.events.size() > 3 ? 1 : 0;
    }
    CHECK(taken_up > 0);
}

// Guards against a router that wakes with an older assignment of slots to versions (ORDER).
TEST_CASE("proof: a router that was paused while slots moved goes on with no stream at their old version") {
    routed_fleet system{{.routers = 2, .engines = 4}};
    REQUIRE(system.wait_ready());
    REQUIRE(wait_versions(system, {0, 1}, 1));
    system.routers()[1].process->signal(SIGSTOP);
    register_new_version(system);
    REQUIRE(wait_versions(system, {0}, 2));
    auto begun = begin_streams(system);
    auto taken_up = std::async(std::launch::async, [&] { ask_for_all(begun, {&system.routers()[1]}); });
    std::this_thread::sleep_for(50ms);
    system.routers()[1].process->signal(SIGCONT);
    taken_up.get();
    std::set<std::size_t> used;
    for (const taken_stream& stream : begun) {
        CHECK_MESSAGE(is_in_order(stream), describe(stream));
        CHECK(groups_of(system, stream, 2).size() == 1);
        used.merge(groups_of(system, stream, 2));
    }
    CHECK(used.size() == 2);
}

// Guards against a router that does not know the process which saw the stream begin (ORDER).
TEST_CASE(
    "proof: a stream that a restarted router began is joined nowhere by one that does not know it yet") {
    routed_fleet system{{.routers = 2, .engines = 4, .key_lifetime = 20s, .proxies = true}};
    REQUIRE(system.wait_ready());
    REQUIRE(wait_versions(system, {0, 1}, 1));
    bool is_paused = false;
    SUBCASE("because it was paused") {
        is_paused = true;
    }
    SUBCASE("because it has lost the store") {}
    if (is_paused) {
        system.routers()[1].process->signal(SIGSTOP);
    } else {
        set_proxy_fault(system.store(),
                        R"({"dropped_sources":[")" + system.routers()[1].source_address + R"("]})");
    }
    system.routers()[0].process->kill();
    system.restart_router(system.routers()[0]);
    REQUIRE(wait_until([&] {
        return system.view(system.routers()[0]).at("stream_versions").as_object().contains("bench");
    }));
    register_new_version(system);
    REQUIRE(wait_versions(system, {0}, 2));
    auto begun = begin_streams(system);
    auto taken_up = std::async(std::launch::async, [&] { ask_for_all(begun, {&system.routers()[1]}); });
    std::this_thread::sleep_for(50ms);
    system.routers()[1].process->signal(SIGCONT);
    taken_up.get();
    for (const taken_stream& stream : begun) {
        CHECK_MESSAGE(is_in_order(stream), describe(stream));
        CHECK(groups_of(system, stream, 2).size() == 1);
    }
}

// Guards against a service that is chosen again by weights that have moved (ORDER).
TEST_CASE("proof: a stream is taken up at the service that began it after the weights of its route moved") {
    routed_fleet system{{.routers = 3, .engines = 2}};
    REQUIRE(system.wait_ready());
    register_second_service(system);
    auto begun = begin_streams(system, "/split/stream/");
    system.set_split(1, 9);
    system.declare({"club-key"});
    REQUIRE(system.wait_ready());
    std::set<std::size_t> used;
    ask_for_all(begun, {&system.routers()[0], &system.routers()[1], &system.routers()[2]}, "/split/stream/");
    for (const taken_stream& stream : begun) {
        CHECK(stream.is_complete);
        CHECK_MESSAGE(is_in_order(stream), describe(stream));
        CHECK(groups_of(system, stream, 1).size() == 1);
        used.merge(groups_of(system, stream, 1));
    }
    CHECK(used.size() == 2);
}

// Guards against a stream of another team under the same identifier (ORDER).
TEST_CASE("proof: a stream stays at its version when another team begins one under the same identifier") {
    routed_fleet system{{.routers = 2, .engines = 4}};
    REQUIRE(system.wait_ready());
    REQUIRE(wait_versions(system, {0, 1}, 1));
    auto begun = begin_streams(system);
    register_new_version(system);
    REQUIRE(wait_versions(system, {0, 1}, 2));
    auto others = new_streams();
    ask_for_all(others, {&system.routers()[0], &system.routers()[1]}, "/quote/stream/", "guild-key");
    CHECK(std::ranges::all_of(others, &taken_stream::is_complete));
    ask_for_all(begun, {&system.routers()[1]});
    int completed = 0;
    for (const taken_stream& stream : begun) {
        CHECK_MESSAGE(is_in_order(stream), describe(stream));
        completed += stream.is_complete ? 1 : 0;
        const std::string& last = stream.attempts.back();
        CHECK(runs_of(system.engines()[2], last) + runs_of(system.engines()[3], last) == 0);
    }
    CHECK(completed == streams);
}

TEST_CASE("proof: a response does not go on at a worker that was registered as another version since") {
    routed_fleet system{{.routers = 1}};
    REQUIRE(system.wait_ready());
    set_faults(system.engines(), R"({"event_gap_ms":250})");
    taken_stream stream{.name = "long"};
    auto caller = std::async(std::launch::async, [&] { ask_for(stream, system.routers()[0]); });
    REQUIRE(wait_until([&] { return runs_of(system.engines(), "long") == 1; }));
    const std::size_t used = runs_of(system.engines()[0], "long") == 1 ? 0 : 1;
    system.register_worker(system.engines()[1 - used], "bench", "ready", 2, "v2");
    REQUIRE(wait_versions(system, {0}, 2));
    std::this_thread::sleep_for(300ms);
    system.engines()[used].process->kill();
    caller.get();
    CHECK_FALSE(stream.is_complete);
    CHECK_FALSE(stream.events.empty());
    CHECK_MESSAGE(is_in_order(stream), describe(stream));
    CHECK(runs_of(system.engines()[1 - used], "long") == 0);
}

// Guards against a worker whose version is known by the entry of its earlier process (ORDER).
TEST_CASE(
    "proof: a response does not go on at a worker that started again as another version, unlisted yet") {
    routed_fleet system{{.routers = 1, .engines = 2, .engine_versions = {"v1"}, .proxies = true}};
    REQUIRE(system.wait_ready());
    const node& router = system.routers().front();
    node& restarted = system.engines()[1];
    for (int count = 0; count < streams; ++count) {
        CHECK(system.ask(router, "/quote/stream/1", "before-" + std::to_string(count)).status == 200);
    }
    restarted.process->kill();
    system.set_version(restarted.name, "v2");
    constexpr std::int64_t second = 2;
    system.start_worker_again(restarted, second);
    set_fault(system.engines()[0], cut_after_one);
    for (int count = 0; count < streams; ++count) {
        const auto answer = system.ask(router, "/quote/stream/1", stream_name(count));
        const bool is_joined =
            answer.body.find("of v1") != std::string::npos && answer.body.find("of v2") != std::string::npos;
        CHECK_FALSE_MESSAGE(is_joined, answer.body);
    }
}

TEST_CASE("proof: a stream is taken up at its version after the store came back from an older copy") {
    routed_fleet system{{.routers = 2, .engines = 4}};
    REQUIRE(system.wait_ready());
    REQUIRE(wait_versions(system, {0, 1}, 1));
    set_fault(system.store(), R"({"copy":1})");
    register_new_version(system);
    REQUIRE(wait_versions(system, {0, 1}, 2));
    auto begun = begin_streams(system);
    set_fault(system.store(), R"({"restore":1})");
    register_new_version(system);
    system.start_router();
    REQUIRE(wait_until([&] { return !system.view(system.routers()[2]).empty(); }));
    std::set<std::size_t> used;
    ask_for_all(begun, {&system.routers()[1], &system.routers()[2]});
    for (const taken_stream& stream : begun) {
        CHECK_MESSAGE(is_in_order(stream), describe(stream));
        CHECK(groups_of(system, stream, 2).size() == 1);
        used.merge(groups_of(system, stream, 2));
    }
    CHECK(used.size() == 2);
}

TEST_CASE(
    "proof: routers that all lost power when the store came back from a copy take up later streams only") {
    routed_fleet system{{.routers = 2, .engines = 4}};
    REQUIRE(system.wait_ready());
    set_fault(system.store(), R"({"copy":1})");
    register_new_version(system);
    REQUIRE(wait_versions(system, {0, 1}, 2));
    auto begun = begin_streams(system);
    set_fault(system.store(), R"({"restore":1})");
    register_new_version(system);
    std::ranges::for_each(system.routers(), [](node& router) { router.process->kill(); });
    std::ranges::for_each(system.routers(), [&](node& router) { system.restart_router(router); });
    REQUIRE(system.wait_ready());
    ask_for_all(begun, {&system.routers()[0], &system.routers()[1]});
    for (const taken_stream& stream : begun) {
        CHECK_MESSAGE(is_in_order(stream), describe(stream));
        CHECK(stream.status == 503);
        CHECK(groups_of(system, stream, 2).size() == 1);
    }
    const node& last = system.routers()[1];
    REQUIRE(wait_until(
        [&] {
            const auto unsettled = system.view(last).at("stream_versions").at("bench").at("unsettled");
            return unsettled.to_number<int>() == 0 && !find_log_lines(last, "era=2 ").empty();
        },
        30s));
    auto later = new_streams();
    std::ranges::for_each(later, [](taken_stream& each) { each.name += "-later"; });
    set_faults(system.engines(), cut_after_one);
    ask_for_all(later, {&system.routers()[0]});
    set_faults(system.engines(), "{}");
    system.routers()[0].process->kill();
    ask_for_all(later, {&last});
    for (const taken_stream& stream : later) {
        CHECK_MESSAGE(is_in_order(stream), describe(stream));
        CHECK(stream.is_complete);
        CHECK(groups_of(system, stream, 2).size() == 1);
    }
}

TEST_CASE(
    "contract: a take-up that names no stream of its route is answered behind its last event or refused") {
    routed_fleet system{{.routers = 2, .engines = 2}};
    REQUIRE(system.wait_ready());
    register_second_service(system);
    const auto begun = begin_streams(system, "/split/stream/");
    for (const std::string& name : {std::string{"never-begun"}, std::string{"desk-0"}, std::string{"-"},
                                    std::string(300, 'x'), begun.front().name}) {
        CAPTURE(name);
        taken_stream stream{.name = name, .events = {1, 2}};
        ask_for(stream, system.routers()[1]);
        CHECK_MESSAGE(is_in_order(stream), describe(stream));
        CHECK((stream.is_complete || stream.status == 503));
    }
}

// Guards against omissions where this request brought no two events that show consecutive numbers (ORDER).
TEST_CASE(
    "proof: a run that omits events is not joined to a single event or where a caller takes a stream up") {
    routed_fleet system{{.routers = 2, .engines = 2}};
    REQUIRE(system.wait_ready());
    REQUIRE(wait_versions(system, {0, 1}, 1));
    taken_stream whole{.name = "whole"};
    ask_for(whole, system.routers()[0]);
    REQUIRE(whole.is_complete);
    std::this_thread::sleep_for(1s); // longer than the interval of the routers' messages
    set_faults(system.engines(), R"({"cut_after":1,"omit":1})");
    auto begun = new_streams();
    ask_for_all(begun, {&system.routers()[0]});
    set_faults(system.engines(), R"({"omit":1})");
    ask_for_all(begun, {&system.routers()[1]});
    for (const taken_stream& stream : begun) {
        CHECK_MESSAGE(is_in_order(stream), describe(stream));
        CHECK_FALSE(stream.is_complete);
    }
    set_faults(system.engines(), "{}");
    ask_for_all(begun, {&system.routers()[1]});
    for (const taken_stream& stream : begun) {
        CHECK_MESSAGE(is_in_order(stream), describe(stream));
        CHECK(stream.is_complete);
    }
}

// Guards against omissions at a take-up by a router that has just started (ORDER).
TEST_CASE("proof: a router that has just started does not answer a take-up by a run that omits events") {
    routed_fleet system{{.routers = 2, .engines = 2}};
    REQUIRE(system.wait_ready());
    REQUIRE(wait_versions(system, {0, 1}, 1));
    taken_stream whole{.name = "whole"};
    ask_for(whole, system.routers()[0]);
    REQUIRE(whole.is_complete);
    auto begun = begin_streams(system);
    system.routers()[1].process->kill();
    system.restart_router(system.routers()[1]);
    REQUIRE(system.wait_ready());
    set_faults(system.engines(), R"({"omit":1})");
    ask_for_all(begun, {&system.routers()[1]});
    for (const taken_stream& stream : begun) {
        CHECK_MESSAGE(is_in_order(stream), describe(stream));
    }
}

// Guards against whole streams of services with gaps that end broken.
TEST_CASE("proof: streams whose numbers have gaps go on and are taken up") {
    for (const std::string numbering : {"strided", "sparse"}) {
        CAPTURE(numbering);
        routed_fleet system{{.routers = 2, .engines = 2}};
        REQUIRE(system.wait_ready());
        REQUIRE(wait_versions(system, {0, 1}, 1));
        const std::string setting = R"("numbering":")" + numbering + "\"}";
        set_faults(system.engines(), "{" + setting);
        taken_stream whole{.name = "whole"};
        ask_for(whole, system.routers()[0]);
        CHECK(whole.is_complete);
        const auto expected = whole.events;
        CHECK(expected.size() == last_event);
        for (const std::string cut : {"1", "2", "3"}) {
            auto begun = new_streams();
            std::ranges::for_each(begun, [&](taken_stream& each) { each.name += "-" + cut; });
            std::string fault = R"({"cut_after":)";
            fault += cut;
            fault += ",";
            fault += setting;
            set_faults(system.engines(), fault);
            ask_for_all(begun, {&system.routers()[0]});
            set_faults(system.engines(), "{" + setting);
            ask_for_all(begun, {&system.routers()[1]});
            for (const taken_stream& stream : begun) {
                CHECK_MESSAGE(stream.events == expected, describe(stream));
                CHECK(stream.is_complete);
            }
        }
    }
}
