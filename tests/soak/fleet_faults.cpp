#include "faults.hpp"
#include "node.hpp"
#include "soak_run.hpp"

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <iterator>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace citronwick::soak {

using namespace std::chrono_literals;
using namespace citronwick::harness;
using steady = std::chrono::steady_clock;

namespace {

router_supervisor& pick_router(soak_run& run, std::mt19937_64& random) {
    return run.routers[random() % run.routers.size()];
}

node& pick_worker(soak_run& run, std::mt19937_64& random) {
    auto& workers = random() % 2 == 0 ? run.fleet.plain_workers() : run.fleet.engines();
    return workers[random() % workers.size()];
}

void pause_router(soak_run& run, std::mt19937_64& random) {
    router_supervisor& router = pick_router(run, random);
    const std::scoped_lock used{router.in_use()};
    const disturbance marked{router.interruptions()};
    router.signal(SIGSTOP);
    std::this_thread::sleep_for(pick_time(random, 200, 6'000));
    router.signal(SIGCONT);
}

void kill_router(soak_run& run, std::mt19937_64& random) {
    router_supervisor& router = pick_router(run, random);
    const std::scoped_lock used{router.in_use()};
    const disturbance marked{router.interruptions()};
    router.kill();
    std::this_thread::sleep_for(pick_time(random, 50, 1'000));
    router.start();
}

void stop_router(soak_run& run, std::mt19937_64& random) {
    router_supervisor& router = pick_router(run, random);
    const std::scoped_lock used{router.in_use()};
    const disturbance marked{router.planned_stops()};
    router.stop();
    router.start();
}

void disturb_worker(soak_run& run, std::mt19937_64& random) {
    constexpr std::array faults{"lose_answer", "truncate", "garbage", "error",
                                "shed",        "extra",    "status",  "silent"};
    constexpr std::array statuses{408, 421, 429, 503, 404, 418, 425, 520, 529};
    const node& worker = pick_worker(run, random);
    const auto drawn = random(); // for fault and status, so that a seed keeps its sequence of faults
    const auto status = statuses.at(drawn / faults.size() % statuses.size());
    run.set_worker_fault(worker, std::string{R"({"mode":")"} + faults.at(drawn % faults.size()) +
                                     R"(","times":)" + std::to_string(1 + random() % 10) + R"(,"status":)" +
                                     std::to_string(status) + "}");
    std::this_thread::sleep_for(pick_time(random, 200, 1'500));
    run.set_worker_fault(worker, "{}");
}

void cut_streams(soak_run& run, std::mt19937_64& random) {
    const node& worker = run.fleet.engines()[random() % run.fleet.engines().size()];
    constexpr std::array formats{"", "compact", "crlf", "cr"};
    constexpr std::uint64_t max_events = 5;
    const auto drawn = random(); // for both settings, so that a seed keeps its sequence of faults
    run.set_worker_fault(worker, R"({"cut_after":)" + std::to_string(1 + drawn % max_events) +
                                     R"(,"event_format":")" +
                                     formats.at(drawn / max_events % formats.size()) + "\"}");
    std::this_thread::sleep_for(pick_time(random, 200, 1'500));
    run.set_worker_fault(worker, "{}");
}

void disturb_link(soak_run& run, std::mt19937_64& random) {
    constexpr std::array faults{R"({"blackhole":1})",       R"({"refuse":1})",        R"({"drop_answers":1})",
                                R"({"cut_after_down":60})", R"({"cut_after_up":60})", R"({"delay_ms":80})"};
    const bool is_store = random() % 4 == 0;
    const node& target = is_store ? run.fleet.store() : pick_worker(run, random);
    const char* const drawn = faults.at(random() % faults.size());
    const auto time = pick_time(random, 200, 2'000);
    std::unique_lock used{run.engine_links, std::defer_lock};
    if (target.name.starts_with("engine-") && !used.try_lock()) {
        return;
    }
    run.set_link_fault(target, drawn);
    std::this_thread::sleep_for(time);
    run.set_link_fault(target, "{}");
}

/// Cuts some routers, but not all, from all workers: packets are dropped, connections are reset, or
/// open ones live on while new ones are reset.
void cut_from_upstreams(soak_run& run, std::mt19937_64& random) {
    constexpr std::array kinds{"dropped_sources", "refused_sources", "newly_refused_sources"};
    const std::string kind = kinds.at(random() % kinds.size());
    const std::size_t count = 1 + random() % std::max<std::size_t>(run.routers.size() - 1, 1);
    const std::size_t first = random() % run.routers.size();
    const auto time = pick_time(random, 500, 6'000);
    const std::unique_lock used{run.engine_links, std::try_to_lock};
    if (!used.owns_lock()) {
        return;
    }
    boost::json::array sources;
    for (std::size_t index = first; index < first + count; ++index) {
        sources.emplace_back(run.fleet.routers()[index % run.routers.size()].source_address);
    }
    const auto set_faults = [&run](const std::string& fault) {
        for (auto* const workers : {&run.fleet.plain_workers(), &run.fleet.engines()}) {
            std::ranges::for_each(*workers, [&](const node& each) { run.set_link_fault(each, fault); });
        }
    };
    set_faults(boost::json::serialize(boost::json::object{{kind, sources}}));
    std::this_thread::sleep_for(time);
    set_faults("{}");
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
    run.set_worker_fault(worker,
                         std::string{R"({"limit":")"} + limits.at(random() % limits.size()) + R"("})");
    std::this_thread::sleep_for(pick_time(random, 500, 4'000));
    run.set_worker_fault(worker, "{}");
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

/// All workers refuse a third of the requests, and send copies of the refusals before later responses.
void copy_refusals(soak_run& run, std::mt19937_64& random) {
    const auto set_all = [&run](const std::string& fault) {
        const auto set = [&](const node& worker) { run.set_worker_fault(worker, fault); };
        std::ranges::for_each(run.fleet.plain_workers(), set);
        std::ranges::for_each(run.fleet.engines(), set);
    };
    set_all(R"({"mode":"copy_refusals"})");
    std::this_thread::sleep_for(pick_time(random, 500, 3'000));
    set_all("{}");
}

/// Links between some routers and some workers are silent and go on: bytes are kept back, and packets
/// of the routers are lost at times, so that connects hang.
void silence_links(soak_run& run, std::mt19937_64& random) {
    boost::json::array sources;
    const std::size_t first = random() % run.routers.size();
    const std::size_t count = 1 + random() % run.routers.size();
    for (std::size_t index = first; index < first + count; ++index) {
        sources.emplace_back(run.fleet.routers()[index % run.routers.size()].source_address);
    }
    boost::json::object fault{{"held_sources", sources}};
    if (random() % 2 == 0) {
        fault["dropped_sources"] = sources;
    }
    std::vector<const node*> workers;
    for (const auto* const each : {&run.fleet.plain_workers(), &run.fleet.engines()}) {
        std::ranges::transform(*each, std::back_inserter(workers),
                               [](const node& worker) { return &worker; });
    }
    std::erase_if(workers, [&](const node*) { return random() % 2 == 0; });
    const auto time = pick_time(random, 500, 1'900);
    const auto set_faults = [&](const std::string& json) {
        std::ranges::for_each(workers, [&](const node* worker) { run.set_link_fault(*worker, json); });
    };
    set_faults(boost::json::serialize(fault));
    std::this_thread::sleep_for(time);
    set_faults("{}");
}

constexpr bool disturbs_upstreams = true;

constexpr std::array faults{
    fault{"pause_router", &pause_router},
    fault{"kill_router", &kill_router},
    fault{"stop_router", &stop_router},
    fault{"disturb_worker", &disturb_worker, disturbs_upstreams},
    fault{"disturb_worker", &disturb_worker, disturbs_upstreams},
    fault{"cut_streams", &cut_streams, disturbs_upstreams},
    fault{"disturb_link", &disturb_link, disturbs_upstreams},
    fault{"disturb_link", &disturb_link, disturbs_upstreams},
    fault{.name = "disturb_store", .inject = &disturb_store, .disturbs_store = true},
    fault{"drain_worker", &drain_worker, disturbs_upstreams},
    fault{"change_keys", &change_keys},
    fault{.name = "restore_store", .inject = &restore_store, .disturbs_store = true},
    fault{"limit_worker", &limit_worker, disturbs_upstreams},
    fault{"cut_from_upstreams", &cut_from_upstreams, disturbs_upstreams},
};

constexpr std::array faults_by_name{
    fault{"copy_refusals", &copy_refusals},
    fault{.name = "silent_links", .inject = &silence_links, .silences_links = true},
};

} // namespace

std::span<const fault> fleet_faults() {
    return faults;
}

std::span<const fault> separate_faults() {
    return faults_by_name;
}

std::chrono::milliseconds pick_time(std::mt19937_64& random, int least, int most) {
    return std::chrono::milliseconds{std::uniform_int_distribution<int>{least, most}(random)};
}

} // namespace citronwick::soak
