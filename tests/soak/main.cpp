// Randomized soak test: real routers with stand-in workers and store, under injected faults.

#include "guarantee_checker.hpp"
#include "keep_alive_client.hpp"
#include "routed_fleet.hpp"
#include "waiting.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <docopt/docopt.h>
#include <iostream>
#include <random>
#include <set>
#include <thread>

namespace {

using namespace citronwick;
using namespace citronwick::harness;
using namespace citronwick::soak;
using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

constexpr const char* usage =
    R"(citronsoak: runs a fleet under random faults and checks the guarantees to callers.

Usage:
  citronsoak --seed N [--seconds S] [--routers R] [--callers C]
  citronsoak (-h | --help)

Options:
  --seed N      Seed of the faults and of the load.
  --seconds S   Time under faults [default: 20].
  --routers R   Routers [default: 3].
  --callers C   Concurrent callers [default: 6].

Exit codes: 0 every guarantee held, 1 one was violated, 2 bad usage, 3 a process did not start.
)";

constexpr std::chrono::milliseconds key_lifetime = 4s;
constexpr auto recovery_time = 8s;

/// State shared by the threads that send requests and those that inject faults.
struct soak_run {
    explicit soak_run(std::uint64_t initial_seed, std::size_t routers)
        : seed{initial_seed}, fleet{{.routers = routers,
                                     .plain_workers = 3,
                                     .engines = 3,
                                     .key_lifetime = key_lifetime,
                                     .proxies = true}},
          disturbances(routers) {}

    std::uint64_t seed;
    routed_fleet fleet;
    guarantee_checker checker{key_lifetime};
    std::vector<std::atomic<int>> disturbances; ///< per router; odd during a disturbance
    std::mutex routers_mutex;                   ///< guards the addresses, which change on a restart
    std::atomic<bool> stopping{false};
    std::atomic<std::uint64_t> next_attempt{0};
    std::atomic<bool> second_key_is_valid{true};
    std::atomic<std::int64_t> newest_incarnation{1}; ///< of the workers
};

/// Stops the callers at the end of a scope, also if a router could not be started again.
class stop_on_exit {
public:
    explicit stop_on_exit(soak_run& run) : run_{run} {}
    stop_on_exit(const stop_on_exit&) = delete;
    stop_on_exit& operator=(const stop_on_exit&) = delete;
    ~stop_on_exit() { run_.stopping = true; }

private:
    soak_run& run_;
};

constexpr std::array paths{"/read/1", "/book/1", "/quote/stream/1", "/guide/stream/1"};

/// Sends requests to one router over a persistent connection until the run stops.
void run_caller(soak_run& run, std::size_t caller) {
    std::mt19937_64 random{run.seed * 1'000 + caller};
    const std::size_t index = caller % run.fleet.routers().size();
    endpoint peer;
    std::unique_ptr<keep_alive_client> client;
    while (!run.stopping) {
        {
            const std::scoped_lock lock{run.routers_mutex};
            const endpoint address = run.fleet.routers()[index].address();
            if (!client || peer != address) {
                peer = address;
                client = std::make_unique<keep_alive_client>(peer);
            }
        }
        const auto kind = static_cast<request_kind>(random() % paths.size());
        const std::string attempt = std::to_string(run.seed) + "-" + std::to_string(run.next_attempt++);
        const std::string key = random() % 4 == 0 ? "second-key" : "club-key";
        const int disturbances_before = run.disturbances[index];
        observed_request observed{.attempt = attempt, .kind = kind, .key = key, .sent_at = steady::now()};
        observed.response = client->send({.method = kind == request_kind::read ? "GET" : "POST",
                                          .target = paths.at(static_cast<std::size_t>(kind)),
                                          .body = kind == request_kind::read ? "" : "a cup " + attempt,
                                          .headers = {{"Host", "shop.example"},
                                                      {"X-Api-Key", key},
                                                      {"Citronwick-Attempt-Id", attempt},
                                                      {"Citronwick-Deadline-Ms", "2000"}},
                                          .timeout = 6s});
        observed.elapsed =
            std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - observed.sent_at);
        observed.router_was_undisturbed =
            disturbances_before == run.disturbances[index] && disturbances_before % 2 == 0;
        const bool failed = observed.response.status == 0;
        run.checker.record(std::move(observed));
        std::this_thread::sleep_for(failed ? 50ms : std::chrono::milliseconds{random() % 20});
    }
}

/// Marks a router as disturbed during the lifetime of this object.
class disturbance {
public:
    explicit disturbance(std::atomic<int>& count) : count_{count} { ++count_; }
    disturbance(const disturbance&) = delete;
    disturbance& operator=(const disturbance&) = delete;
    ~disturbance() { ++count_; }

private:
    std::atomic<int>& count_;
};

std::chrono::milliseconds pick_time(std::mt19937_64& random, int least, int most) {
    return std::chrono::milliseconds{std::uniform_int_distribution<int>{least, most}(random)};
}

node& pick_worker(soak_run& run, std::mt19937_64& random) {
    auto& workers = random() % 2 == 0 ? run.fleet.plain_workers() : run.fleet.engines();
    return workers[random() % workers.size()];
}

void restart(soak_run& run, node& router) {
    const std::scoped_lock lock{run.routers_mutex};
    run.fleet.restart_router(router);
}

void pause_router(soak_run& run, std::mt19937_64& random) {
    const std::size_t index = random() % run.fleet.routers().size();
    const disturbance marked{run.disturbances[index]};
    const node& router = run.fleet.routers()[index];
    router.process->signal(SIGSTOP);
    std::this_thread::sleep_for(pick_time(random, 200, 6'000));
    router.process->signal(SIGCONT);
}

void kill_router(soak_run& run, std::mt19937_64& random) {
    const std::size_t index = random() % run.fleet.routers().size();
    const disturbance marked{run.disturbances[index]};
    run.fleet.routers()[index].process->kill();
    std::this_thread::sleep_for(pick_time(random, 50, 1'000));
    restart(run, run.fleet.routers()[index]);
}

void stop_router(soak_run& run, std::mt19937_64& random) {
    const std::size_t index = random() % run.fleet.routers().size();
    const disturbance marked{run.disturbances[index]};
    node& router = run.fleet.routers()[index];
    router.process->signal(SIGTERM);
    if (!router.process->wait(10s)) {
        run.checker.add_violation(router.name + " did not stop within 10 s");
        router.process->kill();
    }
    restart(run, router);
}

void disturb_worker(soak_run& run, std::mt19937_64& random) {
    constexpr std::array faults{"lose_answer", "truncate", "garbage", "error",
                                "shed",        "extra",    "status",  "silent"};
    constexpr std::array statuses{408, 421, 429, 503, 404, 418, 425, 520, 529};
    const node& worker = pick_worker(run, random);
    const auto drawn = random(); // for fault and status, so that a seed keeps its sequence of faults
    const auto status = statuses.at(drawn / faults.size() % statuses.size());
    set_fault(worker, std::string{R"({"mode":")"} + faults.at(drawn % faults.size()) + R"(","times":)" +
                          std::to_string(1 + random() % 10) + R"(,"status":)" + std::to_string(status) + "}");
    std::this_thread::sleep_for(pick_time(random, 200, 1'500));
    set_fault(worker, "{}");
}

void cut_streams(soak_run& run, std::mt19937_64& random) {
    const node& worker = run.fleet.engines()[random() % run.fleet.engines().size()];
    constexpr std::array formats{"", "compact", "crlf", "cr"};
    constexpr std::uint64_t max_events = 5;
    const auto drawn = random(); // for both settings, so that a seed keeps its sequence of faults
    set_fault(worker, R"({"cut_after":)" + std::to_string(1 + drawn % max_events) + R"(,"event_format":")" +
                          formats.at(drawn / max_events % formats.size()) + "\"}");
    std::this_thread::sleep_for(pick_time(random, 200, 1'500));
    set_fault(worker, "{}");
}

void disturb_link(soak_run& run, std::mt19937_64& random) {
    constexpr std::array faults{R"({"blackhole":1})",       R"({"refuse":1})",        R"({"drop_answers":1})",
                                R"({"cut_after_down":60})", R"({"cut_after_up":60})", R"({"delay_ms":80})"};
    const bool is_store = random() % 4 == 0;
    const node& target = is_store ? run.fleet.store() : pick_worker(run, random);
    set_proxy_fault(target, faults.at(random() % faults.size()));
    std::this_thread::sleep_for(pick_time(random, 200, 2'000));
    set_proxy_fault(target, "{}");
}

void disturb_store(soak_run& run, std::mt19937_64& random) {
    constexpr std::array faults{R"({"mode":"busy"})",  R"({"mode":"reset"})",   R"({"mode":"silent"})",
                                R"({"delay_ms":300})", R"({"lose_answers":5})", R"({"forget_history":1})"};
    set_fault(run.fleet.store(), faults.at(random() % faults.size()));
    std::this_thread::sleep_for(pick_time(random, 200, 6'000));
    set_fault(run.fleet.store(), "{}");
}

/// The store goes away and comes back from a copy, without what was written since.
void restore_store(soak_run& run, std::mt19937_64& random) {
    set_fault(run.fleet.store(), R"({"copy":1})");
    std::this_thread::sleep_for(pick_time(random, 200, 3'000));
    set_fault(run.fleet.store(), R"({"mode":"silent"})");
    std::this_thread::sleep_for(pick_time(random, 200, 2'000));
    set_fault(run.fleet.store(), R"({"restore":1})");
    run.fleet.write_keys_again();
}

void limit_worker(soak_run& run, std::mt19937_64& random) {
    constexpr std::array limits{"0.5", "2", "10"};
    const node& worker = pick_worker(run, random);
    set_fault(worker, std::string{R"({"limit":")"} + limits.at(random() % limits.size()) + R"("})");
    std::this_thread::sleep_for(pick_time(random, 500, 4'000));
    set_fault(worker, "{}");
}

/// Drains a worker and registers it again as a new incarnation.
void drain_worker(soak_run& run, std::mt19937_64& random) {
    auto& workers = run.fleet.plain_workers();
    const node& worker = workers[random() % workers.size()];
    run.fleet.register_worker(worker, "desk", "draining");
    std::this_thread::sleep_for(pick_time(random, 500, 2'000));
    run.fleet.register_worker(worker, "desk", "ready", ++run.newest_incarnation);
}

void change_keys(soak_run& run, std::mt19937_64& /*random*/) {
    if (run.second_key_is_valid.exchange(false)) {
        run.fleet.declare({"club-key"});
        run.checker.record_revoked_key("second-key", steady::now());
    } else {
        run.fleet.declare({"club-key"});
    }
}

constexpr std::array faults{&pause_router, &kill_router,   &stop_router,  &disturb_worker, &disturb_worker,
                            &cut_streams,  &disturb_link,  &disturb_link, &disturb_store,  &drain_worker,
                            &change_keys,  &restore_store, &limit_worker};

/// Injects faults one after another. Two threads run this, so that faults overlap.
void run_faults(soak_run& run, std::uint64_t stream, steady::time_point end) {
    std::mt19937_64 random{run.seed * 7'919 + stream};
    // Only the first stream signals routers. Otherwise one stream could signal
    // a process that the other is restarting.
    constexpr std::size_t router_fault_count = 3;
    while (steady::now() < end) {
        const std::size_t first = stream == 0 ? 0 : router_fault_count;
        faults.at(first + random() % (faults.size() - first))(run, random);
        std::this_thread::sleep_for(pick_time(random, 0, 300));
    }
}

void clear_faults(soak_run& run) {
    const auto clear = [](const node& each) {
        set_proxy_fault(each, "{}");
        set_fault(each, "{}");
    };
    clear(run.fleet.store());
    std::ranges::for_each(run.fleet.plain_workers(), clear);
    std::ranges::for_each(run.fleet.engines(), clear);
}

/// Checks that every router serves every kind of request after the last fault.
void check_recovery(soak_run& run) {
    std::uint64_t attempt = 0;
    for (const node& router : run.fleet.routers()) {
        for (const char* const path : paths) {
            const bool served = wait_until(
                [&] {
                    const std::string id = "recovery-" + std::to_string(attempt++);
                    return run.fleet.ask(router, path, id).status == 200;
                },
                recovery_time);
            if (!served) {
                run.checker.add_violation(router.name + " does not serve " + path + " after the last fault");
            }
        }
    }
}

int report(const soak_run& run) {
    const auto violations = run.checker.violations();
    std::cout << "event=soak_ended seed=" << run.seed << " asked=" << run.checker.request_count()
              << " breaches=" << violations.size();
    for (const auto& [status, count] : run.checker.statuses()) {
        std::cout << " status_" << status << "=" << count;
    }
    std::cout << "\n";
    for (const std::string& each : violations) {
        std::cout << "event=promise_broken detail=\"" << each << "\"\n";
    }
    return violations.empty() ? 0 : 1;
}

int run_soak(std::uint64_t seed, std::chrono::seconds time, std::size_t routers, std::size_t callers) {
    soak_run run{seed, routers};
    run.fleet.declare({"club-key", "second-key"});
    if (!run.fleet.wait_ready(20s)) {
        std::cout << "event=soak_not_started seed=" << seed << "\n";
        return 1;
    }
    std::vector<std::jthread> threads;
    for (std::size_t caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&run, caller] { run_caller(run, caller); });
    }
    {
        const stop_on_exit stopped{run};
        {
            const auto end = steady::now() + time;
            std::jthread second_stream{[&run, end] { run_faults(run, 1, end); }};
            run_faults(run, 0, end);
        }
        clear_faults(run);
        check_recovery(run);
    }
    threads.clear();
    run.checker.check_run_counts(run.fleet.plain_workers(), run.fleet.engines());
    return report(run);
}

} // namespace

int main(int argc, char** argv) {
    const auto options = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    constexpr int exit_aborted = 3;
    try {
        return run_soak(static_cast<std::uint64_t>(options.at("--seed").asLong()),
                        std::chrono::seconds{options.at("--seconds").asLong()},
                        static_cast<std::size_t>(options.at("--routers").asLong()),
                        static_cast<std::size_t>(options.at("--callers").asLong()));
    } catch (const std::exception& error) {
        std::cout << "event=soak_aborted reason=\"" << error.what() << "\"\n";
        return exit_aborted;
    }
}
