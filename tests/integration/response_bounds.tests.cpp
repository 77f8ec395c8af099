// Responses whose end is not stated, or that have none.

#include "routed_fleet.hpp"

#include "citronwick/core/time.hpp"

#include <doctest/doctest.h>
#include <fstream>
#include <string>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

constexpr const char* six_events = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n"
                                   "id: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\nid: 6\ndata: piece 6\n\n";

/// Memory of a router's process.
std::int64_t resident_kb(const node& router) {
    std::ifstream status{"/proc/" + std::to_string(router.process->id()) + "/status"};
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            return std::stoll(line.substr(line.find_first_of("0123456789")));
        }
    }
    return 0;
}

} // namespace

TEST_CASE("proof: a response without end neither holds its request past the deadline nor fills the memory") {
    routed_fleet system{{.routers = 1, .plain_workers = 1, .engines = 1}};
    REQUIRE(system.wait_ready());
    const node& router = system.routers()[0];
    constexpr std::int64_t max_memory_kb = 200'000;
    for (const char* const fault : {"endless_bytes", "endless_head", "endless_body", "endless_drip"}) {
        set_faults(system.plain_workers(), std::string{R"({"mode":")"} + fault + "\"}");
        set_faults(system.engines(), std::string{R"({"mode":")"} + fault + "\"}");
        for (const char* const path : {"/book/1", "/guide/stream/1"}) {
            const auto started = citronwick::clock::now();
            const auto answer = system.ask(router, path, std::string{fault} + path);
            CHECK_MESSAGE(citronwick::clock::now() - started < 2500ms, (std::string{fault} + path));
            CHECK_MESSAGE((answer.status == 502 || answer.status == 504), (std::string{fault} + path));
        }
    }
    CHECK(resident_kb(router) < max_memory_kb);
}

TEST_CASE("contract: a response that ends with its connection is whole, a stream within an event is not") {
    routed_fleet system{{.routers = 1, .plain_workers = 1, .engines = 1}};
    REQUIRE(system.wait_ready());
    const node& router = system.routers()[0];
    set_faults(system.plain_workers(), R"({"mode":"unframed"})");
    set_faults(system.engines(), R"({"mode":"unframed"})");
    for (int count = 0; count < 3; ++count) {
        const std::string attempt = "u" + std::to_string(count);
        CHECK(system.ask(router, "/read/1", attempt).body == "done by desk-0");
        const auto stream = system.ask(router, "/guide/stream/1", attempt);
        CHECK(stream.body == six_events);
        CHECK(stream.error.empty());
    }
    set_faults(system.engines(), R"({"mode":"unframed_cut"})");
    const auto broken = system.ask(router, "/guide/stream/1", "broken");
    CHECK_FALSE(broken.error.empty());
    CHECK(broken.body != six_events);
}

TEST_CASE("proof: a slow but sound stream is relayed whole, and one that stalls ends at its deadline") {
    routed_fleet system{{.routers = 1, .plain_workers = 1, .engines = 1}};
    REQUIRE(system.wait_ready());
    const node& router = system.routers()[0];
    for (const std::string path : {"/guide/stream/1", "/quote/stream/1"}) {
        set_faults(system.engines(), R"({"event_gap_ms":250})");
        const auto slow = system.ask(router, path, "slow" + path);
        CHECK(slow.body == six_events);
        CHECK(slow.error.empty());
        set_faults(system.engines(), R"({"event_gap_ms":60000})");
        const auto started = citronwick::clock::now();
        const auto stalled = system.ask(router, path, "stalled" + path);
        CHECK(citronwick::clock::now() - started < 2500ms);
        CHECK_MESSAGE((stalled.status == 504 || stalled.status == 502 || !stalled.error.empty()), path);
        CHECK(stalled.body != six_events);
    }
}
