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

/// Shape of a fleet under test.
struct fleet_options {
    std::size_t routers = 6;
    std::vector<std::string> failure_domains{"busan-a", "busan-b", "ulsan-c"};
    std::size_t engines = 10;
    std::size_t service_workers = 3;
    bool shared_engines = false; ///< all engines run in one stand-in process
    bool proxies = false;        ///< everything is reached through fault proxies
    std::vector<std::string> engine_arguments{};
    std::string preset{};            ///< lines of the preset "ordinary"
    std::string service{};           ///< lines of the plain service
    std::string router_settings{};   ///< lines of further tables
    std::string platform_settings{}; ///< lines of the table [platform]
    std::string fleet_settings{};    ///< lines of the table [fleet]
    std::string declaration{};       ///< whole declaration, empty for the usual one
    std::string log_level = "info";
    bool apply = true; ///< put the declaration in force
};

/// A router: addresses for callers, operators and the fleet, in this order.
struct router_node : node {
    const endpoint& callers() const { return addresses.at(0); }
    const endpoint& operators() const { return addresses.at(1); }
};

/// Routers, upstreams and platform as real processes on this machine.
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

    /// Starts a process again in place of one that has ended.
    void restart_engine(node& engine);
    void restart_router(router_node& router);

    /// Cuts a failure domain off from the others and from the platform. Needs proxies.
    void cut_off(const std::string& failure_domain);

    /// Ends all faults of the proxies.
    void heal();

    /// Tells the VM list which upstreams there are.
    void publish_vms();

    /// Waits until every running router sees the configuration and the upstreams.
    bool wait_ready(std::chrono::milliseconds timeout = std::chrono::seconds{20});

    /// Waits until every running router has a generation in force.
    bool wait_generation(std::int64_t generation,
                         std::chrono::milliseconds timeout = std::chrono::seconds{20});

    /// Runs citronctl; the platform's address is added where `with_platform`.
    command_result ctl(std::vector<std::string> arguments, bool with_platform = true);

    /// View of a router, empty where it does not answer.
    boost::json::object view(const router_node& router) const;

    /// Lines of a router's log that hold a text.
    std::vector<std::string> log_lines(const node& source, const std::string& text) const;

    std::string file(const std::string& name) const { return directory_ + "/" + name; }
    const std::string& usual_declaration() const { return declaration_; }

private:
    void start_shared_engines();
    node start_standin(const std::string& kind, const std::string& name,
                       const std::vector<std::string>& arguments);
    void put_behind_proxy(node& target);
    void start_router(router_node& router);
    std::string domain_ip(const std::string& failure_domain) const;
    std::vector<const node*> proxied_nodes() const;
    std::string router_file(const router_node& router) const;

    fleet_options options_;
    std::string directory_;
    std::string declaration_;
    node key_value_;
    node vm_list_;
    std::deque<router_node> routers_;
    std::deque<node> engines_;
    std::deque<node> workers_;
    node shared_engines_;
    std::size_t started_ = 0;
};

/// Key of the teams in the usual declaration.
std::string team_key(const std::string& team);

} // namespace citronwick::harness

#endif
