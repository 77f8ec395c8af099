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

/// Target of letter 1: a change is in force everywhere within 13 s.
constexpr auto in_force_limit = 13s;

std::int64_t generation(const fleet& system, const router_node& router) {
    return integer_member(system.view(router), "generation");
}

/// Watches all routers and notes any step back to an older generation.
class generation_watch {
public:
    explicit generation_watch(fleet& system) : system_{system}, thread_{[this] { watch(); }} {}
    ~generation_watch() { stop_ = true; }
    bool reverted() const { return reverted_; }

private:
    void watch() {
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

TEST_CASE("proof: of operators who race, exactly one wins each generation and each is told the truth") {
    fleet system{{.routers = 3, .engines = 1, .service_workers = 0}};
    REQUIRE(system.wait_ready());
    const generation_watch watch{system};
    std::vector<std::future<command_result>> operators;
    for (int index = 0; index < 8; ++index) {
        const std::string preset = index % 2 == 0 ? "peak" : "maintenance";
        operators.push_back(std::async(std::launch::async, [&system, preset, index] {
            return system.ctl(
                {"preset", "use", preset, "--base", "1", "--writer", "w" + std::to_string(index)});
        }));
    }
    int winners = 0;
    for (auto& each : operators) {
        const auto told = each.get();
        CAPTURE(told.output);
        CHECK((told.exit == 0 || told.exit == 3));
        winners += told.exit == 0 ? 1 : 0;
    }
    CHECK(winners == 1);
    CHECK(system.wait_generation(2, in_force_limit));
    for (const auto& router : system.routers()) {
        CHECK(generation(system, router) == 2);
    }
    CHECK_FALSE(watch.reverted());
}

TEST_CASE("proof: an operator whose answer is lost is told what happened") {
    fleet system{{.routers = 1, .engines = 1, .service_workers = 0}};
    REQUIRE(system.wait_ready());
    std::ofstream{system.file("next.toml")} << system.declaration() << "\n[preset.holiday]\n";
    SUBCASE("on the root") {
        set_fault(system.key_value(), R"({"lose_answers":1})");
        const auto told = system.ctl({"drain", "engine-2"});
        CHECK(told.exit ==
              1); // the chunk of the earlier root was written, its answer lost, nothing is in force
    }
    SUBCASE("on every write") {
        set_fault(system.key_value(), R"({"lose_answers":100})");
        const auto told = system.ctl({"apply", system.file("next.toml")});
        CHECK(told.exit == 1);
    }
    set_fault(system.key_value(), "{}");
    const auto again = system.ctl({"apply", system.file("next.toml")});
    CHECK(again.exit == 0);
    CHECK(system.wait_generation(2, in_force_limit));
}

TEST_CASE("proof: an accepted change spreads while the key-value service is down") {
    fleet system{{.routers = 6, .engines = 2, .service_workers = 0}};
    REQUIRE(system.wait_ready());
    const generation_watch watch{system};
    auto& frozen = system.routers()[4];
    auto& other_frozen = system.routers()[1];
    frozen.process->signal(SIGSTOP);
    other_frozen.process->signal(SIGSTOP);
    CHECK(system.ctl({"preset", "use", "peak"}).exit == 0);
    REQUIRE(wait_until([&] { return generation(system, system.routers()[0]) == 2; }));
    set_fault(system.key_value(), R"({"outage":1})");
    frozen.process->signal(SIGCONT);
    other_frozen.process->signal(SIGCONT);
    CHECK(system.wait_generation(2, in_force_limit));
    SUBCASE("a router that starts during the outage gets it from its peers") {
        system.restart_router(system.routers()[2]);
        CHECK(system.wait_generation(2, in_force_limit));
        CHECK(wait_until([&] { return chat(system.routers()[2].callers(), {}).whole(4); }));
    }
    CHECK_FALSE(watch.reverted());
}

TEST_CASE("proof: watches that have gone stale delay a change by seconds only") {
    fleet system{{.routers = 3, .engines = 1, .service_workers = 0}};
    REQUIRE(system.wait_ready());
    set_fault(system.key_value(), R"({"stale_watches":1})");
    CHECK(system.ctl({"preset", "use", "peak"}).exit == 0);
    CHECK(system.wait_generation(2, in_force_limit));
}

TEST_CASE("proof: all routers restarted during an outage refuse honestly and then recover") {
    fleet system{{.routers = 3, .engines = 1, .service_workers = 0}};
    REQUIRE(system.wait_ready());
    CHECK(system.ctl({"preset", "use", "peak"}).exit == 0);
    CHECK(system.wait_generation(2, in_force_limit));
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
    CHECK(system.wait_generation(2, in_force_limit));
    CHECK(wait_until([&] { return chat(system.routers()[0].callers(), {}).whole(4); }));
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
    CHECK(system.wait_generation(1, in_force_limit));
    const auto started = std::chrono::steady_clock::now();
    CHECK(system.ctl({"preset", "use", "peak"}).exit == 0);
    CHECK(system.wait_generation(2, in_force_limit));
    CHECK(std::chrono::steady_clock::now() - started < in_force_limit);
}
