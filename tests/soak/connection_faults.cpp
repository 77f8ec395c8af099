// Faults of what workers and callers do to the connections of streams.

#include "faults.hpp"
#include "soak_run.hpp"

#include <algorithm>
#include <array>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace citronwick::soak {

using namespace std::chrono_literals;
using harness::node;

namespace {

constexpr std::uint64_t max_events = 5; ///< before the last one
constexpr auto time_of_streams = 500ms;

/// Sets faults on about half of the engines, whose links pass resets on meanwhile.
/// @param draw returns the members of the fault of an engine
template <typename Draw>
void disturb_engines(soak_run& run, std::mt19937_64& random, Draw draw) {
    const std::scoped_lock used{run.engine_links};
    for (const node& engine : run.fleet.engines()) {
        run.set_link_fault(engine, R"({"pass_resets":1})");
        if (random() % 2 == 0) {
            run.set_worker_fault(engine, "{" + std::string{draw()} + "}");
        }
    }
    std::this_thread::sleep_for(pick_time(random, 300, 1'500));
    for (const node& engine : run.fleet.engines()) {
        run.set_worker_fault(engine, "{}");
    }
    std::this_thread::sleep_for(time_of_streams);
    for (const node& engine : run.fleet.engines()) {
        run.set_link_fault(engine, "{}");
    }
}

std::string draw_events(std::mt19937_64& random) {
    return std::to_string(1 + random() % max_events);
}

std::string draw_framing(std::mt19937_64& random) {
    return random() % 2 == 0 ? R"("framing":"none")" : R"("framing":"")";
}

/// Streams end by a reset, between two events or within one, with or without chunks.
void reset_streams(soak_run& run, std::mt19937_64& random) {
    disturb_engines(run, random, [&] {
        return std::string{random() % 2 == 0 ? R"("cut_after":)" : R"("close_after":)"} +
               draw_events(random) + R"(,"reset":1,)" + draw_framing(random);
    });
}

/// Streams begin before the body of the request is read, and their connections are reset within or
/// behind them.
void early_streams(soak_run& run, std::mt19937_64& random) {
    disturb_engines(run, random, [&] {
        constexpr std::array<std::string_view, 3> ends{R"("cut_after":)", R"("close_after":)",
                                                       R"("omit":0,"unused":)"};
        return R"("early":1,)" + std::string{ends.at(random() % ends.size())} + draw_events(random) + "," +
               draw_framing(random);
    });
}

/// Requests are refused before their bodies are read.
void early_refusals(soak_run& run, std::mt19937_64& random) {
    disturb_engines(run, random, [] { return R"("early":1,"mode":"shed")"; });
}

/// Requests run, and their connections are reset or closed without a response.
void lose_answers(soak_run& run, std::mt19937_64& random) {
    disturb_engines(run, random, [&] {
        return R"("mode":"lose_answer","times":)" + draw_events(random) +
               (random() % 2 == 0 ? R"(,"reset":1)" : "");
    });
}

/// Second responses come behind streams, or where the next response is due. Some streams are cut, so
/// that others go on beside them.
void surplus_streams(soak_run& run, std::mt19937_64& random) {
    disturb_engines(run, random, [&] {
        const std::string mode = random() % 2 == 0 ? "surplus" : "late_surplus";
        return R"("mode":")" + mode + "\"" +
               (random() % 4 == 0 ? R"(,"cut_after":)" + draw_events(random) : "");
    });
}

/// Callers leave within a stream and take it up elsewhere, at times at two routers at once or behind
/// an event before the last one that they have.
void leave_streams(soak_run& run, std::mt19937_64& random) {
    const auto gap = pick_time(random, 10, 60);
    for (const node& engine : run.fleet.engines()) {
        run.set_worker_fault(engine, R"({"event_gap_ms":)" + std::to_string(gap.count()) + "}");
    }
    run.max_patience_ms = static_cast<int>(8 * gap.count());
    std::this_thread::sleep_for(pick_time(random, 500, 2'000));
    run.max_patience_ms = 0;
    std::this_thread::sleep_for(time_of_streams);
    for (const node& engine : run.fleet.engines()) {
        run.set_worker_fault(engine, "{}");
    }
}

constexpr bool disturbs_upstreams = true;

constexpr std::array faults{
    fault{"reset_streams", &reset_streams, disturbs_upstreams},
    fault{"early_streams", &early_streams, disturbs_upstreams},
    fault{"early_refusals", &early_refusals, disturbs_upstreams},
    fault{"lose_answers", &lose_answers, disturbs_upstreams},
    fault{"surplus_streams", &surplus_streams, disturbs_upstreams},
    fault{"leave_streams", &leave_streams, disturbs_upstreams},
};

} // namespace

std::span<const fault> connection_faults() {
    return faults;
}

} // namespace citronwick::soak
