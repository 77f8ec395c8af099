#ifndef CITRONWICK_TESTS_HARNESS_FLEET_HPP_INCLUDED
#define CITRONWICK_TESTS_HARNESS_FLEET_HPP_INCLUDED

#include "http_call.hpp"
#include "node.hpp"

#include <boost/json/object.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace citronwick::harness {

/// Size and settings of a fleet under test.
struct fleet_options {
    std::size_t routers = 6;
    std::vector<std::string> failure_domains{"busan-a", "busan-b", "ulsan-c"};
    std::size_t engines = 10;
    std::size_t service_workers = 3;
    bool shared_engines = false; ///< run all engines in one stand-in process
    bool proxies = false;        ///< put a fault proxy in front of each process
    std::vector<std::string> engine_arguments{};
    std::string preset{};            ///< lines added to the preset "ordinary"
    std::string service{};           ///< lines added to the table of the plain service
    std::string router_settings{};   ///< further tables of the router settings
    std::string shutdown_settings{}; ///< lines added to the table [shutdown]
    std::string platform_settings{}; ///< lines added to the table [platform]
    std::string fleet_settings{};    ///< lines added to the table [fleet]
    std::string declaration{};       ///< replaces the default declaration unless empty
    std::string log_level = "info";
    bool apply = true; ///< apply the declaration with citronctl at startup
};

/// A router process; its addresses are those for callers, operators and other routers, in this order.
struct router_node : node {
    const endpoint& callers() const { return addresses.at(0); }
    const endpoint& operators() const { return addresses.at(1); }
};

/// Runs routers, upstreams and platform services as processes on this machine.
class fleet {
public:
    explicit fleet(fleet_options options);
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    ~fleet();

    std::deque<router_node>& routers() { return routers_; }
    std::deque<node>& engines() { return engines_; }
    const std::string& directory() const { return directory_; }
    std::deque<node>& workers() { return workers_; }
    node& key_value() { return key_value_; }
    node& vm_list() { return vm_list_; }

    router_node& add_router(const std::string& failure_domain);
    node& add_engine(const std::string& failure_domain);
    void remove_engine(const std::string& name);

    /// Kills the process if it still runs and starts a new one under the same name.
    void restart_engine(node& engine);
    void restart_router(router_node& router);

    /// Partitions a failure domain from the others and from the platform. Requires `proxies`.
    void isolate(const std::string& failure_domain);

    /// Clears the faults of all proxies.
    void clear_faults();

    /// Publishes the current upstreams and routers to the VM list.
    void publish_vms();

    /// Waits until every running router has a configuration and knows all engines and routers.
    bool wait_ready(std::chrono::milliseconds timeout = std::chrono::seconds{20});

    /// Waits until every running router has applied this configuration generation or a later one.
    bool wait_generation(std::int64_t generation,
                         std::chrono::milliseconds timeout = std::chrono::seconds{20});

    /// Runs citronctl.
    /// @param with_platform adds the address of the key-value service
    command_result ctl(std::vector<std::string> arguments, bool with_platform = true);

    /// Debug view of a router, empty if it does not respond.
    boost::json::object view(const router_node& router) const;

    /// Lines of a process's log that contain `text`.
    std::vector<std::string> log_lines(const node& source, const std::string& text) const;

    std::string file(const std::string& name) const { return directory_ + "/" + name; }
    const std::string& declaration() const { return declaration_; }

private:
    void start_shared_engines();
    node start_standin(const std::string& kind, const std::string& name,
                       const std::vector<std::string>& arguments);
    void put_behind_proxy(node& target);
    void start_router(router_node& router);
    std::string domain_ip(const std::string& failure_domain) const;
    std::vector<const node*> proxied_nodes() const;
    std::string make_router_settings(const router_node& router) const;

    fleet_options options_;
    std::string directory_;
    std::string declaration_;
    node key_value_;
    node vm_list_;
    std::deque<router_node> routers_;
    std::deque<node> engines_;
    std::deque<node> workers_;
    node shared_engines_;
    std::size_t next_index_ = 0;
};

/// API key of a team in the default declaration.
std::string team_key(const std::string& team);

} // namespace citronwick::harness

#endif
