#ifndef CITRONWICK_ROUTER_ROUTER_SETTINGS_HPP_INCLUDED
#define CITRONWICK_ROUTER_ROUTER_SETTINGS_HPP_INCLUDED

#include "citronwick/control/control_settings.hpp"
#include "citronwick/core/failure.hpp"
#include "citronwick/fleet/routing_settings.hpp"
#include "citronwick/traffic/traffic_settings.hpp"

#include <chrono>
#include <string>

namespace citronwick {

/// Settings of one router, read from its TOML file.
struct router_settings {
    control_settings control;
    routing_settings routing; ///< used if `routing.platform` is set
    traffic_settings traffic;
    bool fleet_key_in_store = false; ///< the fleet key comes from the platform's store
    std::string source_address;      ///< local address of outbound connections, empty for any
    std::string port_file;           ///< file for the bound addresses, empty for none
    /// Time for which a start waits for an address that is in use.
    std::chrono::milliseconds in_use_timeout{30'000};
    std::string log_format = "key_value";
    std::string log_level = "info";
};

/// Reads and validates a settings file.
/// @return a `failure` whose detail lists each problem with its file, line and key
result<router_settings> read_router_settings(const std::string& file);

} // namespace citronwick

#endif
