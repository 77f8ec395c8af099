#include "disturbance.hpp"
#include "faults.hpp"
#include "held_callers.hpp"
#include "soak_run.hpp"

#include <algorithm>
#include <array>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <thread>

namespace citronwick::soak {

using namespace std::chrono_literals;
using harness::held_callers;
using harness::node;

namespace {

constexpr std::uint64_t max_events = 5; ///< before the last one
constexpr std::array formats{"", "compact", "crlf", "cr"};

std::string draw_format(std::mt19937_64& random) {
    return R"("event_format":")" + std::string{formats.at(random() % formats.size())} + "\"";
}

/// Longest time that the streams take that began with a fault.
std::chrono::milliseconds time_of_streams(int event_gap_ms) {
    return (max_events + 1) * std::chrono::milliseconds{event_gap_ms} + 300ms;
}

void clear_engines(soak_run& run) {
    std::ranges::for_each(run.fleet.engines(),
                          [&run](const node& engine) { run.set_worker_fault(engine, "{}"); });
}

/// Kills an engine while its streams run, which may have neither length nor chunks.
void kill_engine(soak_run& run, std::mt19937_64& random) {
    constexpr std::array framings{"", "none"};
    node& engine = run.fleet.engines()[random() % run.fleet.engines().size()];
    const auto gap = static_cast<int>(pick_time(random, 10, 120).count());
    const std::scoped_lock used{run.engine_links};
    run.set_worker_fault(engine, R"({"framing":")" + std::string{framings.at(random() % framings.size())} +
                                     R"(","event_gap_ms":)" + std::to_string(gap) + "," +
                                     draw_format(random) + "}");
    std::this_thread::sleep_for(pick_time(random, 200, 1'000));
    run.kill_engine(engine);
    std::this_thread::sleep_for(pick_time(random, 0, 500));
    run.restart_engine(engine);
}

/// Kills an engine under resumable streams without length or chunks. Then all engines are sound, and no
/// response of theirs may be incomplete, whether it may be resumed or not.
void kill_beside_unframed(soak_run& run, std::mt19937_64& random) {
    node& engine = run.fleet.engines()[random() % run.fleet.engines().size()];
    const std::scoped_lock used{run.engine_links};
    {
        const disturbance marked{run.engine_disturbances};
        run.set_worker_fault(engine, R"({"framing":"none","event_gap_ms":100})");
        std::this_thread::sleep_for(pick_time(random, 300, 800));
        run.kill_engine(engine);
        std::this_thread::sleep_for(pick_time(random, 0, 500));
        run.restart_engine(engine);
        std::this_thread::sleep_for(time_of_streams(10));
    }
    // Resumable streams have chunks meanwhile: each would spend the retry budget for the proof of its end.
    for (const node& each : run.fleet.engines()) {
        run.set_worker_fault(each, R"({"framing":"none","only_path":"/guide/"})");
    }
    std::this_thread::sleep_for(pick_time(random, 2'000, 4'000));
    clear_engines(run);
}

/// Streams are closed between two events, which their framing shows.
void close_streams(soak_run& run, std::mt19937_64& random) {
    for (const node& engine : run.fleet.engines()) {
        if (random() % 2 == 0) {
            run.set_worker_fault(engine, R"({"close_after":)" + std::to_string(1 + random() % max_events) +
                                             "," + draw_format(random) + "}");
        }
    }
    std::this_thread::sleep_for(pick_time(random, 200, 1'000));
    clear_engines(run);
}

/// Streams without length or chunks. Those that may be resumed are closed between two events at times.
void send_unframed(soak_run& run, std::mt19937_64& random, bool closes) {
    const std::scoped_lock used{run.engine_links};
    for (const node& engine : run.fleet.engines()) {
        const auto events = closes ? random() % (max_events + 1) : 0;
        run.set_worker_fault(engine, R"({"framing":"none","close_after":)" + std::to_string(events) +
                                         (closes ? R"(,"only_path":"/quote/",)" : ",") + draw_format(random) +
                                         "}");
    }
    std::this_thread::sleep_for(pick_time(random, 200, 1'000));
    clear_engines(run);
    std::this_thread::sleep_for(time_of_streams(10));
}

void unframed_streams(soak_run& run, std::mt19937_64& random) {
    send_unframed(run, random, false);
}

/// Not drawn: a router whose retry budget is used up cannot tell the end of such a stream.
void close_unframed_streams(soak_run& run, std::mt19937_64& random) {
    send_unframed(run, random, true);
}

/// Streams are cut, and engines that are to go on with them do something else at times.
void resume_wrongly(soak_run& run, std::mt19937_64& random, std::span<const std::string_view> resumptions) {
    for (const node& engine : run.fleet.engines()) {
        run.set_worker_fault(engine, R"({"cut_after":)" + std::to_string(random() % (max_events + 1)) + "," +
                                         std::string{resumptions[random() % resumptions.size()]} + "," +
                                         draw_format(random) + "}");
    }
    std::this_thread::sleep_for(pick_time(random, 200, 1'500));
    clear_engines(run);
}

/// Resumed streams begin anew, or omit events where the router can know that identifiers are consecutive.
void resume_elsewhere(soak_run& run, std::mt19937_64& random) {
    constexpr std::array<std::string_view, 4> resumptions{
        R"("begin_anew":1)", R"("omit_if_known":1,"omit":1)", R"("omit_if_known":1,"omit":2)", R"("omit":0)"};
    resume_wrongly(run, random, resumptions);
}

/// Resumed streams omit events, also behind a single one and where their callers take them up.
void omit_resumed(soak_run& run, std::mt19937_64& random) {
    constexpr std::array<std::string_view, 3> resumptions{R"("omit":1)", R"("omit":2)", R"("omit":0)"};
    resume_wrongly(run, random, resumptions);
}

std::string make_unfinished_request(std::size_t body_bytes) {
    return "POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nX-Api-Key: club-key\r\n"
           "Citronwick-Attempt-Id: unfinished\r\nContent-Length: " +
           std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes - 1, 'x');
}

/// Bodies that their callers do not finish use up a router's buffers while streams run whose
/// segments end within events. One router of a run gets all of them, as in unfinished_bodies.
void fill_buffers(soak_run& run, std::mt19937_64& random) {
    constexpr std::size_t large_bytes = 1'000'000;
    constexpr std::size_t medium_bytes = 60'000;
    constexpr std::size_t small_bytes = 3'000;
    constexpr std::size_t callers = 250;
    constexpr std::size_t small_callers = 60;
    constexpr int bursts = 12;
    router_supervisor& router = run.routers[run.options.seed % run.routers.size()];
    const std::scoped_lock used{router.in_use()};
    const disturbance marked{router.planned_stops()};
    for (const node& engine : run.fleet.engines()) {
        run.set_worker_fault(engine, R"({"event_gap_ms":60,"segment_bytes":)" +
                                         std::to_string(20 + random() % 60) + "}");
    }
    held_callers large{router.address(), run.options.limits_memory ? 0 : callers / 2,
                       make_unfinished_request(large_bytes)};
    large.answers(500ms); // sends meanwhile
    held_callers medium{router.address(), callers, make_unfinished_request(medium_bytes)};
    medium.answers(400ms);
    // Bursts are short, so that a stream may go on elsewhere once there is memory again.
    for (int burst = 0; burst < bursts; ++burst) {
        std::this_thread::sleep_for(pick_time(random, 50, 200));
        // In what the others left, and behind the requests for streams that have come since.
        held_callers small{router.address(), small_callers, make_unfinished_request(small_bytes)};
        small.answers(pick_time(random, 30, 80));
    }
    clear_engines(run);
}

constexpr bool disturbs_all = false;
constexpr bool disturbs_engines = true;

constexpr std::array faults{
    fault{"kill_engine", &kill_engine, disturbs_all, disturbs_engines},
    fault{"kill_engine", &kill_engine, disturbs_all, disturbs_engines},
    fault{"close_streams", &close_streams, disturbs_all, disturbs_engines},
    fault{"unframed_streams", &unframed_streams, disturbs_all, disturbs_engines},
    fault{"resume_elsewhere", &resume_elsewhere, disturbs_all, disturbs_engines},
    fault{"full_buffers", &fill_buffers, disturbs_all, disturbs_engines},
    fault{"close_unframed_streams", &close_unframed_streams, disturbs_all, disturbs_engines},
    fault{"omit_resumed", &omit_resumed, disturbs_all, disturbs_engines},
    fault{"kill_beside_unframed", &kill_beside_unframed},
};
static_assert(faults.size() > drawn_stream_fault_count);

} // namespace

std::span<const fault> stream_faults() {
    return faults;
}

} // namespace citronwick::soak
