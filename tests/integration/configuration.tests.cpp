// An accepted configuration is in force everywhere within seconds and never reverts.

#include "chat.hpp"
#include "fleet.hpp"
#include "waiting.hpp"

#include "citronwick/core/hash.hpp"
#include "citronwick/io/json_text.hpp"

#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <fstream>
#include <future>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

/// Required bound: a change is in force on every router within 13 s.
constexpr auto max_time_to_in_force = 13s;

std::int64_t generation(const fleet& system, const router_node& router) {
    return integer_member(system.view(router), "generation");
}

/// Polls all routers and records whether any of them returns to an older generation.
class generation_monitor {
public:
    explicit generation_monitor(fleet& system) : system_{system}, thread_{[this] { monitor(); }} {}
    ~generation_monitor() { stop_ = true; }
    bool reverted() const { return reverted_; }

private:
    void monitor() {
        std::map<std::string, std::int64_t> newest;
        while (!stop_) {
            for (const auto& router : system_.routers()) {
                const auto seen = generation(system_, router);
                reverted_ = reverted_ || (seen > 0 && seen < newest[router.name]);
                newest[router.name] = std::max(newest[router.name], seen);
            }
            std::this_thread::sleep_for(10ms);
        }
    }

    fleet& system_;
    std::atomic<bool> stop_{false};
    std::atomic<bool> reverted_{false};
    std::jthread thread_;
};

} // namespace

TEST_CASE("proof: of operators who race, exactly one wins each generation and each is told its own result") {
    fleet system{{.routers = 3, .engines = 1, .service_workers = 0}};
    REQUIRE(system.wait_ready());
    const generation_monitor monitor{system};
    std::vector<std::future<command_result>> operators;
    for (int index = 0; index < 8; ++index) {
        const std::string preset = index % 2 == 0 ? "peak" : "maintenance";
        operators.push_back(std::async(std::launch::async, [&system, preset, index] {
            return system.ctl(
                {"preset", "use", preset, "--base", "1", "--writer", "w" + std::to_string(index)});
        }));
    }
    int winner_count = 0;
    for (auto& each : operators) {
        const auto result = each.get();
        CAPTURE(result.output);
        CHECK((result.exit == 0 || result.exit == 3));
        winner_count += result.exit == 0 ? 1 : 0;
    }
    CHECK(winner_count == 1);
    CHECK(system.wait_generation(2, max_time_to_in_force));
    for (const auto& router : system.routers()) {
        CHECK(generation(system, router) == 2);
    }
    CHECK_FALSE(monitor.reverted());
}

TEST_CASE("proof: an operator whose answer is lost is told the outcome") {
    fleet system{{.routers = 1, .engines = 1, .service_workers = 0}};
    REQUIRE(system.wait_ready());
    std::ofstream{system.file("next.toml")} << system.declaration() << "\n[preset.holiday]\n";
    SUBCASE("on the root") {
        set_fault(system.key_value(), R"({"lose_answers":1})");
        const auto result = system.ctl({"drain", "engine-2"});
        CHECK(result.exit ==
              1); // the earlier root's chunk is written but the response is lost; nothing is in force
    }
    SUBCASE("on every write") {
        set_fault(system.key_value(), R"({"lose_answers":100})");
        const auto result = system.ctl({"apply", system.file("next.toml")});
        CHECK(result.exit == 1);
    }
    set_fault(system.key_value(), "{}");
    const auto retried = system.ctl({"apply", system.file("next.toml")});
    CHECK(retried.exit == 0);
    CHECK(system.wait_generation(2, max_time_to_in_force));
}

TEST_CASE("proof: an accepted change spreads while the key-value service is down") {
    fleet system{{.routers = 6, .engines = 2, .service_workers = 0}};
    REQUIRE(system.wait_ready());
    const generation_monitor monitor{system};
    auto& frozen = system.routers()[4];
    auto& second_frozen = system.routers()[1];
    frozen.process->signal(SIGSTOP);
    second_frozen.process->signal(SIGSTOP);
    CHECK(system.ctl({"preset", "use", "peak"}).exit == 0);
    REQUIRE(wait_until([&] { return generation(system, system.routers()[0]) == 2; }));
    set_fault(system.key_value(), R"({"outage":1})");
    frozen.process->signal(SIGCONT);
    second_frozen.process->signal(SIGCONT);
    CHECK(system.wait_generation(2, max_time_to_in_force));
    SUBCASE("a router that starts during the outage gets it from its peers") {
        system.restart_router(system.routers()[2]);
        CHECK(system.wait_generation(2, max_time_to_in_force));
        CHECK(wait_until([&] { return chat(system.routers()[2].callers(), {}).is_complete(4); }));
    }
    CHECK_FALSE(monitor.reverted());
}

TEST_CASE("proof: changes are in force again after the key-value service was restored from a backup") {
    fleet system{{.routers = 3, .engines = 1, .service_workers = 0}};
    REQUIRE(system.wait_ready());
    const generation_monitor monitor{system};
    set_fault(system.key_value(), R"({"back_up":1})");
    CHECK(system.ctl({"preset", "use", "peak"}).exit == 0);
    REQUIRE(system.wait_generation(2, max_time_to_in_force));
    CHECK(system.ctl({"drain", "engine-0"}).exit == 0);
    REQUIRE(system.wait_generation(3, max_time_to_in_force));
    set_fault(system.key_value(), R"({"restore":1})");
    // The operator builds on the generation that was in force before.
    CHECK(wait_until([&] { return system.ctl({"preset", "use", "maintenance", "--base", "3"}).exit == 0; },
                     13s));
    CHECK(system.wait_generation(4, max_time_to_in_force));
    CHECK(system.ctl({"history"}).exit == 0);
    CHECK_FALSE(monitor.reverted());
}

TEST_CASE("proof: watches that have gone stale delay a change by seconds only") {
    fleet system{{.routers = 3, .engines = 1, .service_workers = 0}};
    REQUIRE(system.wait_ready());
    set_fault(system.key_value(), R"({"stale_watches":1})");
    CHECK(system.ctl({"preset", "use", "peak"}).exit == 0);
    CHECK(system.wait_generation(2, max_time_to_in_force));
}

TEST_CASE("proof: all routers restarted during an outage refuse as not run and then recover") {
    fleet system{{.routers = 3, .engines = 1, .service_workers = 0}};
    REQUIRE(system.wait_ready());
    CHECK(system.ctl({"preset", "use", "peak"}).exit == 0);
    CHECK(system.wait_generation(2, max_time_to_in_force));
    set_fault(system.key_value(), R"({"outage":1})");
    for (auto& router : system.routers()) {
        router.process->kill();
    }
    for (auto& router : system.routers()) {
        system.restart_router(router);
    }
    const auto refused = chat(system.routers()[0].callers(), {});
    CHECK(refused.raw.status == 503);
    CHECK(refused.raw.header("Citronwick-Outcome") == "not-run");
    CHECK(http_call(system.routers()[0].operators(), {.target = "/readyz"}).status == 503);
    set_fault(system.key_value(), "{}");
    CHECK(system.wait_generation(2, max_time_to_in_force));
    CHECK(wait_until([&] { return chat(system.routers()[0].callers(), {}).is_complete(4); }));
}

TEST_CASE(
    "contract: a declaration of 13,000 teams and 39 models is applied in seconds and comes into force") {
    std::string text;
    for (int model = 0; model < 39; ++model) {
        const std::string name = std::to_string(model);
        text.append("[[service]]\nname = \"pool-").append(name);
        text.append("\"\nkind = \"engine\"\nmodels = [\"model-").append(name).append("\"]\n\n");
    }
    for (int team = 0; team < 13'000; ++team) {
        const std::string name = "team-" + std::to_string(team);
        text.append("[[team]]\nname = \"").append(name);
        text.append("\"\nkey_sha256 = \"").append(sha256_hex(team_key(name))).append("\"\n\n");
    }
    text += "[preset.ordinary]\n[preset.peak]\n";
    fleet system{{.routers = 2, .engines = 0, .service_workers = 0, .declaration = text}};
    CHECK(system.wait_generation(1, max_time_to_in_force));
    const auto started = std::chrono::steady_clock::now();
    CHECK(system.ctl({"preset", "use", "peak"}).exit == 0);
    CHECK(system.wait_generation(2, max_time_to_in_force));
    CHECK(std::chrono::steady_clock::now() - started < max_time_to_in_force);
}
