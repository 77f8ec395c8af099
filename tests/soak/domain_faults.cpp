// Orders of operators about failure domains, and upstreams that come back cold.

#include "faults.hpp"
#include "soak_run.hpp"

#include <algorithm>
#include <array>
#include <mutex>
#include <string>
#include <thread>

namespace citronwick::soak {

using namespace std::chrono_literals;
using harness::node;
using steady = std::chrono::steady_clock;

namespace {

/// Time after which all routers that run know an order or an entry.
constexpr auto known_after = 1s;

/// Arrivals of requests at a worker between two times, in milliseconds of the steady clock.
std::vector<std::int64_t> arrivals_between(const node& worker, steady::time_point begin,
                                           steady::time_point end) {
    auto arrivals = harness::arrivals_at(worker);
    std::erase_if(arrivals, [&](std::int64_t at) {
        return at < begin.time_since_epoch() / 1ms || at >= end.time_since_epoch() / 1ms;
    });
    return arrivals;
}

/// Nothing is to be sent to the workers of a failure domain for a while.
void evacuate(soak_run& run, std::mt19937_64& random) {
    const std::string domain = harness::domain_name(random() % soak_worker_domains);
    const std::string key = "op/evacuate/" + domain;
    run.fleet.put_key(key, "");
    std::this_thread::sleep_for(known_after);
    const auto begin = steady::now();
    std::this_thread::sleep_for(pick_time(random, 300, 4'000));
    const auto end = steady::now();
    run.fleet.remove_key(key);
    for (auto* const workers : {&run.fleet.plain_workers(), &run.fleet.engines()}) {
        for (const node& worker : *workers) {
            const auto arrived = arrivals_between(worker, begin, end).size();
            if (worker.failure_domain == domain && arrived > 0) {
                run.checker.add_violation("EVAC: " + worker.name + " got " + std::to_string(arrived) +
                                          " requests while its failure domain was evacuated");
            }
        }
    }
    std::this_thread::sleep_for(known_after);
}

/// A plain worker says that it is cold for some seconds.
void cool_worker(soak_run& run, std::mt19937_64& random) {
    constexpr std::int64_t window_ms = 1'000;
    constexpr double overshoot = 1.5;
    constexpr double slack = 5.0;
    node& worker = run.fleet.plain_workers()[random() % run.fleet.plain_workers().size()];
    const auto cold_time = pick_time(random, 2'000, 6'000);
    run.fleet.set_cold_time(worker, cold_time);
    run.fleet.register_worker(worker, "desk");
    const auto begin = steady::now();
    std::this_thread::sleep_for(cold_time);
    const auto arrived = arrivals_between(worker, begin + known_after, begin + cold_time);
    for (const std::int64_t first : arrived) {
        const auto count = std::ranges::count_if(
            arrived, [first](std::int64_t at) { return at >= first && at < first + window_ms; });
        if (static_cast<double>(count) > soak_cold_rate * overshoot + slack) {
            run.checker.add_violation("FAILBACK: " + worker.name + " got " + std::to_string(count) +
                                      " requests in a second while it was cold");
            break;
        }
    }
    run.fleet.set_cold_time(worker, 0ms);
    run.fleet.register_worker(worker, "desk");
}

constexpr std::array faults{
    fault{"evacuate", &evacuate},
    fault{"cool_worker", &cool_worker},
};

} // namespace

std::span<const fault> domain_faults() {
    return faults;
}

} // namespace citronwick::soak
