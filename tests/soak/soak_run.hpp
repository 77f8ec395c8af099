#ifndef CITRONWICK_TESTS_SOAK_SOAK_RUN_HPP_INCLUDED
#define CITRONWICK_TESTS_SOAK_SOAK_RUN_HPP_INCLUDED

#include "disturbance.hpp"
#include "guarantee_checker.hpp"
#include "routed_fleet.hpp"
#include "router_supervisor.hpp"

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace citronwick::soak {

inline constexpr std::chrono::milliseconds key_lifetime{4'000};

/// Paths of requests, by `request_kind`.
inline constexpr std::array request_paths{"/read/1", "/book/1", "/quote/stream/1", "/guide/stream/1"};

/// What a run is started with.
struct soak_options {
    std::uint64_t seed = 0;
    std::chrono::seconds time{0};
    std::size_t routers = 0;
    std::size_t callers = 0;
    std::uint64_t memory_bytes = 0; ///< that a router may use
    bool limits_memory = false;     ///< whether routers are set to that instead of their default
    std::string only{};             ///< name of the only fault, empty for all
    std::chrono::milliseconds deadline{0};
    std::size_t booking_bytes = 0; ///< of the bodies of bookings, at least
    std::size_t stream_bytes = 0;  ///< of the bodies of requests for streams, at least
    std::size_t engines = 0;
};

/// Failure domains over which the workers are spread.
constexpr std::size_t soak_worker_domains = 2;
/// Requests a second that a cold worker bears, as declared.
constexpr double soak_cold_rate = 6.0;

/// State shared by the threads that send requests and those that inject faults.
class soak_run {
public:
    explicit soak_run(soak_options chosen);

    soak_options options;
    harness::routed_fleet fleet;
    guarantee_checker checker{key_lifetime};
    std::deque<router_supervisor> routers;
    disturbance_count upstream_disturbances;
    disturbance_count engine_disturbances; ///< others, which excuse incomplete streams only
    disturbance_count link_silences;       ///< between routers and upstreams, which excuse lateness only
    disturbance_count store_disturbances;  ///< without which a router that starts knows nothing
    std::atomic<bool> stopping{false};
    std::atomic<int> load_pauses{0}; ///< callers send nothing while there is one
    std::atomic<int> requests_in_flight{0};
    std::atomic<std::uint64_t> next_attempt{0};
    std::atomic<bool> second_key_is_valid{true};
    std::atomic<int> max_patience_ms{0};             ///< after which callers leave streams, 0 if they stay
    std::atomic<std::int64_t> newest_incarnation{1}; ///< of the workers

    void count_fault(const std::string& name);
    std::map<std::string, std::size_t> fault_counts() const;

    /// Replaces the active faults of a worker, or of the link to a node.
    void set_worker_fault(const harness::node& worker, const std::string& json);
    void set_link_fault(const harness::node& target, const std::string& json);

    /// Kills the processes of an engine and of its link.
    void kill_engine(harness::node& engine);
    void restart_engine(harness::node& engine);

    /// Starts an engine of the other version under a new identifier. The old one is draining, then
    /// its entry is removed, and its process killed.
    void replace_engine(harness::node& engine, std::chrono::milliseconds drain_time);

    /// Kills the process of an engine, and starts one of the other version at its address.
    /// @param entry_delay from the start of the process until its entry is written
    void restart_as_other_version(harness::node& engine, std::chrono::milliseconds entry_delay);

    /// Kills the process of an engine, and has its address reach another worker.
    void give_address_to(harness::node& engine, const harness::node& other);

    /// Stops the process of a worker and has it go on.
    void freeze_worker(const harness::node& worker, std::chrono::milliseconds time);

    /// Starts a plain worker again whose process has ended.
    /// @param fault that it has from the start
    void restart_plain_worker(harness::node& worker, const std::string& fault);

    /// Held while links to engines are disturbed, or while streams of engines are not framed: no
    /// router can tell a connection that a link closes in order from the end of such a stream.
    std::mutex engine_links;

    /// Checks for a second that no router uses the processor, unless the load does not stop for it.
    void check_idle_routers();

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::size_t> fault_counts_;
    std::mutex nodes_mutex_;                           ///< guards the addresses of workers and links
    std::map<std::string, std::int64_t> incarnations_; ///< of engines that have others than the first
};

/// Stops the load as long as this object exists.
class load_pause {
public:
    /// Waits for the requests in flight, no longer than their callers do.
    explicit load_pause(soak_run& run);
    load_pause(const load_pause&) = delete;
    load_pause& operator=(const load_pause&) = delete;
    ~load_pause();

private:
    soak_run& run_;
};

/// Sends requests to one router over a persistent connection until the run stops.
void run_caller(soak_run& run, std::size_t caller);

} // namespace citronwick::soak

#endif
