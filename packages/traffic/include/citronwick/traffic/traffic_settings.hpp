#ifndef CITRONWICK_TRAFFIC_TRAFFIC_SETTINGS_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_TRAFFIC_SETTINGS_HPP_INCLUDED

#include "citronwick/core/endpoint.hpp"

#include <chrono>
#include <cstdint>

namespace citronwick {

/// Settings of the traffic threads, and limits on callers.
struct traffic_settings {
    endpoint callers;   ///< listening endpoint for callers; port 0 selects a free port
    endpoint operators; ///< listening endpoint of the operator pages
    std::uint32_t threads = 2;
    std::uint32_t header_bytes = 16'384;
    std::uint32_t body_bytes = 4'194'304;
    std::uint32_t answer_bytes = 16'777'216; ///< largest response body that is not streamed
    std::uint32_t connections = 4'096;
    /// Descriptors that the process may open, unless the operating system allows fewer.
    std::uint32_t descriptors = 1'048'576;
    std::uint32_t memory_mb = 256; ///< memory that the process may use, in MiB
    std::chrono::milliseconds caller_idle_timeout{60'000};
    std::chrono::milliseconds caller_read_timeout{10'000};
    std::chrono::milliseconds caller_write_timeout{10'000};
    /// Idle upstream connections are closed after this time.
    std::chrono::milliseconds pooled_connection_age{10'000};
    /// A stopping router accepts connections for this long, so that the load
    /// balancer can notice that it is not ready.
    std::chrono::milliseconds balancer_lag{2'000};
    /// Requests still in flight this long after the listener closed are aborted; 0 for never.
    std::chrono::milliseconds drain_limit{0};
    std::chrono::milliseconds grace{0}; ///< from the stop signal to the VM's removal; 0 for unlimited
};

} // namespace citronwick

#endif
