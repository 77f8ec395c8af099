#include "soak_run.hpp"

#include "keep_alive_client.hpp"
#include "process_usage.hpp"
#include "waiting.hpp"

#include <algorithm>
#include <memory>
#include <optional>
#include <random>
#include <thread>
#include <utility>
#include <vector>

namespace citronwick::soak {

using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

namespace {

constexpr std::chrono::milliseconds router_grace = 4s;
constexpr std::size_t max_body_bytes = std::size_t{1} << 20U;
/// Time after which callers give up.
constexpr std::chrono::milliseconds caller_timeout = 6s;
/// What a disturbance of upstreams may still cause after its end.
constexpr auto upstream_recovery_time = 1s;

harness::routed_options make_fleet_options(const soak_options& options) {
    return {.routers = options.routers,
            .plain_workers = 3,
            .engines = 3,
            .key_lifetime = key_lifetime,
            .proxies = true,
            .shutdown_settings = "grace = \"" + std::to_string(router_grace.count()) + "ms\"\n",
            .body_bytes = max_body_bytes};
}

/// Counts a request as in flight during its lifetime.
class in_flight_counter {
public:
    explicit in_flight_counter(std::atomic<int>& count) : count_{count} { ++count_; }
    in_flight_counter(const in_flight_counter&) = delete;
    in_flight_counter& operator=(const in_flight_counter&) = delete;
    ~in_flight_counter() { --count_; }

private:
    std::atomic<int>& count_;
};

/// Process of a router and the processor time it had used.
struct processor_sample {
    pid_t process = 0;
    std::optional<std::chrono::milliseconds> used;
};

processor_sample sample_processor(const router_supervisor& router) {
    const pid_t process = router.process_id();
    return {process, processor_time(process)};
}

} // namespace

soak_run::soak_run(soak_options chosen) : options{std::move(chosen)}, fleet{make_fleet_options(options)} {
    for (std::size_t index = 0; index < options.routers; ++index) {
        routers.emplace_back(fleet, index,
                             router_bounds{.memory_bytes = options.memory_bytes, .grace = router_grace},
                             checker, options.seed, options.only.empty());
    }
}

void soak_run::count_fault(const std::string& name) {
    const std::scoped_lock lock{mutex_};
    ++fault_counts_[name];
}

std::map<std::string, std::size_t> soak_run::fault_counts() const {
    const std::scoped_lock lock{mutex_};
    return fault_counts_;
}

void soak_run::check_idle_routers() {
    constexpr auto span = 1s;
    constexpr std::chrono::milliseconds max_used = 500ms;
    const load_pause paused{*this};
    if (requests_in_flight != 0) {
        return;
    }
    count_fault("idle_check");
    std::vector<processor_sample> before;
    std::ranges::transform(routers, std::back_inserter(before), &sample_processor);
    std::this_thread::sleep_for(span);
    for (std::size_t index = 0; index < routers.size(); ++index) {
        const auto [process, used] = sample_processor(routers[index]);
        if (process == before[index].process && used && before[index].used &&
            *used - *before[index].used > max_used) {
            checker.add_violation(routers[index].name() + " used " +
                                  std::to_string((*used - *before[index].used).count()) +
                                  " ms of processor time in 1 s without load");
        }
    }
}

load_pause::load_pause(soak_run& run) : run_{run} {
    ++run_.load_pauses;
    harness::wait_until([this] { return run_.requests_in_flight == 0; }, caller_timeout + 1s);
}

load_pause::~load_pause() {
    --run_.load_pauses;
}

void run_caller(soak_run& run, std::size_t caller) {
    std::mt19937_64 random{run.options.seed * 1'000 + caller};
    router_supervisor& router = run.routers[caller % run.routers.size()];
    endpoint peer;
    std::unique_ptr<keep_alive_client> client;
    while (!run.stopping) {
        if (run.load_pauses > 0) {
            std::this_thread::sleep_for(5ms);
            continue;
        }
        const in_flight_counter counted{run.requests_in_flight};
        // An open connection is used until it ends, also if the router's address has changed.
        if (!client || (!client->is_open() && peer != router.address())) {
            peer = router.address();
            client = std::make_unique<keep_alive_client>(peer);
        }
        const auto kind = static_cast<request_kind>(random() % request_paths.size());
        const std::string attempt =
            std::to_string(run.options.seed) + "-" + std::to_string(run.next_attempt++);
        const std::string key = random() % 4 == 0 ? "second-key" : "club-key";
        const auto interruptions = router.interruptions().now();
        const auto planned_stops = router.planned_stops().now();
        const auto upstream_disturbances = run.upstream_disturbances.now();
        observed_request observed{
            .attempt = attempt, .kind = kind, .key = key, .router = router.name(), .sent_at = steady::now()};
        auto result = client->send({.method = kind == request_kind::read ? "GET" : "POST",
                                    .target = request_paths.at(static_cast<std::size_t>(kind)),
                                    .body = kind == request_kind::read ? "" : "a cup " + attempt,
                                    .headers = {{"Host", "shop.example"},
                                                {"X-Api-Key", key},
                                                {"Citronwick-Attempt-Id", attempt},
                                                {"Citronwick-Deadline-Ms", "2000"}},
                                    .timeout = caller_timeout});
        const auto ended_at = steady::now();
        observed.response = std::move(result.response);
        observed.elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(ended_at - observed.sent_at);
        observed.was_sent = result.was_sent;
        observed.reused_connection = result.reused_connection;
        const bool was_interrupted = !router.interruptions().was_quiet_since(interruptions);
        observed.router_was_undisturbed =
            !was_interrupted && router.planned_stops().was_quiet_since(planned_stops);
        observed.router_had_to_answer = !was_interrupted && router.had_to_answer(observed.sent_at, ended_at);
        observed.upstreams_were_undisturbed =
            run.upstream_disturbances.was_quiet_since(upstream_disturbances) &&
            observed.sent_at - upstream_disturbances.last_end > upstream_recovery_time;
        const bool failed = observed.response.status == 0;
        run.checker.record(std::move(observed));
        std::this_thread::sleep_for(failed ? 50ms : std::chrono::milliseconds{random() % 20});
    }
}

} // namespace citronwick::soak
