#include "faults.hpp"
#include "node.hpp"
#include "soak_run.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace citronwick::soak {

using namespace std::chrono_literals;
using namespace citronwick::harness;
using steady = std::chrono::steady_clock;

namespace {

/// Callers that ask without a pause; the workers can run the requests of three in five.
constexpr std::size_t callers = 40;
constexpr auto restart_delay = 2s;
constexpr int window_ms = 1'000;

std::string brittle_fault(std::chrono::milliseconds shrinks_after) {
    return R"({"brittle":"5","slots":8,"room":24,"later_room":3,"delay_ms":100,"shrinks_after_ms":)" +
           std::to_string(shrinks_after.count()) + "}";
}

/// Sends requests to all routers until told to stop.
void ask_all_routers(const std::stop_token& stopped, soak_run& run, std::size_t caller) {
    for (std::size_t count = 0; !stopped.stop_requested(); ++count) {
        const std::string name = "brittle-" + std::to_string(caller) + "-" + std::to_string(count);
        const endpoint router = run.routers[(caller + count) % run.routers.size()].address();
        const auto answer = http_call(router, {.target = "/read/" + name,
                                               .headers = {{"Host", "shop.example"},
                                                           {"X-Api-Key", "club-key"},
                                                           {"Citronwick-Attempt-Id", name},
                                                           {"Citronwick-Deadline-Ms", "2000"}}});
        constexpr unsigned ok = 200;
        std::this_thread::sleep_for(answer.status == ok ? 0ms : 20ms);
    }
}

/// Starts workers again whose processes have ended, some time later.
class worker_supervisor {
public:
    explicit worker_supervisor(soak_run& run) : run_{run} {}

    void watch_until(steady::time_point end) {
        while (steady::now() < end) {
            find_ended();
            restart(steady::now() - restart_delay);
            std::this_thread::sleep_for(10ms);
        }
        find_ended();
    }

    /// Starts those again that ended before some time.
    void restart(steady::time_point before) {
        std::erase_if(ended_, [&](const auto& each) {
            const bool is_due = each.first < before;
            if (is_due) {
                run_.restart_plain_worker(*each.second, brittle_fault(0ms));
            }
            return is_due;
        });
    }

    int ends() const { return ends_; }

private:
    void find_ended() {
        for (node& worker : run_.fleet.plain_workers()) {
            const bool is_known =
                std::ranges::any_of(ended_, [&](const auto& each) { return each.second == &worker; });
            if (!is_known && !worker.process->is_running()) {
                ++ends_;
                ended_.emplace_back(steady::now(), &worker);
            }
        }
    }

    soak_run& run_;
    std::vector<std::pair<steady::time_point, node*>> ended_;
    int ends_ = 0;
};

/// All plain workers are brittle under more requests than they can run, and a router is killed.
void make_brittle(soak_run& run, std::mt19937_64& random) {
    const std::string fault = brittle_fault(pick_time(random, window_ms, 3 * window_ms));
    for (const node& worker : run.fleet.plain_workers()) {
        run.set_worker_fault(worker, fault);
    }
    router_supervisor& router = run.routers[random() % run.routers.size()];
    const auto killed_after = pick_time(random, window_ms, 4 * window_ms);
    const auto end = steady::now() + pick_time(random, 5 * window_ms, 7 * window_ms);
    worker_supervisor supervisor{run};
    {
        std::vector<std::jthread> threads;
        for (std::size_t caller = 0; caller < callers; ++caller) {
            threads.emplace_back(
                [&run, caller](const std::stop_token& stopped) { ask_all_routers(stopped, run, caller); });
        }
        threads.emplace_back([&] {
            std::this_thread::sleep_for(killed_after);
            const std::scoped_lock used{router.in_use()};
            const disturbance marked{router.interruptions()};
            router.kill();
            router.start();
        });
        supervisor.watch_until(end);
    }
    supervisor.restart(steady::time_point::max());
    const int allowed = 2 + static_cast<int>(run.fleet.plain_workers().size() / 10);
    if (supervisor.ends() > allowed) {
        run.checker.add_violation("LIMIT: brittle workers ended " + std::to_string(supervisor.ends()) +
                                  " times");
    }
    for (const node& worker : run.fleet.plain_workers()) {
        run.set_worker_fault(worker, "{}");
    }
}

constexpr bool disturbs_upstreams = true;

constexpr std::array faults{fault{"brittle_upstreams", &make_brittle, disturbs_upstreams}};

} // namespace

std::span<const fault> load_faults() {
    return faults;
}

} // namespace citronwick::soak
