// Faults that replace, freeze or exchange the processes of upstreams and of the store.

#include "faults.hpp"
#include "soak_run.hpp"

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <string>
#include <thread>

namespace citronwick::soak {

using namespace std::chrono_literals;
using harness::node;

namespace {

constexpr std::uint64_t max_events = 5; ///< before the last one
constexpr int max_entry_delay_ms = 800; ///< until the store lists a worker that has started

node& pick_engine(soak_run& run, std::mt19937_64& random) {
    return run.fleet.engines()[random() % run.fleet.engines().size()];
}

/// Streams of all engines take longer, so that they run while a fault strikes, and engines cut theirs
/// at times, so that streams go on elsewhere meanwhile.
void slow_streams(soak_run& run, std::mt19937_64& random) {
    const auto gap = pick_time(random, 20, 120);
    for (const node& engine : run.fleet.engines()) {
        const auto cut_after = random() % 2 == 0 ? 0 : 1 + random() % max_events;
        run.set_worker_fault(engine, R"({"event_gap_ms":)" + std::to_string(gap.count()) +
                                         R"(,"cut_after":)" + std::to_string(cut_after) + "}");
    }
}

void end_slow_streams(soak_run& run) {
    for (const node& engine : run.fleet.engines()) {
        run.set_worker_fault(engine, "{}");
    }
}

/// Engines are replaced by processes of the other version under new identifiers: the new one starts
/// first, the old one drains.
void release_engines(soak_run& run, std::mt19937_64& random) {
    slow_streams(run, random);
    const std::size_t count = 1 + random() % (run.fleet.engines().size() / 2);
    const std::size_t first = random();
    for (std::size_t index = first; index < first + count; ++index) {
        node& engine = run.fleet.engines()[index % run.fleet.engines().size()];
        run.replace_engine(engine, pick_time(random, 0, 600));
        std::this_thread::sleep_for(pick_time(random, 0, 300));
    }
    end_slow_streams(run);
}

/// An engine starts again under its identifier and address as the other version.
void change_version(soak_run& run, std::mt19937_64& random) {
    slow_streams(run, random);
    std::this_thread::sleep_for(pick_time(random, 50, 300));
    node& engine = pick_engine(run, random);
    run.restart_as_other_version(engine, pick_time(random, 0, max_entry_delay_ms));
    std::this_thread::sleep_for(pick_time(random, 100, 800));
    end_slow_streams(run);
}

/// An engine crashes for good, and its address goes to a worker of another service for a while.
void reuse_address(soak_run& run, std::mt19937_64& random) {
    slow_streams(run, random);
    std::this_thread::sleep_for(pick_time(random, 50, 300));
    node& engine = pick_engine(run, random);
    auto& others = run.fleet.plain_workers();
    run.give_address_to(engine, others[random() % others.size()]);
    std::this_thread::sleep_for(pick_time(random, 100, 2'000));
    run.restart_engine(engine);
    end_slow_streams(run);
}

/// An engine, or a plain worker, stands still.
void freeze_worker(soak_run& run, std::mt19937_64& random) {
    slow_streams(run, random);
    auto& workers = random() % 4 == 0 ? run.fleet.plain_workers() : run.fleet.engines();
    const std::size_t index = random() % workers.size();
    run.freeze_worker(workers[index], pick_time(random, 100, 2'500));
    end_slow_streams(run);
}

/// The store stands still.
void freeze_store(soak_run& run, std::mt19937_64& random) {
    const node& store = run.fleet.store();
    store.process->signal(SIGSTOP);
    std::this_thread::sleep_for(pick_time(random, 500, 6'000));
    store.process->signal(SIGCONT);
    std::this_thread::sleep_for(pick_time(random, 0, 500));
}

/// Some routers, but not all, lose the store, by dropped packets or by resets.
void cut_from_store(soak_run& run, std::mt19937_64& random) {
    const std::size_t first = random() % run.routers.size();
    const std::size_t count = 1 + random() % std::max<std::size_t>(run.routers.size() - 1, 1);
    boost::json::array sources;
    for (std::size_t index = first; index < first + count; ++index) {
        sources.emplace_back(run.fleet.routers()[index % run.routers.size()].source_address);
    }
    const char* const kind = random() % 2 == 0 ? "dropped_sources" : "refused_sources";
    run.set_link_fault(run.fleet.store(), boost::json::serialize(boost::json::object{{kind, sources}}));
    std::this_thread::sleep_for(pick_time(random, 500, 6'000));
    run.set_link_fault(run.fleet.store(), "{}");
}

constexpr bool disturbs_upstreams = true;

constexpr std::array faults{
    fault{"release_engines", &release_engines, disturbs_upstreams},
    fault{"change_version", &change_version, disturbs_upstreams},
    fault{"reuse_address", &reuse_address, disturbs_upstreams},
    fault{"freeze_worker", &freeze_worker, disturbs_upstreams},
    fault{"freeze_store", &freeze_store},
    fault{"cut_from_store", &cut_from_store},
};

} // namespace

std::span<const fault> release_faults() {
    return faults;
}

} // namespace citronwick::soak
