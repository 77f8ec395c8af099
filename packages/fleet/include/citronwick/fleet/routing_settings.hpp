#ifndef CITRONWICK_FLEET_ROUTING_SETTINGS_HPP_INCLUDED
#define CITRONWICK_FLEET_ROUTING_SETTINGS_HPP_INCLUDED

#include "citronwick/core/endpoint.hpp"
#include "citronwick/policy/engine_placement.hpp"
#include "citronwick/policy/retry_window.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace citronwick {

/// Settings of a router whose fleet is declared in the platform's store.
struct routing_settings {
    std::string vm;
    std::string region;
    std::string failure_domain;
    std::string platform;  ///< name of the platform adapter
    endpoint fleet_listen; ///< UDP; port 0 selects a free port
    endpoint store;        ///< the platform's store
    std::uint32_t control_bytes_per_second = 3'000;
    std::chrono::milliseconds store_timeout{1'000}; ///< of one call
    std::chrono::milliseconds key_lifetime{5'000};  ///< longest time for which a revoked key may be accepted
    std::chrono::milliseconds lapse_grace{2'000};   ///< for entries whose lease expired during a store outage
    retry_limits retries;
    placement_parameters placement;
};

} // namespace citronwick

#endif
