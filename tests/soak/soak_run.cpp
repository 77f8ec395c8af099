#include "soak_run.hpp"

#include "faults.hpp"
#include "keep_alive_client.hpp"
#include "process_usage.hpp"
#include "waiting.hpp"

#include <algorithm>
#include <csignal>
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
    constexpr std::uint64_t bytes_per_mebibyte = std::uint64_t{1} << 20U;
    const std::string memory_setting =
        "memory_mb = " + std::to_string(options.memory_bytes / bytes_per_mebibyte) + "\n";
    return {.routers = options.routers,
            .plain_workers = 3,
            .engines = options.engines,
            .engine_versions = engine_versions,
            .key_lifetime = key_lifetime,
            .proxies = true,
            .limit_settings = options.limits_memory ? memory_setting : "",
            .shutdown_settings = "grace = \"" + std::to_string(router_grace.count()) + "ms\"\n",
            .body_bytes = max_body_bytes,
            .worker_domains = soak_worker_domains,
            .cold_rate = soak_cold_rate};
}

std::string other_version(const std::string& version) {
    return *std::ranges::find_if(engine_versions, [&](const std::string& each) { return each != version; });
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

void soak_run::set_worker_fault(const harness::node& worker, const std::string& json) {
    const std::scoped_lock lock{nodes_mutex_};
    harness::set_fault(worker, json);
}

void soak_run::set_link_fault(const harness::node& target, const std::string& json) {
    const std::scoped_lock lock{nodes_mutex_};
    harness::set_proxy_fault(target, json);
}

void soak_run::kill_engine(harness::node& engine) {
    const std::scoped_lock lock{nodes_mutex_};
    engine.proxy->process->kill(); // first, so that routers that look for the engine find it gone
    engine.process->kill();
}

void soak_run::restart_engine(harness::node& engine) {
    const std::scoped_lock lock{nodes_mutex_};
    incarnations_[engine.name] = ++newest_incarnation;
    fleet.restart_worker(engine, "bench", incarnations_[engine.name]);
}

void soak_run::replace_engine(harness::node& engine, std::chrono::milliseconds drain_time) {
    const std::scoped_lock lock{nodes_mutex_};
    const std::string version = other_version(fleet.version_of(engine.name));
    harness::node started =
        fleet.start_engine("engine-new-" + std::to_string(++newest_incarnation), version, newest_incarnation);
    incarnations_[started.name] = newest_incarnation;
    fleet.register_worker(started, "bench", "ready", newest_incarnation, version);
    const auto found = incarnations_.find(engine.name);
    fleet.register_worker(engine, "bench", "draining", found == incarnations_.end() ? 1 : found->second,
                          fleet.version_of(engine.name));
    std::this_thread::sleep_for(drain_time);
    fleet.unregister_worker(engine);
    std::swap(engine, started);
    started.proxy->process->kill();
    started.process->kill();
}

void soak_run::restart_as_other_version(harness::node& engine, std::chrono::milliseconds entry_delay) {
    const std::scoped_lock lock{nodes_mutex_};
    engine.process->kill();
    const std::string version = other_version(fleet.version_of(engine.name));
    fleet.set_version(engine.name, version);
    const std::int64_t incarnation = ++newest_incarnation;
    fleet.start_worker_again(engine, incarnation);
    std::this_thread::sleep_for(entry_delay);
    incarnations_[engine.name] = incarnation;
    fleet.register_worker(engine, "bench", "ready", incarnation, version);
}

void soak_run::give_address_to(harness::node& engine, const harness::node& other) {
    const std::scoped_lock lock{nodes_mutex_};
    engine.process->kill();
    harness::set_proxy_target(*engine.proxy, other);
}

void soak_run::freeze_worker(const harness::node& worker, std::chrono::milliseconds time) {
    const std::scoped_lock lock{nodes_mutex_};
    worker.process->signal(SIGSTOP);
    std::this_thread::sleep_for(time);
    worker.process->signal(SIGCONT);
}

void soak_run::restart_plain_worker(harness::node& worker, const std::string& fault) {
    const std::scoped_lock lock{nodes_mutex_};
    fleet.restart_worker(worker, "desk", ++newest_incarnation, fault);
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

namespace {

bool is_stream(request_kind kind) {
    return kind == request_kind::resumable || kind == request_kind::guide;
}

/// What a caller sends.
struct caller_request {
    request_kind kind = request_kind::read;
    std::string key;
    std::string body;
    std::string stream{}; ///< attempt that brought the first event of the stream that is taken up, if any
    std::int64_t last_event = 0;               ///< that the caller has of it
    std::optional<std::int64_t> branches_at{}; ///< last event that it names, if others take it up, too
    std::chrono::milliseconds patience{caller_timeout};
};

harness::call make_call(const caller_request& request, const std::string& attempt,
                        std::chrono::milliseconds deadline) {
    harness::call made{.method = request.kind == request_kind::read ? "GET" : "POST",
                       .target = request_paths.at(static_cast<std::size_t>(request.kind)),
                       .body = request.body,
                       .headers = {{"Host", "shop.example"},
                                   {"X-Api-Key", request.key},
                                   {"Citronwick-Attempt-Id", attempt},
                                   {"Citronwick-Deadline-Ms", std::to_string(deadline.count())}},
                       .timeout = request.patience};
    if (!request.stream.empty()) {
        made.headers.emplace_back("Resumes", request.stream);
        made.headers.emplace_back("Last-Event-Id", std::to_string(request.last_event));
    }
    return made;
}

/// Sends a request and has its response checked.
/// @return whether there was a response
bool send_request(soak_run& run, router_supervisor& router, keep_alive_client& client,
                  const caller_request& request, const std::string& attempt) {
    const auto interruptions = router.interruptions().now();
    const auto planned_stops = router.planned_stops().now();
    const auto upstream_disturbances = run.upstream_disturbances.now();
    const auto engine_disturbances = run.engine_disturbances.now();
    const auto link_silences = run.link_silences.now();
    observed_request observed{.attempt = attempt,
                              .kind = request.kind,
                              .key = request.key,
                              .router = router.name(),
                              .stream = request.stream,
                              .branches_at = request.branches_at,
                              .gave_up = request.patience != caller_timeout,
                              .sent_at = steady::now(),
                              .deadline = run.options.deadline};
    auto result = client.send(make_call(request, attempt, run.options.deadline));
    const auto ended_at = steady::now();
    observed.response = std::move(result.response);
    observed.elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(ended_at - observed.sent_at);
    observed.was_sent = result.was_sent;
    observed.reused_connection = result.reused_connection;
    const bool was_interrupted = !router.interruptions().was_quiet_since(interruptions);
    observed.router_was_undisturbed =
        !was_interrupted && router.planned_stops().was_quiet_since(planned_stops);
    observed.router_had_to_answer = !was_interrupted && router.had_to_answer(observed.sent_at, ended_at);
    const auto was_quiet = [&observed](const disturbance_count& count,
                                       const disturbance_count::sample& before) {
        return count.was_quiet_since(before) && observed.sent_at - before.last_end > upstream_recovery_time;
    };
    observed.upstreams_were_undisturbed =
        was_quiet(run.upstream_disturbances, upstream_disturbances) &&
        (!is_stream(request.kind) || was_quiet(run.engine_disturbances, engine_disturbances));
    observed.links_were_silent = !was_quiet(run.link_silences, link_silences);
    const bool has_response = observed.response.status != 0;
    run.checker.record(std::move(observed));
    return has_response;
}

std::string next_attempt(soak_run& run) {
    return std::to_string(run.options.seed) + "-" + std::to_string(run.next_attempt++);
}

/// Time after which a caller leaves a stream: the usual one, or a short one while callers leave.
std::chrono::milliseconds draw_patience(const soak_run& run, std::mt19937_64& random) {
    const int max_patience = run.max_patience_ms;
    return max_patience == 0 ? caller_timeout : pick_time(random, 1, max_patience);
}

/// Sends a request that takes up a stream to any router, in the background.
std::jthread start_branch(soak_run& run, std::mt19937_64& random, caller_request request) {
    // At times behind an earlier event than the last one that the caller has.
    const auto events_back = random() % 2 == 0 ? 0 : static_cast<std::int64_t>(random() % 3);
    request.last_event = std::max<std::int64_t>(1, request.last_event - events_back);
    request.branches_at = request.last_event;
    request.patience = caller_timeout;
    router_supervisor& router = run.routers[random() % run.routers.size()];
    return std::jthread{[&run, &router, request = std::move(request)] {
        keep_alive_client client{router.address()};
        send_request(run, router, client, request, next_attempt(run));
    }};
}

/// Takes up a stream that ended broken, a few times, at any router, at once or a little later.
void take_up_stream(soak_run& run, std::mt19937_64& random, caller_request request,
                    const std::string& stream) {
    constexpr int max_take_ups = 4;
    constexpr int max_pause_ms = 400;
    request.stream = stream;
    std::vector<std::jthread> branches;
    for (int count = 0; count < max_take_ups && !run.stopping && run.load_pauses == 0; ++count) {
        const auto last_event = run.checker.last_event_of_broken(stream);
        if (!last_event) {
            return;
        }
        request.last_event = *last_event;
        if (run.max_patience_ms > 0 && random() % 2 == 0) {
            branches.push_back(start_branch(run, random, request));
        }
        request.patience = draw_patience(run, random);
        router_supervisor& router = run.routers[random() % run.routers.size()];
        if (random() % 2 == 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds{random() % max_pause_ms});
        }
        keep_alive_client client{router.address()};
        send_request(run, router, client, request, next_attempt(run));
    }
}

} // namespace

void run_caller(soak_run& run, std::size_t caller) {
    constexpr std::size_t large_body_bytes = 10'000; // more than routers keep memory for
    std::mt19937_64 random{run.options.seed * 1'000 + caller};
    std::mt19937_64 stream_random{run.options.seed * 1'000 + caller}; // so that a seed keeps its load
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
        const std::string attempt = next_attempt(run);
        const std::string key = random() % 4 == 0 ? "second-key" : "club-key";
        caller_request request{
            .kind = kind, .key = key, .body = kind == request_kind::read ? "" : "a cup " + attempt};
        if (kind == request_kind::book) {
            request.body.resize(std::max(request.body.size(), run.options.booking_bytes), '.');
        }
        if (kind == request_kind::resumable && stream_random() % 4 != 0) {
            request.body.resize(large_body_bytes, '.');
        }
        if (is_stream(kind)) {
            request.body.resize(std::max(request.body.size(), run.options.stream_bytes), '.');
            request.patience = draw_patience(run, stream_random);
        }
        const bool has_response = send_request(run, router, *client, request, attempt);
        if (kind == request_kind::resumable) {
            take_up_stream(run, stream_random, request, attempt);
        }
        std::this_thread::sleep_for(has_response ? std::chrono::milliseconds{random() % 20} : 50ms);
    }
}

} // namespace citronwick::soak
