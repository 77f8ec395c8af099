#ifndef CITRONWICK_TESTS_HARNESS_ROUTED_FLEET_HPP_INCLUDED
#define CITRONWICK_TESTS_HARNESS_ROUTED_FLEET_HPP_INCLUDED

#include "http_call.hpp"
#include "node.hpp"

#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace citronwick::harness {

/// Shape of a routed fleet under test.
struct routed_options {
    std::size_t routers = 2;
    std::size_t plain_workers = 2;
    std::size_t engines = 2;
    std::chrono::milliseconds key_lifetime{4'000};
    bool proxies = false;            ///< store and workers are reached through fault proxies
    std::string platform_settings{}; ///< lines of the table [platform]
    std::string log_format = "key_value";
};

/// Routers, workers and the platform's store as real processes on this machine.
///
/// The declaration has the host "shop.example" with a route for each kind:
/// /read/ (idempotent), /book/ (at most once), /quote/stream/ (resumable) and
/// /guide/stream/ (at most once). The team "club" holds the key "club-key".
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

    /// Makes a call of a route.
    reply ask(const node& router, const std::string& path, const std::string& attempt,
              std::vector<std::pair<std::string, std::string>> headers = {}, const std::string& body = {});

    /// Writes the declaration with the given keys of the team.
    /// @param more_routes besides the four that are always there
    void declare(const std::vector<std::string>& keys, std::size_t more_routes = 0);

    /// Writes a worker's entry.
    void register_worker(const node& worker, const std::string& service, const std::string& state = "ready",
                         std::int64_t incarnation = 1);
    void remove_entry(const node& worker);

    /// Writes or removes any key of the store.
    void put_key(const std::string& key, const std::string& value);
    void remove_key(const std::string& key);

    /// Waits until every router serves the newest declaration with all workers.
    bool wait_ready(std::chrono::milliseconds timeout = std::chrono::seconds{10});

    void start_router();

    /// Starts a router again that has ended.
    void restart_router(node& router);
    boost::json::object view(const node& router) const;

private:
    node start_standin(const std::string& kind, const std::string& name,
                       const std::vector<std::string>& arguments);
    void launch(node& router) const;
    std::string file(const std::string& name) const { return directory_ + "/" + name; }

    routed_options options_;
    std::string directory_;
    node store_;
    std::deque<node> routers_;
    std::deque<node> plain_workers_;
    std::deque<node> engines_;
    std::int64_t version_ = 0;
    std::size_t started_ = 0;
};

/// Sets the same faults of several workers.
void set_all(const std::deque<node>& workers, const std::string& fault);

/// Times that a worker ran a request.
std::int64_t runs_of(const node& worker, const std::string& attempt);

/// Times that any of the workers ran a request.
std::int64_t runs_of(const std::deque<node>& workers, const std::string& attempt);

} // namespace citronwick::harness

#endif
