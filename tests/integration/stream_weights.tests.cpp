// A response must not go on with events of other weights than its caller was told.

#include "routed_fleet.hpp"
#include "waiting.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <future>
#include <set>
#include <string>
#include <vector>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

constexpr int streams = 24;
constexpr int last_event = 6;

/// Weights of the events of a response, in their order.
std::vector<int> weights_of(const reply& answer) {
    constexpr std::string_view field = " with weights ";
    std::vector<int> weights;
    for (auto at = answer.body.find(field); at != std::string::npos; at = answer.body.find(field, at + 1)) {
        weights.push_back(std::stoi(answer.body.substr(at + field.size())));
    }
    return weights;
}

bool is_complete(const reply& answer) {
    return answer.status == 200 && answer.error.empty();
}

std::vector<reply> ask_for_streams(routed_fleet& system) {
    std::vector<reply> answers;
    for (int count = 0; count < streams; ++count) {
        const std::string name = "s" + std::to_string(count);
        answers.push_back(system.ask(system.routers()[0], "/quote/stream/" + name, name));
    }
    return answers;
}

} // namespace

// Guards against runs of two weights in one response, whose header names those of the first only (ORDER).
TEST_CASE("proof: a response goes on with the weights that its events had") {
    routed_fleet system{{.routers = 1, .engines = 4}};
    REQUIRE(system.wait_ready());
    std::string old_weights = R"({"cut_after":3,"weights":1})";
    std::string new_weights = R"({"cut_after":3,"weights":2})";
    SUBCASE("workers refuse requests that expect others") {}
    SUBCASE("workers run them") {
        old_weights = R"({"cut_after":3,"weights":1,"ignore_expected_weights":1})";
        new_weights = R"({"cut_after":3,"weights":2,"ignore_expected_weights":1})";
    }
    for (std::size_t index = 0; index < system.engines().size(); ++index) {
        set_fault(system.engines()[index], index < 2 ? old_weights : new_weights);
    }
    int completed = 0;
    for (const reply& answer : ask_for_streams(system)) {
        const auto weights = weights_of(answer);
        REQUIRE_FALSE(weights.empty());
        CHECK_MESSAGE(std::set<int>(weights.begin(), weights.end()).size() == 1, answer.body);
        CHECK(std::to_string(weights.front()) == answer.header("citronwick-weight-versions"));
        CHECK((!is_complete(answer) || weights.size() == last_event));
        completed += is_complete(answer) ? 1 : 0;
    }
    CHECK(completed > 0);
}

// Guards against a run with the weights that the response began with (ORDER: a number went back).
TEST_CASE("proof: weights that rose within a stream do not go back where it goes on") {
    routed_fleet system{{.routers = 1, .engines = 3}};
    REQUIRE(system.wait_ready());
    set_fault(system.engines()[0], R"({"cut_after":3,"weights":1,"newer_weights_at":2})");
    set_fault(system.engines()[1], R"({"weights":1})");
    set_fault(system.engines()[2], R"({"weights":2})");
    int completed = 0;
    for (const reply& answer : ask_for_streams(system)) {
        const auto weights = weights_of(answer);
        REQUIRE_FALSE(weights.empty());
        CHECK_MESSAGE(std::ranges::is_sorted(weights), answer.body);
        CHECK((!is_complete(answer) || weights.size() == last_event));
        completed += is_complete(answer) ? 1 : 0;
    }
    CHECK(completed > 0);
}

// Guards against refusals of streams whose weights rise while one worker makes them.
TEST_CASE("proof: a stream whose worker changes its weights is relayed as it is") {
    routed_fleet system{{.routers = 1, .engines = 1}};
    REQUIRE(system.wait_ready());
    set_faults(system.engines(), R"({"weights":1,"newer_weights_at":4})");
    for (const reply& answer : ask_for_streams(system)) {
        CHECK(is_complete(answer));
        CHECK(weights_of(answer) == std::vector{1, 1, 1, 2, 2, 2});
    }
}
