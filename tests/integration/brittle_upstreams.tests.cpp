// Proofs that refusals do not bring down upstreams that say that they are brittle.

#include "routed_fleet.hpp"
#include "waiting.hpp"

#include "citronwick/core/time.hpp"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <doctest/doctest.h>
#include <functional>
#include <mutex>
#include <ranges>
#include <thread>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

constexpr duration run_time = 15s;
constexpr std::chrono::milliseconds service_time{100};

/// Workers of one service.
struct worker_group {
    std::size_t count;
    int slots; ///< of each

    /// Requests a second that all of them together can run.
    double capacity() const {
        return static_cast<double>(count) * slots / std::chrono::duration<double>{service_time}.count();
    }
    /// Requests that they can run in the whole time.
    double runnable() const { return capacity() * std::chrono::duration<double>{run_time}.count(); }
    /// Ends of processes that the users allow in one time: 2, and a tenth of the upstreams.
    int allowed_ends() const { return 2 + static_cast<int>(count / 10); }
};

constexpr worker_group workers{.count = 4, .slots = 6};
/// Workers with fewer slots than there are routers before them.
constexpr worker_group few_slots{.count = 2, .slots = 3};
constexpr std::size_t many_routers = 9;
constexpr auto restart_delay = 2s;
/// Time since the start of the requests after which routers are killed.
constexpr auto kill_delay = 5s;
/// Time in which a refusal counts as given at once.
constexpr auto at_once = 500ms;

std::string brittle_fault(const worker_group& group, std::chrono::milliseconds shrinks_after) {
    return R"({"brittle":"5","room":24,"later_room":3,"slots":)" + std::to_string(group.slots) +
           R"(,"shrinks_after_ms":)" + std::to_string(shrinks_after.count()) + R"(,"delay_ms":)" +
           std::to_string(service_time.count()) + "}";
}

/// What callers got.
struct totals {
    int served = 0;
    int refused_at_once = 0; ///< 503 with a time to return
    int failed = 0;          ///< all others
};

/// Restarts workers whose processes end, some seconds later.
class worker_supervisor {
public:
    worker_supervisor(routed_fleet& fleet, const worker_group& group)
        : thread_{[this, &fleet, group](const std::stop_token& stop) { run(fleet, group, stop); }} {}

    int ends() const { return ends_; }

private:
    void run(routed_fleet& fleet, const worker_group& group, const std::stop_token& stop) {
        std::vector<std::pair<time_point, node*>> ended;
        std::int64_t incarnation = 1;
        while (!stop.stop_requested()) {
            for (node& worker : fleet.plain_workers()) {
                const bool is_known =
                    std::ranges::find(ended, &worker, &std::pair<time_point, node*>::second) != ended.end();
                if (!is_known && !worker.process->is_running()) {
                    ++ends_;
                    ended.emplace_back(clock::now(), &worker);
                }
            }
            std::erase_if(ended, [&](const auto& each) {
                if (clock::now() - each.first < restart_delay) {
                    return false;
                }
                fleet.restart_worker(*each.second, "desk", ++incarnation, brittle_fault(group, 0ms));
                return true;
            });
            std::this_thread::sleep_for(10ms);
        }
    }

    std::atomic<int> ends_{0};
    std::jthread thread_;
};

/// Asks one router after the other at a rate, whether or not earlier requests were answered.
/// @param asked number of routers that are asked, the first ones
/// @param rate requests a second as a multiple of the capacity, at a time since the start
void ask_at_rate(routed_fleet& fleet, const worker_group& group, const std::function<double(duration)>& rate,
                 std::size_t asked, totals& counted) {
    constexpr std::size_t callers = 300;
    std::vector<duration> arrivals;
    for (duration at{0}; at < run_time;) {
        arrivals.push_back(at);
        const std::chrono::duration<double> interval{1.0 / (group.capacity() * rate(at))};
        at += std::chrono::duration_cast<duration>(interval);
    }
    const auto start = clock::now();
    std::atomic<std::size_t> next{0};
    std::mutex mutex;
    std::vector<std::jthread> threads;
    for (std::size_t index = 0; index < callers; ++index) {
        threads.emplace_back([&] {
            for (std::size_t number = next++; number < arrivals.size(); number = next++) {
                std::this_thread::sleep_until(start + arrivals[number]);
                const node& router = fleet.routers()[number % asked];
                const auto asked_at = clock::now();
                const std::string name = std::to_string(number);
                // Requests that are alike would be taken for the cause of several ends.
                const auto answer =
                    fleet.ask(router, (number % 4 == 0 ? "/book/" : "/read/") + name, "b" + name);
                const bool is_at_once = clock::now() - asked_at < at_once;
                const std::scoped_lock lock{mutex};
                if (answer.status == 200) {
                    ++counted.served;
                } else if (answer.status == 503 && is_at_once && !answer.header("retry-after").empty()) {
                    ++counted.refused_at_once;
                } else {
                    ++counted.failed;
                }
            }
        });
    }
}

/// Plays a time in which all workers are brittle.
/// @param killed number of routers that callers do not ask and that are killed meanwhile
/// @return ends of their processes
int play(std::size_t routers, const std::function<double(duration)>& rate, totals& counted,
         const worker_group& group = workers, std::size_t killed = 0) {
    routed_fleet fleet{
        {.routers = routers, .plain_workers = group.count, .engines = 0, .worker_slots = group.slots}};
    REQUIRE(fleet.wait_ready());
    set_faults(fleet.plain_workers(), brittle_fault(group, 3s));
    const worker_supervisor supervisor{fleet, group};
    const std::jthread killer{[&] {
        std::this_thread::sleep_for(kill_delay);
        for (node& router : fleet.routers() | std::views::drop(routers - killed)) {
            router.process->kill();
        }
    }};
    ask_at_rate(fleet, group, rate, routers - killed, counted);
    MESSAGE("ends " << supervisor.ends() << ", served " << counted.served << ", refused at once "
                    << counted.refused_at_once << ", failed " << counted.failed);
    return supervisor.ends();
}

double burst_rate(duration at) {
    return at % 5s < 3s ? 0.5 : 1.5;
}

} // namespace

TEST_CASE("proof: brittle upstreams stay up under more requests than they can run") {
    totals counted;
    CHECK(play(3, [](duration) { return 1.6; }, counted) <= workers.allowed_ends());
    CHECK(counted.served >= 0.85 * workers.runnable());
    CHECK(counted.failed <= 0.01 * (counted.served + counted.refused_at_once));
}

TEST_CASE("proof: brittle upstreams stay up under bursts, and what they can run is served") {
    totals counted;
    CHECK(play(3, burst_rate, counted) <= workers.allowed_ends());
    CHECK(counted.served >= 0.8 * (0.5 * 0.6 + 1.0 * 0.4) * workers.runnable());
    CHECK(counted.failed <= 0.01 * (counted.served + counted.refused_at_once));
}

TEST_CASE("proof: brittle upstreams serve nearly all requests below their capacity") {
    totals counted;
    CHECK(play(3, [](duration) { return 0.7; }, counted) == 0);
    CHECK(counted.served >= 0.99 * 0.7 * workers.runnable());
}

TEST_CASE("proof: brittle upstreams stay up behind more routers than they have slots") {
    totals counted;
    CHECK(play(
              9, [](duration at) { return at < run_time / 2 ? burst_rate(at) : 1.6; }, counted) <=
          workers.allowed_ends());
    CHECK(counted.failed <= 0.01 * (counted.served + counted.refused_at_once));
    CHECK(counted.served >= 0.6 * workers.runnable());
}

TEST_CASE("proof: brittle upstreams with fewer slots than routers serve requests below their capacity") {
    totals counted;
    CHECK(play(many_routers, [](duration) { return 0.5; }, counted, few_slots) == 0);
    CHECK(counted.served >= 0.99 * 0.5 * few_slots.runnable());
}

TEST_CASE("proof: brittle upstreams with fewer slots than routers stay up above their capacity") {
    totals counted;
    CHECK(play(many_routers, [](duration) { return 1.6; }, counted, few_slots) <= few_slots.allowed_ends());
    CHECK(counted.served >= 0.85 * few_slots.runnable());
    CHECK(counted.failed <= 0.01 * (counted.served + counted.refused_at_once));
}

TEST_CASE("proof: routers that were killed with their places do not keep others from brittle upstreams") {
    totals counted;
    CHECK(play(many_routers, [](duration) { return 0.3; }, counted, few_slots, 3) == 0);
    CHECK(counted.served >= 0.98 * 0.3 * few_slots.runnable());
}
