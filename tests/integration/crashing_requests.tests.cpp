// A request that crashes every upstream that runs it must not take down the
// fleet when its caller keeps resending it.

#include "chat.hpp"
#include "fleet.hpp"
#include "waiting.hpp"

#include "citronwick/io/json_text.hpp"

#include <algorithm>
#include <atomic>
#include <doctest/doctest.h>
#include <mutex>
#include <thread>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

TEST_CASE("proof: a request that crashes its engines is refused after two, and the others are answered") {
    fleet system{{.routers = 3, .engines = 6, .service_workers = 0}};
    REQUIRE(system.wait_ready());
    for (const node& engine : system.engines()) {
        set_fault(engine, R"({"crash_on":"poison"})");
    }
    std::atomic<bool> stop{false};
    std::atomic<int> completed{0};
    std::atomic<int> failed{0};
    std::mutex mutex;
    std::string first_failure;
    std::vector<std::jthread> callers;
    for (int caller = 0; caller < 6; ++caller) {
        callers.emplace_back([&, caller] {
            for (int turn = 0; !stop; ++turn) {
                const auto& router = system.routers()[static_cast<std::size_t>(turn) % 3];
                const auto name = std::to_string(caller) + "-" + std::to_string(turn);
                const auto answer =
                    chat(router.callers(), {.chat = name, .prompt = name, .tokens = 20, .stream = false});
                ++(answer.is_complete(20) ? completed : failed);
                if (!answer.is_complete(20)) {
                    const std::scoped_lock lock{mutex};
                    first_failure = answer.raw.error + answer.raw.body;
                }
            }
        });
    }
    REQUIRE(wait_until([&] { return completed > 20; }));
    for (int resend = 0; resend < 20; ++resend) {
        const auto& router = system.routers()[static_cast<std::size_t>(resend) % 3];
        const auto answer = chat(router.callers(), {.chat = "bad", .prompt = "poison", .stream = false});
        CHECK(answer.raw.status >= 400);
        if (resend == 0) {
            CHECK(answer.raw.header("Citronwick-Outcome") == "unknown");
            std::this_thread::sleep_for(300ms); // until all routers have learned of the crash
        } else {
            CHECK(answer.raw.status == 422);
            CHECK(answer.raw.header("Citronwick-Outcome") == "not-run");
        }
    }
    stop = true;
    callers.clear();
    const auto crashed = std::ranges::count_if(
        system.engines(), [](const node& engine) { return !engine.process->is_running(); });
    CAPTURE(first_failure);
    CHECK(crashed <= 2);
    CHECK(failed == 0);
    CHECK(completed > 20);
}
