#ifndef CITRONWICK_POLICY_PRESET_HPP_INCLUDED
#define CITRONWICK_POLICY_PRESET_HPP_INCLUDED

#include <chrono>
#include <cstdint>
#include <string>

namespace citronwick {

/// Complete set of policy settings; exactly one preset is active at any time.
struct preset {
    std::string name;
    std::string placement = "bounded_rendezvous"; ///< registered name of the placement plug-in
    double skew_target = 1.25; ///< load bound as a multiple of the mean load; engines above it are skipped
    double skew_limit = 2.0;   ///< guaranteed maximum load as a multiple of the mean load
    std::uint32_t spill_width = 3;         ///< number of next ranks from which a spill picks the least loaded
    std::uint32_t engine_concurrency = 32; ///< maximum number of concurrent requests on one engine
    std::uint32_t queue_length = 256;      ///< maximum number of queued requests per service and router
    double retry_share = 0.1;              ///< retries allowed per request
    bool hints = true;                     ///< whether placement hints are returned to callers
    std::chrono::milliseconds queue_timeout{2'000};
    std::chrono::milliseconds connect_timeout{500};
    std::chrono::milliseconds first_byte_timeout{20'000};
    std::chrono::milliseconds idle_timeout{5'000}; ///< longest pause within a response
    std::chrono::milliseconds slow_start{10'000}; ///< time over which a new engine ramps up to its full share
};

} // namespace citronwick

#endif
