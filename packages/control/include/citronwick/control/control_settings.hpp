#ifndef CITRONWICK_CONTROL_CONTROL_SETTINGS_HPP_INCLUDED
#define CITRONWICK_CONTROL_CONTROL_SETTINGS_HPP_INCLUDED

#include "citronwick/core/endpoint.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace citronwick {

/// Settings of the control thread.
struct control_settings {
    std::string vm;
    std::string region;
    std::string failure_domain;
    endpoint fleet_listen;          ///< UDP and TCP; port 0 selects a free port
    std::string advertised_address; ///< "ip:port" for other routers; empty: the bound address
    std::string fleet_key;
    std::vector<endpoint> seeds; ///< fleet addresses of other routers
    std::vector<endpoint> key_value_servers;
    endpoint vm_list_server;
    std::string key_prefix = "/citronwick";
    std::uint32_t control_bytes_per_second = 3'000;
    std::chrono::milliseconds platform_timeout{1'000};
    std::chrono::milliseconds probe_interval{2'000};
    std::chrono::milliseconds vm_list_interval{2'000};
    std::chrono::milliseconds config_check_interval{10'000}; ///< polling interval in addition to the watch
    std::chrono::seconds claim_lifetime{3'600};              ///< retention of a claim
};

} // namespace citronwick

#endif
