// Engines with more work than they can begin in time.

#include "routed_fleet.hpp"
#include "waiting.hpp"

#include "citronwick/core/time.hpp"

#include <doctest/doctest.h>
#include <string>
#include <thread>
#include <vector>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

reply ask_stream(routed_fleet& fleet, const std::string& attempt, int prompt_tokens) {
    return fleet.ask(fleet.routers()[0], "/guide/stream/" + attempt, attempt,
                     {{"Citronwick-Model", "m"},
                      {"Citronwick-Token-Counts", std::to_string(prompt_tokens) + ",20"},
                      {"Citronwick-Prompt-Prefix", attempt + ":" + std::to_string(prompt_tokens)}});
}

} // namespace

TEST_CASE("proof: a request that its caller would give up in the engines' queues is refused at once") {
    constexpr int long_prompt = 45'000;
    routed_fleet fleet{{.routers = 1, .engines = 1}};
    REQUIRE(fleet.wait_ready());
    set_faults(fleet.engines(), R"({"mode":"silent"})");
    std::vector<std::jthread> waiting;
    for (int count = 0; count < 2; ++count) {
        waiting.emplace_back(
            [&fleet, count] { ask_stream(fleet, "a" + std::to_string(count), long_prompt); });
    }
    REQUIRE(wait_until([&] { return arrivals_at(fleet.engines()[0]).size() == 2; }));
    const auto begin = clock::now();
    const reply refused = ask_stream(fleet, "b", 10);
    CHECK(refused.status == 503);
    CHECK(refused.header("retry-after") != "");
    CHECK(clock::now() - begin < 300ms);
    CHECK(runs_of(fleet.engines(), "b") == 0);
}
