#ifndef CITRONWICK_TESTS_HARNESS_ROUTED_FLEET_HPP_INCLUDED
#define CITRONWICK_TESTS_HARNESS_ROUTED_FLEET_HPP_INCLUDED

#include "http_call.hpp"
#include "node.hpp"

#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace citronwick::harness {

/// Size and settings of a routed fleet under test.
struct routed_options {
    std::size_t routers = 2;
    std::size_t plain_workers = 2;
    std::size_t engines = 2;
    std::vector<std::string> engine_versions{}; ///< of their software, which their events name; v1 if empty
    std::chrono::milliseconds key_lifetime{4'000};
    std::chrono::milliseconds store_timeout{500};
    bool proxies = false;            ///< put fault proxies in front of the store and the workers
    std::string platform_settings{}; ///< lines added to the table [platform]
    std::string log_format = "key_value";
    std::size_t failure_domains = 1;  ///< over which the routers are spread
    std::string limit_settings{};     ///< lines of the table [limits]
    std::string shutdown_settings{};  ///< lines added to the table [shutdown]
    std::int64_t body_bytes = 65'536; ///< largest request body, as declared
    process_options router_process{}; ///< how the routers are started
    std::chrono::milliseconds balancer_lag{300};
    int worker_slots = 8;           ///< as the entries of the workers say
    std::size_t worker_domains = 1; ///< failure domains over which the workers are spread
    double cold_rate = 0.0; ///< requests a second that a cold worker bears, as declared; 0 for no limit
};

/// Runs routers, workers and the metadata store as processes on this machine.
///
/// The declaration has the host "shop.example" with one route of each kind:
/// /read/ (idempotent), /book/ (at most once), /quote/stream/ (resumable) and
/// /guide/stream/ (at most once), and /split/stream/ (resumable), which half of the
/// requests reach "other-bench" by. The team "club" has the API key "club-key", the team
/// "guild" the key "guild-key".
class routed_fleet {
public:
    explicit routed_fleet(routed_options options = {});
    routed_fleet(const routed_fleet&) = delete;
    routed_fleet& operator=(const routed_fleet&) = delete;
    ~routed_fleet();

    std::deque<node>& routers() { return routers_; }
    std::deque<node>& plain_workers() { return plain_workers_; }
    std::deque<node>& engines() { return engines_; }
    node& store() { return store_; }

    /// Sends a request to a route, by GET for paths below /read/ and by POST otherwise.
    reply ask(const node& router, const std::string& path, const std::string& attempt_id,
              std::vector<std::pair<std::string, std::string>> headers = {}, const std::string& body = {});

    /// Writes the next version of the declaration to the store.
    /// @param keys API keys of the team
    /// @param extra_routes number of routes besides the four standard ones
    void declare(const std::vector<std::string>& keys, std::size_t extra_routes = 0);

    /// Sets the weights of the services of the route /split/stream/ in later declarations.
    void set_split(int bench, int other_bench) { split_ = {bench, other_bench}; }

    /// Writes a worker's entry to the store.
    void register_worker(const node& worker, const std::string& service, const std::string& state = "ready",
                         std::int64_t incarnation = 1, const std::string& version = "v1");
    void unregister_worker(const node& worker);

    /// Sets the time for which a worker's later entries say that it is cold.
    void set_cold_time(const node& worker, std::chrono::milliseconds time) {
        cold_times_[worker.name] = time;
    }

    /// Starts a worker whose process has ended, at another port, and writes its entry. Its proxy is
    /// started, too, if it has ended.
    /// @param incarnation higher than that of the process that ended
    /// @param fault set before the entry is written, none if empty
    void restart_worker(node& worker, const std::string& service, std::int64_t incarnation,
                        const std::string& fault = {});

    /// Starts a worker whose process has ended at its proxy again, without writing its entry.
    /// @param incarnation that it reports
    void start_worker_again(node& worker, std::int64_t incarnation, const std::string& fault = {});

    /// Starts a worker under a new identifier, without writing its entry.
    /// @param version of its software
    node start_engine(const std::string& name, const std::string& version, std::int64_t incarnation);

    /// Sets the software version of a worker, which its next process has.
    void set_version(const std::string& worker, const std::string& version) { versions_[worker] = version; }
    std::string version_of(const std::string& worker) const;

    /// Kills a worker and starts one with the same identifier at the same address, whose entry stays as it
    /// is.
    /// @param version of its software, which its events name
    void replace_worker(node& worker, const std::string& version);

    /// Writes or removes a key of the store directly.
    void put_key(const std::string& key, const std::string& value);
    void remove_key(const std::string& key);

    /// Writes all keys again, as operators and workers do after the store lost them.
    void write_keys_again();

    /// Waits until every router has the latest declaration, confirmed team keys, the
    /// assignment of streams to versions and all routers in its view.
    bool wait_ready(std::chrono::milliseconds timeout = std::chrono::seconds{10});

    /// @param program path, empty for the program under test
    void start_router(std::string program = {});

    /// Starts a router whose process has ended.
    void restart_router(node& router);

    /// Starts the process of a router without waiting for it to listen.
    /// @param ports of the addresses to listen on, in the order of the port file; any if empty
    void launch_router(node& router, const process_options& process,
                       const std::vector<std::uint16_t>& ports = {}) const;

    /// Addresses of a router that was launched, empty until it listens.
    std::vector<endpoint> launched_addresses(const node& router) const;

    boost::json::object view(const node& router) const;

private:
    node start_standin(const std::string& kind, const std::string& name,
                       const std::vector<std::string>& arguments);
    void start_process(node& router) const;
    std::vector<std::string> worker_arguments(const std::string& name, std::int64_t incarnation = 1) const;
    std::string file(const std::string& name) const { return directory_ + "/" + name; }

    routed_options options_;
    std::string directory_;
    node store_;
    std::deque<node> routers_;
    std::deque<node> plain_workers_;
    std::deque<node> engines_;
    std::map<std::string, std::string> versions_;                 ///< by the names of workers that name them
    std::map<std::string, std::chrono::milliseconds> cold_times_; ///< by the names of workers that are cold
    std::int64_t version_ = 0;
    std::pair<int, int> split_{1, 1}; ///< weights of "bench" and "other-bench"
    std::mutex keys_mutex_;
    std::map<std::string, std::string> keys_; ///< as last written
    std::size_t next_index_ = 0;
};

/// Name of the failure domain with a number, under which routers and workers of a fleet run.
std::string domain_name(std::size_t number);

/// Sets the same faults on several workers.
void set_faults(const std::deque<node>& workers, const std::string& fault);

/// Arrivals of requests at a worker, in milliseconds of the steady clock.
std::vector<std::int64_t> arrivals_at(const node& worker);

/// Number of times that a worker ran a request.
std::int64_t runs_of(const node& worker, const std::string& attempt_id);

/// Number of times that all workers together ran a request.
std::int64_t runs_of(const std::deque<node>& workers, const std::string& attempt_id);

} // namespace citronwick::harness

#endif
