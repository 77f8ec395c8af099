#ifndef CITRONWICK_TRAFFIC_TRAFFIC_SETTINGS_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_TRAFFIC_SETTINGS_HPP_INCLUDED

#include "citronwick/core/endpoint.hpp"

#include <chrono>
#include <cstdint>

namespace citronwick {

/// Settings of the traffic threads and of what a caller may ask of them.
struct traffic_settings {
    endpoint callers;   ///< port 0 takes a free one
    endpoint operators; ///< health, readiness, metrics and views
    std::uint32_t threads = 2;
    std::uint32_t header_bytes = 16'384;
    std::uint32_t body_bytes = 4'194'304;
    std::uint32_t answer_bytes = 16'777'216; ///< largest answer that is not streamed
    std::uint32_t connections = 4'096;
    std::chrono::milliseconds caller_idle_timeout{60'000};
    std::chrono::milliseconds caller_read_timeout{10'000};
    std::chrono::milliseconds caller_write_timeout{10'000};
    std::chrono::milliseconds pooled_connection_age{
        10'000};                                   ///< idle upstream connections are closed after it
    std::chrono::milliseconds balancer_lag{2'000}; ///< time for which a stopping router still accepts
    std::chrono::milliseconds drain_limit{0};      ///< requests are cut after it, 0 for never
    std::chrono::milliseconds grace{0}; ///< from the signal until the VM is taken away, 0 for unlimited
};

} // namespace citronwick

#endif
